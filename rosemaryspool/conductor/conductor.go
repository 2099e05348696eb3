// Package conductor is the shell of the placer and the drainer: it learns from reports, leases and planned changes and
// turns their decisions into plans, orders and closed upstreams.
package conductor

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/adaptor/permitter"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/drainer"
	"rosemaryspool.example/core/gauger"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/placer"
	"rosemaryspool.example/rosemaryspool/waiter"
)

const (
	// ringCapacity bounds the events that wait for the conductor.
	eventQueueCapacity = 4096
	// outputCapacity bounds the decisions that wait to be carried out.
	outputQueueCapacity = 1024
	// tickInterval is how often the placer looks at its pools.
	tickInterval = time.Second
)

// Outputs carries decisions out. Its functions are called from one goroutine, in order, and may block.
type Outputs struct {
	SetUpstreamClosed func(id identifier.UpstreamID, closed bool)
	MoveAttempt       func(attempt identifier.AttemptID)
	NotifyController  func(event controller.Event)
	ProbeEngine       func(ctx context.Context, id identifier.UpstreamID) bool
}

// Conductor owns the placers, one for each model, and the drainer.
type Conductor struct {
	name    string
	store   permitter.Store
	outputs Outputs
	log     zerolog.Logger

	drainer  *drainer.Drainer
	gauger   *gauger.Gauger
	pools    map[identifier.ModelName]*pool
	document *configurer.Document
	// changes are the placement changes that this process has begun.
	changes      map[identifier.UpstreamID]change
	orderCounter uint64

	events      chan Event
	outputQueue chan func(context.Context)
	done        chan struct{}
	tasks       conc.WaitGroup
}

// pool is one model's engines with the authority over them.
type pool struct {
	scope     identifier.Scope
	placer    *placer.Placer
	leaseHeld bool
}

// change is one placement change of an engine.
type change struct {
	orderID  identifier.OrderID
	changeID string
}

// ScopeOf names the lease that covers all engines of a model.
func ScopeOf(model identifier.ModelName) identifier.Scope {
	return identifier.Scope("engines/" + string(model))
}

// NewConductor returns a conductor. The name must be unique to this start of the process.
func NewConductor(name string, store permitter.Store, outputs Outputs, log zerolog.Logger) *Conductor {
	return &Conductor{
		name:        name,
		store:       store,
		outputs:     outputs,
		log:         log,
		drainer:     drainer.NewDrainer(drainer.NewSettings()),
		gauger:      gauger.NewGauger(time.Now()),
		pools:       make(map[identifier.ModelName]*pool),
		changes:     make(map[identifier.UpstreamID]change),
		events:      make(chan Event, eventQueueCapacity),
		outputQueue: make(chan func(context.Context), outputQueueCapacity),
		done:        make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (c *Conductor) Done() <-chan struct{} { return c.done }

// Notify hands an event to the conductor.
func (c *Conductor) Notify(event Event) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// Run decides until stop is closed.
func (c *Conductor) Run(stop <-chan struct{}) {
	defer close(c.done)
	ctx, cancel := context.WithCancel(context.Background())
	c.tasks.Go(func() { c.runOutputs(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			cancel()
			c.waitForTasks()
			return
		case event := <-c.events:
			c.handleEvent(event)
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

// carryOut runs decisions one after the other.
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

func (c *Conductor) waitForTasks() {
	finished := waiter.Finished(&c.tasks)
	for {
		select {
		case <-c.events:
		case <-c.outputQueue:
		case <-finished:
			return
		}
	}
}

func (c *Conductor) tick(now time.Time) {
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

// order puts an event for the controller into the queue.
func (c *Conductor) notifyController(event controller.Event) {
	c.outputQueue <- func(context.Context) { c.outputs.NotifyController(event) }
}

func (c *Conductor) nextOrder() identifier.OrderID {
	c.orderCounter++
	return identifier.OrderID(fmt.Sprintf("%s/%d", c.name, c.orderCounter))
}
