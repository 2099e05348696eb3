package executor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/rosemaryspool/committer"
	"rosemaryspool.example/rosemaryspool/reader"
	"rosemaryspool.example/rosemaryspool/waiter"
)

const (
	// claimRingCapacity bounds the events that wait for the deduplicator.
	claimQueueCapacity = 1024
	// claimTick is the longest time that a claim waits for company.
	claimTickInterval = 20 * time.Millisecond
)

// claimer is the shell of the deduplicator: it reads the claim stream, appends claims and outcomes, and sends the calls
// whose claim came first.
type claimer struct {
	core      *deduplicator.Deduplicator
	stream    appender.Stream
	reader    *reader.Reader
	committer *committer.Committer
	dispatch  func(ctx context.Context, call Call, attempt identifier.AttemptID) dispatchResult
	log       zerolog.Logger

	commands chan command
	done     chan struct{}
	tasks    conc.WaitGroup
	calls    map[identifier.RequestID]*pendingCall
}

// waitingCall is a call whose caller waits for its single run.
type pendingCall struct {
	call   Call
	result chan callResult
}

type callResult struct {
	answer  invoker.Answer
	refusal *refuser.Refusal
}

// command is what the owner goroutine takes from its ring.
type command interface{ command() }

// notice delivers an event to the core.
type coreEvent struct{ event deduplicator.Event }

// newCall enters a call; it is no event of the core until the owner goroutine has registered it.
type newCall struct {
	pending *pendingCall
	event   deduplicator.CallArrived
}

// idleQuestion asks whether every outcome is in the log.
type idleQuery struct{ answer chan bool }

func (coreEvent) command() {}
func (newCall) command()   {}
func (idleQuery) command() {}

func newClaimer(
	core *deduplicator.Deduplicator, stream appender.Stream, log appender.Log, appends *committer.Committer,
	events zerolog.Logger,
) *claimer {
	return &claimer{
		core:      core,
		stream:    stream,
		reader:    reader.NewReader(log, stream, events),
		committer: appends,
		log:       events,
		commands:  make(chan command, claimQueueCapacity),
		done:      make(chan struct{}),
		calls:     make(map[identifier.RequestID]*pendingCall),
	}
}

// run enters a call and waits for its end.
func (c *claimer) execute(ctx context.Context, call Call, hash uint64) (invoker.Answer, *refuser.Refusal) {
	now := time.Now()
	waiting := &pendingCall{call: call, result: make(chan callResult, 1)}
	entered := c.enqueue(newCall{pending: waiting, event: deduplicator.CallArrived{
		Now:         now,
		WallNow:     now,
		Request:     call.Request,
		Caller:      call.Caller,
		Key:         call.Key,
		IssuedAt:    call.IssuedAt,
		RequestHash: hash,
		Service:     call.Service.Name,
		Deadline:    call.Deadline,
	}})
	if !entered {
		return invoker.Answer{}, refuser.NewRefusal(refuser.ShuttingDown, refuser.NotRun, "the instance is stopping")
	}
	select {
	case end := <-waiting.result:
		return end.answer, end.refusal
	case <-ctx.Done():
		c.enqueue(coreEvent{deduplicator.CallerLeft{Now: time.Now(), Request: call.Request}})
		return invoker.Answer{}, refuser.NewRefusal(refuser.CallerGone, refuser.OutcomeUnknown, "the caller left")
	case <-c.done:
		return resultAtStop(waiting)
	}
}

// endAtStop returns the end of a call that may have come right before the stop.
func resultAtStop(waiting *pendingCall) (invoker.Answer, *refuser.Refusal) {
	select {
	case end := <-waiting.result:
		return end.answer, end.refusal
	default:
		return invoker.Answer{}, refuser.NewRefusal(refuser.KeyOutcomeUnknown, refuser.OutcomeUnknown, "the instance stopped")
	}
}

func (c *claimer) enqueue(entry command) bool {
	select {
	case c.commands <- entry:
		return true
	case <-c.done:
		return false
	}
}

// awaitIdle returns when every outcome is in the log, when the claimer has ended, or when ctx ends.
func (c *claimer) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(claimTickInterval)
	defer ticker.Stop()
	for {
		question := idleQuery{answer: make(chan bool, 1)}
		if !c.enqueue(question) {
			return
		}
		select {
		case idle := <-question.answer:
			if idle {
				return
			}
		case <-c.done:
			return
		case <-ctx.Done():
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// serve feeds the core until stop is closed.
func (c *claimer) serve(stop <-chan struct{}) {
	defer close(c.done)
	ctx, cancel := context.WithCancel(context.Background())
	c.tasks.Go(func() { c.reader.Run(ctx) })
	c.reader.ReadFrom(c.core.NextOffset())
	ticker := time.NewTicker(claimTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			cancel()
			c.waitForTasks()
			return
		case result := <-c.reader.Results():
			c.handleRead(ctx, result)
			c.reader.ReadFrom(c.core.NextOffset())
		case entry := <-c.commands:
			c.handleCommand(ctx, entry)
		case now := <-ticker.C:
			c.handleEvent(ctx, deduplicator.Ticked{Now: now, WallNow: now})
		}
	}
}

func (c *claimer) waitForTasks() {
	finished := waiter.Finished(&c.tasks)
	for {
		select {
		case <-c.commands:
		case <-c.reader.Results():
		case <-finished:
			return
		}
	}
}

func (c *claimer) handleRead(ctx context.Context, result reader.Result) {
	switch {
	case result.Err != nil:
	case result.FirstAvailable > 0:
		c.handleEvent(ctx, deduplicator.LogTrimmed{Now: result.Now, WallNow: result.Now, First: result.FirstAvailable})
	default:
		c.handleEvent(ctx, deduplicator.RecordsRead{
			Now: result.Now, WallNow: result.Now, Entries: result.Entries, End: result.End,
		})
	}
}

func (c *claimer) handleCommand(ctx context.Context, entry command) {
	switch e := entry.(type) {
	case newCall:
		c.calls[e.event.Request] = e.pending
		c.handleEvent(ctx, e.event)
	case idleQuery:
		e.answer <- c.core.Idle()
	case coreEvent:
		c.handleEvent(ctx, e.event)
	}
}

func (c *claimer) handleEvent(ctx context.Context, event deduplicator.Event) {
	for _, action := range c.core.Handle(event) {
		c.apply(ctx, action)
	}
}

func (c *claimer) apply(ctx context.Context, action deduplicator.Action) {
	switch a := action.(type) {
	case deduplicator.Append:
		c.append(a)
	case deduplicator.Dispatch:
		c.startDispatch(ctx, a)
	case deduplicator.Reply:
		header := http.Header{}
		header.Set("Content-Type", a.ContentType)
		c.finish(a.Request, callResult{answer: invoker.Answer{Status: a.Status, Header: header, Body: a.Answer}})
	case deduplicator.Refuse:
		c.log.Info().Str("event", "refused").Str("request", string(a.Request)).Int("code", int(a.Refusal.Code)).
			Stringer("effect", a.Refusal.Effect).Str("reason", a.Refusal.Message).Msg("Refused a service call")
		c.finish(a.Request, callResult{refusal: &a.Refusal})
	}
}

func (c *claimer) append(a deduplicator.Append) {
	c.committer.Submit(committer.Batch{
		Stream:  c.stream,
		Records: a.Records,
		Urgency: a.Urgency,
		Done: func(_ identifier.Offset, err error) {
			go c.enqueue(coreEvent{appendResult(a, err)})
		},
	})
}

func appendResult(a deduplicator.Append, err error) deduplicator.Event {
	if err == nil {
		return deduplicator.AppendSucceeded{Now: time.Now(), Records: a.IDs}
	}
	unknown := !errors.Is(err, appender.ErrUnavailable)
	return deduplicator.AppendFailed{Now: time.Now(), Records: a.IDs, Unknown: unknown}
}

// start sends the call of a won claim. A call that is no longer known was never sent.
func (c *claimer) startDispatch(ctx context.Context, d deduplicator.Dispatch) {
	waiting, ok := c.calls[d.Request]
	if !ok {
		return
	}
	call := waiting.call
	c.tasks.Go(func() {
		end := c.dispatch(ctx, call, d.Attempt)
		c.enqueue(coreEvent{deduplicator.DispatchEnded{
			Now:         time.Now(),
			Attempt:     d.Attempt,
			Result:      end.result,
			Status:      end.status,
			ContentType: end.contentType,
			Answer:      end.answer,
		}})
	})
}

func (c *claimer) finish(request identifier.RequestID, end callResult) {
	waiting, ok := c.calls[request]
	if !ok {
		return
	}
	delete(c.calls, request)
	waiting.result <- end
}
