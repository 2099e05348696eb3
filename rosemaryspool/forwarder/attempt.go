package forwarder

import (
	"cmp"
	"context"
	"errors"
	"time"

	"rosemaryspool.example/adaptor/bounder"
	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
)

const (
	// maxSends bounds the dispatches of one request, including rejected ones.
	maxSends = 4
	// maxUnsent is the number of attempts that reach no upstream after which another instance is to try.
	maxUnsent = 2
	// maxIdleNonIdempotent is how long a kept-alive connection may have been idle to carry a request that must not be
	// repeated. A longer idle time raises the risk that the upstream closes the connection as the request is sent.
	maxIdleNonIdempotent = 800 * time.Millisecond
	// maxIdleIdempotent is the same limit for requests that may be repeated.
	maxIdleIdempotent = 10 * time.Second
	// maxHandleBytes bounds the response to a prefill, which holds the cache handle, and the body of a rejection.
	maxHandleBytes = 4 << 10
	// refusalTimeout bounds the wait for the body of a rejection, which is read only to keep the connection.
	refusalTimeout = 50 * time.Millisecond
	// A request counts as overdue when nothing has arrived after overdueFactor times its predicted latency, and after
	// minOverdue at least. That is several times what a busy upstream takes.
	minOverdue    = 200 * time.Millisecond
	overdueFactor = 4
	// minTimeLeft is the minimum time to the deadline for another dispatch.
	minTimeLeft = 20 * time.Millisecond
)

// attemptResult is how an attempt ended. It decides whether the request is sent again.
type attemptResult int

const (
	// delivered means that the caller has the response, or as much of it as could be written.
	delivered attemptResult = iota + 1
	// notExecuted means that the request certainly did not run on the upstream.
	notExecuted
	// maybeExecuted means that the request may have run, and nothing was written to the caller.
	maybeExecuted
	// upstreamError means that the upstream ran the request and responded with a server error.
	upstreamError
	// canceled means that the caller disconnected.
	canceled
	// truncated means that the response broke off after a part of it was written to the caller.
	truncated
)

// attempt is one dispatch of a request to an upstream.
type attempt struct {
	// peer is the instance that serves the request instead of this one; empty if none does.
	peer         identifier.InstanceID
	placement    allocator.Placement
	entry        tracker.Entry
	sentAt       time.Time
	firstEventAt time.Time
	// lastEventAt is when the latest events arrived, longestPause the longest time between two arrivals.
	lastEventAt  time.Time
	longestPause time.Duration
	// progressAt is the start of the time whose events progressEvents counts, for a long answer.
	progressAt     time.Time
	progressEvents int
	// prefillTime is how long the separate prefill took, zero if there was none.
	prefillTime time.Duration
	// cacheHandle identifies the KV cache at the prefill engine, cacheSource is where the decode engine fetches it.
	cacheHandle string
	cacheSource string
	status      int
	err         error
	response    *storedResponse
	// discarded is why nothing of the upstream's answer was written; empty if it wasn't discarded.
	discarded string
	// brokenOff is true if the connection ended before the response.
	brokenOff bool
	// known is true if the response is surely from the process that entry describes.
	known bool
	// since is a time from which on that process is known to have run.
	since time.Time
	// listedAfter is how long after the begin of that process's connection the newest list was read that this instance knew as
	// the stream began; negative if it was read before.
	listedAfter time.Duration
	// unsent is true if no upstream has received anything of the request.
	unsent bool
	// answered is true once the response counts as one that the upstream has survived.
	answered bool
	// stopWatch stops the timer for an overdue first byte or event.
	stopWatch func()
}

// recordActivity records that events arrived or that the stream ended, and updates longestPause.
func (a *attempt) recordActivity(now time.Time) {
	if !a.lastEventAt.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
}

// progressInterval is the least time between two records of a long answer's progress.
const progressInterval = 500 * time.Millisecond

// countProgress counts events that have arrived of a long answer, and tells the governor from time to time.
func (e *exchange) countProgress(now time.Time, events int) {
	a := &e.last
	if !a.placement.Long {
		return
	}
	if a.progressAt.IsZero() {
		a.progressAt = now
		return
	}
	a.progressEvents += events
	if took := now.Sub(a.progressAt); took >= progressInterval {
		e.forwarder.governor.Progressed(now, a.placement, a.progressEvents, took)
		a.progressAt, a.progressEvents = now, 0
	}
}

// run dispatches the request until a response is delivered or the request must not be sent again.
func (e *exchange) run() result {
	var stored *storedResponse
	for {
		if r, done := e.detour(); done {
			return r
		}
		placement, refusal := e.forwarder.delegator.Place(e.ctx, e.placementRequest())
		if refusal != nil {
			if e.forwarder.isStopped() {
				return e.giveUp(causeStopping, 0, stored)
			}
			if e.changeService(refusal) {
				continue
			}
			e.refusal = refusal
			if r, done := e.reroute(string(refusal.Reason)); done {
				return r
			}
			return e.giveUp(string(refusal.Reason), refusal.RetryAfter, stored)
		}
		end := e.attempt(placement)
		if e.last.response != nil {
			stored = e.last.response
		}
		switch end {
		case delivered:
			return result{outcome: outcomeServed, status: e.last.status, cause: "answered"}
		case canceled:
			return result{outcome: outcomeCanceled, cause: "callerLeft", abort: true}
		case maybeExecuted, upstreamError, truncated:
			e.runs++
		}
		cause := e.checkRetry(end)
		if r, done := e.reroute(cmp.Or(cause, e.unsentCause())); done {
			return r
		}
		if cause != "" {
			return e.giveUp(cause, 0, stored)
		}
	}
}

// attempt dispatches the request to a placement and forwards the response.
func (e *exchange) attempt(placement allocator.Placement) attemptResult {
	e.last = attempt{placement: placement}
	outcome := allocator.OutcomeCancelled
	defer func() { e.forwarder.governor.Ended(time.Now(), e.last.sentAt, e.last.placement, outcome) }()
	entry, listed := e.forwarder.governor.Entry(placement.Upstream)
	if !listed || entry.Service != e.service || e.keyRefusal() != "" || e.forwarder.isStopped() {
		e.last.unsent = true
		return notExecuted
	}
	e.last.entry = entry
	if placement.Prefiller != "" && !e.prefill() {
		if e.ctx.Err() != nil {
			return e.unsentResult()
		}
		e.singleUpstream = true
		if !e.last.unsent && !e.takeRetry() {
			return notExecuted
		}
		e.last.unsent = false
	}
	if current, _ := e.forwarder.governor.Entry(placement.Upstream); current.Incarnation != entry.Incarnation ||
		current.Service != e.service || !e.forwarder.governor.AcceptsWork(time.Now(), placement.Upstream) || e.keyRefusal() != "" {
		// The upstream restarted, changed its service or began to leave during the prefill, or asked this instance to wait, or
		// the key was removed.
		e.dropCache()
		return notExecuted
	}
	var end attemptResult
	end, outcome = e.send()
	e.recordEvidence(end)
	if end == notExecuted {
		e.dropCache()
	}
	return end
}

// unsentResult returns the result of an attempt whose context ended before the request was sent to the decode engine.
func (e *exchange) unsentResult() attemptResult {
	if e.request.Context().Err() != nil {
		return canceled
	}
	return notExecuted
}

// send runs the request on the placement's upstream.
func (e *exchange) send() (attemptResult, allocator.Outcome) {
	e.sends++
	e.last.sentAt = time.Now()
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	e.last.stopWatch = e.watchOverdue(cancel)
	defer e.last.stopWatch()
	dispatch := platform.Dispatch{
		Upstream: e.last.entry.Upstream, KVSource: e.last.cacheSource, LastEventID: e.response.LastEventID(),
	}
	response, err := e.sendTo(ctx, e.last.entry, dispatch)
	if errors.Is(err, connector.ErrUnknownProcess) && e.streamVersion == nil {
		// A stream may begin at an unknown version, but not with the KV cache of another one.
		e.dropCache()
		e.last.cacheSource, dispatch.KVSource = "", ""
		response, err = e.sendTo(ctx, e.last.entry, dispatch)
	}
	refused := err == nil && response.Identified && platform.NotExecuted(response.Status, response.Header)
	e.recordSend(kindRequest, string(e.last.entry.Upstream), e.last.sentAt, response, refused)
	if err != nil {
		e.last.err = err
		e.last.brokenOff = isBrokenOff(ctx, err)
		outcome := failureOutcome(e.ctx, err, time.Since(e.last.sentAt))
		e.recordUnreached(e.last.entry, outcome, err)
		switch {
		case connector.NotSent(err):
			e.last.unsent = true
			return notExecuted, outcome
		case e.request.Context().Err() != nil:
			return canceled, outcome
		}
		return maybeExecuted, outcome
	}
	e.last.status, e.last.known, e.last.since = response.Status, response.Known, response.Since
	if e.route.Streaming {
		e.last.listedAfter = e.forwarder.governor.ListedAt().Sub(response.Since)
	}
	if refused {
		e.recordRefusal(e.last.entry.Upstream)
		timer := time.AfterFunc(refusalTimeout, cancel)
		_, err := bounder.ReadAll(response.Body, maxHandleBytes)
		timer.Stop()
		response.Close(err == nil)
		return notExecuted, rejectedOutcome(response)
	}
	return e.relay(ctx, response)
}

// rejectedOutcome classifies a rejection for the allocator. One that asks this instance to wait says nothing about the
// upstream for the others.
func rejectedOutcome(response *connector.Response) allocator.Outcome {
	if platform.AsksToWait(response.Status, response.Header) {
		return allocator.OutcomeCancelled
	}
	return allocator.OutcomeRejected
}

// watchOverdue starts a timer that reports the attempt as overdue. If the upstream is ejected for that and the request
// may run elsewhere, the attempt is cancelled. The returned function stops the timer; it may be called more than once.
func (e *exchange) watchOverdue(cancel context.CancelFunc) func() {
	entry := e.last.entry
	repeatable := e.route.Idempotent && e.runs+1 < e.route.MaxAttempts
	timer := time.AfterFunc(max(minOverdue, overdueFactor*e.last.placement.Predicted), func() {
		e.forwarder.governor.RecordUnreached(time.Now(), entry)
		if e.forwarder.governor.RecordOverdue(time.Now(), entry.Upstream) && repeatable {
			cancel()
		}
	})
	return func() { timer.Stop() }
}

// recordUnreached records an exchange that ended without a response, unless the caller ended it.
func (e *exchange) recordUnreached(entry tracker.Entry, outcome allocator.Outcome, err error) {
	if errors.Is(err, connector.ErrRefused) {
		e.forwarder.governor.RecordRefusedConnection(time.Now(), entry)
	}
	if outcome == allocator.OutcomeUnreachable || outcome == allocator.OutcomeFailed {
		e.forwarder.governor.RecordUnreached(time.Now(), entry)
	}
}

// sendTo sends the caller's request to an upstream with the headers of one dispatch.
func (e *exchange) sendTo(ctx context.Context, to tracker.Entry, s platform.Dispatch) (*connector.Response, error) {
	idle := maxIdleNonIdempotent
	if e.route.Idempotent || s.PrefillOnly {
		idle = maxIdleIdempotent
	}
	s.Timeout = time.Until(e.deadline)
	s.Priority = -1
	if e.engine {
		s.Priority = e.enginePriority()
	}
	s.ReplacesKey, s.Caller = e.replacesKey, e.callerID()
	r := connector.Request{
		Upstream: to, ID: e.caller.ID, Method: e.request.Method, URI: e.request.RequestURI, Host: e.request.Host,
		Header: platform.EncodeHeaders(e.request.Header, s), Body: e.body,
		Limit: e.forwarder.governor.ConnectionLimit(e.service), MaxIdle: idle,
		KnownOnly: e.streamVersion != nil || s.PrefillOnly || s.KVSource != "",
	}
	if e.route.Streaming {
		r.Knows = func(since time.Time) bool { return e.forwarder.governor.KnowsProcess(to, since) }
	}
	if e.streamVersion != nil && !s.PrefillOnly && e.forwarder.governor.ReadsListAtOnce() {
		r.Confirm = func(since time.Time) bool {
			return e.forwarder.governor.AwaitProcess(ctx, resumer.NewProcess(to, since))
		}
	}
	return e.forwarder.connector.Exchange(ctx, r)
}

// Priorities that engines receive; 0 is the highest. Requests get them in the order of their ranks, those beyond their
// account's share that of the least urgent ones. Deferred requests alone have the lowest one.
const (
	basePriority   = 2
	lowestPriority = 9
)

// enginePriority returns the priority of the request at its placement.
func (e *exchange) enginePriority() int {
	rank := e.rank()
	switch placement := e.last.placement; {
	case placement.Deferred:
		return lowestPriority
	case placement.Level > 0:
		rank = int(placement.Level) - 1
	}
	return min(lowestPriority-1, basePriority+rank)
}

// failureOutcome classifies an exchange for the allocator that has failed after some time. A caller that disconnects and a
// lack of free connections don't count against the upstream; a passed deadline and an attempt that is cancelled as overdue
// do. A connection that took so long to open shows no error of the upstream: it was not reached.
func failureOutcome(request context.Context, err error, took time.Duration) allocator.Outcome {
	switch {
	case errors.Is(err, connector.ErrNoConnection), errors.Is(err, connector.ErrUnknownProcess):
		return allocator.OutcomeCancelled
	case errors.Is(err, connector.ErrUnreachable):
		return allocator.OutcomeUnreachable
	case request.Err() == context.Canceled:
		return allocator.OutcomeCancelled
	case errors.Is(err, connector.ErrDialAborted) && took < minOverdue:
		return allocator.OutcomeCancelled
	case errors.Is(err, connector.ErrDialAborted):
		return allocator.OutcomeUnreachable
	default:
		return allocator.OutcomeFailed
	}
}
