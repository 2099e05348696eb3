package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	// minDeferredSlots is the number of slots from which on an engine gets deferred requests: one of them takes a small part
	// of such an engine, but a large one of an engine with few slots.
	minDeferredSlots = 16
	// deferredTargets is the number of targets that the time to the deadline must exceed for a request to be deferred.
	deferredTargets = 2
	// deferredShare and returnedShare are the shares of the time left to its deadline that a deferred request may be
	// predicted to take, if it is new and if its caller comes back: those go before new ones. The rest is for the requests in
	// time that overtake it.
	deferredShare = 0.35
	returnedShare = 0.6
)

// deferrable reports whether a late answer is worth an engine's time: one that runs after all requests in time costs these
// nothing. It needs a deadline that leaves room after the target.
func (d *decision) deferrable() bool {
	req := d.req
	return req.Engine && !d.isLong() && !req.Resumed && req.Target > 0 &&
		req.TimeToDeadline > deferredTargets*req.Target
}

// mayDefer reports whether an engine may prefill a deferred request.
func (d *decision) mayDefer(u *upstream) bool {
	return u.entry.Slots >= minDeferredSlots
}

// deferredOption returns the best option to run a request behind those in time, and whether it ends before the deadline.
func (d *decision) deferredOption() (option, bool) {
	d.deferred = true
	best := d.best()
	share := deferredShare
	if d.req.Returned {
		share = returnedShare
	}
	return best, best.upstream != nil && best.predicted <= time.Duration(share*float64(d.req.TimeToDeadline))
}

// queuedPrefill is the work ahead of the request at an upstream. Requests in time go before deferred ones.
func (d *decision) queuedPrefill(u *upstream) identifier.Tokens {
	load := u.load()
	if d.deferred {
		return load.QueuedPrefill + load.DeferredPrefill
	}
	return load.QueuedPrefill
}

// addPrefill adds a placement's prefill to a load, or takes it away if sign is -1.
func (p Placement) addPrefill(l *Load, sign int) {
	tokens := &l.QueuedPrefill
	if p.Deferred {
		tokens = &l.DeferredPrefill
	}
	*tokens = max(0, *tokens+identifier.Tokens(sign)*p.Tokens)
}

// prefillAhead is the work that a placement's prefill found at an engine with a load.
func (p Placement) prefillAhead(l Load) identifier.Tokens {
	if p.Deferred {
		return l.QueuedPrefill + l.DeferredPrefill
	}
	return l.QueuedPrefill
}
