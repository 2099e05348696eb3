// Package follower runs the controller: it reads the control stream, appends records and sends orders to engines.
package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/rosemaryspool/committer"
	"rosemaryspool.example/rosemaryspool/reader"
	"rosemaryspool.example/rosemaryspool/resolver"
	"rosemaryspool.example/rosemaryspool/waiter"
	"rosemaryspool.example/wire/messenger"
)

const (
	// eventQueueCapacity bounds the queued events; Notify blocks beyond it.
	eventQueueCapacity = 256
	// tickInterval is the interval between ticks; it is short compared with lease durations of seconds.
	tickInterval = 250 * time.Millisecond
	// reportTimeout bounds one request for an engine's report.
	reportTimeout = 2 * time.Second
)

// Listeners are callbacks for the controller's decisions. They run in the follower's goroutine and must not block for
// long.
type Listeners struct {
	// ConfigInForce is called when a configuration takes effect.
	ConfigInForce func(controller.ConfigInForce)
	// PlansUpdated is called with the latest planned change of every upstream.
	PlansUpdated func([]*messenger.PlannedChange)
	// LeaseChanged is called when this process gains or loses a scope's lease; unfinished lists the engines with an open
	// order.
	LeaseChanged func(scope identifier.Scope, held bool, unfinished []identifier.UpstreamID)
	// OrderClosed is called with the outcome of an order; unfinished lists the engines with an open order.
	OrderCompleted func(closed controller.OrderClosed, unfinished []identifier.UpstreamID)
	// SnapshotNeeded is called after each read while a peer's state is needed: records were trimmed before they were
	// read, or the log cannot be read and no configuration is known.
	SnapshotNeeded func()
}

// Follower owns the controller, whose state is used only by the goroutine of Run.
type Coordinator struct {
	controller *controller.Controller
	stream     appender.Stream
	reader     *reader.Reader
	committer  *committer.Committer
	resolver   *resolver.Resolver
	listeners  Listeners
	log        zerolog.Logger

	events       chan controller.Event
	inspections  chan func()
	done         chan struct{}
	tasks        conc.WaitGroup
	logReachable atomic.Bool
}

// NewFollower returns a follower; it starts no goroutine before Run.
func NewCoordinator(
	settings controller.Settings, log appender.Log, appends *committer.Committer, targets *resolver.Resolver,
	listeners Listeners, logger zerolog.Logger,
) *Coordinator {
	stream := appender.ControlStream(settings.Environment)
	return &Coordinator{
		controller:  controller.NewController(settings),
		stream:      stream,
		reader:      reader.NewReader(log, stream, logger),
		committer:   appends,
		resolver:    targets,
		listeners:   listeners,
		log:         logger,
		events:      make(chan controller.Event, eventQueueCapacity),
		inspections: make(chan func()),
		done:        make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (f *Coordinator) Done() <-chan struct{} { return f.done }

// LogReachable reports whether the last read of the log succeeded.
func (f *Coordinator) LogReachable() bool { return f.logReachable.Load() }

// Notify queues an event and blocks while the queue is full. After Run has returned the event is discarded.
func (f *Coordinator) Notify(event controller.Event) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

// Inspect runs a function in the follower's goroutine, where it may read the controller's state. It reports false
// without a run when the follower has stopped or ctx ends first.
func (f *Coordinator) Inspect(ctx context.Context, inspect func(*controller.Controller)) bool {
	finished := make(chan struct{})
	call := func() {
		inspect(f.controller)
		close(finished)
	}
	select {
	case f.inspections <- call:
	case <-f.done:
		return false
	case <-ctx.Done():
		return false
	}
	<-finished
	return true
}

// Shutdown releases all leases once their orders are closed, and returns when that is done or ctx ends.
func (f *Coordinator) Shutdown(ctx context.Context) {
	f.Notify(controller.ShutdownStarted{Now: time.Now()})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		idle := false
		if !f.Inspect(ctx, func(c *controller.Controller) { idle = c.Idle(time.Now()) }) || idle {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Run handles records, events and ticks until stop is closed.
func (f *Coordinator) Run(stop <-chan struct{}) {
	defer close(f.done)
	ctx, cancel := context.WithCancel(context.Background())
	f.tasks.Go(func() { f.reader.Run(ctx) })
	f.reader.ReadFrom(f.controller.NextOffset())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			cancel()
			f.waitForTasks()
			return
		case result := <-f.reader.Results():
			f.handleRead(ctx, result)
			f.reader.ReadFrom(f.controller.NextOffset())
		case event := <-f.events:
			f.handleEvent(ctx, event)
		case call := <-f.inspections:
			call()
		case now := <-ticker.C:
			f.handleEvent(ctx, controller.Ticked{Now: now})
		}
	}
}

// waitForTasks drains the queues until every task has ended, so that no task blocks on a full queue.
func (f *Coordinator) waitForTasks() {
	finished := waiter.Finished(&f.tasks)
	for {
		select {
		case <-f.events:
		case <-f.reader.Results():
		case <-finished:
			return
		}
	}
}

// handleRead passes the result of a read to the controller; the reader has logged a failed one.
func (f *Coordinator) handleRead(ctx context.Context, result reader.Result) {
	f.logReachable.Store(result.Err == nil)
	defer f.requestSnapshot(result.Err)
	switch {
	case result.Err != nil:
	case result.FirstAvailable > 0:
		f.handleEvent(ctx, controller.LogTrimmed{Now: result.Now, First: result.FirstAvailable})
	default:
		f.handleEvent(ctx, controller.RecordsRead{Now: result.Now, Entries: result.Entries, End: result.End})
	}
}

// requestSnapshot calls SnapshotNeeded while records are missing, or while the log cannot be read and no configuration
// is known yet.
func (f *Coordinator) requestSnapshot(failure error) {
	state := f.controller.State()
	if !state.Complete() || (failure != nil && state.Revision() == 0) {
		f.listeners.SnapshotNeeded()
	}
}

func (f *Coordinator) handleEvent(ctx context.Context, event controller.Event) {
	for _, action := range f.controller.Handle(event) {
		f.apply(ctx, action)
	}
}

func (f *Coordinator) apply(ctx context.Context, action controller.Action) {
	switch a := action.(type) {
	case controller.Append:
		f.append(a)
	case controller.SendOrder:
		f.tasks.Go(func() { f.sendOrder(ctx, a) })
	case controller.ReadEngine:
		f.tasks.Go(func() { f.readReport(ctx, a) })
	default:
		f.notifyListeners(action)
	}
}

// notifyListeners logs a decision and calls its listener.
func (f *Coordinator) notifyListeners(action controller.Action) {
	logAction(f.log, action)
	switch a := action.(type) {
	case controller.ConfigInForce:
		f.listeners.ConfigInForce(a)
	case controller.PlansChanged:
		f.listeners.PlansUpdated(plannedChanges(a.Plans))
	case controller.LeaseGained:
		f.listeners.LeaseChanged(a.Scope, true, f.unfinishedEngines())
	case controller.LeaseLost:
		f.listeners.LeaseChanged(a.Scope, false, nil)
	case controller.OrderClosed:
		f.listeners.OrderCompleted(a, f.unfinishedEngines())
	}
}

// plannedChanges returns the planned changes of replayed plans.
func plannedChanges(plans []replayer.Plan) []*messenger.PlannedChange {
	changes := make([]*messenger.PlannedChange, len(plans))
	for i, p := range plans {
		changes[i] = p.Change
	}
	return changes
}

// unfinishedEngines returns the engines with an open order.
func (f *Coordinator) unfinishedEngines() []identifier.UpstreamID {
	var ids []identifier.UpstreamID
	for _, o := range f.controller.State().Unfinished() {
		ids = append(ids, identifier.UpstreamID(o.Order.GetEngine()))
	}
	return ids
}

func (f *Coordinator) append(a controller.Append) {
	f.committer.Submit(committer.Batch{
		Stream:  f.stream,
		Records: a.Records,
		Urgency: a.Urgency,
		Done: func(first identifier.Offset, err error) {
			go f.Notify(appendResult(a, first, err))
		},
	})
}

// appendResult returns the event for the end of an append. Unless the log was unavailable, a failed append may have
// reached it.
func appendResult(a controller.Append, first identifier.Offset, err error) controller.Event {
	if err == nil {
		return controller.AppendSucceeded{Now: time.Now(), Records: a.IDs, First: first}
	}
	unknown := !errors.Is(err, appender.ErrUnavailable)
	return controller.AppendFailed{Now: time.Now(), Records: a.IDs, Unknown: unknown}
}
