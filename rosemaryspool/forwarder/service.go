package forwarder

import (
	"math/rand/v2"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
)

// changeService moves an account's request that its service has no room for to another service of the route, and reports
// whether there is one that has not refused it. A request of which anything has been sent stays, and so does a stream
// that the caller takes up again.
func (e *exchange) changeService(refusal *allocator.Refusal) bool {
	touched := e.sends > 0 || e.runs > 0 || e.last.unsent || e.caller.LastEventID != ""
	if e.account == nil || e.passedOn != nil || touched || !isFull(refusal.Reason) {
		return false
	}
	e.full = append(e.full, e.service)
	next, found := e.route.PickOther(rand.Float64(), e.full)
	if !found {
		return false
	}
	e.setService(next)
	return true
}

// setService sets the service that is to run the request.
func (e *exchange) setService(service identifier.ServiceName) {
	e.service, e.engine = service, e.configuration.Services[service].IsEngine
}

// isFull reports whether a request was refused because a service has no room for it.
func isFull(reason allocator.Reason) bool {
	switch reason {
	case allocator.ReasonBusy, allocator.ReasonShare, allocator.ReasonLimited, allocator.ReasonWaiting,
		allocator.ReasonNoUpstream:
		return true
	default:
		return false
	}
}
