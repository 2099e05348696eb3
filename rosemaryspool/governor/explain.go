package governor

import (
	"slices"
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
)

// Explain tells where a request of an instance would be placed now, and why; an empty instance is this one. It changes
// nothing.
func (g *Governor) Explain(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, request allocator.Request,
) allocator.Explanation {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.isolate(now, request)
	request.Excluded = append(slices.Clip(request.Excluded), i.trials...)
	x := g.allocator.Explain(now, instance, dataCentre, request)
	x.Reason = i.reason(x.Reason)
	if i.refusal != nil {
		x.Upstream, x.Prefiller, x.Reason, x.RetryAfter = "", "", i.refusal.Reason, i.refusal.RetryAfter
	}
	return x
}
