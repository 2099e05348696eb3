package governor

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// RecordUnreached records that an attempt did not get through to an upstream, or that nothing came back.
func (g *Governor) RecordUnreached(now time.Time, e tracker.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reacher.Failed(now, e.Service, e.Upstream)
	select {
	case g.unreached <- struct{}{}:
	default:
		// A value is pending already.
	}
}

// Unreached receives a value when an attempt did not get through.
func (g *Governor) Unreached() <-chan struct{} { return g.unreached }

// BeginProbes returns the upstreams of the services to which the path is to be probed now. ProbeEnded has to be called for
// each of these services.
func (g *Governor) BeginProbes(now time.Time) map[identifier.ServiceName][]tracker.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	probes := map[identifier.ServiceName][]tracker.Entry{}
	for _, service := range g.allocator.Services() {
		if entries := g.allocator.Entries(service); g.reacher.BeginProbe(now, service, len(entries)) {
			probes[service] = entries
		}
	}
	return probes
}

// ProbeEnded records whether a connection to any upstream of a service could be opened.
func (g *Governor) ProbeEnded(now time.Time, service identifier.ServiceName, reached bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed, lostFor := g.reacher.ProbeEnded(now, service, reached)
	if !changed {
		return
	}
	// What failed on a lost path says nothing about the upstreams.
	g.allocator.ForgetHealth(g.self.DataCentre, service)
	g.signalChange(service)
	switch {
	case reached:
		g.log.Info().Str("event", "pathRestored").Str("service", string(service)).Dur("lostMs", lostFor).
			Msg("Upstreams of a service can be reached again")
	default:
		g.log.Warn().Str("event", "pathLost").Str("service", string(service)).
			Msg("No upstream of a service can be reached from this instance")
	}
}

// PathLost reports whether no upstream of a service can be reached from this instance.
func (g *Governor) PathLost(service identifier.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reacher.Lost(service)
}

// Detours returns the instances that requests are passed on to while the path from this one is lost, at most limit. Those
// of the same data centre come first and suspected ones last, each in a random order.
func (g *Governor) Detours(now time.Time, limit int) []elector.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	near, far, suspected := g.elector.Peers(now)
	for _, members := range [][]elector.Member{near, far, suspected} {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	}
	return g.reacher.Detours(now, slices.Concat(near, far, suspected), limit)
}

// HasUnreachable reports whether this instance has not reached some upstream of a service lately.
func (g *Governor) HasUnreachable(now time.Time, service identifier.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.HasUnreachable(now, service)
}

// Reroutes returns the instances that a request is passed on to which can't be placed here, if this one does not reach some
// upstreams that others may reach.
func (g *Governor) Reroutes(now time.Time, service identifier.ServiceName, limit int) []elector.Member {
	g.mu.Lock()
	unreachable := g.allocator.HasUnreachable(now, service) && g.reacher.MayReroute(now, service)
	g.mu.Unlock()
	if !unreachable {
		return nil
	}
	return g.Detours(now, limit)
}

// RerouteFailed records that no other instance could place the request either.
func (g *Governor) RerouteFailed(now time.Time, service identifier.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reacher.RerouteFailed(now, service)
}

// Decline records that another instance did not take a request that was passed on.
func (g *Governor) Decline(now time.Time, id identifier.InstanceID, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.reacher.Decline(now, id) {
		return
	}
	g.log.Info().Str("event", "detourDeclined").Str("peer", string(id)).Str("reason", reason).
		Msg("Instance did not take a request that was passed on")
}

// applyPath applies another instance's word on its path to the upstreams of a service: what it experienced before it lost
// the path says nothing about the upstreams. The governor's mutex must be held.
func (g *Governor) applyPath(instance identifier.InstanceID, dataCentre identifier.DataCentre, r Report) {
	if !g.reacher.PeerLost(instance, r.Service, r.PathLost) {
		return
	}
	if r.PathLost {
		g.allocator.ForgetHealth(dataCentre, r.Service)
	}
	g.log.Info().Str("event", "peerPathChanged").Str("peer", string(instance)).Str("service", string(r.Service)).
		Bool("lost", r.PathLost).Msg("Another instance has lost or restored its path to the upstreams")
}
