// Package generator is a stand-in for a model engine, in memory and over HTTP. It drives the deterministic engine
// simulation of package batcher in real time or faster.
package generator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/adaptor/director"
	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/batcher"
	"rosemaryspool.example/standin/switcher"
	"rosemaryspool.example/wire/messenger"
)

// Engine is a stand-in for one model engine. It is safe for concurrent use.
type Engine struct {
	Switches      *switcher.Switches[Faults]
	settings      Settings
	started       time.Time
	wakeup        chan struct{}
	done          chan struct{}
	group         conc.WaitGroup
	exportClients exportClients

	mutex     sync.Mutex
	simulator *batcher.Engine
	attempts  map[identifier.AttemptID]*attempt
	loaded    loadedModel
	orders    orders
	events    cacheEvents
	reported  *messenger.EngineReport
	// reportedAt is the simulated time of reported.
	reportedAt time.Time
}

// loadedModel is the model version with its adapters that the engine has loaded.
type loadedModel struct {
	model    identifier.ModelName
	version  identifier.ModelVersion
	adapters []string
}

var (
	_ completer.Engine = (*Engine)(nil)
	_ director.Engine  = (*Engine)(nil)
)

// NewEngine starts an engine; Close stops it.
func NewEngine(settings Settings) *Engine {
	settings = settings.withDefaults()
	e := &Engine{
		settings:  settings,
		started:   time.Now(),
		wakeup:    make(chan struct{}, 1),
		done:      make(chan struct{}),
		simulator: batcher.NewEngine(settings.Simulation),
		attempts:  map[identifier.AttemptID]*attempt{},
		loaded:    loadedModel{model: settings.Simulation.Model, version: settings.Version, adapters: settings.Adapters},
	}
	e.Switches = switcher.NewSwitches(settings.Faults, e.applyFaults)
	e.applyFaults(settings.Faults)
	e.group.Go(e.drive)
	return e
}

// Close stops the engine; running attempts fail as in a crash.
func (e *Engine) Close() {
	close(e.done)
	e.group.Wait()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for id, a := range e.attempts {
		a.fail(errCrashed)
		delete(e.attempts, id)
	}
}

// now returns the simulated time.
func (e *Engine) now() time.Time {
	elapsed := time.Since(e.started)
	return e.started.Add(time.Duration(float64(elapsed) * e.settings.Speed))
}

// drive runs the simulation in step with the clock until Close.
func (e *Engine) drive() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-timer.C:
		case <-e.wakeup:
		}
		if next, ok := e.advance(); ok {
			wait := float64(next.Sub(e.now())) / e.settings.Speed
			timer.Reset(max(time.Duration(wait), 0))
		}
	}
}

// advance runs the simulation up to now, dispatches its events and returns the time of the next one.
func (e *Engine) advance() (time.Time, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.now()
	for _, event := range e.simulator.Advance(now) {
		e.dispatch(event)
	}
	e.collectCacheEvents(now)
	return e.simulator.NextEvent()
}

// dispatch handles one event of the simulation; the caller holds the mutex.
func (e *Engine) dispatch(event batcher.Event) {
	switch v := event.(type) {
	case batcher.TokensProduced:
		e.updateAttempt(v.Attempt, progress{output: v.Output})
	case batcher.PrefillExported:
		e.updateAttempt(v.Attempt, progress{output: v.Output, cached: v.CachedPrompt, reason: completer.FinishExported})
	case batcher.Finished:
		e.updateAttempt(v.Attempt, progress{output: v.Output, cached: v.CachedPrompt, reason: completer.FinishStop})
	case batcher.Dropped:
		e.failDropped(v)
	case batcher.RoleChanged:
		e.finishOrder()
	}
}

// updateAttempt passes progress to a running attempt and removes it when it has finished; the caller holds the mutex.
func (e *Engine) updateAttempt(id identifier.AttemptID, latest progress) {
	a, ok := e.attempts[id]
	if !ok {
		return
	}
	a.update(latest)
	if latest.reason != "" {
		delete(e.attempts, id)
	}
}

// failDropped fails an attempt that the simulation dropped; the caller holds the mutex.
func (e *Engine) failDropped(dropped batcher.Dropped) {
	a, ok := e.attempts[dropped.Attempt]
	if !ok {
		return
	}
	delete(e.attempts, dropped.Attempt)
	if dropped.Cause == batcher.CauseCrash {
		a.fail(errCrashed)
		return
	}
	a.fail(errDropped)
}

// applyFaults passes the faults that affect the simulation on to it: slowness, draining, leaving and crashes.
func (e *Engine) applyFaults(faults Faults) {
	e.mutex.Lock()
	now := e.now()
	slowness := faults.Slowness
	if slowness <= 0 {
		slowness = 1
	}
	e.simulator.SetSlowness(now, slowness)
	e.simulator.Drain(now, faults.Draining)
	if faults.Leaving {
		e.simulator.Leave(now)
	}
	if faults.Crashed && !e.simulator.Down() {
		e.simulator.Crash(now)
		e.orders.abortCurrent()
	}
	if !faults.Crashed {
		e.simulator.Restart(now)
	}
	e.mutex.Unlock()
	e.wakeDriver()
}

// wakeDriver makes the driver recompute the time of the next event.
func (e *Engine) wakeDriver() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

var (
	errCrashed         = eris.New("generator: engine crashed")
	errDropped         = eris.New("generator: dropped by an order")
	errRejected        = eris.New("generator: work refused")
	errAlreadyRunning  = eris.New("generator: attempt already runs")
	errOtherModel      = eris.New("generator: another model is loaded")
	errResumeMismatch  = eris.New("generator: resume text is not this answer's beginning")
	errNoOutputAllowed = eris.New("generator: max_tokens below 1")
)

// startAttempt validates a request, imports its KV cache if it has one and submits it to the simulation.
func (e *Engine) startAttempt(ctx context.Context, request completer.Request) (*attempt, error) {
	if request.MaxOutput < 1 {
		return nil, errNoOutputAllowed
	}
	a := newAttempt(request, e.takeStreamFaults())
	if request.Resume != a.completion.text(0, request.ResumeTokens) {
		return nil, errResumeMismatch
	}
	if err := e.admit(request); err != nil {
		return nil, err
	}
	if request.ImportFrom != nil {
		if err := e.importKV(ctx, *request.ImportFrom); err != nil {
			return nil, err
		}
	}
	return a, e.submit(a)
}

// admit returns the reason to refuse a request before it reaches the simulation, or nil.
func (e *Engine) admit(request completer.Request) error {
	faults := e.Switches.Get()
	if faults.Crashed {
		return errCrashed
	}
	if faults.RejectWork {
		return errRejected
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if request.Model != e.loaded.model {
		return errOtherModel
	}
	return nil
}

// submit adds an attempt to the simulation. A resumed response that already has all its tokens finishes at once.
func (e *Engine) submit(a *attempt) error {
	if a.request.ResumeTokens >= a.completion.length {
		a.update(progress{reason: completer.FinishStop})
		return nil
	}
	sequence := a.sequence(hasher.HashPrefixes(a.request.Model, a.request.Prompt))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, running := e.attempts[a.request.Attempt]; running {
		return errAlreadyRunning
	}
	err := e.simulator.Submit(e.now(), sequence)
	if errors.Is(err, batcher.ErrDown) {
		return errCrashed
	}
	if err != nil {
		return eris.Wrap(err, "generator: submit")
	}
	e.attempts[a.request.Attempt] = a
	e.wakeDriver()
	return nil
}

// Cancel stops an attempt, removes its exported KV cache and reports whether the attempt was running.
func (e *Engine) Cancel(id identifier.AttemptID) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a, running := e.attempts[id]
	delete(e.attempts, id)
	e.simulator.Cancel(e.now(), id)
	if running {
		a.fail(errCancelled)
	}
	e.wakeDriver()
	return running
}
