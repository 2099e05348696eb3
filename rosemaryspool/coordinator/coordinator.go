// Package coordinator runs the controller: it reads the control stream, appends records and sends orders to engines.
package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/rosemaryspool/committer"
	"rosemaryspool.example/rosemaryspool/driver"
	"rosemaryspool.example/rosemaryspool/reader"
	"rosemaryspool.example/rosemaryspool/resolver"
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

// Listeners are callbacks for the controller's decisions. They run in the coordinator's goroutine and must not block
// for long.
type Listeners struct {
	// ConfigInForce is called when a configuration takes effect.
	ConfigInForce func(controller.ConfigInForce)
	// PlansUpdated is called with the latest planned change of every upstream.
	PlansUpdated func([]*messenger.PlannedChange)
	// LeaseChanged is called when this process gains or loses a scope's lease; unfinished lists the engines with an open
	// order.
	LeaseChanged func(scope identifier.Scope, held bool, unfinished []identifier.UpstreamID)
	// OrderClosed is called with the outcome of an order; unfinished lists the engines with an open order.
	OrderClosed func(closed controller.OrderClosed, unfinished []identifier.UpstreamID)
	// SnapshotNeeded is called after each read while a peer's state is needed: records were trimmed before they were
	// read, or the log cannot be read and there is no configuration yet.
	SnapshotNeeded func()
}

// Coordinator owns the controller, whose state is used only by the goroutine of Run.
type Coordinator struct {
	controller *controller.Controller
	driver     *driver.Driver[controller.Event]
	stream     appender.Stream
	committer  *committer.Committer
	resolver   *resolver.Resolver
	listeners  Listeners
	log        zerolog.Logger

	logReachable atomic.Bool
}

// NewCoordinator returns a coordinator; it starts no goroutine before Run.
func NewCoordinator(
	settings controller.Settings, log appender.Log, appends *committer.Committer, targets *resolver.Resolver,
	listeners Listeners, logger zerolog.Logger,
) *Coordinator {
	stream := appender.ControlStream(settings.Environment)
	c := &Coordinator{
		controller: controller.NewController(settings),
		stream:     stream,
		committer:  appends,
		resolver:   targets,
		listeners:  listeners,
		log:        logger,
	}
	c.driver = driver.NewDriver[controller.Event](c, tickInterval, eventQueueCapacity)
	c.driver.Follow(c, reader.NewReader(log, stream, logger))
	return c
}

// Done is closed when Run has returned.
func (c *Coordinator) Done() <-chan struct{} { return c.driver.Done() }

// LogReachable reports whether the last read of the log succeeded.
func (c *Coordinator) LogReachable() bool { return c.logReachable.Load() }

// Notify queues an event and blocks while the queue is full. After Run has returned the event is discarded.
func (c *Coordinator) Notify(event controller.Event) { c.driver.Notify(event) }

// Inspect runs a function in the coordinator's goroutine, where it may read the controller's state. It returns false
// without running it if the coordinator has stopped or ctx ends first.
func (c *Coordinator) Inspect(ctx context.Context, inspect func(*controller.Controller)) bool {
	return c.driver.Inspect(ctx, func() { inspect(c.controller) })
}

// Shutdown releases all leases once their orders are closed, and returns when that is done or ctx ends.
func (c *Coordinator) Shutdown(ctx context.Context) {
	c.Notify(controller.ShutdownStarted{Now: time.Now()})
	c.driver.AwaitIdle(ctx, func() bool { return c.controller.Idle(time.Now()) })
}

// Run handles records, events and ticks until stop is closed.
func (c *Coordinator) Run(stop <-chan struct{}) { c.driver.Run(stop) }

// NextOffset implements driver.Follower.
func (c *Coordinator) NextOffset() identifier.Offset { return c.controller.NextOffset() }

// HandleTick implements driver.Machine.
func (c *Coordinator) HandleTick(ctx context.Context, now time.Time) {
	c.HandleEvent(ctx, controller.Ticked{Now: now})
}

// HandleRead implements driver.Follower.
func (c *Coordinator) HandleRead(ctx context.Context, result reader.Result) {
	c.logReachable.Store(result.Err == nil)
	defer c.requestSnapshot(result.Err)
	switch {
	case result.Err != nil:
	case result.FirstAvailable > 0:
		c.HandleEvent(ctx, controller.LogTrimmed{Now: result.Now, First: result.FirstAvailable})
	default:
		c.HandleEvent(ctx, controller.RecordsRead{Now: result.Now, Entries: result.Entries, End: result.End})
	}
}

// requestSnapshot calls SnapshotNeeded while records are missing, or while the log cannot be read and there is no
// configuration yet.
func (c *Coordinator) requestSnapshot(failure error) {
	state := c.controller.State()
	if !state.Complete() || (failure != nil && state.Revision() == 0) {
		c.listeners.SnapshotNeeded()
	}
}

// HandleEvent implements driver.Machine.
func (c *Coordinator) HandleEvent(ctx context.Context, event controller.Event) {
	for _, action := range c.controller.Handle(event) {
		c.apply(ctx, action)
	}
}

func (c *Coordinator) apply(ctx context.Context, action controller.Action) {
	switch a := action.(type) {
	case controller.Append:
		c.append(a)
	case controller.SendOrder:
		c.driver.Go(func() { c.sendOrder(ctx, a) })
	case controller.ReadEngine:
		c.driver.Go(func() { c.readReport(ctx, a) })
	default:
		c.notifyListeners(action)
	}
}

// notifyListeners calls the listener of a decision and logs it afterwards, so that the line tells what is in force.
func (c *Coordinator) notifyListeners(action controller.Action) {
	defer logAction(c.log, action)
	switch a := action.(type) {
	case controller.ConfigInForce:
		c.listeners.ConfigInForce(a)
	case controller.PlansChanged:
		c.listeners.PlansUpdated(plannedChanges(a.Plans))
	case controller.LeaseGained:
		c.listeners.LeaseChanged(a.Scope, true, c.unfinishedEngines())
	case controller.LeaseLost:
		c.listeners.LeaseChanged(a.Scope, false, nil)
	case controller.OrderClosed:
		c.listeners.OrderClosed(a, c.unfinishedEngines())
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
func (c *Coordinator) unfinishedEngines() []identifier.UpstreamID {
	var ids []identifier.UpstreamID
	for _, o := range c.controller.State().Unfinished() {
		ids = append(ids, identifier.UpstreamID(o.Order.GetEngine()))
	}
	return ids
}

func (c *Coordinator) append(a controller.Append) {
	c.committer.Submit(committer.Batch{
		Stream:  c.stream,
		Records: a.Records,
		Urgency: a.Urgency,
		Done: func(first identifier.Offset, err error) {
			go c.Notify(appendResult(a, first, err))
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
