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
	// claimQueueCapacity bounds the queued commands; senders block beyond it.
	claimQueueCapacity = 1024
	// claimTickInterval is the longest time that a claim is held back to be batched with others.
	claimTickInterval = 20 * time.Millisecond
)

// claimer runs the deduplicator: it reads the claim stream, appends claims and outcomes, and dispatches the calls whose
// claim is first in the log.
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

// pendingCall is a call whose caller is waiting for the result.
type pendingCall struct {
	call   Call
	result chan callResult
}

// callResult is the response or the refusal of a call.
type callResult struct {
	response invoker.Response
	refusal  *refuser.Refusal
}

// command is a message to the goroutine of serve.
type command interface{ command() }

// coreEvent carries an event for the deduplicator.
type coreEvent struct{ event deduplicator.Event }

// newCall registers a pending call before its event goes to the deduplicator.
type newCall struct {
	pending *pendingCall
	event   deduplicator.CallArrived
}

// idleQuery asks whether the outcomes of all calls are in the log.
type idleQuery struct{ reply chan bool }

func (coreEvent) command() {}
func (newCall) command()   {}
func (idleQuery) command() {}

func newClaimer(
	core *deduplicator.Deduplicator, stream appender.Stream, log appender.Log, appends *committer.Committer,
	logger zerolog.Logger,
) *claimer {
	return &claimer{
		core:      core,
		stream:    stream,
		reader:    reader.NewReader(log, stream, logger),
		committer: appends,
		log:       logger,
		commands:  make(chan command, claimQueueCapacity),
		done:      make(chan struct{}),
		calls:     make(map[identifier.RequestID]*pendingCall),
	}
}

// execute submits a call and waits for its result.
func (c *claimer) execute(ctx context.Context, call Call, hash uint64) (invoker.Response, *refuser.Refusal) {
	now := time.Now()
	pending := &pendingCall{call: call, result: make(chan callResult, 1)}
	accepted := c.enqueue(newCall{pending: pending, event: deduplicator.CallArrived{
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
	if !accepted {
		return invoker.Response{}, refuser.NewRefusal(refuser.ShuttingDown, refuser.NotRun, "the instance is stopping")
	}
	select {
	case result := <-pending.result:
		return result.response, result.refusal
	case <-ctx.Done():
		c.enqueue(coreEvent{deduplicator.CallerDisconnected{Now: time.Now(), Request: call.Request}})
		return invoker.Response{}, refuser.NewRefusal(refuser.CallerGone, refuser.OutcomeUnknown, "the caller left")
	case <-c.done:
		return resultAtStop(pending)
	}
}

// resultAtStop returns the result of a call at the stop of the claimer: one that came just before it, or an unknown
// outcome.
func resultAtStop(pending *pendingCall) (invoker.Response, *refuser.Refusal) {
	select {
	case result := <-pending.result:
		return result.response, result.refusal
	default:
		return invoker.Response{}, refuser.NewRefusal(
			refuser.KeyOutcomeUnknown, refuser.OutcomeUnknown, "the instance stopped")
	}
}

// enqueue queues a command and blocks while the queue is full. It returns false if the claimer has stopped.
func (c *claimer) enqueue(next command) bool {
	select {
	case c.commands <- next:
		return true
	case <-c.done:
		return false
	}
}

// awaitIdle returns when the outcomes of all calls are in the log, when the claimer has stopped, or when ctx ends.
func (c *claimer) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(claimTickInterval)
	defer ticker.Stop()
	for {
		query := idleQuery{reply: make(chan bool, 1)}
		if !c.enqueue(query) {
			return
		}
		select {
		case idle := <-query.reply:
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

// serve handles commands, records and ticks until stop is closed.
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
		case next := <-c.commands:
			c.handleCommand(ctx, next)
		case now := <-ticker.C:
			c.handleEvent(ctx, deduplicator.Ticked{Now: now, WallNow: now})
		}
	}
}

// waitForTasks drains the queues until every task has ended, so that no task blocks on a full queue.
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

// handleRead passes the result of a read to the deduplicator; the reader has logged a failed one.
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

func (c *claimer) handleCommand(ctx context.Context, next command) {
	switch e := next.(type) {
	case newCall:
		c.calls[e.event.Request] = e.pending
		c.handleEvent(ctx, e.event)
	case idleQuery:
		e.reply <- c.core.Idle()
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
		c.finish(a.Request, callResult{response: invoker.Response{Status: a.Status, Header: header, Body: a.Body}})
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

// appendResult returns the event for the end of an append. Unless the log was unavailable, a failed append may have
// reached it.
func appendResult(a deduplicator.Append, err error) deduplicator.Event {
	if err == nil {
		return deduplicator.AppendSucceeded{Now: time.Now(), Records: a.IDs}
	}
	unknown := !errors.Is(err, appender.ErrUnavailable)
	return deduplicator.AppendFailed{Now: time.Now(), Records: a.IDs, Unknown: unknown}
}

// startDispatch dispatches a call whose claim is first in the log. A call that is no longer pending is not sent.
func (c *claimer) startDispatch(ctx context.Context, d deduplicator.Dispatch) {
	pending, ok := c.calls[d.Request]
	if !ok {
		return
	}
	call := pending.call
	c.tasks.Go(func() {
		result := c.dispatch(ctx, call, d.Attempt)
		c.enqueue(coreEvent{deduplicator.DispatchEnded{
			Now:         time.Now(),
			Attempt:     d.Attempt,
			Result:      result.result,
			Status:      result.status,
			ContentType: result.contentType,
			Body:        result.body,
		}})
	})
}

// finish delivers the result to the caller if it is still pending.
func (c *claimer) finish(request identifier.RequestID, result callResult) {
	pending, ok := c.calls[request]
	if !ok {
		return
	}
	delete(c.calls, request)
	pending.result <- result
}
