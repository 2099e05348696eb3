// Package executor calls services that are not model engines: idempotent calls with retries, others at most once.
package executor

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/core/balancer"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/rosemaryspool/committer"
	"rosemaryspool.example/rosemaryspool/resolver"
)

// maxAttempts bounds the upstreams that one idempotent call tries: after that many failures the cause is probably not
// the upstream.
const maxAttempts = 3

// Call is a classified call to a service.
type Call struct {
	Request     identifier.RequestID
	Caller      identifier.CallerID
	Class       *configurer.Class
	Service     *configurer.Service
	Deadline    time.Time
	Path        string
	ContentType string
	Body        []byte
	// Key and IssuedAt are set for non-idempotent calls only.
	Key      identifier.IdempotencyKey
	IssuedAt time.Time
}

// Executor balances calls over the upstreams of their service. It is safe for concurrent use.
type Executor struct {
	resolver *resolver.Resolver
	log      zerolog.Logger

	mutex    sync.Mutex
	balancer *balancer.Balancer
	closed   map[identifier.UpstreamID]bool

	claims *claimer
}

// Settings configures the deduplication of non-idempotent calls and names their claim stream.
type Settings struct {
	Deduplicator deduplicator.Settings
	Stream       appender.Stream
}

// NewExecutor returns an executor for the upstreams of the resolver. Run must be started before RunOnce is called.
func NewExecutor(
	settings Settings, targets *resolver.Resolver, log appender.Log, appends *committer.Committer, logger zerolog.Logger,
) *Executor {
	e := &Executor{
		resolver: targets, log: logger, balancer: balancer.NewBalancer(), closed: make(map[identifier.UpstreamID]bool),
	}
	core := deduplicator.NewDeduplicator(settings.Deduplicator)
	e.claims = newClaimer(core, settings.Stream, log, appends, logger)
	e.claims.dispatch = e.dispatchOnce
	return e
}

// Run processes the claim stream until stop is closed.
func (e *Executor) Run(stop <-chan struct{}) { e.claims.driver.Run(stop) }

// Shutdown returns once the outcomes of all calls are in the log, or when ctx ends. No calls may be started after it.
func (e *Executor) Shutdown(ctx context.Context) { e.claims.awaitIdle(ctx) }

// Done is closed when Run has returned.
func (e *Executor) Done() <-chan struct{} { return e.claims.driver.Done() }

// SetWindow sets how long after their issue idempotency keys are retained.
func (e *Executor) SetWindow(window time.Duration) {
	e.claims.driver.Notify(coreEvent{deduplicator.WindowSet{Window: window}})
}

// RemoveUpstream drops the health and load of an upstream that is no longer listed. Whether it is closed is kept,
// since an upstream that is listed again shortly afterwards is still leaving.
func (e *Executor) RemoveUpstream(id identifier.UpstreamID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.balancer.Remove(id)
}

// SetClosed takes an upstream out of service for new calls, or returns it to service.
func (e *Executor) SetClosed(id identifier.UpstreamID, closed bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.closed[id] = closed
}

// RunIdempotent runs a call that may run more than once: a failed attempt is retried on another upstream until the
// deadline.
func (e *Executor) RunIdempotent(ctx context.Context, call Call) (invoker.Response, *refuser.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	var tried []identifier.UpstreamID
	failure := refuser.NewRefusal(refuser.NoUpstream, refuser.NotRun, "no upstream of the service is available")
	failure.RetryAfterMS = retryPauseMS
	for len(tried) < maxAttempts {
		target, ok := e.pick(call, tried)
		if !ok {
			return invoker.Response{}, failure
		}
		tried = append(tried, target.ID())
		attempt := identifier.AttemptID(fmt.Sprintf("%s.%d", call.Request, len(tried)))
		response, err := e.invoke(ctx, target, call, attempt, false)
		if err == nil && response.Status < http.StatusInternalServerError {
			return response, nil
		}
		if ctx.Err() != nil {
			return invoker.Response{}, refuser.NewRefusal(
				refuser.DeadlineExceeded, refuser.OutcomeUnknown, "the service did not answer in time")
		}
		failure = describeFailure(response, err)
	}
	return invoker.Response{}, failure
}

// retryPauseMS is the delay after which a caller may retry when all upstreams failed; ejected ones are probed by then.
const retryPauseMS = 1000

// describeFailure returns the refusal for a failed attempt.
func describeFailure(response invoker.Response, err error) *refuser.Refusal {
	if err == nil {
		message := fmt.Sprintf("the service answered with status %d", response.Status)
		return refuser.NewRefusal(refuser.UpstreamFailed, refuser.RanAndFailed, message)
	}
	effect := refuser.OutcomeUnknown
	if errors.Is(err, invoker.ErrNotSent) {
		effect = refuser.NotRun
	}
	refusal := refuser.NewRefusal(
		refuser.UpstreamFailed, effect, "the service could not be reached or broke off its answer")
	refusal.RetryAfterMS = retryPauseMS
	return refusal
}

// pick selects an upstream of the call's service that was not tried yet.
func (e *Executor) pick(call Call, tried []identifier.UpstreamID) (*resolver.Upstream, bool) {
	e.mutex.Lock()
	candidates := e.candidates(call.Service, tried)
	id, ok := e.balancer.Pick(time.Now(), candidates)
	e.mutex.Unlock()
	if !ok {
		return nil, false
	}
	e.log.Info().
		Str("event", "routed").
		Str("request", string(call.Request)).
		Str("caller", string(call.Caller)).
		Str("class", string(call.Class.Name)).
		Str("upstream", string(id)).
		Str("cause", "leastWait").
		Int("candidates", len(candidates)).
		Msg("Routed a service call")
	return e.resolver.Find(id)
}

// candidates returns the listed upstreams of a service that are neither leaving nor closed and were not tried.
// The caller holds the mutex.
func (e *Executor) candidates(service *configurer.Service, tried []identifier.UpstreamID) []identifier.UpstreamID {
	var ids []identifier.UpstreamID
	for _, id := range service.Upstreams {
		u, ok := e.resolver.Find(id)
		if ok && u.Service != nil && !u.Member.Leaving && !e.closed[id] && !slices.Contains(tried, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// invoke sends one attempt and records its latency and failure in the balancer.
func (e *Executor) invoke(
	ctx context.Context, target *resolver.Upstream, call Call, attempt identifier.AttemptID, once bool,
) (invoker.Response, error) {
	started := time.Now()
	response, err := target.Service.Invoke(ctx, invoker.Call{
		Attempt:     attempt,
		Method:      http.MethodPost,
		Path:        call.Path,
		ContentType: call.ContentType,
		Body:        call.Body,
		Key:         call.Key,
		AtMostOnce:  once,
	})
	failed := err != nil && !errors.Is(err, context.Canceled)
	now := time.Now()
	e.mutex.Lock()
	e.balancer.End(now, target.ID(), now.Sub(started), failed)
	e.mutex.Unlock()
	return response, err
}
