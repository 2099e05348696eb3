package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonNoUpstream means that the service has no usable upstream.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonBusy means that every upstream has too much load to serve the request in time.
	ReasonBusy Reason = "busy"
	// ReasonShare means that there is too little room for all, and that the account has had its share.
	ReasonShare Reason = "share"
	// ReasonLimited means that every upstream has got as many requests as it has asked for.
	ReasonLimited Reason = "limited"
	// ReasonWaiting means that every upstream has asked this instance to send no requests for a while.
	ReasonWaiting Reason = "waiting"
	// ReasonNoVersion means that no usable upstream has the version at which the stream began.
	ReasonNoVersion Reason = "noVersion"
	// ReasonSuspected means that requests like this one may have crashed upstreams, and that one of them is tried already.
	ReasonSuspected Reason = "suspected"
	// ReasonQuarantined means that requests like this one crash upstreams.
	ReasonQuarantined Reason = "quarantined"
)

// Refusal is the result for a request that is shed.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Predicted is the predicted time to the first event at the best upstream, Upstream, whose load is Ahead.
	Predicted time.Duration
	Upstream  identifier.UpstreamID
	Ahead     Load
	// Arbiter is the instance that refused the request; empty if this one did so alone.
	Arbiter identifier.InstanceID
}

// wish returns how long an upstream wants no request of the instance that sends this one, and why.
func (d *decision) wish(u *upstream) (time.Duration, Reason) {
	if d.instance == "" && d.now.Before(u.waitUntil) {
		return u.waitUntil.Sub(d.now), ReasonWaiting
	}
	if wait := u.limiter.Wait(d.now, d.req.RateShare); wait > 0 {
		// The request that the limit permits next is for one of many callers.
		return max(wait, d.allocator.settings.RetryAfter), ReasonLimited
	}
	return 0, ""
}

// refuseWithoutOption returns the refusal of a request that no upstream may get. Where upstreams only want none now, a
// retry is worthwhile as soon as one of them takes requests again.
func (d *decision) refuseWithoutOption() *Refusal {
	r := &Refusal{Reason: ReasonNoUpstream, RetryAfter: d.allocator.settings.RetryAfter}
	if d.req.Version != nil {
		r.Reason = ReasonNoVersion
	}
	for i, u := range d.waiting {
		if wait, reason := d.wish(u); i == 0 || wait < r.RetryAfter {
			r.RetryAfter, r.Reason, r.Upstream, r.Ahead = wait, reason, u.entry.Upstream, u.load()
		}
	}
	return r
}
