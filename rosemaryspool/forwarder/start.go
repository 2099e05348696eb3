package forwarder

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// awaitStart has a request wait for a moment for what its instance doesn't know yet because it has just started.
func (e *exchange) awaitStart(known <-chan struct{}) {
	select {
	case <-known:
		return
	default:
	}
	if e.late {
		return
	}
	if e.passedOn != nil {
		// The instance that has passed the request on can serve it otherwise.
		return
	}
	f, now := e.forwarder, time.Now()
	until, waits := f.starter.Enter(now, e.started, e.caller.Timeout)
	if !waits {
		return
	}
	defer f.starter.Leave()
	metrics.GetOrRegisterCounter("requestsAwaitedStart", f.registry).Inc(1)
	limit := time.NewTimer(until.Sub(now))
	defer limit.Stop()
	select {
	case <-known:
	case <-limit.C:
	case <-e.request.Context().Done():
	case <-f.stopped.Done():
	}
	e.startWait += time.Since(now)
}
