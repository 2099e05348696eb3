// Package balancer distributes calls over the upstreams of plain services and ejects upstreams that fail.
package balancer

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	// ejectionThreshold is the number of consecutive failures that ejects an upstream; fewer may be coincidence.
	ejectionThreshold = 3
	// baseEjectionTime is the time until an ejected upstream is tried again; it doubles with each further failure.
	baseEjectionTime = time.Second
	// maxEjectionTime bounds the ejection time so that a recovered upstream is used again within seconds.
	maxEjectionTime = 16 * time.Second
	// maxEjectedShare is the largest share of a service's upstreams that may be ejected. Above it the fault is more
	// likely elsewhere, and the remaining upstreams would be overloaded.
	maxEjectedShare = 0.5
	// latencySmoothing is the weight of a new latency sample in the moving average.
	latencySmoothing = 0.2
	// initialLatency is assumed for an upstream without samples; it is short so that new upstreams get calls.
	initialLatency = time.Millisecond
)

// Balancer tracks the health and load of the upstreams of all services. It is not safe for concurrent use.
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

// NewBalancer returns a balancer that tracks no upstreams.
func NewBalancer() *Balancer {
	return &Balancer{upstreams: make(map[identifier.UpstreamID]*health)}
}

// Pick returns the candidate with the shortest expected wait and counts a call to it as in flight. It returns false if
// there are no candidates.
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

// End records the end of a call and its duration. A call fails if it gets no complete response.
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

// Remove deletes the state of an upstream that is no longer listed.
func (b *Balancer) Remove(id identifier.UpstreamID) { delete(b.upstreams, id) }

// usable returns the candidates that aren't ejected. If more than maxEjectedShare are ejected, it also returns those
// whose ejections end first.
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

// expectedWait estimates the latency of one more call from the calls in flight and the mean latency.
func (b *Balancer) expectedWait(id identifier.UpstreamID) time.Duration {
	h := b.healthOf(id)
	return time.Duration(h.inFlight+1) * h.latency
}

// healthOf returns the health of an upstream, which it creates at first use.
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
