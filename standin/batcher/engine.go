package batcher

import (
	"errors"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// Reasons why the engine refuses a call. A refused sequence leaves no state in the engine.
var (
	// ErrDown means that the engine has crashed.
	ErrDown = errors.New("batcher: engine down")
	// ErrChanging means that the engine is changing its role, draining or leaving.
	ErrChanging = errors.New("batcher: engine changing or leaving")
	// ErrRole means that an engine in this role does not run this kind of sequence.
	ErrRole = errors.New("batcher: not in this role")
	// ErrFull means that the queue of sequences awaiting prefill is full.
	ErrFull = errors.New("batcher: waiting queue full")
	// ErrNoExport means that no KV cache is kept for the attempt: it was never exported, already taken or has expired.
	ErrNoExport = errors.New("batcher: no exported cache")
)

// Engine simulates one model engine. It is not safe for concurrent use.
//
// A mixed engine accepts every sequence. A prefill engine produces the first token with the prefill and decodes no
// further: it accepts sequences with Export set, and others only when their limit is one token. A response of one token
// finishes there; every longer one, even of two or three tokens, has to continue on a decode or mixed engine. A decode
// engine accepts only sequences with Import set. Any engine may export; mixed and decode engines may import.
//
// In one step each sequence of the batch produces a token, and up to ChunkTokens of prefill run in the same step in
// order of priority. The duration of the step is the sum of the decode time and the prefill time of the chunk.
type Engine struct {
	settings Settings
	role     identifier.Role
	slowness float64
	down     bool
	leaving  bool
	draining bool
	change   *roleChange
	cache    *cache
	// waiting holds sequences with prefill to do, imports those whose KV cache is in transfer, running the decode batch.
	// prefilling counts the sequences in waiting whose prefill has started; like running ones, they occupy a batch slot.
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

// export is a KV cache that is kept for import by another engine until it expires.
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
		cache:    newCache(int(settings.CacheTokens / max(settings.BlockTokens, 1))),
		exports:  map[identifier.AttemptID]export{},
	}
	e.rates = newRateEstimate(settings)
	return e
}

// Submit adds a sequence to the queue; an error means that the engine does not run it.
func (e *Engine) Submit(now time.Time, requested Sequence) error {
	e.runUntil(now)
	if err := e.checkAdmission(requested); err != nil {
		return err
	}
	e.arrivals++
	s := &sequence{Sequence: requested, arrival: e.arrivals}
	if requested.Import {
		s.readyAt = now.Add(e.settings.importTime(s.contextTokens()))
		e.imports = insert(e.imports, s)
	} else {
		e.waiting = insert(e.waiting, s)
	}
	e.startStep(now)
	return nil
}

// checkAdmission returns the reason to refuse a sequence, or nil.
func (e *Engine) checkAdmission(requested Sequence) error {
	if e.down {
		return ErrDown
	}
	if e.change != nil || e.leaving || e.draining {
		return ErrChanging
	}
	if e.role == identifier.RoleDecode && !requested.Import {
		return ErrRole
	}
	if e.role == identifier.RolePrefill && (requested.Import ||
		!requested.Export && requested.MaxOutput-requested.SkipOutput > 1) {
		return ErrRole
	}
	if e.settings.MaxWaiting > 0 && len(e.waiting) >= e.settings.MaxWaiting {
		return ErrFull
	}
	return nil
}

// Cancel removes an attempt and its exported KV cache without emitting an event.
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

// TakeExport removes the exported KV cache of an attempt; nil means that it was available to the importing engine.
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

// NextEvent returns when Advance has to be called next, and false when nothing is scheduled.
func (e *Engine) NextEvent() (time.Time, bool) {
	if len(e.events) > 0 {
		return e.events[0].When(), true
	}
	return e.nextTransition()
}

// Advance runs the simulation up to a time and returns the events since the last call, in order of time.
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

// Down reports whether the engine has crashed and was not restarted.
func (e *Engine) Down() bool { return e.down }

// Role returns the engine's current role; during a role change it is the old one.
func (e *Engine) Role() identifier.Role { return e.role }

// Load returns a load report with a new sequence number.
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

// remainingPrefill returns the prefill tokens of a waiting sequence that are neither processed nor in the prefix cache.
func (e *Engine) remainingPrefill(s *sequence) identifier.Tokens {
	if s.started {
		return s.remainingPrefill()
	}
	return max(s.contextTokens()-identifier.Tokens(e.cache.lookup(s.Prefix))*e.settings.BlockTokens, 1)
}

// insert adds a sequence to a queue that is sorted by priority and arrival.
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

// earliestReady returns when the first of the KV imports is complete.
func earliestReady(imports []*sequence) time.Time {
	first := imports[0].readyAt
	for _, s := range imports[1:] {
		if s.readyAt.Before(first) {
			first = s.readyAt
		}
	}
	return first
}
