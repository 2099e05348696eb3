// Package balancer spreads calls over the upstreams of plain services and ejects the ones that fail.
package balancer

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	// ejectionThreshold is how many failures in a row eject an upstream: one may be chance, three are not.
	ejectionThreshold = 3
	// firstEjection is the pause before an ejected upstream is probed; it doubles with each failed probe.
	baseEjectionTime = time.Second
	// longestEjection bounds the pause so that a repaired upstream returns within seconds.
	maxEjectionTime = 16 * time.Second
	// ejectableShare is the largest share of a service's upstreams that may be ejected: beyond it the fault is
	// more likely elsewhere, and the remaining ones would be overrun.
	maxEjectedShare = 0.5
	// latencyWeight is the weight of a new latency sample in the moving average.
	latencySmoothing = 0.2
	// initialLatency stands for an upstream without samples; it is short so that new upstreams are tried.
	initialLatency = time.Millisecond
)

// Balancer keeps the health and load of the upstreams of all services. It is not safe for concurrent use.
type Balancer struct {
	upstreams map[identifier.UpstreamID]*health
}

type health struct {
	inFlight            int
	latency             time.Duration
	consecutiveFailures int
	ejectedUntil        time.Time
	ejectionTime        time.Duration
}

// NewBalancer returns a balancer that knows no upstream.
func NewBalancer() *Balancer {
	return &Balancer{upstreams: make(map[identifier.UpstreamID]*health)}
}

// Pick chooses the candidate with the least expected wait and counts the call as started; false when there is none.
func (b *Balancer) Pick(now time.Time, candidates []identifier.UpstreamID) (identifier.UpstreamID, bool) {
	usable := b.usable(now, candidates)
	if len(usable) == 0 {
		return "", false
	}
	best := usable[0]
	for _, id := range usable[1:] {
		if b.expectedWait(id) < b.expectedWait(best) {
			best = id
		}
	}
	b.healthOf(best).inFlight++
	return best, true
}

// End counts a call as ended. A failure is a call without a whole answer.
func (b *Balancer) End(now time.Time, id identifier.UpstreamID, took time.Duration, failed bool) {
	h := b.healthOf(id)
	if h.inFlight > 0 {
		h.inFlight--
	}
	if failed {
		h.recordFailure(now)
		return
	}
	h.consecutiveFailures = 0
	h.ejectionTime = 0
	h.ejectedUntil = time.Time{}
	h.latency += time.Duration(latencySmoothing * float64(took-h.latency))
}

// Forget drops an upstream that no listing names any more.
func (b *Balancer) Forget(id identifier.UpstreamID) { delete(b.upstreams, id) }

// usable leaves out ejected upstreams, but never more than the ejectable share: the ones closest to their return stay.
func (b *Balancer) usable(now time.Time, candidates []identifier.UpstreamID) []identifier.UpstreamID {
	var healthy, ejected []identifier.UpstreamID
	for _, id := range candidates {
		if b.healthOf(id).ejectedUntil.After(now) {
			ejected = append(ejected, id)
			continue
		}
		healthy = append(healthy, id)
	}
	allowed := int(maxEjectedShare * float64(len(candidates)))
	for len(ejected) > allowed {
		first := b.earliestReturn(ejected)
		healthy = append(healthy, ejected[first])
		ejected = append(ejected[:first], ejected[first+1:]...)
	}
	return healthy
}

func (b *Balancer) earliestReturn(ids []identifier.UpstreamID) int {
	first := 0
	for i, id := range ids {
		if b.healthOf(id).ejectedUntil.Before(b.healthOf(ids[first]).ejectedUntil) {
			first = i
		}
	}
	return first
}

func (b *Balancer) expectedWait(id identifier.UpstreamID) time.Duration {
	h := b.healthOf(id)
	return time.Duration(h.inFlight+1) * h.latency
}

func (b *Balancer) healthOf(id identifier.UpstreamID) *health {
	h, ok := b.upstreams[id]
	if !ok {
		h = &health{latency: initialLatency}
		b.upstreams[id] = h
	}
	return h
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures < ejectionThreshold {
		return
	}
	h.ejectionTime = min(max(2*h.ejectionTime, baseEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
}
