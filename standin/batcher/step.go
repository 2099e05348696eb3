package batcher

import (
	"maps"
	"time"

	"rosemaryspool.example/core/identifier"
)

// step is one iteration of the engine: a decode pass over the batch and one chunk of prefill.
type step struct {
	end         time.Time
	duration    time.Duration
	decode      []*sequence
	chunk       []prefillShare
	prefillTime time.Duration
}

// prefillShare is one sequence's share of a chunk.
type prefillShare struct {
	sequence *sequence
	tokens   identifier.Tokens
}

// runUntil processes the step ends, KV imports and role change that are due up to a time.
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

// nextTransition returns the time of the next step end, or of the next role change phase or KV import while no step
// runs; false means that nothing is scheduled.
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

// proceed advances a role change and starts the next step.
func (e *Engine) proceed(now time.Time) {
	e.advanceRoleChange(now)
	e.startStep(now)
}

// startStep starts a step unless one is running or there is no work.
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

// admitImports adds sequences with a complete KV import to the batch while it has free slots.
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

// fillChunk assigns the prefill tokens of one step to the waiting sequences, in queue order.
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

// reserveSlot reserves a batch slot and applies the cached prefix to a sequence; false means that the batch is full. At
// least one token is left to prefill, since it produces the first token.
func (e *Engine) reserveSlot(s *sequence) bool {
	if len(e.running)+e.prefilling >= e.settings.MaxBatch {
		return false
	}
	s.started = true
	e.prefilling++
	blocks := e.cache.lookup(s.Prefix)
	e.cache.markUsed(s.Prefix[:blocks])
	s.cached = min(identifier.Tokens(blocks)*e.settings.BlockTokens, s.contextTokens()-1)
	s.prefilled = s.cached
	return true
}

// finishStep ends the running step: it adds a token to each sequence of the batch and applies the chunk.
func (e *Engine) finishStep() {
	finished := e.step
	e.step = nil
	e.rates.observe(finished, e.slowness)
	remaining := e.running[:0]
	for _, s := range e.running {
		if !e.inStep(finished, s) || !e.produceToken(s, finished.end) {
			remaining = append(remaining, s)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	for _, p := range finished.chunk {
		e.applyPrefill(p, finished.end)
	}
	e.cache.flush()
}

// inStep reports whether a running sequence was part of the step. It consumes the step's decode list, which works
// because the batch keeps its order and new sequences are appended.
func (e *Engine) inStep(finished *step, s *sequence) bool {
	for len(finished.decode) > 0 {
		first := finished.decode[0]
		finished.decode = finished.decode[1:]
		if first == s {
			return true
		}
	}
	return false
}

// applyPrefill applies one share of a finished chunk; it does nothing for a sequence that was cancelled meanwhile.
func (e *Engine) applyPrefill(p prefillShare, now time.Time) {
	s := p.sequence
	i := find(e.waiting, s.Attempt)
	if i < 0 || e.waiting[i] != s {
		return
	}
	before := int(s.prefilled / e.settings.BlockTokens)
	s.prefilled += p.tokens
	for n := before; n < int(s.prefilled/e.settings.BlockTokens) && n < len(s.Prefix); n++ {
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

// produceToken adds one token to a response and reports whether the response is complete.
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

// keepExport keeps the KV cache of a sequence with Export set and reports whether it did. Expired exports are removed.
func (e *Engine) keepExport(s *sequence, now time.Time) bool {
	if !s.Export {
		return false
	}
	maps.DeleteFunc(e.exports, func(_ identifier.AttemptID, x export) bool { return now.After(x.until) })
	e.exports[s.Attempt] = export{tokens: s.contextTokens(), until: now.Add(e.settings.ExportRetention)}
	e.events = append(e.events, PrefillExported{At: now, Attempt: s.Attempt, Output: s.produced, CachedPrompt: s.cached})
	return true
}
