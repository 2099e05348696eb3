package executor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/rosemaryspool/committer"
	"rosemaryspool.example/rosemaryspool/driver"
	"rosemaryspool.example/rosemaryspool/reader"
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
	driver    *driver.Driver[command]
	stream    appender.Stream
	committer *committer.Committer
	dispatch  func(ctx context.Context, call Call, attempt identifier.AttemptID) dispatchResult
	log       zerolog.Logger

	calls map[identifier.RequestID]*pendingCall
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

// command is a message to the claimer's goroutine.
type command interface{ command() }

// coreEvent carries an event for the deduplicator.
type coreEvent struct{ event deduplicator.Event }

// newCall registers a pending call before its event goes to the deduplicator.
type newCall struct {
	pending *pendingCall
	event   deduplicator.CallArrived
}

func (coreEvent) command() {}
func (newCall) command()   {}

func newClaimer(
	core *deduplicator.Deduplicator, stream appender.Stream, log appender.Log, appends *committer.Committer,
	logger zerolog.Logger,
) *claimer {
	c := &claimer{
		core: core, stream: stream, committer: appends, log: logger, calls: make(map[identifier.RequestID]*pendingCall),
	}
	c.driver = driver.NewDriver[command](c, claimTickInterval, claimQueueCapacity)
	c.driver.Follow(c, reader.NewReader(log, stream, logger))
	return c
}

// execute submits a call and waits for its result.
func (c *claimer) execute(ctx context.Context, call Call, hash uint64) (invoker.Response, *refuser.Refusal) {
	now := time.Now()
	pending := &pendingCall{call: call, result: make(chan callResult, 1)}
	accepted := c.driver.Notify(newCall{pending: pending, event: deduplicator.CallArrived{
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
		c.driver.Notify(coreEvent{deduplicator.CallerDisconnected{Now: time.Now(), Request: call.Request}})
		return invoker.Response{}, refuser.NewRefusal(refuser.CallerGone, refuser.OutcomeUnknown, "the caller left")
	case <-c.driver.Done():
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

// awaitIdle returns when the outcomes of all calls are in the log, when the claimer has stopped, or when ctx ends.
func (c *claimer) awaitIdle(ctx context.Context) { c.driver.AwaitIdle(ctx, c.core.Idle) }

// NextOffset implements driver.Follower.
func (c *claimer) NextOffset() identifier.Offset { return c.core.NextOffset() }

// HandleTick implements driver.Machine.
func (c *claimer) HandleTick(ctx context.Context, now time.Time) {
	c.handleEvent(ctx, deduplicator.Ticked{Now: now, WallNow: now})
}

// HandleRead implements driver.Follower.
func (c *claimer) HandleRead(ctx context.Context, result reader.Result) {
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

// HandleEvent implements driver.Machine.
func (c *claimer) HandleEvent(ctx context.Context, next command) {
	switch e := next.(type) {
	case newCall:
		c.calls[e.event.Request] = e.pending
		c.handleEvent(ctx, e.event)
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
			go c.driver.Notify(coreEvent{appendResult(a, err)})
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
	c.driver.Go(func() {
		result := c.dispatch(ctx, call, d.Attempt)
		c.driver.Notify(coreEvent{deduplicator.DispatchEnded{
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
