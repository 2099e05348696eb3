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
	freshIdle = 800 * time.Millisecond
	// repeatableIdle is the same for requests that may be repeated.
	repeatableIdle = 10 * time.Second
	// dropTimeout bounds the call that frees a read prompt which nobody will use.
	dropTimeout = time.Second
	// readPatience and readFactor bound the wait for a prompt's read: beyond them the engine runs the request itself.
	readPatience = 120 * time.Millisecond
	readFactor   = 4
	// handleBytes bounds the answer to a prompt's read.
	handleBytes = 4 << 10
	// overdueLeast and overdueFactor say when a request that shows no sign of life is looked at: several times what a busy
	// upstream takes.
	overdueLeast  = 200 * time.Millisecond
	overdueFactor = 4
	// leastRest is the least time to the deadline at which a request is sent once more.
	leastRest = 20 * time.Millisecond
)

// ending is how an attempt ended, as far as the next step depends on it.
type ending int

const (
	// delivered means that the caller has the answer, or as much of it as there will be.
	delivered ending = iota + 1
	// notRun means that the request certainly did not run.
	notRun
	// uncertain means that the request may have run and the caller has no answer.
	uncertain
	// failedAnswer means that the upstream ran the request and answered with a failure.
	failedAnswer
	// canceled means that nobody waits any more.
	canceled
	// broken means that the answer ended in the middle of its way to the caller.
	broken
)

// attempt is one dispatch of a request.
type attempt struct {
	place   allocator.Placement
	entry   tracker.Entry
	sentAt  time.Time
	firstAt time.Time
	// eventAt is when the last events arrived, longestPause the longest time between two arrivals.
	eventAt      time.Time
	longestPause time.Duration
	// handle names the read prompt at the place's reader, source where upstreams fetch it.
	handle string
	source string
	status int
	err    error
	answer *storedAnswer
	// alive ends the watch for a sign of life.
	alive func()
}

// progressed notes that events arrived, or that the stream ended.
func (a *attempt) progressed(now time.Time) {
	if !a.eventAt.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.eventAt))
	}
	a.eventAt = now
}

// describe adds what decided an attempt and how it went to a log line.
func (a attempt) describe(line *zerolog.Event) *zerolog.Event {
	line = line.Str("upstream", string(a.place.Upstream)).Dur("predictedMs", a.place.Predicted).Int("upstreamStatus", a.status)
	line = describeLoad(line, a.place.Ahead, a.place.PeerAge)
	if a.place.Prefiller != "" {
		line = line.Str("reader", string(a.place.Prefiller)).Int("readerAhead", int(a.place.PrefillerAhead.QueuedPrefill))
	}
	if !a.firstAt.IsZero() {
		line = line.Dur("firstMs", a.firstAt.Sub(a.sentAt)).Dur("longestPauseMs", a.longestPause)
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
		place, refusal := e.forwarder.governor.Place(time.Now(), e.ask())
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
		case uncertain, failedAnswer, broken:
			e.runs++
		}
		if cause := e.mayRepeat(end); cause != "" {
			return e.giveUp(cause, 0, stored)
		}
	}
}

// mayRepeat takes a repeat out of the budget; it returns the reason when the request must not be sent again.
func (e *exchange) mayRepeat(end ending) string {
	now := time.Now()
	repeatable := end == notRun || e.route.Idempotent
	switch {
	case e.request.Context().Err() != nil:
		return "callerLeft"
	case e.deadline.Sub(now) < leastRest:
		return "deadline"
	case !repeatable:
		return "mayHaveRun"
	case e.runs >= e.route.MaxAttempts:
		return "attemptsUsed"
	case e.sends >= maxSends:
		return "sendsUsed"
	case !e.forwarder.governor.SpendRepeat(now, e.service):
		return "repeatBudget"
	}
	e.tried = append(e.tried, e.last.place.Upstream)
	return ""
}

// giveUp ends a request that won't be sent again. Only a request that has never been sent where it may have run is refused.
func (e *exchange) giveUp(cause string, retry time.Duration, stored *storedAnswer) result {
	switch {
	case e.request.Context().Err() != nil:
		return result{outcome: outcomeCanceled, cause: "callerLeft", abort: true}
	case e.head:
		return result{outcome: outcomeFailed, cause: cause, abort: true}
	case stored != nil:
		e.deliver(stored)
		return result{outcome: outcomeFailed, status: stored.status, cause: "upstreamFailed:" + cause}
	case e.runs == 0:
		return e.refuse(cause, max(retry, e.last.place.Predicted))
	case time.Until(e.deadline) <= leastRest:
		return e.fail(http.StatusGatewayTimeout, outcomeFailed, cause)
	default:
		return e.fail(http.StatusBadGateway, outcomeFailed, cause)
	}
}

// attempt sends the request to a place and passes the answer on.
func (e *exchange) attempt(place allocator.Placement) ending {
	e.last = attempt{place: place}
	outcome := allocator.OutcomeCancelled
	defer func() { e.forwarder.governor.Ended(time.Now(), e.last.sentAt, e.last.place, outcome) }()
	entry, listed := e.forwarder.governor.Entry(place.Upstream)
	if !listed {
		return notRun
	}
	e.last.entry = entry
	if place.Prefiller != "" && !e.readPrompt() {
		if e.ctx.Err() != nil {
			return e.unsentEnding()
		}
		e.whole = true
		if !e.forwarder.governor.SpendRepeat(time.Now(), e.service) {
			return notRun
		}
	}
	var end ending
	end, outcome = e.send()
	if e.last.source != "" && end == notRun {
		e.dropCache()
	}
	return end
}

// unsentEnding is the ending of a request whose time ended before it was sent to where it would have run.
func (e *exchange) unsentEnding() ending {
	if e.request.Context().Err() != nil {
		return canceled
	}
	return notRun
}

// readPrompt has the prompt read at the place's reader; false when the upstream has to read it itself.
func (e *exchange) readPrompt() bool {
	place := e.last.place
	outcome := allocator.OutcomeCancelled
	defer func() { e.forwarder.governor.ReadEnded(time.Now(), &e.last.place, outcome) }()
	reader, listed := e.forwarder.governor.Entry(place.Prefiller)
	if !listed {
		return false
	}
	ctx, cancel := context.WithTimeout(e.ctx, readPatience+readFactor*place.Predicted)
	defer cancel()
	answer, err := e.exchangeWith(ctx, reader, platform.Dispatch{Upstream: reader.Upstream, PrefillOnly: true})
	if err != nil {
		outcome = outcomeOf(e.ctx, err)
		e.last.err = err
		return false
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, handleBytes))
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
	handle, err := platform.DecodeKVHandle(body)
	if err != nil {
		outcome = allocator.OutcomeFailed
		e.last.err = err
		return false
	}
	outcome = allocator.OutcomeCompleted
	e.last.handle = handle
	e.last.source = platform.KVSource(reader.Address, handle)
	return true
}

// dropCache frees a read prompt that nobody will use.
func (e *exchange) dropCache() {
	reader, listed := e.forwarder.governor.Entry(e.last.place.Prefiller)
	if !listed {
		return
	}
	handle := e.last.handle
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		answer, err := e.forwarder.connector.Exchange(ctx, connector.Request{
			Address: reader.Address, Method: http.MethodDelete, URI: platform.KVHandlePath(handle), Host: reader.Address,
			Header: http.Header{}, Limit: e.forwarder.governor.Connections(e.service), MaxIdle: freshIdle,
			Matches: func(h http.Header) (bool, bool) { return platform.MatchesRequest(h, "") },
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
func (e *exchange) send() (ending, allocator.Outcome) {
	e.sends++
	e.last.sentAt = time.Now()
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	e.last.alive = e.watch(cancel)
	defer e.last.alive()
	answer, err := e.exchangeWith(ctx, e.last.entry, platform.Dispatch{
		Upstream: e.last.entry.Upstream, KVSource: e.last.source, LastEventID: e.resumeAfter(),
	})
	if err != nil {
		e.last.err = err
		outcome := outcomeOf(e.ctx, err)
		switch {
		case errors.Is(err, connector.ErrUnreachable), errors.Is(err, connector.ErrNoConnection):
			return notRun, outcome
		case e.request.Context().Err() != nil:
			return canceled, outcome
		}
		return uncertain, outcome
	}
	e.last.status = answer.Status
	if platform.NotExecuted(answer.Status, answer.Header) {
		_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, handleBytes))
		answer.Close(err == nil)
		return notRun, allocator.OutcomeRejected
	}
	if e.route.Streaming && answer.Status < http.StatusMultipleChoices {
		return e.relayStream(answer)
	}
	return e.relayWhole(answer)
}

// watch looks at an attempt that shows no sign of life. If its upstream is silent altogether and the request may run
// elsewhere, the attempt is ended. The returned function ends the watch; it may be called more than once.
func (e *exchange) watch(end context.CancelFunc) func() {
	id := e.last.place.Upstream
	repeatable := e.route.Idempotent && e.runs+1 < e.route.MaxAttempts
	timer := time.AfterFunc(max(overdueLeast, overdueFactor*e.last.place.Predicted), func() {
		if e.forwarder.governor.Overdue(time.Now(), id) && repeatable {
			end()
		}
	})
	return func() { timer.Stop() }
}

// exchangeWith sends the caller's request with the headers of one dispatch.
func (e *exchange) exchangeWith(ctx context.Context, to tracker.Entry, s platform.Dispatch) (*connector.Answer, error) {
	idle := freshIdle
	if e.route.Idempotent || s.PrefillOnly {
		idle = repeatableIdle
	}
	s.Timeout = time.Until(e.deadline)
	s.Priority = -1
	if e.engine {
		s.Priority = min(lowestPriority, firstPriority+e.route.Rank)
	}
	return e.forwarder.connector.Exchange(ctx, connector.Request{
		Address: to.Address, Method: e.request.Method, URI: e.request.RequestURI, Host: e.request.Host,
		Header: platform.EncodeHeaders(e.request.Header, s), Body: e.body,
		Limit: e.forwarder.governor.Connections(e.service), MaxIdle: idle,
		Matches: func(h http.Header) (bool, bool) { return platform.MatchesRequest(h, e.caller.ID) },
	})
}

// Priorities at engines, 0 first: routes in the order of their ranks.
const (
	firstPriority  = 2
	lowestPriority = 9
)

// outcomeOf tells the allocator how an exchange failed. An end that the caller or this instance brought about says nothing
// against the upstream, unless the upstream never answered.
func outcomeOf(request context.Context, err error) allocator.Outcome {
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
