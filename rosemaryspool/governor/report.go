package governor

import (
	"slices"
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/tracker"
)

// Report is this instance's work for one service.
type Report struct {
	Service  identifier.ServiceName
	Sequence uint64
	Loads    allocator.Loads
	// FirstPending is the lowest number of a placement request that is still unanswered.
	FirstPending uint64
	Observations []allocator.Observation
	// Limits are the rate limits that upstreams of the service have named.
	Limits []allocator.NamedLimit
	// Leaving are the upstreams that have said in their responses that they leave.
	Leaving []LeavingUpstream
	// Removed are the upstreams whose removal the instance knows, and which an older copy of the store lists.
	Removed []LeavingUpstream
	// PathLost is true while no upstream of the service can be reached from this instance.
	PathLost bool
	// Begun are streams that have begun at this instance.
	Begun []resumer.Origin
}

// LeavingUpstream is an upstream that leaves or has left, in one incarnation.
type LeavingUpstream struct {
	Upstream    identifier.UpstreamID
	Incarnation uint64
	// Sequence is that of its last report before its removal; zero if it is unknown or the upstream isn't removed.
	Sequence uint64
}

// MaxReportedLeaving bounds the leaving and the removed upstreams in a report, which must fit into a datagram; the store's list has all.
const MaxReportedLeaving = 16

// reportState is what the governor keeps for the reports to the arbiters. The governor's mutex guards it.
type reportState struct {
	// changed holds the services with work that changed since their last report.
	changed   map[identifier.ServiceName]bool
	sequences map[identifier.ServiceName]uint64
	// nextNumber is the number of the next placement request, pending holds those that are unanswered.
	nextNumber uint64
	pending    []uint64
}

func newReportState(self elector.Member) reportState {
	return reportState{
		nextNumber: self.FirstNumber(),
		changed:    map[identifier.ServiceName]bool{}, sequences: map[identifier.ServiceName]uint64{},
	}
}

// TakeReport returns the report for a service's arbiter and reports whether the work has changed since the last one.
func (g *Governor) TakeReport(service identifier.ServiceName, to elector.Member) (Report, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.reports.changed[service]
	delete(g.reports.changed, service)
	r := g.report(service)
	r.Observations = g.allocator.TakeObservations(service)
	r.Begun = g.takeStreams(time.Now(), service, to)
	return r, changed
}

// PeekReport returns the report for the instance that stands by for the service's arbiter, without observations.
func (g *Governor) PeekReport(service identifier.ServiceName, to elector.Member) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.report(service)
	r.Begun = g.takeStreams(time.Now(), service, to)
	return r
}

func (g *Governor) report(service identifier.ServiceName) Report {
	g.reports.sequences[service]++
	first := g.reports.nextNumber
	if len(g.reports.pending) > 0 {
		first = slices.Min(g.reports.pending)
	}
	return Report{
		Service: service, Leaving: leavingOf(service, g.tracker.NoticedLeaving()),
		Removed: leavingOf(service, g.tracker.CopiedRemoved()), Sequence: g.reports.sequences[service], Loads: g.allocator.OwnLoads(service), FirstPending: first,
		Limits: g.allocator.NamedLimits(time.Now(), service), PathLost: g.reacher.Lost(service),
	}
}

// leavingOf returns the upstreams of a service that are reported.
func leavingOf(service identifier.ServiceName, entries []tracker.Entry) []LeavingUpstream {
	var leaving []LeavingUpstream
	for _, e := range entries {
		if e.Service == service && len(leaving) < MaxReportedLeaving {
			leaving = append(leaving, LeavingUpstream{Upstream: e.Upstream, Incarnation: e.Incarnation})
		}
	}
	return leaving
}

// Services returns the services that have upstreams.
func (g *Governor) Services() []identifier.ServiceName {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.Services()
}

// BeginRequest returns the number of a new placement request, which is pending until EndRequest.
func (g *Governor) BeginRequest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	number := g.reports.nextNumber
	g.reports.nextNumber++
	g.reports.pending = append(g.reports.pending, number)
	return number
}

// EndRequest ends a pending placement request. If it was granted, the placement's work counts from now on.
func (g *Governor) EndRequest(
	now time.Time, number uint64, service identifier.ServiceName, placement *allocator.Placement,
	prompt []allocator.PromptPart,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports.pending = slices.DeleteFunc(g.reports.pending, func(n uint64) bool { return n == number })
	if placement != nil {
		g.allocator.Adopt(now, placement, prompt)
	}
	if placement == nil {
		// The arbiter may have counted a placement whose reply was lost; the next report corrects that.
		g.signalChange(service)
	}
}

// Unusable returns the upstreams of a service that this instance should not use for now.
func (g *Governor) Unusable(now time.Time, service identifier.ServiceName) []identifier.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.Unusable(now, service)
}

// ApplyReport replaces another instance's work for a service and applies what it has observed. The work and the paths of a
// process that has ended don't count any more.
func (g *Governor) ApplyReport(now time.Time, sender elector.Member, r Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	instance, dataCentre := sender.Instance, sender.DataCentre
	if g.elector.IsCurrent(sender) {
		if g.allocator.UpdatePeer(now, instance, r.Service, r.Loads, r.FirstPending) {
			g.log.Debug().Str("event", "peerHeard").Str("peer", string(instance)).Str("service", string(r.Service)).
				Msg("First work report of another instance")
		}
		g.applyPath(instance, dataCentre, r)
	}
	if !r.PathLost {
		for _, o := range r.Observations {
			logChange := g.logEjectionChange(o.Upstream)
			g.allocator.Observe(now, instance, dataCentre, o)
			logChange()
		}
		g.logSpeeds(r.Service, string(instance))
		g.logTrials()
	}
	for _, l := range r.Leaving {
		g.markLeaving(l.Upstream, l.Incarnation, instance)
	}
	for _, l := range r.Removed {
		g.markRemoved(l, instance)
	}
	g.resumer.Learn(now, r.Begun...)
	for _, n := range r.Limits {
		if g.allocator.LearnLimit(n) {
			g.logLimit(n, instance)
		}
	}
}

// Changed receives a value after a change of this instance's work.
func (g *Governor) Changed() <-chan struct{} { return g.changed }

func (g *Governor) signalUpstreamChange(id identifier.UpstreamID) {
	if e, listed := g.allocator.Entry(id); listed {
		g.signalChange(e.Service)
	}
}

func (g *Governor) signalChange(service identifier.ServiceName) {
	g.reports.changed[service] = true
	g.signal()
}

// signal has reports sent.
func (g *Governor) signal() {
	select {
	case g.changed <- struct{}{}:
	default:
		// A value is pending already.
	}
}
