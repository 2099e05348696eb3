package governor

import (
	"time"

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
	switch {
	case !changed:
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
