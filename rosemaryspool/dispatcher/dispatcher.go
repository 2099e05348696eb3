// Package dispatcher runs the scheduler's decisions: it feeds events to the core in one goroutine and carries out each
// attempt in a goroutine of its own.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/core/slicer"
	"rosemaryspool.example/rosemaryspool/conductor"
	"rosemaryspool.example/rosemaryspool/explainer"
	"rosemaryspool.example/rosemaryspool/meter"
	"rosemaryspool.example/rosemaryspool/resolver"
	"rosemaryspool.example/rosemaryspool/waiter"
)

const (
	// ringCapacity bounds the events that wait for the core; senders block beyond it.
	queueCapacity = 4096
	// tickInterval is how often the core looks at its queues, besides after each event: fine against deadlines of seconds.
	tickInterval = 100 * time.Millisecond
)

// Core decides; *scheduler.Scheduler is the one in use.
type Core interface {
	Handle(event scheduler.Event) []scheduler.Action
}

// Observer learns of the work that passes. Its function must not call the dispatcher.
type Observer func(event conductor.Event)

// Work is a classified model request.
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

// Dispatcher owns the core.
type Dispatcher struct {
	core     Core
	resolver *resolver.Resolver
	observe  Observer
	log      zerolog.Logger
	commands chan command
	done     chan struct{}
	attempts conc.WaitGroup

	pending map[identifier.RequestID]*pendingRequest
	running map[identifier.AttemptID]*attempt
	// movable holds the running attempts for Move, which is called from other goroutines.
	movable sync.Map

	explainer    *explainer.Explainer
	decisionTime metrics.Histogram
	refusals     metrics.Registry
	inFlight     metrics.Gauge
}

// pending is a request that has no final answer yet.
type pendingRequest struct {
	request  ModelRequest
	exchange *Exchange
}

// command is what the owner goroutine takes from its ring.
type command interface{ command() }

type submission struct {
	request  ModelRequest
	exchange *Exchange
}

type notification struct{ event scheduler.Event }

// admission is a question whether a call to a plain service may pass.
type admissionQuery struct {
	event  scheduler.ServiceCalled
	answer chan *refuser.Refusal
}

func (submission) command()     {}
func (notification) command()   {}
func (admissionQuery) command() {}

// NewDispatcher returns a dispatcher; Run must be started before Submit is used.
func NewDispatcher(
	core Core, targets *resolver.Resolver, observe Observer, decisions *explainer.Explainer, log zerolog.Logger, registry metrics.Registry,
) *Dispatcher {
	return &Dispatcher{
		core:         core,
		explainer:    decisions,
		resolver:     targets,
		observe:      observe,
		log:          log,
		commands:     make(chan command, queueCapacity),
		done:         make(chan struct{}),
		pending:      make(map[identifier.RequestID]*pendingRequest),
		running:      make(map[identifier.AttemptID]*attempt),
		decisionTime: meter.NewHistogram("schedulingDecisionNs", registry),
		refusals:     metrics.NewPrefixedChildRegistry(registry, "refusalsTotal."),
		inFlight:     metrics.GetOrRegisterGauge("requestsInFlight", registry),
	}
}

// Done is closed when Run has returned.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Run feeds the core until stop is closed, then cancels what still runs and waits for it.
func (d *Dispatcher) Run(stop <-chan struct{}) {
	defer close(d.done)
	ctx, cancel := context.WithCancel(context.Background())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			cancel()
			d.shutDown()
			return
		case c := <-d.commands:
			d.handle(ctx, c)
		case now := <-ticker.C:
			d.handleEvent(ctx, scheduler.Ticked{Now: now})
		}
	}
}

// Submit hands a request to the core and returns the exchange on which its answer appears.
func (d *Dispatcher) Submit(work ModelRequest) *Exchange {
	exchange := newExchange(work.ID, d.done)
	d.send(submission{request: work, exchange: exchange})
	return exchange
}

// Admit tells why a call to a plain service may not pass its caller's limit; nil when it may.
func (d *Dispatcher) Admit(call scheduler.ServiceCalled) *refuser.Refusal {
	question := admissionQuery{event: call, answer: make(chan *refuser.Refusal, 1)}
	d.send(question)
	select {
	case refusal := <-question.answer:
		return refusal
	case <-d.done:
		return errStopping
	}
}

// Leave tells that the caller of a request no longer waits.
func (d *Dispatcher) Cancel(request identifier.RequestID) {
	d.post(scheduler.CallerLeft{Now: time.Now(), Request: request})
}

// Notify hands an outside event, such as a load report, to the core.
func (d *Dispatcher) Notify(event scheduler.Event) { d.post(event) }

func (d *Dispatcher) post(event scheduler.Event) { d.send(notification{event: event}) }

func (d *Dispatcher) send(c command) {
	select {
	case d.commands <- c:
	case <-d.done:
	}
}

func (d *Dispatcher) handle(ctx context.Context, c command) {
	switch c := c.(type) {
	case submission:
		d.accept(ctx, c)
	case notification:
		d.handleEvent(ctx, c.event)
		d.removeIfEnded(c.event)
	case admissionQuery:
		d.answerAdmission(c)
	}
}

func (d *Dispatcher) answerAdmission(question admissionQuery) {
	var refusal *refuser.Refusal
	for _, action := range d.core.Handle(question.event) {
		if r, ok := action.(scheduler.Refuse); ok {
			refusal = &r.Refusal
		}
	}
	question.answer <- refusal
}

func (d *Dispatcher) accept(ctx context.Context, s submission) {
	w := s.request
	d.pending[w.ID] = &pendingRequest{request: w, exchange: s.exchange}
	d.inFlight.Update(int64(len(d.pending)))
	prompt := slicer.CountTokens(w.Prompt)
	d.observe(conductor.WorkAsked{Model: w.Model, Class: w.Class, Prompt: prompt, Output: w.ExpectedOutput})
	d.handleEvent(ctx, scheduler.RequestArrived{
		Now:            w.Arrived,
		Request:        w.ID,
		Caller:         w.Caller,
		Class:          w.Class,
		Model:          w.Model,
		Priority:       w.Priority,
		Urgent:         w.Urgent,
		Deadline:       w.Deadline,
		Prompt:         prompt,
		MaxOutput:      w.MaxOutput,
		ExpectedOutput: w.ExpectedOutput,
		Prefix:         slicer.HashPrefixes(w.Model, w.Prompt),
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
	request, ok := d.pending[dispatch.Request]
	if !ok {
		return
	}
	logDispatch(d.log, request.request, dispatch)
	d.explainer.Add(dispatch.Request, describeDispatch(dispatch))
	attemptContext, cancel := context.WithCancel(ctx)
	a := &attempt{dispatch: dispatch, request: request.request, exchange: request.exchange, cancel: cancel}
	d.running[dispatch.Attempt] = a
	d.movable.Store(dispatch.Attempt, a)
	d.observe(conductor.WorkStarted{
		Now: time.Now(), Upstream: dispatch.Decode, Attempt: dispatch.Attempt, Protected: request.request.Urgent,
	})
	d.attempts.Go(func() { d.runAttempt(attemptContext, a) })
}

func (d *Dispatcher) cancelAttempt(c scheduler.Cancel) {
	if a, ok := d.running[c.Attempt]; ok {
		a.cancel()
	}
}

func (d *Dispatcher) refuse(r scheduler.Refuse) {
	request, ok := d.pending[r.Request]
	if !ok {
		return
	}
	logRefusal(d.log, request.request, r.Refusal)
	d.explainer.Add(r.Request, r.Refusal.Error())
	metrics.GetOrRegisterCounter(r.Refusal.Code.String(), d.refusals).Inc(1)
	request.exchange.end(&r.Refusal, Finish{})
	d.removeRequest(r.Request)
}

func (d *Dispatcher) complete(c scheduler.Complete) {
	request, ok := d.pending[c.Request]
	if !ok {
		return
	}
	finish := Finish{}
	if a, ok := d.running[c.Attempt]; ok {
		finish = a.finish
	}
	request.exchange.end(nil, finish)
	d.removeRequest(c.Request)
}

func (d *Dispatcher) removeRequest(request identifier.RequestID) {
	delete(d.pending, request)
	d.inFlight.Update(int64(len(d.pending)))
}

// forget drops an attempt after its last event.
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
	prompt := slicer.CountTokens(a.request.Prompt)
	d.observe(conductor.WorkAnswered{Class: a.request.Class, Prompt: prompt, Cached: a.finish.CachedPrompt})
}

// Move breaks off an attempt so that its request is resumed on another engine.
func (d *Dispatcher) Move(id identifier.AttemptID) {
	if a, ok := d.movable.Load(id); ok {
		a.(*attempt).move()
	}
}

// abandon ends every open request; what an engine already ran of it changes nothing, as model requests are idempotent.
func (d *Dispatcher) shutDown() {
	for _, request := range d.pending {
		refusal := refuser.NewRefusal(refuser.ShuttingDown, refuser.OutcomeUnknown, "the instance stopped before the answer")
		request.exchange.end(refusal, Finish{})
	}
	finished := waiter.Finished(&d.attempts)
	for {
		select {
		case <-d.commands:
		case <-finished:
			return
		}
	}
}
