// Package driver runs a state machine of the core in one goroutine: it passes events, ticks and the records of a log stream
// to it, and waits for the work that it starts.
package driver

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/reader"
)

// Machine is a state machine of the core with what carries out its decisions.
type Machine[E any] interface {
	HandleEvent(ctx context.Context, event E)
	// HandleTick is called once in each interval.
	HandleTick(ctx context.Context, now time.Time)
}

// Follower is a machine that follows a log stream.
type Follower interface {
	// NextOffset returns the offset of the next record that the machine needs.
	NextOffset() identifier.Offset
	// HandleRead handles the result of a read; the reader has logged a failed one.
	HandleRead(ctx context.Context, result reader.Result)
}

// Driver runs a machine, whose state is used only by the goroutine of Run.
type Driver[E any] struct {
	machine  Machine[E]
	interval time.Duration
	follower Follower
	reader   *reader.Reader
	// results is nil without a follower.
	results    <-chan reader.Result
	background []func(context.Context)
	atStop     func()

	events      chan E
	inspections chan func()
	done        chan struct{}
	tasks       conc.WaitGroup
}

// NewDriver returns a driver with a queue of events of a capacity; it starts no goroutine before Run.
func NewDriver[E any](machine Machine[E], interval time.Duration, capacity int) *Driver[E] {
	return &Driver[E]{
		machine: machine, interval: interval,
		events: make(chan E, capacity), inspections: make(chan func()), done: make(chan struct{}),
	}
}

// Follow has the machine get what a reader reads. It is called before Run.
func (d *Driver[E]) Follow(f Follower, r *reader.Reader) {
	d.follower, d.reader, d.results = f, r, r.Results()
	d.Background(r.Run)
}

// Background runs a function in the background until the driver stops. It is called before Run.
func (d *Driver[E]) Background(run func(context.Context)) { d.background = append(d.background, run) }

// AtStop has a function called in the goroutine of Run as it stops, before it waits for tasks. It is called before Run.
func (d *Driver[E]) AtStop(stop func()) { d.atStop = stop }

// Done is closed when Run has returned.
func (d *Driver[E]) Done() <-chan struct{} { return d.done }

// Notify queues an event and blocks while the queue is full. It returns false if Run has returned; the event is then
// discarded.
func (d *Driver[E]) Notify(event E) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.events <- event:
		return true
	case <-d.done:
		return false
	}
}

// Go runs a function in the background. Run waits for it before it returns.
func (d *Driver[E]) Go(task func()) { d.tasks.Go(task) }

// Inspect runs a function in the goroutine of Run, where it may read the machine's state. It returns false without running
// it if the driver has stopped or ctx ends first.
func (d *Driver[E]) Inspect(ctx context.Context, inspect func()) bool {
	finished := make(chan struct{})
	call := func() {
		inspect()
		close(finished)
	}
	select {
	case d.inspections <- call:
	case <-d.done:
		return false
	case <-ctx.Done():
		return false
	}
	<-finished
	return true
}

// AwaitIdle returns when the machine is idle, when the driver has stopped or when ctx ends.
func (d *Driver[E]) AwaitIdle(ctx context.Context, isIdle func() bool) {
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		idle := false
		if !d.Inspect(ctx, func() { idle = isIdle() }) || idle {
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
func (d *Driver[E]) Run(stop <-chan struct{}) {
	defer close(d.done)
	ctx, cancel := context.WithCancel(context.Background())
	for _, run := range d.background {
		d.tasks.Go(func() { run(ctx) })
	}
	if d.follower != nil {
		d.reader.ReadFrom(d.follower.NextOffset())
	}
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			cancel()
			if d.atStop != nil {
				d.atStop()
			}
			d.waitForTasks()
			return
		case result := <-d.results:
			d.follower.HandleRead(ctx, result)
			d.reader.ReadFrom(d.follower.NextOffset())
		case event := <-d.events:
			d.machine.HandleEvent(ctx, event)
		case call := <-d.inspections:
			call()
		case now := <-ticker.C:
			d.machine.HandleTick(ctx, now)
		}
	}
}

// waitForTasks drains the queues until every task has ended, so that no task blocks on a full queue.
func (d *Driver[E]) waitForTasks() {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		d.tasks.Wait()
	}()
	for {
		select {
		case <-d.events:
		case <-d.results:
		case <-finished:
			return
		}
	}
}
