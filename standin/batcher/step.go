package batcher

import (
	"maps"
	"time"

	"rosemaryspool.example/core/identifier"
)

// step is one pass of the engine over its batch and one chunk of prefill.
type step struct {
	end         time.Time
	duration    time.Duration
	decode      []*sequence
	chunk       []prefillShare
	prefillTime time.Duration
}

// part is one sequence's share of a chunk.
type prefillShare struct {
	sequence *sequence
	tokens   identifier.Tokens
}

// run carries the engine's steps and role change on to a time.
func (e *Engine) runUntil(now time.Time) {
	for {
		next, ok := e.nextTransition()
		if !ok || next.After(now) {
			return
		}
		if e.step != nil && !e.step.end.After(next) {
			e.finishStep()
		}
		e.proceed(next)
	}
}

// nextInternal returns the time of the next step end, role change or KV import.
func (e *Engine) nextTransition() (time.Time, bool) {
	if e.down {
		return time.Time{}, false
	}
	if e.step != nil {
		return e.step.end, true
	}
	next, ok := time.Time{}, false
	if e.change != nil {
		next, ok = e.change.nextTransition(), true
	}
	if len(e.imports) == 0 {
		return next, ok
	}
	if ready := earliestReady(e.imports); !ok || ready.Before(next) {
		next = ready
	}
	return next, true
}

// settle moves a role change on and starts the next step.
func (e *Engine) proceed(now time.Time) {
	e.advanceRoleChange(now)
	e.startStep(now)
}

// start begins a step when none runs and there is work.
func (e *Engine) startStep(now time.Time) {
	if e.step != nil || e.down || e.offline() {
		return
	}
	e.admitImports(now)
	next := &step{decode: append([]*sequence(nil), e.running...)}
	e.fillChunk(next)
	if len(next.decode) == 0 && len(next.chunk) == 0 {
		return
	}
	if len(next.decode) > 0 {
		next.duration = e.settings.decodeTime(len(next.decode))
	}
	next.duration += next.prefillTime
	next.duration = time.Duration(float64(next.duration) * e.slowness)
	next.end = now.Add(next.duration)
	e.step = next
}

// admitImports lets arrived KV caches into the batch while it has room.
func (e *Engine) admitImports(now time.Time) {
	kept := e.imports[:0]
	for _, s := range e.imports {
		if s.readyAt.After(now) || len(e.running)+e.prefilling >= e.settings.MaxBatch {
			kept = append(kept, s)
			continue
		}
		s.prefilled = s.contextTokens()
		e.running = append(e.running, s)
	}
	clear(e.imports[len(kept):])
	e.imports = kept
}

// fillChunk takes prefill work for one step in order of service.
func (e *Engine) fillChunk(next *step) {
	budget := e.settings.ChunkTokens
	for _, s := range e.waiting {
		if budget == 0 {
			break
		}
		if !s.started && !e.reserveSlot(s) {
			continue
		}
		tokens := min(budget, s.remainingPrefill())
		next.chunk = append(next.chunk, prefillShare{s, tokens})
		budget -= tokens
	}
	next.prefillTime = e.settings.prefillTime(e.settings.ChunkTokens - budget)
}

// begin reserves a place in the batch and takes the cached prefix; false means that the batch is full.
func (e *Engine) reserveSlot(s *sequence) bool {
	if len(e.running)+e.prefilling >= e.settings.MaxBatch {
		return false
	}
	s.started = true
	e.prefilling++
	pieces := e.cache.lookup(s.Prefix)
	e.cache.markUsed(s.Prefix[:pieces])
	s.cached = min(identifier.Tokens(pieces)*e.settings.PieceTokens, s.contextTokens()-1)
	s.prefilled = s.cached
	return true
}

// finish ends the running step: sequences of the batch get a token, chunks are stored.
func (e *Engine) finishStep() {
	ended := e.step
	e.step = nil
	e.rates.observe(ended, e.slowness)
	alive := e.running[:0]
	for _, s := range e.running {
		if !e.inStep(ended, s) || !e.produceToken(s, ended.end) {
			alive = append(alive, s)
		}
	}
	clear(e.running[len(alive):])
	e.running = alive
	for _, p := range ended.chunk {
		e.applyPrefill(p, ended.end)
	}
	e.cache.flush()
}

// decodes reports whether a running sequence was part of the step; the batch keeps its order, new ones come last.
func (e *Engine) inStep(ended *step, s *sequence) bool {
	for len(ended.decode) > 0 {
		first := ended.decode[0]
		ended.decode = ended.decode[1:]
		if first == s {
			return true
		}
	}
	return false
}

// fill ends one part of a chunk; a sequence that was cancelled meanwhile has no effect.
func (e *Engine) applyPrefill(p prefillShare, now time.Time) {
	s := p.sequence
	i := find(e.waiting, s.Attempt)
	if i < 0 || e.waiting[i] != s {
		return
	}
	before := int(s.prefilled / e.settings.PieceTokens)
	s.prefilled += p.tokens
	for n := before; n < int(s.prefilled/e.settings.PieceTokens) && n < len(s.Prefix); n++ {
		e.cache.store(s.Prefix[n])
	}
	if s.remainingPrefill() > 0 {
		return
	}
	e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
	e.prefilling--
	if e.produceToken(s, now) || e.keepExport(s, now) {
		return
	}
	e.running = append(e.running, s)
}

// produce adds one token to an answer and reports whether the answer is whole.
func (e *Engine) produceToken(s *sequence, now time.Time) bool {
	s.produced++
	if s.complete() {
		e.events = append(e.events, Finished{At: now, Attempt: s.Attempt, Output: s.produced, CachedPrompt: s.cached})
		return true
	}
	if s.produced == 1 || s.produced-s.reported >= e.settings.TokensPerEvent {
		s.reported = s.produced
		e.events = append(e.events, TokensProduced{At: now, Attempt: s.Attempt, Output: s.produced})
	}
	return false
}

// exported keeps the KV cache of a sequence that another engine will continue.
func (e *Engine) keepExport(s *sequence, now time.Time) bool {
	if !s.Export {
		return false
	}
	maps.DeleteFunc(e.exports, func(_ identifier.AttemptID, x export) bool { return now.After(x.until) })
	e.exports[s.Attempt] = export{tokens: s.contextTokens(), until: now.Add(e.settings.ExportKept)}
	e.events = append(e.events, PrefillExported{At: now, Attempt: s.Attempt, Output: s.produced, CachedPrompt: s.cached})
	return true
}
