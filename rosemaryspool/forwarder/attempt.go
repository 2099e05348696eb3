package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
)

const (
	// maxSends bounds the dispatches of one request, rejected ones included.
	maxSends = 4
	// freshIdle is the idle time up to which a kept connection may carry a request that must not be repeated: the
	// upstream has hardly closed it meanwhile.
	maxIdleNonIdempotent = 800 * time.Millisecond
	// repeatableIdle is the same for requests that may be repeated.
	maxIdleIdempotent = 10 * time.Second
	// dropTimeout bounds the call that frees a read prompt which nobody will use.
	dropCacheTimeout = time.Second
	// readPatience and readFactor bound the wait for a prompt's read: beyond them the engine runs the request itself.
	prefillTimeoutBase = 120 * time.Millisecond
	prefillTimeoutFactor   = 4
	// handleBytes bounds the answer to a prompt's read.
	maxHandleBytes = 4 << 10
	// overdueLeast and overdueFactor say when a request that shows no sign of life is looked at: several times what a busy
	// upstream takes.
	minOverdue  = 200 * time.Millisecond
	overdueFactor = 4
	// leastRest is the least time to the deadline at which a request is sent once more.
	minTimeLeft = 20 * time.Millisecond
)

// ending is how an attempt ended, as far as the next step depends on it.
type attemptResult int

const (
	// delivered means that the caller has the answer, or as much of it as there will be.
	delivered attemptResult = iota + 1
	// notRun means that the request certainly did not run.
	notExecuted
	// uncertain means that the request may have run and the caller has no answer.
	maybeExecuted
	// failedAnswer means that the upstream ran the request and answered with a failure.
	upstreamError
	// canceled means that nobody waits any more.
	canceled
	// broken means that the answer ended in the middle of its way to the caller.
	truncated
)

// attempt is one dispatch of a request.
type attempt struct {
	placement   allocator.Placement
	entry   tracker.Entry
	sentAt  time.Time
	firstEventAt time.Time
	// eventAt is when the last events arrived, longestPause the longest time between two arrivals.
	lastEventAt      time.Time
	longestPause time.Duration
	// handle names the read prompt at the place's reader, source where upstreams fetch it.
	cacheHandle string
	cacheSource string
	status int
	err    error
	answer *storedAnswer
	// alive ends the watch for a sign of life.
	stopWatch func()
}

// progressed notes that events arrived, or that the stream ended.
func (a *attempt) recordActivity(now time.Time) {
	if !a.lastEventAt.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
}

// describe adds what decided an attempt and how it went to a log line.
func (a attempt) describe(line *zerolog.Event) *zerolog.Event {
	line = line.Str("upstream", string(a.placement.Upstream)).Dur("predictedMs", a.placement.Predicted).Int("upstreamStatus", a.status)
	line = describeLoad(line, a.placement.Ahead, a.placement.PeerAge)
	if a.placement.Prefiller != "" {
		line = line.Str("reader", string(a.placement.Prefiller)).Int("readerAhead", int(a.placement.PrefillerAhead.QueuedPrefill))
	}
	if !a.firstEventAt.IsZero() {
		line = line.Dur("firstMs", a.firstEventAt.Sub(a.sentAt)).Dur("longestPauseMs", a.longestPause)
	}
	if a.err != nil {
		line = line.AnErr("error", a.err)
	}
	return line
}

// describeLoad adds the work that a decision counted, and the age of the oldest report behind it.
func describeLoad(line *zerolog.Event, ahead allocator.Load, age time.Duration) *zerolog.Event {
	return line.Int("aheadShort", ahead.Short).Int("aheadLong", ahead.Long).Int("aheadComing", ahead.AwaitingPrefill).
		Int("aheadReading", int(ahead.QueuedPrefill)).Dur("peerAgeMs", age)
}

// run sends the request until it is answered or nothing more may be tried.
func (e *exchange) run() result {
	var stored *storedAnswer
	for {
		place, refusal := e.forwarder.governor.Place(time.Now(), e.placementRequest())
		if refusal != nil {
			e.refusal = refusal
			return e.giveUp(string(refusal.Reason), refusal.RetryAfter, stored)
		}
		end := e.attempt(place)
		if e.last.answer != nil {
			stored = e.last.answer
		}
		switch end {
		case delivered:
			return result{outcome: outcomeServed, status: e.last.status, cause: "answered"}
		case canceled:
			return result{outcome: outcomeCanceled, cause: "callerLeft", abort: true}
		case maybeExecuted, upstreamError, truncated:
			e.runs++
		}
		if cause := e.checkRetry(end); cause != "" {
			return e.giveUp(cause, 0, stored)
		}
	}
}

// mayRepeat takes a repeat out of the budget; it returns the reason when the request must not be sent again.
func (e *exchange) checkRetry(end attemptResult) string {
	now := time.Now()
	repeatable := end == notExecuted || e.route.Idempotent
	switch {
	case e.request.Context().Err() != nil:
		return "callerLeft"
	case e.deadline.Sub(now) < minTimeLeft:
		return "deadline"
	case !repeatable:
		return "mayHaveRun"
	case e.runs >= e.route.MaxAttempts:
		return "attemptsUsed"
	case e.sends >= maxSends:
		return "sendsUsed"
	case !e.forwarder.governor.TryRetry(now, e.service):
		return "repeatBudget"
	}
	e.tried = append(e.tried, e.last.placement.Upstream)
	return ""
}

// giveUp ends a request that won't be sent again. Only a request that has never been sent where it may have run is refused.
func (e *exchange) giveUp(cause string, retry time.Duration, stored *storedAnswer) result {
	switch {
	case e.request.Context().Err() != nil:
		return result{outcome: outcomeCanceled, cause: "callerLeft", abort: true}
	case e.headerSent:
		return result{outcome: outcomeFailed, cause: cause, abort: true}
	case stored != nil:
		e.deliver(stored)
		return result{outcome: outcomeFailed, status: stored.status, cause: "upstreamFailed:" + cause}
	case e.runs == 0:
		return e.refuse(cause, max(retry, e.last.placement.Predicted))
	case time.Until(e.deadline) <= minTimeLeft:
		return e.respondError(http.StatusGatewayTimeout, outcomeFailed, cause)
	default:
		return e.respondError(http.StatusBadGateway, outcomeFailed, cause)
	}
}

// attempt sends the request to a place and passes the answer on.
func (e *exchange) attempt(place allocator.Placement) attemptResult {
	e.last = attempt{placement: place}
	outcome := allocator.OutcomeCancelled
	defer func() { e.forwarder.governor.Ended(time.Now(), e.last.sentAt, e.last.placement, outcome) }()
	entry, listed := e.forwarder.governor.Entry(place.Upstream)
	if !listed {
		return notExecuted
	}
	e.last.entry = entry
	if place.Prefiller != "" && !e.prefill() {
		if e.ctx.Err() != nil {
			return e.unsentResult()
		}
		e.singleUpstream = true
		if !e.forwarder.governor.TryRetry(time.Now(), e.service) {
			return notExecuted
		}
	}
	var end attemptResult
	end, outcome = e.send()
	if e.last.cacheSource != "" && end == notExecuted {
		e.dropCache()
	}
	return end
}

// unsentEnding is the ending of a request whose time ended before it was sent to where it would have run.
func (e *exchange) unsentResult() attemptResult {
	if e.request.Context().Err() != nil {
		return canceled
	}
	return notExecuted
}

// readPrompt has the prompt read at the place's reader; false when the upstream has to read it itself.
func (e *exchange) prefill() bool {
	place := e.last.placement
	outcome := allocator.OutcomeCancelled
	defer func() { e.forwarder.governor.PrefillEnded(time.Now(), &e.last.placement, outcome) }()
	reader, listed := e.forwarder.governor.Entry(place.Prefiller)
	if !listed {
		return false
	}
	ctx, cancel := context.WithTimeout(e.ctx, prefillTimeoutBase+prefillTimeoutFactor*place.Predicted)
	defer cancel()
	answer, err := e.sendTo(ctx, reader, platform.Send{Upstream: reader.Upstream, PromptOnly: true})
	if err != nil {
		outcome = failureOutcome(e.ctx, err)
		e.last.err = err
		return false
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHandleBytes))
	answer.Close(err == nil)
	switch {
	case answer.Status != http.StatusOK:
		outcome = allocator.OutcomeRejected
		return false
	case err != nil:
		outcome = allocator.OutcomeFailed
		e.last.err = err
		return false
	}
	handle, err := platform.CacheHandle(body)
	if err != nil {
		outcome = allocator.OutcomeFailed
		e.last.err = err
		return false
	}
	outcome = allocator.OutcomeCompleted
	e.last.cacheHandle = handle
	e.last.cacheSource = platform.CacheSource(reader.Address, handle)
	return true
}

// dropCache frees a read prompt that nobody will use.
func (e *exchange) dropCache() {
	reader, listed := e.forwarder.governor.Entry(e.last.placement.Prefiller)
	if !listed {
		return
	}
	handle := e.last.cacheHandle
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropCacheTimeout)
		defer cancel()
		answer, err := e.forwarder.connector.Exchange(ctx, connector.Request{
			Address: reader.Address, Method: http.MethodDelete, URI: platform.DropCachePath(handle), Host: reader.Address,
			Header: http.Header{}, Limit: e.forwarder.governor.ConnectionLimit(e.service), MaxIdle: maxIdleNonIdempotent,
			Belongs: func(h http.Header) (bool, bool) { return platform.Answers(h, "") },
		})
		if err != nil {
			// The upstream drops it by itself after its retention time.
			e.forwarder.log.Debug().Err(err).Str("event", "cacheNotDropped").Str("handle", handle).Msg("Dropping a read prompt failed")
			return
		}
		answer.Close(false)
	}()
}

// send runs the request at the place's upstream.
func (e *exchange) send() (attemptResult, allocator.Outcome) {
	e.sends++
	e.last.sentAt = time.Now()
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	e.last.stopWatch = e.watchOverdue(cancel)
	defer e.last.stopWatch()
	answer, err := e.sendTo(ctx, e.last.entry, platform.Send{
		Upstream: e.last.entry.Upstream, CacheSource: e.last.cacheSource, LastEvent: e.lastEventID(),
	})
	if err != nil {
		e.last.err = err
		outcome := failureOutcome(e.ctx, err)
		switch {
		case errors.Is(err, connector.ErrUnreachable), errors.Is(err, connector.ErrNoConnection):
			return notExecuted, outcome
		case e.request.Context().Err() != nil:
			return canceled, outcome
		}
		return maybeExecuted, outcome
	}
	e.last.status = answer.Status
	if platform.NotExecuted(answer.Status, answer.Header) {
		_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxHandleBytes))
		answer.Close(err == nil)
		return notExecuted, allocator.OutcomeRejected
	}
	if e.route.Streaming && answer.Status < http.StatusMultipleChoices {
		return e.relayStream(answer)
	}
	return e.relayBuffered(answer)
}

// watch looks at an attempt that shows no sign of life. If its upstream is silent altogether and the request may run
// elsewhere, the attempt is ended. The returned function ends the watch; it may be called more than once.
func (e *exchange) watchOverdue(end context.CancelFunc) func() {
	id := e.last.placement.Upstream
	repeatable := e.route.Idempotent && e.runs+1 < e.route.MaxAttempts
	timer := time.AfterFunc(max(minOverdue, overdueFactor*e.last.placement.Predicted), func() {
		if e.forwarder.governor.RecordOverdue(time.Now(), id) && repeatable {
			end()
		}
	})
	return func() { timer.Stop() }
}

// exchangeWith sends the caller's request with the headers of one dispatch.
func (e *exchange) sendTo(ctx context.Context, to tracker.Entry, s platform.Send) (*connector.Answer, error) {
	idle := maxIdleNonIdempotent
	if e.route.Idempotent || s.PromptOnly {
		idle = maxIdleIdempotent
	}
	s.Left = time.Until(e.deadline)
	s.Priority = -1
	if e.engine {
		s.Priority = min(lowestPriority, basePriority+e.route.Rank)
	}
	return e.forwarder.connector.Exchange(ctx, connector.Request{
		Address: to.Address, Method: e.request.Method, URI: e.request.RequestURI, Host: e.request.Host,
		Header: platform.EncodeHeaders(e.request.Header, s), Body: e.body,
		Limit: e.forwarder.governor.ConnectionLimit(e.service), MaxIdle: idle,
		Belongs: func(h http.Header) (bool, bool) { return platform.Answers(h, e.caller.ID) },
	})
}

// Priorities at engines, 0 first: routes in the order of their ranks.
const (
	basePriority  = 2
	lowestPriority = 9
)

// outcomeOf tells the allocator how an exchange failed. An end that the caller or this instance brought about says nothing
// against the upstream, unless the upstream never answered.
func failureOutcome(request context.Context, err error) allocator.Outcome {
	switch {
	case errors.Is(err, connector.ErrNoConnection):
		return allocator.OutcomeCancelled
	case errors.Is(err, connector.ErrUnreachable):
		return allocator.OutcomeUnreachable
	case request.Err() == context.Canceled:
		return allocator.OutcomeCancelled
	default:
		return allocator.OutcomeFailed
	}
}
