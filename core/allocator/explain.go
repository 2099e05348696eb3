package allocator

import (
	"cmp"
	"slices"
	"time"

	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// Explanation tells where a request would be placed now, and why.
type Explanation struct {
	// Upstream and Prefiller are the upstreams chosen; Upstream is empty if the request would be refused, for Reason.
	Upstream   identifier.UpstreamID
	Prefiller  identifier.UpstreamID
	Reason     Reason
	RetryAfter time.Duration
	// Predicted is the predicted time to the first event, Queued the part of it spent waiting for other requests, at the best
	// upstream also if the request would be refused.
	Predicted time.Duration
	Queued    time.Duration
	// Tokens is the number of prompt tokens that would be prefilled.
	Tokens identifier.Tokens
	// Long is true for a long answer, Deferred for a request that would run after those in time, ExceedsShare for one beyond
	// its account's share.
	Long, Deferred, ExceedsShare bool
	Candidates                   []Candidate
}

// Candidate is one upstream of the request's service.
type Candidate struct {
	Upstream   identifier.UpstreamID
	DataCentre identifier.DataCentre
	Role       tracker.Role
	// Excluded is why the request can't go there; empty if it can.
	Excluded string
	// Predicted and Cost are those of the option to run the request there, for an engine that only prefills with the runner
	// that would follow; zero if there is none.
	Predicted time.Duration
	Cost      time.Duration
	// Cached is the number of prompt tokens that the upstream is expected to keep.
	Cached identifier.Tokens
	Load   Load
	Slots  int
	// Pace is how long the upstream takes for its work now, relative to the usual one.
	Pace float64
	// TrialLimit is how many requests an upstream on trial may hold; zero if it is not on trial.
	TrialLimit int
}

// Explain tells where a request of an instance in a data centre would be placed now. It places nothing, takes nothing from
// limits and records nothing; an empty instance is this one.
func (a *Allocator) Explain(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, req Request,
) Explanation {
	d := a.newDecision(now, instance, dataCentre, req)
	defer a.restoreWaiting(req.Service)()
	v := d.decide()
	x := Explanation{Reason: v.reason, Long: d.isLong(), Deferred: d.deferred && v.reason == "", ExceedsShare: d.exceeds}
	d.deferred = false
	x.Candidates = d.describeCandidates()
	if v.best.upstream == nil {
		refusal := d.refuseWithoutOption()
		x.Reason, x.RetryAfter = refusal.Reason, refusal.RetryAfter
		return x
	}
	x.Predicted, x.Queued, x.Tokens = v.best.predicted, v.best.queued, v.best.tokens
	if v.reason != "" {
		x.RetryAfter = d.expectReturn(v)
		return x
	}
	x.Upstream = v.best.upstream.entry.Upstream
	if v.best.prefiller != nil {
		x.Prefiller = v.best.prefiller.entry.Upstream
	}
	return x
}

// restoreWaiting returns a function that restores since when deferred work waits at the upstreams of a service.
func (a *Allocator) restoreWaiting(service identifier.ServiceName) func() {
	since := make(map[*upstream]time.Time, len(a.services[service]))
	for _, u := range a.services[service] {
		since[u] = u.deferredSince
	}
	return func() {
		for u, at := range since {
			u.deferredSince = at
		}
	}
}

// expectReturn returns when the refused request would be asked to return, without reserving room for it.
func (d *decision) expectReturn(v verdict) time.Duration {
	a := d.allocator
	spread := a.spread
	defer func() { a.spread = spread }()
	if d.sharer != nil {
		defer d.sharer.Undo(d.req.Caller)()
	}
	return d.retryAfter(v.best, v.late)
}

// describeCandidates returns all upstreams of the service, the cheapest option first.
func (d *decision) describeCandidates() []Candidate {
	runners, prefillers := d.candidates()
	aff := newAffinity(d.req.Prompt, runners, prefillers)
	least := d.leastLoaded(runners)
	var candidates []Candidate
	for _, u := range d.allocator.services[d.req.Service] {
		c := Candidate{
			Upstream: u.entry.Upstream, DataCentre: u.entry.DataCentre, Role: u.entry.Role, Load: u.load(),
			Slots: u.entry.Slots, Pace: d.allocator.pace(d.now, u.entry), Cached: u.cache.cached(d.req.Prompt),
		}
		c.TrialLimit, _ = d.allocator.warmer.Limit(d.now, u.entry.Upstream)
		var o option
		switch runner := least[u.entry.Version]; {
		case slices.Contains(runners, u) && d.req.Engine:
			o = d.directOption(u, aff)
		case slices.Contains(runners, u):
			o = d.plainOption(u)
		case slices.Contains(prefillers, u) && runner != nil && !d.req.SingleUpstream:
			o = d.splitOption(u, runner, aff)
		case slices.Contains(prefillers, u):
			c.Excluded = "noRunner"
		default:
			c.Excluded = d.whyExcluded(u)
		}
		c.Predicted, c.Cost = o.predicted, o.cost
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(len(x.Excluded), len(y.Excluded)), cmp.Compare(x.Cost, y.Cost))
	})
	return candidates
}

// whyExcluded returns why an upstream that is no candidate is none.
func (d *decision) whyExcluded(u *upstream) string {
	_, wish := d.wish(u)
	health := d.allocator.healthOf(d.dataCentre)
	switch {
	case u.entry.Leaving:
		return "leaving"
	case !d.req.Accepts(u.entry):
		return "version"
	case health.Status(d.now, u.entry.Upstream) == ejector.Ejected:
		return "ejected:" + string(health.Cause(u.entry.Upstream))
	case health.Status(d.now, u.entry.Upstream) == ejector.Paused:
		return "rejected"
	case d.allocator.isExcluded(d.now, d.instance, d.dataCentre, u):
		return "unreachable"
	case wish != "":
		return string(wish)
	case d.isFull(u):
		return "onTrial"
	default:
		return "other"
	}
}
