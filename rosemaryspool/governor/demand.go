package governor

import (
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// Demand returns the work that has been offered to a service so far, the number of long answers that run, and how fast its
// engines prefill that also decode, relative to the others. It returns false if another instance is the service's arbiter.
func (g *Governor) Demand(now time.Time, service identifier.ServiceName) (
	demand allocator.Demand, longAnswers int, mixedSpeed float64, arbitrates bool,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.elector.Trusted(now, ArbiterDuty(service), 1)
	if len(first) == 0 || first[0].Instance != g.self.Instance {
		return allocator.Demand{}, 0, 0, false
	}
	demand, longAnswers = g.allocator.Demand(service)
	return demand, longAnswers, g.allocator.MixedSpeed(service), true
}

// Entries returns the listed upstreams of a service.
func (g *Governor) Entries(service identifier.ServiceName) []tracker.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.Entries(service)
}
