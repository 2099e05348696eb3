// Package conductor runs the placer and the drainer: it feeds them engine reports, leases and planned changes, and
// executes their decisions as planned changes, orders to engines and upstreams taken out of service.
package conductor

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/adaptor/permitter"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/drainer"
	"rosemaryspool.example/core/gauger"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/placer"
	"rosemaryspool.example/rosemaryspool/driver"
)

const (
	// eventQueueCapacity bounds the queued events; Notify blocks beyond it.
	eventQueueCapacity = 4096
	// outputQueueCapacity bounds the decisions that are queued for execution.
	outputQueueCapacity = 1024
	// tickInterval is how often the placers and the drainer are ticked.
	tickInterval = time.Second
)

// Outputs executes decisions. Its functions may block. All but ProbeEngine are called in order from one goroutine;
// every probe runs in a goroutine of its own.
type Outputs struct {
	// SetUpstreamClosed takes an upstream out of service for new work, or returns it to service.
	SetUpstreamClosed func(id identifier.UpstreamID, closed bool)
	// MoveAttempt moves an attempt to another upstream.
	MoveAttempt func(attempt identifier.AttemptID)
	// NotifyController queues an event for the controller.
	NotifyController func(event controller.Event)
	// ProbeEngine reports whether an engine can take work again.
	ProbeEngine func(ctx context.Context, id identifier.UpstreamID) bool
}

// Conductor owns the drainer and one placer for each model. Their state is used only by the goroutine of Run.
type Conductor struct {
	name    string
	store   permitter.Store
	outputs Outputs
	log     zerolog.Logger

	drainer  *drainer.Drainer
	gauger   *gauger.Gauger
	pools    map[identifier.ModelName]*pool
	document *configurer.Document
	// changes are the placement changes in progress that this process started.
	changes      map[identifier.UpstreamID]change
	orderCounter uint64

	driver      *driver.Driver[Event]
	outputQueue chan func(context.Context)
}

// pool is the engines of one model with the state of the lease that covers them.
type pool struct {
	scope     identifier.Scope
	placer    *placer.Placer
	leaseHeld bool
}

// change is one placement change of an engine: the ids of its order and of its planned change.
type change struct {
	orderID  identifier.OrderID
	changeID string
}

// ScopeOf returns the scope of the lease that covers all engines of a model.
func ScopeOf(model identifier.ModelName) identifier.Scope {
	return identifier.Scope("engines/" + string(model))
}

// NewConductor returns a conductor. The name prefixes order ids and must be unique to this start of the process.
func NewConductor(name string, store permitter.Store, outputs Outputs, log zerolog.Logger) *Conductor {
	c := &Conductor{
		name:        name,
		store:       store,
		outputs:     outputs,
		log:         log,
		drainer:     drainer.NewDrainer(drainer.NewSettings()),
		gauger:      gauger.NewGauger(time.Now()),
		pools:       make(map[identifier.ModelName]*pool),
		changes:     make(map[identifier.UpstreamID]change),
		outputQueue: make(chan func(context.Context), outputQueueCapacity),
	}
	c.driver = driver.NewDriver[Event](c, tickInterval, eventQueueCapacity)
	c.driver.Background(c.runOutputs)
	return c
}

// Done is closed when Run has returned.
func (c *Conductor) Done() <-chan struct{} { return c.driver.Done() }

// Notify queues an event and blocks while the queue is full. After Run has returned the event is discarded.
func (c *Conductor) Notify(event Event) { c.driver.Notify(event) }

// Run handles events and ticks until stop is closed.
func (c *Conductor) Run(stop <-chan struct{}) { c.driver.Run(stop) }

// runOutputs executes queued decisions one at a time until ctx ends.
func (c *Conductor) runOutputs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case run := <-c.outputQueue:
			run(ctx)
		}
	}
}

// HandleTick implements driver.Machine.
func (c *Conductor) HandleTick(_ context.Context, now time.Time) {
	for _, d := range c.gauger.Take(now) {
		if p, ok := c.pools[d.Model]; ok {
			c.applyPlacerActions(p, p.placer.Handle(d))
		}
	}
	for _, p := range c.pools {
		c.applyPlacerActions(p, p.placer.Handle(placer.Ticked{Now: now}))
	}
	c.applyDrainerActions(c.drainer.Handle(drainer.Ticked{Now: now}))
}

// notifyController queues an event for the controller.
func (c *Conductor) notifyController(event controller.Event) {
	c.outputQueue <- func(context.Context) { c.outputs.NotifyController(event) }
}

func (c *Conductor) nextOrder() identifier.OrderID {
	c.orderCounter++
	return identifier.OrderID(fmt.Sprintf("%s/%d", c.name, c.orderCounter))
}
