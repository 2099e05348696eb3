package governor

import (
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
)

// Explain tells where a request of an instance would be placed now, and why; an empty instance is this one. It changes
// nothing.
func (g *Governor) Explain(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, request allocator.Request,
) allocator.Explanation {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.allocator.Explain(now, instance, dataCentre, request)
	traits := request.Traits()
	for _, c := range g.isolator.List(now) {
		if c.Status != isolator.Quarantined {
			continue
		}
		for _, t := range traits {
			if t == c.Trait {
				x.Upstream, x.Prefiller, x.Reason, x.RetryAfter = "", "", allocator.ReasonQuarantined, c.Until.Sub(now)
			}
		}
	}
	return x
}
