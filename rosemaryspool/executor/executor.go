// Package executor runs calls to plain services: idempotent ones with retries, the others at most once.
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

// attemptLimit bounds the upstreams that one idempotent call tries: with more the fault is not the upstream's.
const maxAttempts = 3

// Call is a classified call to a plain service.
type Call struct {
	Request     identifier.RequestID
	Caller      identifier.CallerID
	Class       *configurer.Class
	Service     *configurer.Service
	Deadline    time.Time
	Path        string
	ContentType string
	Body        []byte
	// Key and IssuedAt are set for non-idempotent calls.
	Key      identifier.IdempotencyKey
	IssuedAt time.Time
}

// Executor spreads calls over the upstreams of their service. It is safe for concurrent use.
type Executor struct {
	resolver *resolver.Resolver
	log      zerolog.Logger

	mutex    sync.Mutex
	balancer *balancer.Balancer
	closed   map[identifier.UpstreamID]bool

	claims *claimer
}

// Settings names the claim stream of non-idempotent calls.
type Settings struct {
	Deduplicator deduplicator.Settings
	Stream       appender.Stream
}

// NewExecutor returns an executor over the listed upstreams. Run must be started before RunOnce is used.
func NewExecutor(
	settings Settings, targets *resolver.Resolver, log appender.Log, appends *committer.Committer, events zerolog.Logger,
) *Executor {
	e := &Executor{resolver: targets, log: events, balancer: balancer.NewBalancer(), closed: make(map[identifier.UpstreamID]bool)}
	core := deduplicator.NewDeduplicator(settings.Deduplicator)
	e.claims = newClaimer(core, settings.Stream, log, appends, events)
	e.claims.dispatch = e.dispatchOnce
	return e
}

// Run follows the claim stream until stop is closed.
func (e *Executor) Run(stop <-chan struct{}) { e.claims.serve(stop) }

// Shutdown returns once the outcomes of all calls are in the log, or when ctx ends. No new calls may come.
func (e *Executor) Shutdown(ctx context.Context) { e.claims.awaitIdle(ctx) }

// Done is closed when Run has returned.
func (e *Executor) Done() <-chan struct{} { return e.claims.done }

// SetWindow sets how long keys are remembered from their issue time.
func (e *Executor) SetWindow(window time.Duration) {
	e.claims.enqueue(coreEvent{deduplicator.WindowSet{Window: window}})
}

// Forget drops the health and load of an upstream that no listing names any more. Whether it is closed is kept: an
// upstream that is listed again too soon is still leaving.
func (e *Executor) Forget(id identifier.UpstreamID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.balancer.Forget(id)
}

// SetClosed keeps an upstream from new calls, or returns it to service.
func (e *Executor) SetClosed(id identifier.UpstreamID, closed bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.closed[id] = closed
}

// RunIdempotent runs a call that may be repeated: a failed attempt is retried on another upstream within the deadline.
func (e *Executor) RunIdempotent(ctx context.Context, call Call) (invoker.Answer, *refuser.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	var tried []identifier.UpstreamID
	failure := refuser.NewRefusal(refuser.NoUpstream, refuser.NotRun, "no upstream of the service is available")
	failure.RetryAfterMS = retryPauseMS
	for len(tried) < maxAttempts {
		target, ok := e.pick(call, tried)
		if !ok {
			return invoker.Answer{}, failure
		}
		tried = append(tried, target.ID())
		attempt := identifier.AttemptID(fmt.Sprintf("%s.%d", call.Request, len(tried)))
		answer, err := e.invoke(ctx, target, call, attempt, false)
		if err == nil && answer.Status < http.StatusInternalServerError {
			return answer, nil
		}
		if ctx.Err() != nil {
			return invoker.Answer{}, refuser.NewRefusal(refuser.DeadlineExceeded, refuser.OutcomeUnknown, "the service did not answer in time")
		}
		failure = describeFailure(answer, err)
	}
	return invoker.Answer{}, failure
}

// retryPauseMS is when a caller may retry after every upstream failed, in milliseconds: ejected ones are probed by then.
const retryPauseMS = 1000

func describeFailure(answer invoker.Answer, err error) *refuser.Refusal {
	if err == nil {
		message := fmt.Sprintf("the service answered with status %d", answer.Status)
		return refuser.NewRefusal(refuser.UpstreamFailed, refuser.RanAndFailed, message)
	}
	effect := refuser.OutcomeUnknown
	if errors.Is(err, invoker.ErrNotSent) {
		effect = refuser.NotRun
	}
	refusal := refuser.NewRefusal(refuser.UpstreamFailed, effect, "the service could not be reached or broke off its answer")
	refusal.RetryAfterMS = retryPauseMS
	return refusal
}

// pick chooses an upstream of the call's service that was not tried yet.
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

// candidates returns the service's listed upstreams that stay in service and were not tried.
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

// invoke dispatches one attempt and keeps account of its upstream.
func (e *Executor) invoke(
	ctx context.Context, target *resolver.Upstream, call Call, attempt identifier.AttemptID, once bool,
) (invoker.Answer, error) {
	started := time.Now()
	answer, err := target.Service.Invoke(ctx, invoker.Call{
		Attempt:     attempt,
		Method:      http.MethodPost,
		Path:        call.Path,
		ContentType: call.ContentType,
		Body:        call.Body,
		Key:         call.Key,
		Once:        once,
	})
	failed := err != nil && !errors.Is(err, context.Canceled)
	now := time.Now()
	e.mutex.Lock()
	e.balancer.End(now, target.ID(), now.Sub(started), failed)
	e.mutex.Unlock()
	return answer, err
}
