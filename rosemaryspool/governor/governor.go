// Package governor makes the state of a gateway instance safe for concurrent use: the configuration, the upstreams,
// their load, the other instances and the retry budget. It shares the limits on retries and connections with the other
// instances.
package governor

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/core/reacher"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/tracker"
)

// spareInstances is the number of additional instances for which a share of each upstream's connections is reserved,
// so that new instances can connect before the others have received their reports.
const spareInstances = 3

// defaultMaxConnections is the connection limit of an upstream where the configuration sets none.
const defaultMaxConnections = 64

// Settings holds the identity of the instance and the settings of its retry budget and allocator.
type Settings struct {
	Self      elector.Member
	Retry     budgeter.Settings
	Allocator allocator.Settings
	// KeyLimit is how old the knowledge of removed keys may be; zero means any age.
	KeyLimit time.Duration
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
	// ReportPhase, from 0 to 1, differs between instances, so that they don't report the same at the same time.
	ReportPhase float64
}

// Governor guards the tracker, allocator, elector and retry budget of one instance. It is safe for concurrent use.
type Governor struct {
	log  zerolog.Logger
	self elector.Member
	// table is the route table of the configuration in force; nil until there is one.
	table atomic.Pointer[matcher.Table]
	keys  keyState

	mu        sync.Mutex
	tracker   *tracker.Tracker
	allocator *allocator.Allocator
	elector   *elector.Elector
	budgeter  *budgeter.Budgeter
	isolator  *isolator.Isolator
	resumer   *resumer.Resumer
	reacher   *reacher.Reacher
	instances int
	// membersListed is true once the list of members has been read: until then, the instances that are known are not all.
	membersListed bool
	upstreamsRead bool
	// loggedUpstreams is the list of upstreams that was logged last.
	loggedUpstreams []tracker.Entry
	// configured and listed are closed once there is a configuration and the list of upstreams has been read.
	configured chan struct{}
	listed     chan struct{}
	reports    reportState
	changed    chan struct{}
	unreached  chan struct{}
	// unsaved holds the changes of quarantines that are not in the store yet; quarantines signals them.
	unsaved []isolator.Change
	// sharesLogged is when each service that is short of room was logged last, budgetsLogged when each one that is short of
	// retries was.
	sharesLogged  map[identifier.ServiceName]time.Time
	budgetsLogged map[identifier.ServiceName]time.Time
	quarantines   chan struct{}
	// listNews is closed when the list of upstreams was read or has changed, listWanted signals that it should be read.
	listNews   chan struct{}
	listWanted chan struct{}
}

// NewGovernor returns a governor without configuration and upstreams.
func NewGovernor(settings Settings, log zerolog.Logger) *Governor {
	isolation := isolator.DefaultSettings()
	isolation.ReportPhase = settings.ReportPhase
	g := &Governor{
		log:       log,
		self:      settings.Self,
		tracker:   tracker.NewTracker(),
		allocator: allocator.NewAllocator(settings.Allocator, settings.Self.DataCentre),
		elector:   elector.NewElector(settings.Self),
		budgeter:  budgeter.NewBudgeter(settings.Retry),
		isolator:  isolator.NewIsolator(isolation),
		resumer:   resumer.NewResumer(settings.FirstStart),
		reacher:   reacher.NewReacher(),
		instances: 1,

		configured: make(chan struct{}), listed: make(chan struct{}),

		reports:   newReportState(settings.Self),
		changed:   make(chan struct{}, 1),
		unreached: make(chan struct{}, 1),

		sharesLogged:  map[identifier.ServiceName]time.Time{},
		budgetsLogged: map[identifier.ServiceName]time.Time{},

		quarantines: make(chan struct{}, 1),
		listNews:    make(chan struct{}), listWanted: make(chan struct{}, 1),
	}
	g.keys.limit.Store(int64(settings.KeyLimit))
	g.resumer.SetReportPhase(settings.ReportPhase)
	return g
}

// Table returns the route table of the configuration in force, or nil if there is none yet.
func (g *Governor) Table() *matcher.Table { return g.table.Load() }

// Ready reports whether the instance can serve requests: it has a configuration and has read the list of upstreams.
func (g *Governor) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstreamsRead && g.table.Load() != nil
}

// Configured is closed once the instance has a configuration.
func (g *Governor) Configured() <-chan struct{} { return g.configured }

// Listed is closed once the instance has read the list of upstreams.
func (g *Governor) Listed() <-chan struct{} { return g.listed }

// ConfigurationVersion returns the version of the configuration in force; zero if there is none.
func (g *Governor) ConfigurationVersion() uint64 {
	if t := g.Table(); t != nil {
		return t.Configuration().Version
	}
	return 0
}

// SetConfiguration applies a configuration, unless the current one has the same or a newer version.
func (g *Governor) SetConfiguration(c *matcher.Configuration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.ConfigurationVersion()
	if c.Version <= before {
		return
	}
	g.table.Store(matcher.NewTable(c))
	if before == 0 {
		close(g.configured)
	}
	g.log.Info().Str("event", "configurationInForce").Uint64("version", c.Version).Uint64("before", before).
		Int("routes", len(c.Routes)).Msg("Configuration is in force")
}

// Origin is where an instance has a part of the list of upstreams from.
type Origin struct {
	// Sender is the instance that forwarded the records; empty if they were read from the store.
	Sender identifier.InstanceID
	// Snapshot is true for the newest record of each upstream, false for the latest changes.
	Snapshot bool
	// FollowedTo is the offset after the last record of the list that is known with them.
	FollowedTo uint64
	// ListedAt is when the first list that this instance knows was read; the zero time for any other.
	ListedAt time.Time
}

// UpdateUpstreams applies changes to the list of upstreams. It logs the list if it changed or was read for the first
// time.
func (g *Governor) UpdateUpstreams(now time.Time, origin Origin, update func(*tracker.Tracker) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := update(g.tracker)
	changed = g.tracker.Expire(now) || changed
	if !changed && g.upstreamsRead {
		return
	}
	first := !g.upstreamsRead
	g.upstreamsRead = true
	g.resumer.Listed(origin.ListedAt)
	entries := g.applyUpstreams(now)
	g.tellListNews()
	if first {
		close(g.listed)
	}
	g.logUpstreams(entries, origin)
}

// applyUpstreams passes the tracker's list of upstreams to the parts that follow it. The governor's mutex must be held.
func (g *Governor) applyUpstreams(now time.Time) []tracker.Entry {
	entries := g.tracker.Entries()
	g.allocator.SetUpstreams(entries)
	g.allocator.BeginTrials(now)
	g.logTrials()
	g.resumer.SetUpstreams(now, entries)
	return entries
}

// StoreUnavailable records that a read of the list of upstreams that began at a time has failed.
func (g *Governor) StoreUnavailable(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.StoreUnavailable(at)
}

// StoreAvailable records that a read of the list at a time was the first one of any instance to succeed after an outage
// of the store, and when the last one before it was.
func (g *Governor) StoreAvailable(before, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.StoreUnavailable(before)
	g.tracker.StoreAvailable(at)
	g.log.Info().Str("event", "outageEnded").Dur("unreadMs", at.Sub(before)).Dur("returnedMsAgo", g.tracker.OutageAge(time.Now())).
		Msg("Store is read again after an outage; upstreams that are missing may register again for a while")
}

// StoreReturned records that the store has returned from an older copy.
func (g *Governor) StoreReturned(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.StoreReturned(now)
}

// OutageAge returns the time since the store has returned from its latest outage, zero if there was none.
func (g *Governor) OutageAge(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.OutageAge(now)
}

// OutageReported records that the store has returned from an outage at a time, as another instance has found.
func (g *Governor) OutageReported(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.OutageReported(at)
}

// Instances returns how many instances share the limits on retries and connections.
func (g *Governor) Instances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances
}

// ConnectionLimit returns this instance's share of the connections to one upstream of a service.
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

// Timings returns the measurements of a service's upstreams, and false if there are too few of them yet.
func (g *Governor) Timings(service identifier.ServiceName) (allocator.Timings, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.Timings(service)
}

// SetTimings replaces the measurements of a service's upstreams with those of its arbiter.
func (g *Governor) SetTimings(service identifier.ServiceName, m allocator.Timings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocator.SetTimings(service, m)
}

// Entry returns the entry of an upstream, and false if it is not listed.
func (g *Governor) Entry(id identifier.UpstreamID) (tracker.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.Entry(id)
}

// AcceptsWork reports whether an upstream is listed, not leaving, and has not asked this instance to wait, as far as this
// instance knows.
func (g *Governor) AcceptsWork(now time.Time, id identifier.UpstreamID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allocator.AcceptsWork(now, id)
}

// logEjectionChange returns a function that logs whether the upstream has been ejected or restored since the call.
func (g *Governor) logEjectionChange(id identifier.UpstreamID) func() {
	before := g.allocator.EjectionCause(id)
	return func() {
		after := g.allocator.EjectionCause(id)
		switch {
		case before == after:
		case after == "":
			g.log.Info().Str("event", "upstreamRestored").Str("upstream", string(id)).Str("after", string(before)).
				Msg("Upstream is restored")
		default:
			g.log.Warn().Str("event", "upstreamEjected").Str("upstream", string(id)).Str("cause", string(after)).
				Msg("Upstream is ejected and gets no requests for a while")
		}
	}
}

// Expire discards the work of instances that have stopped reporting, and removes upstreams that were not listed again.
func (g *Governor) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, peer := range g.allocator.ExpirePeers(now) {
		g.log.Debug().Str("event", "peerLost").Str("peer", string(peer)).
			Msg("Instance has stopped reporting; its load is discarded")
	}
	if g.tracker.Expire(now) {
		g.applyUpstreams(now)
	}
	for _, service := range g.allocator.Services() {
		g.logSpeeds(service, "own")
	}
	g.resumer.Expire(now)
	g.logShares(now)
	g.isolator.Expire(now)
	g.logIsolation("")
}
