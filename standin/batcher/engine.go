package batcher

import (
	"errors"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// Errors of a submitted sequence; the engine has kept nothing of it.
var (
	// ErrDown means that the engine's process does not run.
	ErrDown = errors.New("batcher: engine down")
	// ErrChanging means that the engine changes its role, drains or leaves.
	ErrChanging = errors.New("batcher: engine changing or leaving")
	// ErrRole means that the engine's role does not run this kind of sequence.
	ErrRole = errors.New("batcher: not in this role")
	// ErrFull means that the waiting queue is full.
	ErrFull = errors.New("batcher: waiting queue full")
	// ErrNoExport means that the KV cache to import is not kept.
	ErrNoExport = errors.New("batcher: no exported cache")
)

// Engine is one model engine.
//
// A mixed engine takes every sequence. A prefill engine produces the first token with the prefill and decodes nothing
// after it: it takes sequences with Export set, and others only when their limit is one token; an answer of one token
// finishes there, and every longer answer, also one of two or three tokens, must be handed to a decode or mixed engine.
// A decode engine takes only sequences with Import set. Any engine may export, and mixed and decode engines may import.
//
// In one step each sequence of the batch yields a token, and up to ChunkTokens of prefill run beside it in order of
// priority; the step lasts as long as the decode step and the chunk together.
type Engine struct {
	settings Settings
	role     identifier.Role
	slowness float64
	down     bool
	leaving  bool
	draining bool
	change   *roleChange
	cache    *cache
	// waiting holds sequences with prefill to do, imports those whose KV cache is on its way, running the batch.
	waiting    []*sequence
	imports    []*sequence
	running    []*sequence
	prefilling int
	exports    map[identifier.AttemptID]export
	step       *step
	events     []Event
	arrivals   uint64
	rates      rateEstimate
}

// export is a KV cache that waits for its import.
type export struct {
	tokens identifier.Tokens
	until  time.Time
}

// NewEngine returns an idle engine with an empty cache.
func NewEngine(settings Settings) *Engine {
	e := &Engine{
		settings: settings,
		role:     settings.Role,
		slowness: 1,
		cache:    newCache(int(settings.CacheTokens / max(settings.PieceTokens, 1))),
		exports:  map[identifier.AttemptID]export{},
	}
	e.rates = newRateEstimate(settings)
	return e
}

// Submit adds a sequence; an error means that the engine does not run it.
func (e *Engine) Submit(now time.Time, wanted Sequence) error {
	e.runUntil(now)
	if err := e.checkAdmission(wanted); err != nil {
		return err
	}
	e.arrivals++
	s := &sequence{Sequence: wanted, arrival: e.arrivals}
	if wanted.Import {
		s.readyAt = now.Add(e.settings.importTime(s.contextTokens()))
		e.imports = insert(e.imports, s)
	} else {
		e.waiting = insert(e.waiting, s)
	}
	e.startStep(now)
	return nil
}

// refuse returns the reason to take no such sequence, or nil.
func (e *Engine) checkAdmission(wanted Sequence) error {
	if e.down {
		return ErrDown
	}
	if e.change != nil || e.leaving || e.draining {
		return ErrChanging
	}
	if e.role == identifier.RoleDecode && !wanted.Import {
		return ErrRole
	}
	if e.role == identifier.RolePrefill && (wanted.Import || !wanted.Export && wanted.MaxOutput-wanted.SkipOutput > 1) {
		return ErrRole
	}
	if e.settings.MaxWaiting > 0 && len(e.waiting) >= e.settings.MaxWaiting {
		return ErrFull
	}
	return nil
}

// Cancel drops an attempt and its exported cache without an event.
func (e *Engine) Cancel(now time.Time, attempt identifier.AttemptID) {
	e.runUntil(now)
	delete(e.exports, attempt)
	if i := find(e.waiting, attempt); i >= 0 {
		if e.waiting[i].started {
			e.prefilling--
		}
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := find(e.imports, attempt); i >= 0 {
		e.imports = slices.Delete(e.imports, i, i+1)
	}
	if i := find(e.running, attempt); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	e.proceed(now)
}

// TakeExport hands the exported cache of an attempt to an importing engine and forgets it.
func (e *Engine) TakeExport(now time.Time, attempt identifier.AttemptID) error {
	e.runUntil(now)
	x, ok := e.exports[attempt]
	delete(e.exports, attempt)
	if e.down {
		return ErrDown
	}
	if !ok || now.After(x.until) {
		return ErrNoExport
	}
	return nil
}

// NextEvent returns when the engine next has something to do, and false when it waits for its driver.
func (e *Engine) NextEvent() (time.Time, bool) {
	if len(e.events) > 0 {
		return e.events[0].When(), true
	}
	return e.nextTransition()
}

// Advance runs the engine up to a time and returns what happened, in order of time.
func (e *Engine) Advance(now time.Time) []Event {
	e.runUntil(now)
	events := e.events
	e.events = nil
	return events
}

// TakeCacheEvents returns the cache events since the last call.
func (e *Engine) TakeCacheEvents() []CacheEvent { return e.cache.takeEvents() }

// Idle reports whether the engine holds no sequence.
func (e *Engine) Idle() bool { return len(e.waiting)+len(e.imports)+len(e.running) == 0 }

// Down reports whether the engine's process does not run.
func (e *Engine) Down() bool { return e.down }

// Role returns the engine's role; during a role change it is the old one.
func (e *Engine) Role() identifier.Role { return e.role }

// Load returns the engine's own account of its work.
func (e *Engine) Load(now time.Time) scheduler.Load {
	e.runUntil(now)
	e.rates.sequence++
	load := scheduler.Load{
		Sequence:            e.rates.sequence,
		Role:                e.role,
		Model:               e.settings.Model,
		Changing:            e.change != nil || e.draining,
		Leaving:             e.leaving,
		Running:             len(e.running) + e.prefilling,
		Waiting:             len(e.waiting) - e.prefilling + len(e.imports),
		MaxBatch:            e.settings.MaxBatch,
		PrefillPerSecond:    e.rates.prefillPerSecond,
		DecodeStep:          e.rates.decodeStep,
		CacheCapacityTokens: e.settings.CacheTokens,
	}
	for _, s := range e.waiting {
		load.QueuedPrefill += e.remainingPrefill(s)
	}
	for _, queue := range [][]*sequence{e.waiting, e.imports, e.running} {
		for _, s := range queue {
			load.PendingOutput += s.expectedOutput()
		}
	}
	return load
}

// uncached returns the prefill work that a waiting sequence still brings.
func (e *Engine) remainingPrefill(s *sequence) identifier.Tokens {
	if s.started {
		return s.remainingPrefill()
	}
	return max(s.contextTokens()-identifier.Tokens(e.cache.lookup(s.Prefix))*e.settings.PieceTokens, 1)
}

// insert adds a sequence in the order of service.
func insert(queue []*sequence, s *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(queue, s, func(a, b *sequence) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return slices.Insert(queue, i, s)
}

// find returns the index of an attempt, or -1.
func find(queue []*sequence, attempt identifier.AttemptID) int {
	return slices.IndexFunc(queue, func(s *sequence) bool { return s.Attempt == attempt })
}

// earliestReady returns when the first KV import ends.
func earliestReady(imports []*sequence) time.Time {
	first := imports[0].readyAt
	for _, s := range imports[1:] {
		if s.readyAt.Before(first) {
			first = s.readyAt
		}
	}
	return first
}
