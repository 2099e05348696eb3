package governor

import (
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// Demand returns the work that was offered to a service through this instance, how fast its engines prefill that also decode,
// relative to the others, and whether this instance is the service's arbiter. Only an arbiter knows the long answers that run.
func (g *Governor) Demand(now time.Time, service identifier.ServiceName) (
	demand allocator.Demand, longAnswers int, mixedSpeed float64, arbitrates bool,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	demand, longAnswers = g.allocator.Demand(service)
	arbitrates = g.arbitrates(now, service)
	if !arbitrates {
		longAnswers = 0
	}
	return demand, longAnswers, g.allocator.MixedSpeed(service), arbitrates
}

// Entries returns the listed upstreams of a service.
func (g *Governor) Entries(service identifier.ServiceName) []tracker.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.Entries(service)
}
