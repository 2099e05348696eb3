package forwarder

import (
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/core/identifier"
)

// unsentCause counts an attempt of which no upstream has received anything. It returns causeUnsent once there are too many
// of them, else an empty string.
func (e *exchange) unsentCause() string {
	if !e.last.unsent {
		return ""
	}
	e.unsent++
	if e.unsent < maxUnsent {
		return ""
	}
	return causeUnsent
}

// Causes for which a request may be passed on to another instance: after maxSends, and after maxUnsent attempts of which no
// upstream has received anything.
const (
	causeSendsUsed = "sendsUsed"
	causeUnsent    = "unsent"
)

// checkRetry returns why the request must not be sent again. If it may be, checkRetry takes one retry from the budget
// and returns an empty string.
func (e *exchange) checkRetry(end attemptResult) string {
	now := time.Now()
	blocked := e.response.Blocked(end != notExecuted)
	switch {
	case e.request.Context().Err() != nil:
		return "callerLeft"
	case e.forwarder.isStopped():
		return causeStopping
	case e.keyRefusal() != "":
		return e.keyRefusal()
	case e.deadline.Sub(now) < minTimeLeft:
		return "deadline"
	case blocked != "":
		return blocked
	case !e.mayGoOn():
		return causeUnknownVersion
	case e.runs >= e.route.MaxAttempts:
		return "attemptsUsed"
	case e.sends >= maxSends:
		return causeSendsUsed
	case !e.last.unsent && !e.takeRetry():
		// What did not arrive at any upstream is no retry there.
		return "repeatBudget"
	}
	e.tried = append(e.tried, e.last.placement.Upstream)
	return ""
}

// recordRefusal records that an upstream has refused the request. It doesn't get the request again, from any instance.
func (e *exchange) recordRefusal(id identifier.UpstreamID) {
	if !slices.Contains(e.refusedBy, id) {
		e.refusedBy = append(e.refusedBy, id)
	}
}

// takeRetry takes a retry of the request's service from the budget. It returns false if none is left.
func (e *exchange) takeRetry() bool {
	if !e.forwarder.governor.TryRetry(time.Now(), e.service) {
		metrics.GetOrRegisterCounter("retriesRefused", e.forwarder.registry).Inc(1)
		return false
	}
	metrics.GetOrRegisterCounter("retriesTaken", e.forwarder.registry).Inc(1)
	return true
}

// giveUp ends a request that is not sent again. It is refused only if it can't have run on any upstream.
func (e *exchange) giveUp(cause string, retry time.Duration, stored *storedResponse) result {
	switch {
	case e.request.Context().Err() != nil:
		return result{outcome: outcomeCanceled, cause: "callerLeft", abort: true}
	case !e.response.IsUnwritten():
		e.response.Break()
		metrics.GetOrRegisterCounter("responsesBrokenOff."+cause, e.forwarder.registry).Inc(1)
		return result{outcome: outcomeFailed, cause: cause, abort: true}
	case stored != nil:
		if err := e.deliver(stored); err != nil {
			return result{outcome: outcomeCanceled, cause: "callerLeft", abort: true}
		}
		return result{outcome: outcomeFailed, status: stored.status, cause: "upstreamFailed:" + cause}
	case cause == causeStopping && e.isUntouched():
		return e.refuseStopping()
	case e.runs == 0 && cause == causeKeyRemoved:
		return e.respondError(http.StatusUnauthorized, outcomeUnauthorized, cause)
	case e.runs == 0:
		return e.refuse(cause, max(retry, e.last.placement.Predicted))
	case time.Until(e.deadline) <= minTimeLeft:
		return e.respondError(http.StatusGatewayTimeout, outcomeFailed, cause)
	default:
		return e.respondError(http.StatusBadGateway, outcomeFailed, cause)
	}
}
