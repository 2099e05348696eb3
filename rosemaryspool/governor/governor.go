// Package governor holds the decisions of one instance in front of the platform's upstreams, and lets the parts that do
// I/O share them.
package governor

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/core/tracker"
)

// spareInstances is the number of instances for which a share of each upstream's connections is left, so that new
// instances can connect before the others have heard of them.
const spareInstances = 3

// defaultConnections is an upstream's connection limit where the configuration names none.
const defaultMaxConnections = 64

// Settings of one instance's decisions.
type Settings struct {
	DataCentre identifier.DataCentre
	Retry      budgeter.Settings
	Allocator  allocator.Settings
}

// Governor is safe for concurrent use.
type Governor struct {
	log zerolog.Logger
	// table is the configuration in force; nil until there was one.
	table atomic.Pointer[matcher.Table]

	mu            sync.Mutex
	tracker       *tracker.Tracker
	allocator     *allocator.Allocator
	budgeter      *budgeter.Budgeter
	instances     int
	upstreamsRead bool
	changed       chan struct{}
}

// NewGovernor returns a governor without configuration and upstreams.
func NewGovernor(settings Settings, log zerolog.Logger) *Governor {
	return &Governor{
		log:       log,
		tracker:   tracker.NewTracker(),
		allocator: allocator.NewAllocator(settings.Allocator, settings.DataCentre),
		budgeter:  budgeter.NewBudgeter(settings.Retry),
		instances: 1,
		changed:   make(chan struct{}, 1),
	}
}

// Table returns the configuration in force; nil when there is none yet.
func (g *Governor) Table() *matcher.Table { return g.table.Load() }

// Ready tells whether the instance can serve: it has a configuration and has read the list of upstreams.
func (g *Governor) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstreamsRead && g.table.Load() != nil
}

// SetConfiguration puts a configuration in force, unless a newer one is.
func (g *Governor) SetConfiguration(c *matcher.Configuration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := uint64(0)
	if t := g.table.Load(); t != nil {
		before = t.Configuration().Version
	}
	if c.Version <= before {
		return
	}
	g.table.Store(matcher.NewTable(c))
	g.log.Info().Str("event", "configurationInForce").Uint64("version", c.Version).Uint64("before", before).
		Int("routes", len(c.Routes)).Msg("Configuration is in force")
}

// UpdateUpstreams applies changes to the list of upstreams and logs what follows from them.
func (g *Governor) UpdateUpstreams(now time.Time, cause string, update func(*tracker.Tracker) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := update(g.tracker)
	changed = g.tracker.Expire(now) || changed
	if !changed && g.upstreamsRead {
		return
	}
	g.upstreamsRead = true
	entries := g.tracker.Entries()
	g.allocator.SetUpstreams(entries)
	leaving := 0
	for _, e := range entries {
		if e.Leaving {
			leaving++
		}
	}
	g.log.Info().Str("event", "upstreamsListed").Str("cause", cause).Int("upstreams", len(entries)).Int("leaving", leaving).
		Array("entries", entryList(entries)).Msg("List of upstreams changed")
}

// entryList writes upstreams into a log line as id:role:state.
type entryList []tracker.Entry

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l entryList) MarshalZerologArray(a *zerolog.Array) {
	for _, e := range l {
		state := "ready"
		if e.Leaving {
			state = "leaving"
		}
		a.Str(string(e.Upstream) + ":" + e.Role.String() + ":" + state)
	}
}

// StoreFailed notes that the list could not be read.
func (g *Governor) StoreUnavailable(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.StoreUnavailable(now)
}

// SetInstances sets how many instances share the bounds on repeats and connections, and how old their reports are where
// they come from other data centres.
func (g *Governor) SetInstances(count int, remoteAge time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocator.SetRemoteAge(remoteAge)
	if count == g.instances {
		return
	}
	g.instances = max(1, count)
	g.budgeter.SetInstances(g.instances)
	g.log.Info().Str("event", "instancesCounted").Int("instances", g.instances).Msg("Number of instances changed")
}

// SetRetry replaces the bound on repeats.
func (g *Governor) SetRetryBudget(now time.Time, settings budgeter.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgeter.SetSettings(now, settings)
}

// Instances returns how many instances share the bounds.
func (g *Governor) Instances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances
}

// Connections returns this instance's share of the connections of one upstream of a service.
func (g *Governor) ConnectionLimit(service identifier.ServiceName) int {
	limit := defaultMaxConnections
	if t := g.table.Load(); t != nil {
		if s := t.Configuration().Services[service]; s.MaxConnections > 0 {
			limit = s.MaxConnections
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(1, limit/(g.instances+spareInstances))
}

// Place finds a place for a request, or refuses it.
func (g *Governor) Place(now time.Time, ask allocator.Request) (allocator.Placement, *allocator.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	place, refusal := g.allocator.Place(now, ask)
	if refusal == nil {
		g.signalChange()
	}
	return place, refusal
}

// Entry returns an upstream as it is listed.
func (g *Governor) Entry(id identifier.UpstreamID) (tracker.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.Entry(id)
}

// ReadEnded tells that the prompt's read of a place ended.
func (g *Governor) PrefillEnded(now time.Time, place *allocator.Placement, outcome allocator.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.logEjectionChange(place.Prefiller)()
	g.allocator.PrefillEnded(now, place, outcome)
	g.signalChange()
}

// Progressed tells that the first event of a place arrived.
func (g *Governor) FirstEventArrived(now, sent time.Time, place *allocator.Placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocator.FirstEventArrived(now, sent, place)
}

// Ended tells that the work of a place ended.
func (g *Governor) Ended(now, sent time.Time, place allocator.Placement, outcome allocator.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.logEjectionChange(place.Upstream)()
	g.allocator.Ended(now, sent, place, outcome)
	g.signalChange()
}

// Overdue takes a request that shows no sign of life long after its predicted time; true when its upstream is out.
func (g *Governor) RecordOverdue(now time.Time, id identifier.UpstreamID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.logEjectionChange(id)()
	return g.allocator.RecordOverdue(now, id)
}

// watchHealth returns a function that logs when the upstream's standing has changed meanwhile.
func (g *Governor) logEjectionChange(id identifier.UpstreamID) func() {
	before := g.allocator.EjectionCause(id)
	return func() {
		after := g.allocator.EjectionCause(id)
		switch {
		case before == after:
		case after == "":
			g.log.Info().Str("event", "upstreamRestored").Str("upstream", string(id)).Str("after", string(before)).
				Msg("Upstream answers again")
		default:
			g.log.Warn().Str("event", "upstreamEjected").Str("upstream", string(id)).Str("cause", string(after)).
				Msg("Upstream gets nothing for a while")
		}
	}
}

// Requested counts a caller's request for a service.
func (g *Governor) CountRequest(now time.Time, service identifier.ServiceName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budgeter.CountRequest(now, service)
}

// SpendRepeat takes one repeat to a service out of the budget; false when there is none left.
func (g *Governor) TryRetry(now time.Time, service identifier.ServiceName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budgeter.TryRetry(now, service)
}

// Learn takes another instance's work.
func (g *Governor) UpdatePeer(now time.Time, instance identifier.InstanceID, loads map[identifier.UpstreamID]allocator.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.allocator.UpdatePeer(now, instance, loads) {
		g.log.Info().Str("event", "peerHeard").Str("peer", string(instance)).Msg("Work of another instance is known")
	}
}

// Expire forgets the work of silent instances and upstreams that did not come back.
func (g *Governor) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, peer := range g.allocator.ExpirePeers(now) {
		g.log.Warn().Str("event", "peerLost").Str("peer", string(peer)).Msg("Instance is silent; its work is forgotten")
	}
	if g.tracker.Expire(now) {
		g.allocator.SetUpstreams(g.tracker.Entries())
	}
}

// OwnLoads returns this instance's work.
func (g *Governor) OwnLoads() map[identifier.UpstreamID]allocator.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.OwnLoads()
}

// Changed gets a value after this instance's work changed.
func (g *Governor) Changed() <-chan struct{} { return g.changed }

func (g *Governor) signalChange() {
	select {
	case g.changed <- struct{}{}:
	default:
		// A value that was not taken yet tells the same.
	}
}
