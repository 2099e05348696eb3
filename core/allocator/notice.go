package allocator

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/limiter"
	"rosemaryspool.example/core/tracker"
)

// Notice is what an upstream says of itself in a response.
type Notice struct {
	Limit limiter.Limit
	// Leaving is true if the upstream is going to end.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests from this instance; zero if it has rejected none.
	RetryAfter time.Duration
}

// NamedLimit is what an upstream has said about the rate of requests that it takes.
type NamedLimit struct {
	Upstream identifier.UpstreamID
	// Incarnation is the start of the upstream that has said it; zero if unknown.
	Incarnation uint64
	Limit       limiter.Limit
}

const (
	// limitMemory is how long the end of an upstream's limit is reported to the arbiter.
	limitMemory = 5 * time.Second
	// maxNamedLimits bounds the limits in a report; the latest ones are reported.
	maxNamedLimits = 16
)

// Notify applies a notice of an upstream. It reports whether the upstream's limit has begun, ended or changed.
func (a *Allocator) Notify(from tracker.Entry, n Notice) bool {
	u := a.started(from.Upstream, from.Incarnation)
	if u == nil {
		return false
	}
	if until := n.Limit.NamedAt.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(u.waitUntil) {
		u.waitUntil = until
	}
	return u.limiter.Learn(n.Limit)
}

// LearnLimit applies another instance's knowledge of an upstream's limit. It reports whether that has changed anything.
func (a *Allocator) LearnLimit(n NamedLimit) bool {
	u := a.reported(n.Upstream, n.Incarnation)
	return u != nil && u.limiter.Learn(n.Limit)
}

// NamedLimits returns the limits of a service's upstreams, for the report to the service's arbiter.
func (a *Allocator) NamedLimits(now time.Time, service identifier.ServiceName) []NamedLimit {
	var named []NamedLimit
	for _, u := range a.services[service] {
		if u.limiter.LimitedWithin(now, limitMemory) {
			named = append(named, NamedLimit{
				Upstream: u.entry.Upstream, Incarnation: u.entry.Incarnation, Limit: u.limiter.Limit(),
			})
		}
	}
	slices.SortFunc(named, func(x, y NamedLimit) int { return y.Limit.NamedAt.Compare(x.Limit.NamedAt) })
	return named[:min(len(named), maxNamedLimits)]
}
