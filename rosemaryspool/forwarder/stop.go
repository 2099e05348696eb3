package forwarder

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/core/allocator"
)

// causeStopping is the cause of requests that a planned stop refuses or ends.
const causeStopping = "stopping"

// stoppingRetryAfter is the Retry-After of requests that come too late in a planned stop: another instance may serve them.
const stoppingRetryAfter = 100 * time.Millisecond

// RefuseNew refuses all requests that arrive from now on.
func (f *Forwarder) RefuseNew() { f.refusesNew.Store(true) }

// EndRequests ends the requests in flight, each with a response that says whether it may have run.
func (f *Forwarder) EndRequests() { f.endRequests() }

// isStopped reports whether a planned stop has reached its limit.
func (f *Forwarder) isStopped() bool { return f.stopped.Err() != nil }

// refuseStopping refuses a request of which this instance has sent nothing to an upstream.
func (e *exchange) refuseStopping() result {
	metrics.GetOrRegisterCounter("requestsRefusedStopping", e.forwarder.registry).Inc(1)
	switch {
	case e.passedOn == nil:
		return e.refuse(causeStopping, stoppingRetryAfter)
	case e.counted && !e.passedOn.counted:
		return e.decline(declinedUpstreams)
	default:
		return e.decline(causeStopping)
	}
}

// isUntouched reports whether this instance has sent nothing of the request to an upstream or another instance.
func (e *exchange) isUntouched() bool {
	if e.sends > 0 || e.prefilled {
		return false
	}
	return e.runs == 0 || e.passedOn != nil && e.runs == e.passedOn.runs
}

// brokenOutcome classifies a response that broke off. One that this instance has ended says nothing about the upstream.
func (e *exchange) brokenOutcome() allocator.Outcome {
	if e.forwarder.isStopped() {
		return allocator.OutcomeCancelled
	}
	return allocator.OutcomeFailed
}
