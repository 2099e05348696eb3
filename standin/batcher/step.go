package batcher

import (
	"maps"
	"time"

	"rosemaryspool.example/core/identifier"
)

// step is one pass of the engine over its batch and one chunk of prefill.
type step struct {
	end     time.Time
	length  time.Duration
	decode  []*sequence
	chunk   []part
	prefill time.Duration
}

// part is one sequence's share of a chunk.
type part struct {
	sequence *sequence
	tokens   identifier.Tokens
}

// run carries the engine's steps and role change on to a time.
func (e *Engine) run(now time.Time) {
	for {
		next, ok := e.nextInternal()
		if !ok || next.After(now) {
			return
		}
		if e.step != nil && !e.step.end.After(next) {
			e.finish()
		}
		e.settle(next)
	}
}

// nextInternal returns the time of the next step end, role change or KV import.
func (e *Engine) nextInternal() (time.Time, bool) {
	if e.down {
		return time.Time{}, false
	}
	if e.step != nil {
		return e.step.end, true
	}
	next, ok := time.Time{}, false
	if e.change != nil {
		next, ok = e.change.next(), true
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
func (e *Engine) settle(now time.Time) {
	e.moveChange(now)
	e.start(now)
}

// start begins a step when none runs and there is work.
func (e *Engine) start(now time.Time) {
	if e.step != nil || e.down || e.absent() {
		return
	}
	e.admitImports(now)
	next := &step{decode: append([]*sequence(nil), e.running...)}
	e.fillChunk(next)
	if len(next.decode) == 0 && len(next.chunk) == 0 {
		return
	}
	if len(next.decode) > 0 {
		next.length = e.settings.step(len(next.decode))
	}
	next.length += next.prefill
	next.length = time.Duration(float64(next.length) * e.slowness)
	next.end = now.Add(next.length)
	e.step = next
}

// admitImports lets arrived KV caches into the batch while it has room.
func (e *Engine) admitImports(now time.Time) {
	kept := e.imports[:0]
	for _, s := range e.imports {
		if s.ready.After(now) || len(e.running)+e.started >= e.settings.MaxBatch {
			kept = append(kept, s)
			continue
		}
		s.filled = s.context()
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
		if !s.started && !e.begin(s) {
			continue
		}
		tokens := min(budget, s.unfilled())
		next.chunk = append(next.chunk, part{s, tokens})
		budget -= tokens
	}
	next.prefill = e.settings.prefill(e.settings.ChunkTokens - budget)
}

// begin reserves a place in the batch and takes the cached prefix; false means that the batch is full.
func (e *Engine) begin(s *sequence) bool {
	if len(e.running)+e.started >= e.settings.MaxBatch {
		return false
	}
	s.started = true
	e.started++
	pieces := e.cache.lookup(s.Prefix)
	e.cache.touch(s.Prefix[:pieces])
	s.cached = min(identifier.Tokens(pieces)*e.settings.PieceTokens, s.context()-1)
	s.filled = s.cached
	return true
}

// finish ends the running step: sequences of the batch get a token, chunks are stored.
func (e *Engine) finish() {
	ended := e.step
	e.step = nil
	e.measured.observe(ended, e.slowness)
	alive := e.running[:0]
	for _, s := range e.running {
		if !e.decodes(ended, s) || !e.produce(s, ended.end) {
			alive = append(alive, s)
		}
	}
	clear(e.running[len(alive):])
	e.running = alive
	for _, p := range ended.chunk {
		e.fill(p, ended.end)
	}
	e.cache.flush()
}

// decodes reports whether a running sequence was part of the step; the batch keeps its order, new ones come last.
func (e *Engine) decodes(ended *step, s *sequence) bool {
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
func (e *Engine) fill(p part, now time.Time) {
	s := p.sequence
	i := find(e.waiting, s.Attempt)
	if i < 0 || e.waiting[i] != s {
		return
	}
	before := int(s.filled / e.settings.PieceTokens)
	s.filled += p.tokens
	for n := before; n < int(s.filled/e.settings.PieceTokens) && n < len(s.Prefix); n++ {
		e.cache.store(s.Prefix[n])
	}
	if s.unfilled() > 0 {
		return
	}
	e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
	e.started--
	if e.produce(s, now) || e.exported(s, now) {
		return
	}
	e.running = append(e.running, s)
}

// produce adds one token to an answer and reports whether the answer is whole.
func (e *Engine) produce(s *sequence, now time.Time) bool {
	s.produced++
	if s.done() {
		e.events = append(e.events, Finished{At: now, Attempt: s.Attempt, Output: s.produced, CachedPrompt: s.cached})
		return true
	}
	if s.produced == 1 || s.produced-s.told >= e.settings.TokensPerEvent {
		s.told = s.produced
		e.events = append(e.events, TokensProduced{At: now, Attempt: s.Attempt, Output: s.produced})
	}
	return false
}

// exported keeps the KV cache of a sequence that another engine will continue.
func (e *Engine) exported(s *sequence, now time.Time) bool {
	if !s.Export {
		return false
	}
	maps.DeleteFunc(e.exports, func(_ identifier.AttemptID, x export) bool { return now.After(x.until) })
	e.exports[s.Attempt] = export{tokens: s.context(), until: now.Add(e.settings.ExportKept)}
	e.events = append(e.events, PrefillExported{At: now, Attempt: s.Attempt, Output: s.produced, CachedPrompt: s.cached})
	return true
}
