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
	claimRingCapacity = 1024
	// claimTick is the longest time that a claim waits for company.
	claimTick = 20 * time.Millisecond
)

// claimer is the shell of the deduplicator: it reads the claim stream, appends claims and outcomes, and sends the calls
// whose claim came first.
type claimer struct {
	core      *deduplicator.Deduplicator
	stream    appender.Stream
	reader    *reader.Reader
	committer *committer.Committer
	dispatch  func(ctx context.Context, call Call, attempt identifier.AttemptID) dispatchEnd
	log       zerolog.Logger

	ring  chan command
	done  chan struct{}
	tasks conc.WaitGroup
	calls map[identifier.RequestID]*waitingCall
}

// waitingCall is a call whose caller waits for its single run.
type waitingCall struct {
	call  Call
	ended chan callEnd
}

type callEnd struct {
	answer  invoker.Answer
	refusal *refuser.Refusal
}

// command is what the owner goroutine takes from its ring.
type command interface{ command() }

// notice delivers an event to the core.
type notice struct{ event deduplicator.Event }

// newCall enters a call; it is no event of the core until the owner goroutine has registered it.
type newCall struct {
	waiting *waitingCall
	event   deduplicator.CallArrived
}

// idleQuestion asks whether every outcome is in the log.
type idleQuestion struct{ answer chan bool }

func (notice) command()       {}
func (newCall) command()      {}
func (idleQuestion) command() {}

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
		ring:      make(chan command, claimRingCapacity),
		done:      make(chan struct{}),
		calls:     make(map[identifier.RequestID]*waitingCall),
	}
}

// run enters a call and waits for its end.
func (c *claimer) run(ctx context.Context, call Call, hash uint64) (invoker.Answer, *refuser.Refusal) {
	now := time.Now()
	waiting := &waitingCall{call: call, ended: make(chan callEnd, 1)}
	entered := c.post(newCall{waiting: waiting, event: deduplicator.CallArrived{
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
	case end := <-waiting.ended:
		return end.answer, end.refusal
	case <-ctx.Done():
		c.post(notice{deduplicator.CallerLeft{Now: time.Now(), Request: call.Request}})
		return invoker.Answer{}, refuser.NewRefusal(refuser.CallerGone, refuser.OutcomeUnknown, "the caller left")
	case <-c.done:
		return endAtStop(waiting)
	}
}

// endAtStop returns the end of a call that may have come right before the stop.
func endAtStop(waiting *waitingCall) (invoker.Answer, *refuser.Refusal) {
	select {
	case end := <-waiting.ended:
		return end.answer, end.refusal
	default:
		return invoker.Answer{}, refuser.NewRefusal(refuser.KeyOutcomeUnknown, refuser.OutcomeUnknown, "the instance stopped")
	}
}

func (c *claimer) post(entry command) bool {
	select {
	case c.ring <- entry:
		return true
	case <-c.done:
		return false
	}
}

// awaitIdle returns when every outcome is in the log, when the claimer has ended, or when ctx ends.
func (c *claimer) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(claimTick)
	defer ticker.Stop()
	for {
		question := idleQuestion{answer: make(chan bool, 1)}
		if !c.post(question) {
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
	ticker := time.NewTicker(claimTick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			cancel()
			c.waitForTasks()
			return
		case result := <-c.reader.Results():
			c.take(ctx, result)
			c.reader.ReadFrom(c.core.NextOffset())
		case entry := <-c.ring:
			c.handle(ctx, entry)
		case now := <-ticker.C:
			c.feed(ctx, deduplicator.Ticked{Now: now, WallNow: now})
		}
	}
}

func (c *claimer) waitForTasks() {
	finished := waiter.Finished(&c.tasks)
	for {
		select {
		case <-c.ring:
		case <-c.reader.Results():
		case <-finished:
			return
		}
	}
}

func (c *claimer) take(ctx context.Context, result reader.Result) {
	switch {
	case result.Err != nil:
	case result.FirstAvailable > 0:
		c.feed(ctx, deduplicator.LogTrimmed{Now: result.Now, WallNow: result.Now, First: result.FirstAvailable})
	default:
		c.feed(ctx, deduplicator.RecordsRead{
			Now: result.Now, WallNow: result.Now, Entries: result.Entries, End: result.End,
		})
	}
}

func (c *claimer) handle(ctx context.Context, entry command) {
	switch e := entry.(type) {
	case newCall:
		c.calls[e.event.Request] = e.waiting
		c.feed(ctx, e.event)
	case idleQuestion:
		e.answer <- c.core.Idle()
	case notice:
		c.feed(ctx, e.event)
	}
}

func (c *claimer) feed(ctx context.Context, event deduplicator.Event) {
	for _, action := range c.core.Handle(event) {
		c.carryOut(ctx, action)
	}
}

func (c *claimer) carryOut(ctx context.Context, action deduplicator.Action) {
	switch a := action.(type) {
	case deduplicator.Append:
		c.append(a)
	case deduplicator.Dispatch:
		c.start(ctx, a)
	case deduplicator.Reply:
		header := http.Header{}
		header.Set("Content-Type", a.ContentType)
		c.end(a.Request, callEnd{answer: invoker.Answer{Status: a.Status, Header: header, Body: a.Answer}})
	case deduplicator.Refuse:
		c.log.Info().Str("event", "refused").Str("request", string(a.Request)).Int("code", int(a.Refusal.Code)).
			Stringer("effect", a.Refusal.Effect).Str("reason", a.Refusal.Message).Msg("Refused a service call")
		c.end(a.Request, callEnd{refusal: &a.Refusal})
	}
}

func (c *claimer) append(a deduplicator.Append) {
	c.committer.Submit(committer.Batch{
		Stream:  c.stream,
		Records: a.Records,
		Urgency: a.Urgency,
		Done: func(_ identifier.Offset, err error) {
			go c.post(notice{claimAppendEnded(a, err)})
		},
	})
}

func claimAppendEnded(a deduplicator.Append, err error) deduplicator.Event {
	if err == nil {
		return deduplicator.AppendSucceeded{Now: time.Now(), Records: a.IDs}
	}
	unknown := !errors.Is(err, appender.ErrUnavailable)
	return deduplicator.AppendFailed{Now: time.Now(), Records: a.IDs, Unknown: unknown}
}

// start sends the call of a won claim. A call that is no longer known was never sent.
func (c *claimer) start(ctx context.Context, d deduplicator.Dispatch) {
	waiting, ok := c.calls[d.Request]
	if !ok {
		return
	}
	call := waiting.call
	c.tasks.Go(func() {
		end := c.dispatch(ctx, call, d.Attempt)
		c.post(notice{deduplicator.DispatchEnded{
			Now:         time.Now(),
			Attempt:     d.Attempt,
			Result:      end.result,
			Status:      end.status,
			ContentType: end.contentType,
			Answer:      end.answer,
		}})
	})
}

func (c *claimer) end(request identifier.RequestID, end callEnd) {
	waiting, ok := c.calls[request]
	if !ok {
		return
	}
	delete(c.calls, request)
	waiting.ended <- end
}
