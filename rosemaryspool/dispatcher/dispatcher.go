// Package dispatcher runs the scheduler's event loop. One goroutine passes events to the scheduler and executes its
// actions; each attempt at an engine runs in a goroutine of its own.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/rosemaryspool/conductor"
	"rosemaryspool.example/rosemaryspool/driver"
	"rosemaryspool.example/rosemaryspool/explainer"
	"rosemaryspool.example/rosemaryspool/meter"
	"rosemaryspool.example/rosemaryspool/resolver"
)

const (
	// queueCapacity bounds the commands queued for the event loop; senders block when the queue is full.
	queueCapacity = 4096
	// tickInterval is the interval of the scheduler's periodic checks, such as the expiry of requests. It is short
	// compared with deadlines, which are seconds.
	tickInterval = 100 * time.Millisecond
)

// Core turns an event into actions to execute. It is implemented by *scheduler.Scheduler.
type Core interface {
	Handle(event scheduler.Event) []scheduler.Action
}

// Observer receives the demand and the start and end of attempts. It is called in the event loop and must not call the
// dispatcher.
type Observer func(event conductor.Event)

// ModelRequest is a model request with the class, priority and deadline that apply to it.
type ModelRequest struct {
	ID             identifier.RequestID
	Caller         identifier.CallerID
	Class          identifier.ClassName
	Model          identifier.ModelName
	Priority       identifier.Priority
	Urgent         bool
	Arrived        time.Time
	Deadline       time.Time
	Prompt         string
	MaxOutput      identifier.Tokens
	ExpectedOutput identifier.Tokens
}

// Dispatcher owns the scheduler and the requests in flight. Its exported methods are safe for concurrent use.
type Dispatcher struct {
	core     Core
	resolver *resolver.Resolver
	observe  Observer
	log      zerolog.Logger
	driver   *driver.Driver[command]

	pending map[identifier.RequestID]*pendingRequest
	running map[identifier.AttemptID]*attempt
	// movable holds the same attempts as running, for Move, which is called from other goroutines.
	movable sync.Map

	explainer    *explainer.Explainer
	decisionTime metrics.Histogram
	refusals     metrics.Registry
	inFlight     metrics.Gauge
}

// pendingRequest is a request that has not ended yet.
type pendingRequest struct {
	request  ModelRequest
	exchange *Exchange
}

// command is an entry in the queue of the event loop.
type command interface{ command() }

// submission adds a request.
type submission struct {
	request  ModelRequest
	exchange *Exchange
}

// notification passes an event to the scheduler.
type notification struct{ event scheduler.Event }

func (submission) command()   {}
func (notification) command() {}

// NewDispatcher returns a dispatcher; Run must be started before Submit is used.
func NewDispatcher(
	core Core, targets *resolver.Resolver, observe Observer, decisions *explainer.Explainer,
	log zerolog.Logger, registry metrics.Registry,
) *Dispatcher {
	d := &Dispatcher{
		core:         core,
		explainer:    decisions,
		resolver:     targets,
		observe:      observe,
		log:          log,
		pending:      make(map[identifier.RequestID]*pendingRequest),
		running:      make(map[identifier.AttemptID]*attempt),
		decisionTime: meter.NewHistogram("schedulingDecisionNs", registry),
		refusals:     metrics.NewPrefixedChildRegistry(registry, "refusalsTotal."),
		inFlight:     metrics.GetOrRegisterGauge("requestsInFlight", registry),
	}
	d.driver = driver.NewDriver[command](d, tickInterval, queueCapacity)
	d.driver.AtStop(d.endRequests)
	return d
}

// Done is closed when Run has returned.
func (d *Dispatcher) Done() <-chan struct{} { return d.driver.Done() }

// Run is the event loop. When stop is closed it cancels all attempts, ends all requests and waits for the attempts.
func (d *Dispatcher) Run(stop <-chan struct{}) { d.driver.Run(stop) }

// Submit queues a request and returns the exchange from which its answer is read.
func (d *Dispatcher) Submit(request ModelRequest) *Exchange {
	exchange := newExchange(request.ID, d.Done())
	d.driver.Notify(submission{request: request, exchange: exchange})
	return exchange
}

// Admit returns the refusal of a call to a plain service that is over its caller's limit, or nil if it is within it.
func (d *Dispatcher) Admit(call scheduler.ServiceCalled) *refuser.Refusal {
	refusal := errStopping
	d.driver.Inspect(context.Background(), func() {
		refusal = nil
		for _, action := range d.core.Handle(call) {
			if r, ok := action.(scheduler.Refuse); ok {
				refusal = &r.Refusal
			}
		}
	})
	return refusal
}

// Cancel ends a request whose caller has disconnected.
func (d *Dispatcher) Cancel(request identifier.RequestID) {
	d.post(scheduler.CallerDisconnected{Now: time.Now(), Request: request})
}

// Notify passes an external event, such as a load report, to the scheduler.
func (d *Dispatcher) Notify(event scheduler.Event) { d.post(event) }

func (d *Dispatcher) post(event scheduler.Event) { d.driver.Notify(notification{event: event}) }

// HandleTick implements driver.Machine.
func (d *Dispatcher) HandleTick(ctx context.Context, now time.Time) {
	d.handleEvent(ctx, scheduler.Ticked{Now: now})
}

// HandleEvent implements driver.Machine.
func (d *Dispatcher) HandleEvent(ctx context.Context, c command) {
	switch c := c.(type) {
	case submission:
		d.accept(ctx, c)
	case notification:
		d.handleEvent(ctx, c.event)
		d.removeIfEnded(c.event)
	}
}

func (d *Dispatcher) accept(ctx context.Context, s submission) {
	r := s.request
	d.pending[r.ID] = &pendingRequest{request: r, exchange: s.exchange}
	d.inFlight.Update(int64(len(d.pending)))
	prompt := hasher.CountTokens(r.Prompt)
	d.observe(conductor.RequestReceived{Model: r.Model, Class: r.Class, Prompt: prompt, Output: r.ExpectedOutput})
	d.handleEvent(ctx, scheduler.RequestArrived{
		Now:            r.Arrived,
		Request:        r.ID,
		Caller:         r.Caller,
		Class:          r.Class,
		Model:          r.Model,
		Priority:       r.Priority,
		Urgent:         r.Urgent,
		Deadline:       r.Deadline,
		Prompt:         prompt,
		MaxOutput:      r.MaxOutput,
		ExpectedOutput: r.ExpectedOutput,
		Prefix:         hasher.HashPrefixes(r.Model, r.Prompt),
	})
}

func (d *Dispatcher) handleEvent(ctx context.Context, event scheduler.Event) {
	started := time.Now()
	actions := d.core.Handle(event)
	if _, ok := event.(scheduler.RequestArrived); ok {
		d.decisionTime.Update(time.Since(started).Nanoseconds())
	}
	for _, a := range actions {
		d.execute(ctx, a)
	}
}

func (d *Dispatcher) execute(ctx context.Context, action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Dispatch:
		d.startAttempt(ctx, a)
	case scheduler.Cancel:
		d.cancelAttempt(a)
	case scheduler.Refuse:
		d.refuse(a)
	case scheduler.Complete:
		d.complete(a)
	}
}

func (d *Dispatcher) startAttempt(ctx context.Context, dispatch scheduler.Dispatch) {
	p, ok := d.pending[dispatch.Request]
	if !ok {
		return
	}
	logDispatch(d.log, p.request, dispatch)
	d.explainer.Add(dispatch.Request, describeDispatch(dispatch))
	attemptContext, cancel := context.WithCancel(ctx)
	a := &attempt{dispatch: dispatch, request: p.request, exchange: p.exchange, cancel: cancel}
	d.running[dispatch.Attempt] = a
	d.movable.Store(dispatch.Attempt, a)
	d.observe(conductor.WorkStarted{
		Now: time.Now(), Upstream: dispatch.Decode, Attempt: dispatch.Attempt, Protected: p.request.Urgent,
	})
	d.driver.Go(func() { d.runAttempt(attemptContext, a) })
}

func (d *Dispatcher) cancelAttempt(c scheduler.Cancel) {
	if a, ok := d.running[c.Attempt]; ok {
		a.cancel()
	}
}

func (d *Dispatcher) refuse(r scheduler.Refuse) {
	p, ok := d.pending[r.Request]
	if !ok {
		return
	}
	logRefusal(d.log, p.request, r.Refusal)
	d.explainer.Add(r.Request, r.Refusal.Error())
	metrics.GetOrRegisterCounter(r.Refusal.Code.String(), d.refusals).Inc(1)
	p.exchange.end(&r.Refusal, Finish{})
	d.removeRequest(r.Request)
}

func (d *Dispatcher) complete(c scheduler.Complete) {
	p, ok := d.pending[c.Request]
	if !ok {
		return
	}
	finish := Finish{}
	if a, ok := d.running[c.Attempt]; ok {
		finish = a.finish
	}
	p.exchange.end(nil, finish)
	d.removeRequest(c.Request)
}

func (d *Dispatcher) removeRequest(id identifier.RequestID) {
	delete(d.pending, id)
	d.inFlight.Update(int64(len(d.pending)))
}

// removeIfEnded removes an attempt after its last event.
func (d *Dispatcher) removeIfEnded(event scheduler.Event) {
	switch e := event.(type) {
	case scheduler.AttemptFinished:
		d.removeAttempt(e.Attempt)
	case scheduler.AttemptFailed:
		d.removeAttempt(e.Attempt)
	}
}

func (d *Dispatcher) removeAttempt(id identifier.AttemptID) {
	a, ok := d.running[id]
	if !ok {
		return
	}
	delete(d.running, id)
	d.movable.Delete(id)
	d.observe(conductor.WorkEnded{Now: time.Now(), Attempt: id})
	prompt := hasher.CountTokens(a.request.Prompt)
	d.observe(conductor.RequestAnswered{Class: a.request.Class, Prompt: prompt, Cached: a.finish.CachedPrompt})
}

// Move cancels an attempt so that its request is resumed on another engine.
func (d *Dispatcher) Move(id identifier.AttemptID) {
	if a, ok := d.movable.Load(id); ok {
		a.(*attempt).move()
	}
}

// endRequests ends every pending request with an unknown outcome. Callers can retry, as model requests are idempotent.
func (d *Dispatcher) endRequests() {
	for _, p := range d.pending {
		refusal := refuser.NewRefusal(refuser.ShuttingDown, refuser.OutcomeUnknown, "the instance stopped before the answer")
		p.exchange.end(refusal, Finish{})
	}
}
