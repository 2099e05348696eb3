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
	firstEjection = time.Second
	// longestEjection bounds the pause so that a repaired upstream returns within seconds.
	longestEjection = 16 * time.Second
	// ejectableShare is the largest share of a service's upstreams that may be ejected: beyond it the fault is
	// more likely elsewhere, and the remaining ones would be overrun.
	ejectableShare = 0.5
	// latencyWeight is the weight of a new latency sample in the moving average.
	latencyWeight = 0.2
	// initialLatency stands for an upstream without samples; it is short so that new upstreams are tried.
	initialLatency = time.Millisecond
)

// Balancer keeps the health and load of the upstreams of all services. It is not safe for concurrent use.
type Balancer struct {
	upstreams map[identifier.UpstreamID]*health
}

type health struct {
	inFlight     int
	latency      time.Duration
	failures     int
	ejectedUntil time.Time
	pause        time.Duration
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
		if b.wait(id) < b.wait(best) {
			best = id
		}
	}
	b.find(best).inFlight++
	return best, true
}

// End counts a call as ended. A failure is a call without a whole answer.
func (b *Balancer) End(now time.Time, id identifier.UpstreamID, took time.Duration, failed bool) {
	h := b.find(id)
	if h.inFlight > 0 {
		h.inFlight--
	}
	if failed {
		h.fail(now)
		return
	}
	h.failures = 0
	h.pause = 0
	h.ejectedUntil = time.Time{}
	h.latency += time.Duration(latencyWeight * float64(took-h.latency))
}

// Forget drops an upstream that no listing names any more.
func (b *Balancer) Forget(id identifier.UpstreamID) { delete(b.upstreams, id) }

// usable leaves out ejected upstreams, but never more than the ejectable share: the ones closest to their return stay.
func (b *Balancer) usable(now time.Time, candidates []identifier.UpstreamID) []identifier.UpstreamID {
	var healthy, ejected []identifier.UpstreamID
	for _, id := range candidates {
		if b.find(id).ejectedUntil.After(now) {
			ejected = append(ejected, id)
			continue
		}
		healthy = append(healthy, id)
	}
	allowed := int(ejectableShare * float64(len(candidates)))
	for len(ejected) > allowed {
		first := b.nextReturn(ejected)
		healthy = append(healthy, ejected[first])
		ejected = append(ejected[:first], ejected[first+1:]...)
	}
	return healthy
}

func (b *Balancer) nextReturn(ids []identifier.UpstreamID) int {
	first := 0
	for i, id := range ids {
		if b.find(id).ejectedUntil.Before(b.find(ids[first]).ejectedUntil) {
			first = i
		}
	}
	return first
}

func (b *Balancer) wait(id identifier.UpstreamID) time.Duration {
	h := b.find(id)
	return time.Duration(h.inFlight+1) * h.latency
}

func (b *Balancer) find(id identifier.UpstreamID) *health {
	h, ok := b.upstreams[id]
	if !ok {
		h = &health{latency: initialLatency}
		b.upstreams[id] = h
	}
	return h
}

func (h *health) fail(now time.Time) {
	h.failures++
	if h.failures < ejectionThreshold {
		return
	}
	h.pause = min(max(2*h.pause, firstEjection), longestEjection)
	h.ejectedUntil = now.Add(h.pause)
}
