package forwarder

import (
	"sync"
	"time"
)

const (
	// defaultTimeout is the timeout of a request for which neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// deadlineMargin is reserved before a caller's deadline for the transfer of the response.
	deadlineMargin = 10 * time.Millisecond
)

// setDeadlines derives the request's deadline and latency target from the caller's timeout and the route's settings.
func (e *exchange) setDeadlines() {
	left := e.caller.Timeout
	if left <= 0 {
		left = e.routeTimeout()
	}
	e.setTimes(e.forwarder.callerWaits.isRetry(e.route.Name, left))
}

// setTimes sets the deadline and the latency target. isRetry is true if the caller returns after a refusal or a failure.
func (e *exchange) setTimes(isRetry bool) {
	e.isRetry = isRetry
	e.deadline = e.started.Add(e.timeout() - deadlineMargin)
	target := e.route.TargetLatency
	if target <= 0 {
		target = e.routeTimeout()
	}
	e.target = e.started.Add(target)
	if e.isRetry {
		// The latency target counts from the caller's first try and has passed already.
		e.target = e.started
	}
}

// routeTimeout returns the longest time that a request of the route may wait.
func (e *exchange) routeTimeout() time.Duration {
	if e.route.Timeout <= 0 {
		return defaultTimeout
	}
	return e.route.Timeout
}

// timeout returns how long the request may take in all.
func (e *exchange) timeout() time.Duration {
	if e.caller.Timeout <= 0 {
		return e.routeTimeout()
	}
	return min(e.caller.Timeout, e.routeTimeout())
}

// waitTracker keeps the longest caller timeout observed on each route. A request with a much shorter remaining time is
// a retry of one that was refused before.
type waitTracker struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// retryWaitShare is the share of the longest timeout below which a request counts as a retry. Callers' own timeouts
// differ by about 15 %, and a refused caller waits for up to a third of its timeout before the retry.
const retryWaitShare = 0.82

// isRetry reports whether a request with this much time left is a retry by the caller.
func (w *waitTracker) isRetry(route string, left time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := max(w.longest[route], left)
	w.longest[route] = most
	return left < time.Duration(retryWaitShare*float64(most))
}
