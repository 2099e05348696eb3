// Package forwarder answers callers of the platform's routes: it matches a request to its route, asks for a place, sends
// the request there and passes the answer on.
package forwarder

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/rosemaryspool/meter"
)

const (
	// defaultBodyBytes bounds a request's body where the configuration names no bound.
	defaultMaxBodyBytes = 4 << 20
	// startupRetry is the Retry-After of an instance that has no configuration yet: it usually has one within a second.
	startupRetryAfter = time.Second
	// defaultTimeout bounds requests of callers and routes that name no time.
	defaultTimeout = 30 * time.Second
	// answerMargin is left before a caller's deadline for the answer's way back.
	deadlineMargin = 10 * time.Millisecond
)

// Forwarder handles callers' requests. It is safe for concurrent use.
type Forwarder struct {
	governor  *governor.Governor
	connector *connector.Connector
	log       zerolog.Logger
	registry  metrics.Registry
	sampler   *sampler
	callerWaits     *waitTracker
	keepAlivesDisabled   atomic.Bool
	active    atomic.Int64
}

// NewForwarder returns a forwarder.
func NewForwarder(g *governor.Governor, c *connector.Connector, log zerolog.Logger, registry metrics.Registry) *Forwarder {
	return &Forwarder{
		governor: g, connector: c, log: log, registry: registry,
		sampler: newSampler(metrics.GetOrRegisterCounter("logLinesOmitted", registry)),
		callerWaits:   &waitTracker{longest: map[string]time.Duration{}},
	}
}

// Leave makes each answer the last one of its connection.
func (f *Forwarder) DisableKeepAlives() { f.keepAlivesDisabled.Store(true) }

// Active returns the number of requests that are being answered.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	e := &exchange{
		forwarder: f, writer: w, request: r, started: time.Now(), caller: platform.DecodeRequest(r.Header),
	}
	result := e.serve()
	f.record(e, result)
	if result.abort {
		// A connection that ends without the answer's end can't be taken for a whole answer.
		panic(http.ErrAbortHandler)
	}
}

// result is how a request ended.
type result struct {
	outcome string
	status  int
	cause   string
	abort   bool
	retry   time.Duration
}

// Outcomes of requests in log lines and metrics.
const (
	outcomeServed   = "served"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
	outcomeCanceled = "canceled"
	outcomeUnmatched = "unmatched"
)

// exchange is one caller's request on its way.
type exchange struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	caller    platform.Request
	started   time.Time
	body      []byte

	version  uint64
	route    *matcher.Route
	service  identifier.ServiceName
	engine   bool
	deadline time.Time
	target   time.Time
	// returned is true when the caller has waited before: its request was refused, or failed, earlier.
	isRetry bool
	ctx      context.Context

	// runs counts upstreams on which the request ran or may have run, sends all dispatches.
	runs  int
	sends int
	tried []identifier.UpstreamID
	singleUpstream bool
	// head is true once the answer's head went to the caller.
	headerSent   bool
	events *eventWriter
	last   attempt
	// refusal is why there was no place for the next dispatch; nil when there was one.
	refusal *allocator.Refusal
}

func (e *exchange) serve() result {
	table := e.forwarder.governor.Table()
	if table == nil {
		return e.refuse("noConfiguration", startupRetryAfter)
	}
	e.version = table.Configuration().Version
	path, _, _ := strings.Cut(e.request.RequestURI, "?")
	route, found := table.Match(e.request.Host, path)
	if !found {
		return e.respondError(http.StatusNotFound, outcomeUnmatched, "noRoute")
	}
	e.route = route
	if r, ok := e.readBody(table.Configuration().Limits); !ok {
		return r
	}
	e.service = route.PickService(rand.Float64())
	e.engine = table.Configuration().Services[e.service].IsEngine
	e.setDeadlines()
	ctx, cancel := context.WithDeadline(e.request.Context(), e.deadline)
	defer cancel()
	e.ctx = ctx
	e.forwarder.governor.CountRequest(e.started, e.service)
	return e.run()
}

// readBody reads the caller's body: it may have to be sent more than once.
func (e *exchange) readBody(limits matcher.Limits) (result, bool) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(e.writer, e.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return e.respondError(http.StatusRequestEntityTooLarge, outcomeFailed, "bodyTooLarge"), false
	case err != nil:
		// The caller stopped sending: there is nobody to answer.
		return result{outcome: outcomeCanceled, cause: "bodyUnfinished", abort: true}, false
	}
	e.body = body
	return result{}, true
}

// setTimes derives the request's times from the caller's and the route's.
func (e *exchange) setDeadlines() {
	left := e.caller.Left
	timeout := e.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if left <= 0 {
		left = timeout
	}
	e.isRetry = e.forwarder.callerWaits.isRetry(e.route.Name, left)
	e.deadline = e.started.Add(min(left, timeout) - deadlineMargin)
	target := e.route.TargetLatency
	if target <= 0 {
		target = timeout
	}
	e.target = e.started.Add(target)
	if e.isRetry {
		// The time of a request that came back runs from its first try, which is over.
		e.target = e.started
	}
}

// longest keeps the longest time that callers of each route wait. A caller that waits for much less was refused before.
type waitTracker struct {
	mu    sync.Mutex
	longest map[string]time.Duration
}

// returnShare is the share of the longest wait below which a request counts as one that came back: callers' own limits
// differ by some 15 %, and a refusal keeps one away for up to a third of its time.
const retryWaitShare = 0.82

// returned tells whether a request with this much time left was refused before.
func (l *waitTracker) isRetry(route string, left time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := max(l.longest[route], left)
	l.longest[route] = most
	return left < time.Duration(retryWaitShare*float64(most))
}

// ask describes the request to the allocator.
func (e *exchange) placementRequest() allocator.Request {
	now := time.Now()
	output := e.caller.ExpectedOutput
	if output == 0 || (e.caller.MaxOutput > 0 && e.caller.MaxOutput < output) {
		output = e.caller.MaxOutput
	}
	return allocator.Request{
		Service: e.service, Engine: e.engine, Prompt: e.caller.Prompt, Output: output,
		TimeToTarget: e.target.Sub(now), Target: e.route.TargetLatency, TimeToDeadline: e.deadline.Sub(now), Tried: e.tried, SingleUpstream: e.singleUpstream || e.sends > 0,
		Resumed: e.headerSent,
	}
}

// refuse tells the caller that the request did not run and when to come back.
func (e *exchange) refuse(cause string, retry time.Duration) result {
	h := e.writer.Header()
	h.Set("Retry-After", strconv.FormatFloat(math.Max(0.001, retry.Seconds()), 'f', 3, 64))
	r := e.respondError(http.StatusServiceUnavailable, outcomeRefused, cause)
	r.retry = retry
	return r
}

// fail gives the caller an answer of the instance's own.
func (e *exchange) respondError(status int, outcome, cause string) result {
	h := e.writer.Header()
	platform.SetRequestID(h, e.caller.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := cause + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	e.writeHeader(status)
	// A caller that is gone gets no answer; there is nothing else to do.
	_, _ = io.WriteString(e.writer, text)
	return result{outcome: outcome, status: status, cause: cause}
}

// writeHead writes the head of any answer; that of a leaving instance is the last one of its connection.
func (e *exchange) writeHeader(status int) {
	if e.forwarder.keepAlivesDisabled.Load() {
		e.writer.Header().Set("Connection", "close")
	}
	e.writer.WriteHeader(status)
}

// account counts and logs a request's end.
func (f *Forwarder) record(e *exchange, r result) {
	took := time.Since(e.started)
	metrics.GetOrRegisterCounter("requests."+r.outcome, f.registry).Inc(1)
	meter.NewHistogram("requestDurationNs."+r.outcome, f.registry).Update(took.Nanoseconds())
	if !f.sampler.allow(e.started, r.outcome) {
		return
	}
	line := f.log.Info().Str("event", "requestEnded").Str("request", string(e.caller.ID)).Str("outcome", r.outcome).
		Int("status", r.status).Str("cause", r.cause).Dur("tookMs", took).Uint64("version", e.version)
	if e.route != nil {
		line = line.Str("route", e.route.Name).Str("service", string(e.service)).
			Dur("callerLeftMs", e.caller.Left).Dur("toTargetMs", e.target.Sub(e.started)).Bool("returned", e.isRetry)
	}
	if r.retry > 0 {
		line = line.Dur("retryAfterMs", r.retry)
	}
	if e.caller.PromptTokens > 0 {
		line = line.Int("promptTokens", int(e.caller.PromptTokens)).Int("maxOutput", int(e.caller.MaxOutput)).
			Int("expectedOutput", int(e.caller.ExpectedOutput))
	}
	if e.refusal != nil && e.sends == 0 {
		line = line.Str("best", string(e.refusal.Upstream)).Dur("predictedMs", e.refusal.Predicted)
		line = describeLoad(line, e.refusal.Ahead, e.refusal.PeerAge)
	}
	if e.sends > 0 {
		line = line.Int("sends", e.sends).Int("runs", e.runs)
		line = e.last.describe(line)
	}
	line.Msg("Request ended")
}
