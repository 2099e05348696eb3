package governor

import (
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
)

// Place chooses the upstream for a request of this instance, or refuses it.
func (g *Governor) Place(now time.Time, request allocator.Request) (allocator.Placement, *allocator.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	placement, refusal := g.placeIsolated(now, request, func(r allocator.Request) (allocator.Placement, *allocator.Refusal) {
		return g.allocator.Place(now, r)
	})
	if refusal == nil {
		g.signalChange(request.Service)
	}
	return placement, refusal
}

// PlaceFor chooses the upstream for a request of another instance, or refuses it.
func (g *Governor) PlaceFor(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, number uint64,
	request allocator.Request,
) (allocator.Placement, *allocator.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placeIsolated(now, request, func(r allocator.Request) (allocator.Placement, *allocator.Refusal) {
		return g.allocator.PlaceFor(now, instance, dataCentre, number, r)
	})
}

// PrefillEnded records the end of a placement's separate prefill.
func (g *Governor) PrefillEnded(now time.Time, placement *allocator.Placement, outcome allocator.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.logEjectionChange(placement.Prefiller)()
	g.allocator.PrefillEnded(now, placement, outcome)
	g.signalUpstreamChange(placement.Prefiller)
}

// FirstEventArrived records the arrival of a placement's first event.
func (g *Governor) FirstEventArrived(now, sent time.Time, placement *allocator.Placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocator.FirstEventArrived(now, sent, placement)
	g.signalUpstreamChange(placement.Upstream)
}

// Progressed records that a stream of a long answer has brought events in a time.
func (g *Governor) Progressed(now time.Time, placement allocator.Placement, events int, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocator.Progressed(now, placement, events, took)
}

// Ended records the end of a placement's request.
func (g *Governor) Ended(now, sent time.Time, placement allocator.Placement, outcome allocator.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.logEjectionChange(placement.Upstream)()
	g.allocator.Ended(now, sent, placement, outcome)
	g.signalUpstreamChange(placement.Upstream)
}

// RecordOverdue records that a request has had no response long after its predicted latency. It reports whether the
// upstream is ejected.
func (g *Governor) RecordOverdue(now time.Time, id identifier.UpstreamID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.logEjectionChange(id)()
	return g.allocator.RecordOverdue(now, id)
}
