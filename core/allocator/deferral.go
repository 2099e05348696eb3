package allocator

import (
	"math"
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
	deferredShare = 0.2
	returnedShare = 0.5
	// deferredWork is the share of its target that the prefill of a deferred request may take: a longer one would take too much
	// from the requests in time after it, which an engine doesn't interrupt it for at once.
	deferredWork = 0.25
)

// deferrable reports whether a late answer is worth an engine's time: one that runs after all requests in time costs these
// nothing. It needs a deadline that leaves room after the target. Where accounts compete, one that asks for too much would
// get engines' time by that, so requests of accounts are not deferred.
func (d *decision) deferrable() bool {
	req := d.req
	return d.sharer == nil && req.Engine && !d.isLong() && !req.Resumed && req.Target > 0 &&
		req.TimeToDeadline > deferredTargets*req.Target
}

// mayDefer reports whether an engine may prefill a deferred request.
func (d *decision) mayDefer(u *upstream) bool {
	return u.entry.Slots >= minDeferredSlots
}

// deferredOption returns the best option to run a request behind those in time, and whether it ends before the deadline.
// The option has no upstream if the request can't be deferred.
func (d *decision) deferredOption() (option, bool) {
	if !d.deferrable() {
		return option{}, false
	}
	d.deferred = true
	best := d.best()
	share := deferredShare
	if d.req.Returned {
		share = returnedShare
	}
	return best, best.upstream != nil && d.prefillTime(best) <= time.Duration(deferredWork*float64(d.req.Target)) &&
		best.predicted <= time.Duration(share*float64(d.req.TimeToDeadline))
}

const (
	// minComeBack is the least time after which a refused caller comes back where late requests are deferred.
	minComeBack = 150 * time.Millisecond
	// spreadStep is the golden section: multiples of it, without their whole parts, spread evenly at any number of them.
	spreadStep = 0.6180339887
)

// comeBackAfter returns when there will be room for a request whose best deferred option is late: at the pace at which the
// queue ahead of it drains. The callers that are refused now come back spread over as long again.
func (d *decision) comeBackAfter(late option) time.Duration {
	room := minComeBack + max(0, late.predicted-time.Duration(deferredShare*float64(d.req.TimeToDeadline)))
	return room + d.allocator.nextSpread(room)
}

// nextSpread returns a part of a time, another one for each refused caller, so that they come back evenly spread over it.
func (a *Allocator) nextSpread(over time.Duration) time.Duration {
	_, a.spread = math.Modf(a.spread + spreadStep)
	return time.Duration(a.spread * float64(over))
}

// deferralPatience is how long deferred work may wait at an engine before no request in time is preferred to it.
const deferralPatience = 2 * time.Second

// queuedPrefill is the work ahead of the request at an upstream. Requests in time go before deferred ones there, so the
// longer these have waited, the more of them counts: requests in time then go elsewhere, and they are run.
func (d *decision) queuedPrefill(u *upstream) identifier.Tokens {
	load := u.load()
	switch {
	case load.DeferredPrefill == 0:
		u.deferredSince = time.Time{}
		return load.QueuedPrefill
	case u.deferredSince.IsZero():
		u.deferredSince = d.now
	}
	if d.deferred {
		return load.QueuedPrefill + load.DeferredPrefill
	}
	waited := min(1, float64(d.now.Sub(u.deferredSince))/float64(deferralPatience))
	return load.QueuedPrefill + identifier.Tokens(waited*float64(load.DeferredPrefill))
}

// addPrefill adds a placement's prefill to a load, or takes it away if sign is -1.
func (p Placement) addPrefill(l *Load, sign int) {
	change := identifier.Tokens(sign) * p.Tokens
	if p.Deferred {
		l.DeferredPrefill = max(0, l.DeferredPrefill+change)
		return
	}
	l.QueuedPrefill = max(0, l.QueuedPrefill+change)
	if p.Level > 0 {
		level := &l.Levels[p.Level-1]
		*level = max(0, *level+change)
	}
}
