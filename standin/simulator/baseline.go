package simulator

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/scheduler"
)

// Limits of the baselines, tuned to the platform's reporting delays.
const (
	// baselineReportLag is how long the instance's own dispatches count on top of the reported load, which may not
	// include them yet.
	baselineReportLag = 2500 * time.Millisecond
	// baselineRetries is the largest number of retries per request.
	baselineRetries = 3
	// baselineCooldown is how long an engine is avoided after it failed an attempt.
	baselineCooldown = 2 * time.Second
)

// baseline is the decider of the baselines: it routes to the least-loaded engine or by round robin and retries failures
// until the deadline.
type baseline struct {
	prefix    string
	rotate    bool
	next      int
	attempts  int
	order     []identifier.UpstreamID
	engines   map[identifier.UpstreamID]*baselineEngine
	requests  map[identifier.RequestID]*baselineRequest
	byAttempt map[identifier.AttemptID]*baselineRequest
	deadlines []*baselineRequest
}

// baselineEngine holds an engine's last reported load and the instance's own recent dispatches to it.
type baselineEngine struct {
	id         identifier.UpstreamID
	load       scheduler.Load
	avoidUntil time.Time
	dispatched []baselineWork
}

// baselineWork is work dispatched by the instance that load reports may not include yet.
type baselineWork struct {
	at        time.Time
	prefill   identifier.Tokens
	decode    identifier.Tokens
	sequences int
}

// baselineRequest is the state of one request in flight.
type baselineRequest struct {
	arrived  scheduler.RequestArrived
	attempt  identifier.AttemptID
	received identifier.Tokens
	skip     identifier.Tokens
	retries  int
	done     bool
	engines  [2]identifier.UpstreamID
}

// newBaseline returns the decider of one instance. start is the position in the rotation; it should differ between
// instances.
func newBaseline(instance identifier.InstanceID, rotate bool, start int) *baseline {
	return &baseline{
		prefix: string(instance), rotate: rotate, next: start,
		engines: map[identifier.UpstreamID]*baselineEngine{}, requests: map[identifier.RequestID]*baselineRequest{},
		byAttempt: map[identifier.AttemptID]*baselineRequest{},
	}
}

// Handle processes one event and returns the resulting actions.
func (b *baseline) Handle(event scheduler.Event) []scheduler.Action {
	switch e := event.(type) {
	case scheduler.RequestArrived:
		r := &baselineRequest{arrived: e}
		b.requests[e.Request] = r
		b.deadlines = append(b.deadlines, r)
		return b.dispatch(e.Now, r)
	case scheduler.AttemptProgressed:
		if r := b.byAttempt[e.Attempt]; r != nil {
			r.received = r.skip + e.Output
		}
	case scheduler.AttemptFinished:
		return b.finish(e)
	case scheduler.AttemptFailed:
		return b.retry(e)
	case scheduler.CallerDisconnected:
		if r := b.requests[e.Request]; r != nil {
			return b.closeRequest(r, nil)
		}
	case scheduler.LoadReported:
		b.recordLoad(e.Upstream, e.Load)
	case scheduler.UpstreamListed:
		b.addEngine(e.Upstream)
	case scheduler.UpstreamRemoved:
		b.removeEngine(e.Upstream)
	case scheduler.Ticked:
		return b.expireRequests(e.Now)
	case scheduler.CacheChanged, scheduler.CallerLimitSet, scheduler.UpstreamDrained, scheduler.InstancesCounted:
	}
	return nil
}

// addEngine adds an engine to the rotation.
func (b *baseline) addEngine(id identifier.UpstreamID) {
	if b.engines[id] == nil {
		b.engines[id] = &baselineEngine{id: id}
		b.order = append(b.order, id)
	}
}

// removeEngine removes an engine from the rotation.
func (b *baseline) removeEngine(id identifier.UpstreamID) {
	delete(b.engines, id)
	for i, other := range b.order {
		if other == id {
			b.order = append(b.order[:i:i], b.order[i+1:]...)
			return
		}
	}
}

// recordLoad stores an engine's load unless a later report has been stored already.
func (b *baseline) recordLoad(id identifier.UpstreamID, load scheduler.Load) {
	if e := b.engines[id]; e != nil && load.Sequence >= e.load.Sequence {
		e.load = load
	}
}

// dispatch sends a request to the chosen engines, or refuses it if there is none.
func (b *baseline) dispatch(now time.Time, r *baselineRequest) []scheduler.Action {
	prefill, decode := b.chooseEngines(now, r)
	if prefill == nil {
		refusal := refuser.NewRefusal(refuser.NoUpstream, refuser.OutcomeUnknown, "no engine")
		return b.closeRequest(r, refusal)
	}
	b.attempts++
	r.attempt = identifier.AttemptID(fmt.Sprintf("%s-%d", b.prefix, b.attempts))
	r.skip = r.received
	r.engines = [2]identifier.UpstreamID{prefill.id, decode.id}
	b.byAttempt[r.attempt] = r
	expected := max(r.arrived.ExpectedOutput-r.skip, 1)
	prefill.dispatched = append(prefill.dispatched, baselineWork{at: now, prefill: r.arrived.Prompt + r.skip})
	decode.dispatched = append(decode.dispatched, baselineWork{at: now, decode: expected, sequences: 1})
	return []scheduler.Action{scheduler.Dispatch{
		Request: r.arrived.Request, Attempt: r.attempt, Prefill: prefill.id, Decode: decode.id,
		Priority: r.arrived.Priority, SkipOutput: r.skip, Reason: scheduler.Decision{Cause: "baseline"},
	}}
}

// finish completes the request of a finished attempt.
func (b *baseline) finish(e scheduler.AttemptFinished) []scheduler.Action {
	r := b.byAttempt[e.Attempt]
	if r == nil || r.done || r.attempt != e.Attempt {
		return nil
	}
	if e.Load != nil {
		b.recordLoad(r.engines[1], *e.Load)
	}
	r.done = true
	delete(b.byAttempt, e.Attempt)
	delete(b.requests, r.arrived.Request)
	return []scheduler.Action{scheduler.Complete{Request: r.arrived.Request, Attempt: e.Attempt}}
}

// retry dispatches a failed request again unless its deadline has passed or its retries are used up.
func (b *baseline) retry(e scheduler.AttemptFailed) []scheduler.Action {
	r := b.byAttempt[e.Attempt]
	if r == nil || r.done || r.attempt != e.Attempt {
		return nil
	}
	delete(b.byAttempt, e.Attempt)
	r.received = max(r.received, r.skip+e.Output)
	failed := r.engines[0]
	if e.Output > 0 {
		failed = r.engines[1]
	}
	b.coolDown(failed, e.Now)
	if e.Load != nil {
		b.recordLoad(r.engines[1], *e.Load)
	}
	if r.retries >= baselineRetries || !e.Now.Before(r.arrived.Deadline) {
		return b.closeRequest(r, refuser.NewRefusal(refuser.UpstreamFailed, refuser.OutcomeUnknown, "attempts failed"))
	}
	r.retries++
	return b.dispatch(e.Now, r)
}

// coolDown makes routing avoid an engine for the cooldown time.
func (b *baseline) coolDown(id identifier.UpstreamID, now time.Time) {
	if e := b.engines[id]; e != nil {
		e.avoidUntil = now.Add(baselineCooldown)
	}
}

// closeRequest closes a request, cancels its attempt and refuses it to the caller if a refusal is given.
func (b *baseline) closeRequest(r *baselineRequest, refusal *refuser.Refusal) []scheduler.Action {
	if r.done {
		return nil
	}
	r.done = true
	delete(b.requests, r.arrived.Request)
	var actions []scheduler.Action
	if b.byAttempt[r.attempt] == r {
		delete(b.byAttempt, r.attempt)
		actions = append(actions, scheduler.Cancel{Attempt: r.attempt})
	}
	if refusal != nil {
		actions = append(actions, scheduler.Refuse{Request: r.arrived.Request, Refusal: *refusal})
	}
	return actions
}

// expireRequests cancels and refuses requests past their deadline, so that engines spend no time on useless work.
func (b *baseline) expireRequests(now time.Time) []scheduler.Action {
	var actions []scheduler.Action
	kept := b.deadlines[:0]
	for _, r := range b.deadlines {
		if r.done {
			continue
		}
		if now.After(r.arrived.Deadline) {
			actions = append(actions, b.closeRequest(
				r, refuser.NewRefusal(refuser.DeadlineExceeded, refuser.OutcomeUnknown, "too late"),
			)...)
			continue
		}
		kept = append(kept, r)
	}
	clear(b.deadlines[len(kept):])
	b.deadlines = kept
	return actions
}
