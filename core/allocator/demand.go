package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Demand is the work that has been offered to a service's upstreams through this allocator, refused work included. A
// caller that comes back after a refusal is not counted again.
type Demand struct {
	Requests uint64
	Refused  uint64
	// Prefill is the time that engines which only prefill would need for the prompts.
	Prefill time.Duration
	// Hold is the time that the short answers hold their slots.
	Hold time.Duration
}

// countDemand adds a request to the demand for its service. best is the option with the lowest cost.
func (d *decision) countDemand(best option, refused bool) {
	if d.req.Returned {
		return
	}
	demand := d.allocator.demands[d.req.Service]
	if demand == nil {
		demand = &Demand{}
		d.allocator.demands[d.req.Service] = demand
	}
	demand.Requests++
	if refused {
		demand.Refused++
	}
	if d.req.Engine {
		tokens := best.tokens
		if best.upstream == nil {
			tokens = d.req.promptTokens()
		}
		demand.Prefill += d.timings.prefill.slope(tokens)
	}
	if !d.isLong() {
		demand.Hold += d.timings.slotHoldTime.value
	}
}

// Demand returns the work that has been offered to a service so far, and the number of long answers that run now.
func (a *Allocator) Demand(service identifier.ServiceName) (demand Demand, longAnswers int) {
	if known := a.demands[service]; known != nil {
		demand = *known
	}
	for _, u := range a.services[service] {
		longAnswers += max(0, u.load().Long)
	}
	return demand, longAnswers
}

// MixedSpeed returns how fast an engine prefills that also decodes, relative to one that only prefills.
func (a *Allocator) MixedSpeed(service identifier.ServiceName) float64 {
	t := a.timingsOf(service)
	return min(1, t.prefill.perToken/max(1, t.mixedPrefill.perToken))
}
