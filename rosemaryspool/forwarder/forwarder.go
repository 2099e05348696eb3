// Package forwarder is the reverse proxy for the platform's routes. It matches a request to its route, chooses an
// upstream, sends the request there, retries where that is safe, and forwards the response to the caller.
package forwarder

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/continuer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/core/rationer"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/starter"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
	"rosemaryspool.example/rosemaryspool/delegator"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/rosemaryspool/meter"
	"rosemaryspool.example/rosemaryspool/prober"
)

const (
	// defaultMaxBodyBytes is the limit for request bodies where the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// startupRetryAfter is the Retry-After while there is no configuration yet; it usually arrives within a second.
	startupRetryAfter = time.Second
	// maxCountedCallers bounds the accounts with counters of their own.
	maxCountedCallers = 32
)

// Forwarder is the handler for callers' requests. It is safe for concurrent use.
type Forwarder struct {
	governor           *governor.Governor
	delegator          *delegator.Delegator
	connector          *connector.Connector
	prober             *prober.Prober
	log                zerolog.Logger
	registry           metrics.Registry
	sampler            *sampler
	memory             *rationer.Rationer
	starter            *starter.Starter
	callers            *meter.Callers
	callerWaits        *waitTracker
	keepAlivesDisabled atomic.Bool
	active             atomic.Int64
	// refusesNew is true once requests that arrive are refused.
	refusesNew atomic.Bool
	// stopped ends at the limit of a planned stop.
	stopped     context.Context
	endRequests context.CancelFunc
	// usage is nil where no usage is reported.
	usage Meter
}

// NewForwarder returns a forwarder that has requests placed by d and sends them over c. It distinguishes crashes from lost
// paths with p.
func NewForwarder(
	g *governor.Governor, d *delegator.Delegator, c *connector.Connector, p *prober.Prober, memory *rationer.Rationer,
	log zerolog.Logger, registry metrics.Registry,
) *Forwarder {
	stopped, endRequests := context.WithCancel(context.Background())
	return &Forwarder{
		governor: g, delegator: d, connector: c, prober: p, memory: memory, log: log, registry: registry,
		stopped: stopped, endRequests: endRequests,
		starter:     starter.NewStarter(time.Now()),
		callers:     meter.NewCallers(registry, maxCountedCallers),
		sampler:     newSampler(metrics.GetOrRegisterCounter("logLinesOmitted", registry)),
		callerWaits: &waitTracker{longest: map[string]time.Duration{}},
	}
}

// DisableKeepAlives makes every further response close its connection.
func (f *Forwarder) DisableKeepAlives() { f.keepAlivesDisabled.Store(true) }

// Active returns the number of requests in flight.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// ServeHTTP implements http.Handler for the requests of callers.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.handle(w, r, nil) }

// handle serves a request. origin is set if another instance has passed it on.
func (f *Forwarder) handle(w http.ResponseWriter, r *http.Request, origin *passedOn) {
	f.active.Add(1)
	defer f.active.Add(-1)
	e := &exchange{
		forwarder: f, writer: w, request: r, started: time.Now(), caller: platform.DecodeRequest(r.Header),
		passedOn: origin, memory: f.memory.NewGrant(), controller: http.NewResponseController(w),
		late: f.refusesNew.Load(),
	}
	defer e.memory.Release()
	if origin != nil {
		e.runs, e.counted, e.refusedBy = origin.runs, origin.counted, origin.refusedBy
	}
	result := e.serve()
	f.record(e, result)
	if result.abort {
		// Aborting the connection keeps the caller from taking a truncated response for a complete one.
		if !r.ProtoAtLeast(1, 1) {
			e.resetConnection()
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConnection resets the caller's connection. In HTTP/1.0, which has no chunks, its close would be the end of a response
// without a length.
func (e *exchange) resetConnection() {
	conn, _, err := e.controller.Hijack()
	if err != nil {
		e.forwarder.log.Warn().Err(err).Str("event", "connectionNotReset").Str("request", string(e.caller.ID)).
			Msg("Can't reset the connection of a caller; a truncated response may look complete")
		return
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection is closed already, as the caller has left.
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// result is how a request ended, for the log and the metrics. abort closes the caller's connection without a response.
type result struct {
	outcome string
	status  int
	cause   string
	abort   bool
	retry   time.Duration
}

// Outcomes of requests in log lines and metrics.
const (
	outcomeServed    = "served"
	outcomeRefused   = "refused"
	outcomeFailed    = "failed"
	outcomeCanceled  = "canceled"
	outcomeUnmatched = "unmatched"
	// outcomeUnauthorized is the refusal of a request whose key no account has.
	outcomeUnauthorized = "unauthorized"
)

// exchange is the state of one caller's request.
type exchange struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	caller    platform.Request
	started   time.Time
	// late is true if the request came when a planned stop had begun to refuse new ones.
	late bool
	// startWait is how long the request has waited because its instance had just started.
	startWait time.Duration
	// passedOn is set if another instance has passed the request on.
	passedOn *passedOn
	// memory is what the request holds: its body, and what is on its way to the caller.
	memory     *rationer.Grant
	controller *http.ResponseController
	// writeBy is the time by which the caller has to read what is written to it.
	writeBy time.Time
	// counted is true once the request counts for the retry budget.
	counted bool
	body    []byte
	// content identifies the request when it comes again.
	content isolator.Trait

	// configuration is the one by which the request is served. version is that of the latest one that its key has been
	// looked up in.
	configuration *matcher.Configuration
	version       uint64
	route         *matcher.Route
	// account is whom the request belongs to; nil if it needs no key and has none.
	account *matcher.Caller
	// replacesKey is true if upstreams get the name of the account in place of the key.
	replacesKey bool
	// keyRemoved is true once a later configuration no longer has the key.
	keyRemoved bool
	service    identifier.ServiceName
	// full holds the services of the route that have no room for the request.
	full     []identifier.ServiceName
	engine   bool
	deadline time.Time
	target   time.Time
	// isRetry is true when the caller's remaining time suggests that it is retrying a refused or failed request.
	isRetry bool
	ctx     context.Context

	// runs counts the upstreams on which the request ran or may have run, sends counts all dispatches.
	runs  int
	sends int
	// unsent counts the attempts of which no upstream has received anything.
	unsent int
	// tried holds the upstreams of earlier attempts, refusedBy those that have refused the request at any instance.
	tried          []identifier.UpstreamID
	refusedBy      []identifier.UpstreamID
	singleUpstream bool
	// prefilled is true once a separate prefill has been accepted: a further one counts for the retry budget.
	prefilled bool
	// response is what is with the caller, and decides what may follow.
	response *continuer.Response
	events   *eventWriter
	// streamVersion is the software version at which the stream began; nil before its first event.
	streamVersion *identifier.SoftwareVersion
	// streamProcess is the process at which the stream began; zero if it began elsewhere or is surely of streamVersion.
	streamProcess resumer.Process
	// metered is true once the request is counted as one that has begun to run.
	metered bool
	last    attempt
	// trail lists the sends to upstreams and other instances, for the log.
	trail []trailEntry
	// refusal is why the next dispatch could not be placed; nil when it could.
	refusal *allocator.Refusal
}

func (e *exchange) serve() result {
	e.awaitStart(e.forwarder.governor.Configured())
	table := e.forwarder.governor.Table()
	if r, ok := e.accept(table); !ok {
		return r
	}
	if r, ok := e.readBody(e.configuration.Limits); !ok {
		return r
	}
	if e.late || e.forwarder.isStopped() {
		return e.refuseStopping()
	}
	e.awaitStart(e.forwarder.governor.Listed())
	if latest := e.forwarder.governor.Table(); latest != table {
		// The caller may have sent the end of its request long after this one came into force.
		if r, ok := e.accept(latest); !ok {
			return r
		}
	}
	e.service = e.route.PickService(rand.Float64())
	e.setDeadlines()
	ctx, cancel := context.WithDeadline(e.request.Context(), e.deadline)
	defer cancel()
	defer context.AfterFunc(e.forwarder.stopped, cancel)()
	e.ctx = ctx
	if e.passedOn != nil && e.forwarder.governor.PathLost(e.service) {
		return e.decline("path")
	}
	if r, done := e.detour(); done {
		return r
	}
	if r, ok := e.resume(); !ok {
		return r
	}
	e.setService(e.service)
	if !e.counted {
		e.counted = true
		e.forwarder.governor.CountRequest(e.started, e.service)
	}
	return e.run()
}

// accept finds the route and the account of the request in a configuration. It returns false and how the request ends if
// the configuration doesn't allow it. Nothing may be written of an upstream's answer before.
func (e *exchange) accept(table *matcher.Table) (result, bool) {
	if e.passedOn != nil && (table == nil || table.Configuration().Version != e.passedOn.configuration) {
		// By a later version, the caller's next request would go back to an earlier one.
		return e.decline("configuration"), false
	}
	if table == nil {
		return e.refuse("noConfiguration", startupRetryAfter), false
	}
	e.configuration = table.Configuration()
	e.version = e.configuration.Version
	path, _, _ := strings.Cut(e.request.RequestURI, "?")
	route, found := table.Match(e.request.Host, path)
	if !found {
		return e.respondError(http.StatusNotFound, outcomeUnmatched, "noRoute"), false
	}
	e.setRoute(route)
	if !e.identify(table) {
		return e.respondError(http.StatusUnauthorized, outcomeUnauthorized, "unknownKey"), false
	}
	if e.keysOutdated() {
		return e.refuse(causeKeysOutdated, startupRetryAfter), false
	}
	return result{}, true
}

// setRoute sets the route of the request. Nothing may be written of an upstream's answer before.
func (e *exchange) setRoute(route *matcher.Route) {
	e.route = route
	e.response = continuer.NewResponse(continuer.Route{Streaming: route.Streaming, Repeatable: route.Idempotent})
	if route.Streaming && e.caller.LastEventID != "" {
		e.response.TakeUp(e.caller.LastEventID)
	}
}

// readBody reads the complete request body, since it may have to be sent more than once.
func (e *exchange) readBody(limits matcher.Limits) (result, bool) {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if e.request.ContentLength != 0 {
		// A body that arrives later is of no use to the caller any more.
		_ = e.controller.SetReadDeadline(e.started.Add(e.timeout()))
		interrupt := context.AfterFunc(e.forwarder.stopped, func() { _ = e.controller.SetReadDeadline(e.started) })
		defer func() {
			interrupt()
			_ = e.controller.SetReadDeadline(time.Time{})
		}()
	}
	var body []byte
	var err error
	if length := e.request.ContentLength; length > 0 && length <= limit {
		body, err = e.readKnown(e.request.Body, length)
	} else {
		body, err = e.readRationed(http.MaxBytesReader(e.writer, e.request.Body, limit))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		// Reading on would hold what the instance has no room for.
		e.writer.Header().Set("Connection", "close")
		return e.refuse("memory", memoryRetryAfter), false
	case errors.As(err, &tooLarge):
		return e.respondError(http.StatusRequestEntityTooLarge, outcomeFailed, "bodyTooLarge"), false
	case err != nil && e.forwarder.isStopped():
		return e.refuseStopping(), false
	case err != nil:
		// The caller stopped sending, so there is nobody to respond to.
		return result{outcome: outcomeCanceled, cause: "bodyUnfinished", abort: true}, false
	}
	e.body = body
	e.content = isolator.NewContentTrait(e.request.Host, e.request.Method, e.request.RequestURI, body)
	return result{}, true
}

// placementRequest returns the request in the allocator's terms.
func (e *exchange) placementRequest() allocator.Request {
	now := time.Now()
	output := e.caller.ExpectedOutput
	if output == 0 || (e.caller.MaxOutput > 0 && e.caller.MaxOutput < output) {
		output = e.caller.MaxOutput
	}
	return allocator.Request{
		Service: e.service, Engine: e.engine, Prompt: e.caller.Prompt, Content: e.content, Output: output,
		TimeToTarget: e.target.Sub(now), Target: e.route.TargetLatency, TimeToDeadline: e.deadline.Sub(now),
		Excluded: slices.Concat(e.tried, e.refusedBy), SingleUpstream: e.singleUpstream || e.sends > 0,
		Resumed: !e.response.IsUnwritten() || e.caller.LastEventID != "" || e.runs > 0, Version: e.streamVersion,
		Caller: e.callerID(), Rank: e.rank(), Returned: e.isRetry, Repeatable: e.route.Idempotent,
	}
}

// refuse responds with 503 and a Retry-After: the request did not run and may be sent again.
func (e *exchange) refuse(cause string, retry time.Duration) result {
	h := e.writer.Header()
	h.Set("Retry-After", strconv.FormatFloat(math.Max(0.001, retry.Seconds()), 'f', 3, 64))
	r := e.respondError(http.StatusServiceUnavailable, outcomeRefused, cause)
	r.retry = retry
	return r
}

// respondError sends the caller an error of this instance, with the cause as text.
func (e *exchange) respondError(status int, outcome, cause string) result {
	h := e.writer.Header()
	platform.SetRequestID(h, e.caller.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := cause + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	e.extendWrite()
	e.writeHeader(status)
	// An error means that the caller has disconnected; nothing else can be done.
	_, _ = io.WriteString(e.writer, text)
	return result{outcome: outcome, status: status, cause: cause}
}

// writeHeader writes the status and headers of any response, with Connection: close once keep-alives are disabled.
func (e *exchange) writeHeader(status int) {
	if e.forwarder.keepAlivesDisabled.Load() {
		e.writer.Header().Set("Connection", "close")
	}
	e.writer.WriteHeader(status)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8
