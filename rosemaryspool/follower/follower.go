// Package follower is the shell of the controller: it reads the control stream, appends records and sends orders.
package follower

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
	// ringCapacity bounds the events that wait for the controller.
	eventQueueCapacity = 256
	// tickInterval is fine against lease times of seconds.
	tickInterval = 250 * time.Millisecond
	// reportTimeout bounds one read of an engine's report.
	reportTimeout = 2 * time.Second
)

// Listeners are called from the follower's goroutine and must not block for long.
type Listeners struct {
	// InForce tells of a new configuration.
	ConfigInForce func(controller.ConfigInForce)
	// Plans delivers the latest planned change of every upstream.
	PlansUpdated func([]*messenger.PlannedChange)
	// Lease tells that this process gained or lost a scope's lease; unfinished names the engines with an open order.
	LeaseChanged func(scope identifier.Scope, held bool, unfinished []identifier.UpstreamID)
	// Order tells how an order ended.
	OrderClosed func(closed controller.OrderClosed, unfinished []identifier.UpstreamID)
	// Incomplete tells, after each read, that a peer's state is needed: records were trimmed unread or none can be read.
	SnapshotNeeded func()
}

// Follower owns the controller.
type Follower struct {
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

// NewFollower returns a follower; nothing runs before Run.
func NewFollower(
	settings controller.Settings, log appender.Log, appends *committer.Committer, targets *resolver.Resolver,
	listeners Listeners, events zerolog.Logger,
) *Follower {
	stream := appender.ControlStream(settings.Environment)
	return &Follower{
		controller:  controller.NewController(settings),
		stream:      stream,
		reader:      reader.NewReader(log, stream, events),
		committer:   appends,
		resolver:    targets,
		listeners:   listeners,
		log:         events,
		events:      make(chan controller.Event, eventQueueCapacity),
		inspections: make(chan func()),
		done:        make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// LogReachable tells whether the last read of the log succeeded.
func (f *Follower) LogReachable() bool { return f.logReachable.Load() }

// Notify hands an event to the controller.
func (f *Follower) Notify(event controller.Event) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

// Inspect runs a function in the follower's goroutine, where it may read the controller's state. It returns false when
// the follower has stopped or ctx ended first.
func (f *Follower) Inspect(ctx context.Context, look func(*controller.Controller)) bool {
	finished := make(chan struct{})
	call := func() {
		look(f.controller)
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

// Shutdown gives up all leases once their orders are closed, and returns when that is done or ctx ends.
func (f *Follower) Shutdown(ctx context.Context) {
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

// Run follows the log until stop is closed.
func (f *Follower) Run(stop <-chan struct{}) {
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

// waitForTasks discards events until no task can send any more.
func (f *Follower) waitForTasks() {
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

func (f *Follower) handleRead(ctx context.Context, result reader.Result) {
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

// askPeers asks for a peer's state while records are missing, or while a started process cannot read its first one.
func (f *Follower) requestSnapshot(failure error) {
	state := f.controller.State()
	if !state.Complete() || (failure != nil && state.Revision() == 0) {
		f.listeners.SnapshotNeeded()
	}
}

func (f *Follower) handleEvent(ctx context.Context, event controller.Event) {
	for _, action := range f.controller.Handle(event) {
		f.apply(ctx, action)
	}
}

func (f *Follower) apply(ctx context.Context, action controller.Action) {
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

// tell passes a decision on to the listeners.
func (f *Follower) notifyListeners(action controller.Action) {
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
		f.listeners.OrderClosed(a, f.unfinishedEngines())
	}
}

func plannedChanges(plans []replayer.Plan) []*messenger.PlannedChange {
	changes := make([]*messenger.PlannedChange, len(plans))
	for i, p := range plans {
		changes[i] = p.Change
	}
	return changes
}

// unfinished names the engines with an open order.
func (f *Follower) unfinishedEngines() []identifier.UpstreamID {
	var ids []identifier.UpstreamID
	for _, o := range f.controller.State().Unfinished() {
		ids = append(ids, identifier.UpstreamID(o.Order.GetEngine()))
	}
	return ids
}

func (f *Follower) append(a controller.Append) {
	f.committer.Submit(committer.Batch{
		Stream:  f.stream,
		Records: a.Records,
		Urgency: a.Urgency,
		Done: func(first identifier.Offset, err error) {
			go f.Notify(appendResult(a, first, err))
		},
	})
}

func appendResult(a controller.Append, first identifier.Offset, err error) controller.Event {
	if err == nil {
		return controller.AppendSucceeded{Now: time.Now(), Records: a.IDs, First: first}
	}
	unknown := !errors.Is(err, appender.ErrUnavailable)
	return controller.AppendFailed{Now: time.Now(), Records: a.IDs, Unknown: unknown}
}
