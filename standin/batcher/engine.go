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
	waiting  []*sequence
	imports  []*sequence
	running  []*sequence
	started  int
	exports  map[identifier.AttemptID]export
	step     *step
	events   []Event
	arrivals uint64
	measured measurement
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
	e.measured = newMeasurement(settings)
	return e
}

// Submit adds a sequence; an error means that the engine does not run it.
func (e *Engine) Submit(now time.Time, wanted Sequence) error {
	e.run(now)
	if err := e.refuse(wanted); err != nil {
		return err
	}
	e.arrivals++
	s := &sequence{Sequence: wanted, arrival: e.arrivals}
	if wanted.Import {
		s.ready = now.Add(e.settings.handover(s.context()))
		e.imports = insert(e.imports, s)
	} else {
		e.waiting = insert(e.waiting, s)
	}
	e.start(now)
	return nil
}

// refuse returns the reason to take no such sequence, or nil.
func (e *Engine) refuse(wanted Sequence) error {
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
	e.run(now)
	delete(e.exports, attempt)
	if i := find(e.waiting, attempt); i >= 0 {
		if e.waiting[i].started {
			e.started--
		}
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := find(e.imports, attempt); i >= 0 {
		e.imports = slices.Delete(e.imports, i, i+1)
	}
	if i := find(e.running, attempt); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	e.settle(now)
}

// TakeExport hands the exported cache of an attempt to an importing engine and forgets it.
func (e *Engine) TakeExport(now time.Time, attempt identifier.AttemptID) error {
	e.run(now)
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
	return e.nextInternal()
}

// Advance runs the engine up to a time and returns what happened, in order of time.
func (e *Engine) Advance(now time.Time) []Event {
	e.run(now)
	events := e.events
	e.events = nil
	return events
}

// TakeCacheEvents returns the cache events since the last call.
func (e *Engine) TakeCacheEvents() []CacheEvent { return e.cache.take() }

// Idle reports whether the engine holds no sequence.
func (e *Engine) Idle() bool { return len(e.waiting)+len(e.imports)+len(e.running) == 0 }

// Down reports whether the engine's process does not run.
func (e *Engine) Down() bool { return e.down }

// Role returns the engine's role; during a role change it is the old one.
func (e *Engine) Role() identifier.Role { return e.role }

// Load returns the engine's own account of its work.
func (e *Engine) Load(now time.Time) scheduler.Load {
	e.run(now)
	e.measured.sequence++
	load := scheduler.Load{
		Sequence:            e.measured.sequence,
		Role:                e.role,
		Model:               e.settings.Model,
		Changing:            e.change != nil || e.draining,
		Leaving:             e.leaving,
		Running:             len(e.running) + e.started,
		Waiting:             len(e.waiting) - e.started + len(e.imports),
		MaxBatch:            e.settings.MaxBatch,
		PrefillPerSecond:    e.measured.prefillPerSecond,
		DecodeStep:          e.measured.decodeStep,
		CacheCapacityTokens: e.settings.CacheTokens,
	}
	for _, s := range e.waiting {
		load.QueuedPrefill += e.uncached(s)
	}
	for _, queue := range [][]*sequence{e.waiting, e.imports, e.running} {
		for _, s := range queue {
			load.PendingOutput += s.pending()
		}
	}
	return load
}

// uncached returns the prefill work that a waiting sequence still brings.
func (e *Engine) uncached(s *sequence) identifier.Tokens {
	if s.started {
		return s.unfilled()
	}
	return max(s.context()-identifier.Tokens(e.cache.lookup(s.Prefix))*e.settings.PieceTokens, 1)
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
	first := imports[0].ready
	for _, s := range imports[1:] {
		if s.ready.Before(first) {
			first = s.ready
		}
	}
	return first
}
