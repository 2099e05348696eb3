// Package allocator chooses the upstream for each request, or refuses a request that can't be served in time. It is
// built for bursts of some seconds at twice the fleet's capacity: it admits requests that can still be answered in
// time, queues none that the wait would make late, and sheds the rest on arrival.
//
// Each instance has an allocator. The one of a service's arbiter places the requests of all instances, so it knows the
// complete load; the others only decide alone when no arbiter answers.
package allocator

import (
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/limiter"
	"rosemaryspool.example/core/sharer"
	"rosemaryspool.example/core/speedometer"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/core/warmer"
)

// PromptPart is a section of a prompt. Requests that share a section give it the same hash; an engine that has run one
// of them may have it in its cache.
type PromptPart struct {
	Hash   uint64
	Tokens identifier.Tokens
}

// Load is the unfinished work that one instance has at one upstream.
type Load struct {
	// Short and Long count the requests that run or wait there, by the expected length of their answers.
	Short int
	Long  int
	// AwaitingPrefill counts the requests with short answers whose prefill still runs at another engine.
	AwaitingPrefill int
	// QueuedPrefill is the number of prompt tokens still to be prefilled there, without those expected in its cache.
	QueuedPrefill identifier.Tokens
	// Levels holds the part of QueuedPrefill that belongs to accounts' requests, by urgency from level 1 on.
	Levels [sharer.Levels]identifier.Tokens
	// DeferredPrefill is the same for requests that are late in any case; the upstream runs them after the others.
	DeferredPrefill identifier.Tokens
}

// Requests returns the number of requests.
func (l Load) Requests() int { return l.Short + l.Long + l.AwaitingPrefill }

// add adds another load, or subtracts it if sign is -1.
func (l *Load) add(other Load, sign int) {
	l.Short += sign * other.Short
	l.Long += sign * other.Long
	l.AwaitingPrefill += sign * other.AwaitingPrefill
	l.QueuedPrefill += identifier.Tokens(sign) * other.QueuedPrefill
	for i, tokens := range other.Levels {
		l.Levels[i] += identifier.Tokens(sign) * tokens
	}
	l.DeferredPrefill += identifier.Tokens(sign) * other.DeferredPrefill
}

// upstream holds the listing and the load of one upstream.
type upstream struct {
	entry  tracker.Entry
	own    Load
	others Load
	// hash is the hash of the upstream's ID, for rendezvous hashing.
	hash  uint64
	cache *promptCache
	// pressure is what accounts' requests take of an engine's time.
	pressure pressure
	// limiter holds the rate of requests that the upstream has asked for.
	limiter *limiter.Limiter
	// waitUntil is the time until which the upstream wants no requests from this instance.
	waitUntil time.Time
	// memoryKnown is true once the upstream has told the size of its memory.
	memoryKnown bool
	// deferredSince is since when the upstream has had deferred work; zero if it has none.
	deferredSince time.Time
}

// load returns the load from all instances.
func (u *upstream) load() Load {
	sum := u.own
	sum.add(u.others, 1)
	return sum
}

// acceptsWork reports whether an upstream is not leaving and has not asked this instance to wait.
func (u *upstream) acceptsWork(now time.Time) bool {
	return !u.entry.Leaving && !now.Before(u.waitUntil)
}

// Loads holds the loads of one instance by upstream.
type Loads map[identifier.UpstreamID]Load

// peerKey identifies the work of another instance for one service.
type peerKey struct {
	instance identifier.InstanceID
	service  identifier.ServiceName
}

// peer is the work of another instance for one service.
type peer struct {
	loads      Loads
	lastReport time.Time
	// grants holds the placements for the instance that its reports don't include yet, by the number of the request.
	grants map[uint64]Loads
}

// Allocator places requests. It is not safe for concurrent use.
type Allocator struct {
	settings   Settings
	dataCentre identifier.DataCentre
	upstreams  map[identifier.UpstreamID]*upstream
	services   map[identifier.ServiceName][]*upstream
	peers      map[peerKey]*peer
	// health holds what the instances of each data centre have experienced, because some faults affect only the path from
	// there.
	health  map[identifier.DataCentre]*ejector.Ejector
	timings map[identifier.ServiceName]*timings
	speeds  map[identifier.ServiceName]*speedometer.Speedometer
	// spread, from 0 to 1, is where the caller that was refused last comes back in the time in which refused ones do.
	spread float64
	warmer *warmer.Warmer
	// fresh holds the upstreams that have been listed for the first time since BeginTrials, where others of their service
	// serve already.
	fresh        []identifier.UpstreamID
	trialChanges []TrialChange
	// openLoads is what the upstreams hold that are not on trial.
	openLoads map[identifier.ServiceName]openLoad
	// observations are those of this instance since they were last taken.
	observations map[identifier.ServiceName][]Observation
	demands      map[identifier.ServiceName]*Demand
	// sharers divide the services among accounts.
	sharers map[identifier.ServiceName]*sharer.Sharer
}

// NewAllocator returns an allocator without upstreams for an instance in dataCentre.
func NewAllocator(settings Settings, dataCentre identifier.DataCentre) *Allocator {
	return &Allocator{
		settings:     settings,
		dataCentre:   dataCentre,
		upstreams:    map[identifier.UpstreamID]*upstream{},
		services:     map[identifier.ServiceName][]*upstream{},
		peers:        map[peerKey]*peer{},
		health:       map[identifier.DataCentre]*ejector.Ejector{},
		timings:      map[identifier.ServiceName]*timings{},
		speeds:       map[identifier.ServiceName]*speedometer.Speedometer{},
		observations: map[identifier.ServiceName][]Observation{},
		demands:      map[identifier.ServiceName]*Demand{},
		sharers:      map[identifier.ServiceName]*sharer.Sharer{},
		warmer:       warmer.NewWarmer(),
		openLoads:    map[identifier.ServiceName]openLoad{},
	}
}

// SetUpstreams replaces the list of upstreams. The load and health of those that stay are kept, unless the incarnation
// has changed.
func (a *Allocator) SetUpstreams(entries []tracker.Entry) {
	listed := make(map[identifier.UpstreamID]bool, len(entries))
	served := make(map[identifier.ServiceName]bool, len(a.services))
	for service := range a.services {
		served[service] = true
	}
	clear(a.services)
	for _, e := range entries {
		listed[e.Upstream] = true
		u := a.upstreams[e.Upstream]
		if u == nil || u.entry.Incarnation != e.Incarnation {
			u = &upstream{
				hash: hash(string(e.Upstream)), cache: newPromptCache(a.settings.CacheTokens),
				others: a.sumPeerLoads(e.Upstream), limiter: limiter.NewLimiter(a.settings.LimiterPhase),
			}
			a.upstreams[e.Upstream] = u
			a.forgetHealth(e.Upstream)
			a.warmer.End(e.Upstream)
			if served[e.Service] {
				a.fresh = append(a.fresh, e.Upstream)
			}
		}
		u.entry = e
		a.followSpeed(e)
		a.services[e.Service] = append(a.services[e.Service], u)
	}
	for id := range a.upstreams {
		if !listed[id] {
			delete(a.upstreams, id)
			a.forgetHealth(id)
			a.forgetSpeed(id)
			a.warmer.End(id)
		}
	}
	for _, us := range a.services {
		slices.SortFunc(us, func(x, y *upstream) int {
			return strings.Compare(string(x.entry.Upstream), string(y.entry.Upstream))
		})
	}
}

func (a *Allocator) forgetHealth(id identifier.UpstreamID) {
	for _, h := range a.health {
		h.Remove(id)
	}
}

// ForgetHealth drops what the instances of a data centre have experienced at the upstreams of a service.
func (a *Allocator) ForgetHealth(dataCentre identifier.DataCentre, service identifier.ServiceName) {
	for _, u := range a.services[service] {
		a.healthOf(dataCentre).Remove(u.entry.Upstream)
	}
}

// healthOf returns the health of the upstreams as experienced from a data centre.
func (a *Allocator) healthOf(dataCentre identifier.DataCentre) *ejector.Ejector {
	h := a.health[dataCentre]
	if h == nil {
		h = ejector.NewEjector(a.settings.Health)
		a.health[dataCentre] = h
	}
	return h
}

// UpdatePeer replaces another instance's work for a service. Placements for its requests from number firstPending on
// are not in its report yet and continue to count. UpdatePeer reports whether the instance is new.
func (a *Allocator) UpdatePeer(
	now time.Time, instance identifier.InstanceID, service identifier.ServiceName, loads Loads, firstPending uint64,
) bool {
	p, isNew := a.peerOf(instance, service)
	p.lastReport = now
	a.addPeerLoads(p.loads, -1)
	p.loads = loads
	a.addPeerLoads(p.loads, 1)
	for number, granted := range p.grants {
		if number < firstPending {
			a.addPeerLoads(granted, -1)
			delete(p.grants, number)
		}
	}
	return isNew
}

// ForgetGrants drops the placements for another instance that its reports don't include yet.
func (a *Allocator) ForgetGrants(instance identifier.InstanceID) {
	for key, p := range a.peers {
		if key.instance == instance {
			a.dropGrants(p)
		}
	}
}

func (a *Allocator) dropGrants(p *peer) {
	for _, granted := range p.grants {
		a.addPeerLoads(granted, -1)
	}
	clear(p.grants)
}

func (a *Allocator) peerOf(instance identifier.InstanceID, service identifier.ServiceName) (p *peer, isNew bool) {
	key := peerKey{instance: instance, service: service}
	p = a.peers[key]
	if p == nil {
		p = &peer{grants: map[uint64]Loads{}}
		a.peers[key] = p
		return p, true
	}
	return p, false
}

// addPeerLoads adds another instance's loads to the sums, or subtracts them if sign is -1.
func (a *Allocator) addPeerLoads(loads Loads, sign int) {
	for id, l := range loads {
		if u := a.upstreams[id]; u != nil {
			u.others.add(l, sign)
		}
	}
}

func (a *Allocator) sumPeerLoads(id identifier.UpstreamID) Load {
	var sum Load
	for _, p := range a.peers {
		sum.add(p.loads[id], 1)
		for _, granted := range p.grants {
			sum.add(granted[id], 1)
		}
	}
	return sum
}

// ExpirePeers drops the work of instances that have not reported for PeerTTL, and returns these instances.
func (a *Allocator) ExpirePeers(now time.Time) []identifier.InstanceID {
	var expired []identifier.InstanceID
	for key, p := range a.peers {
		if now.Sub(p.lastReport) <= a.settings.PeerTTL {
			continue
		}
		a.addPeerLoads(p.loads, -1)
		a.dropGrants(p)
		delete(a.peers, key)
		expired = append(expired, key.instance)
	}
	return expired
}

// EjectionCause returns why an upstream is ejected for this instance's data centre, or an empty cause if it is not.
func (a *Allocator) EjectionCause(id identifier.UpstreamID) ejector.Cause {
	return a.healthOf(a.dataCentre).Cause(id)
}

// OwnLoads returns this instance's load per upstream of a service, for its report to the service's arbiter.
func (a *Allocator) OwnLoads(service identifier.ServiceName) Loads {
	loads := Loads{}
	for _, u := range a.services[service] {
		if u.own != (Load{}) {
			loads[u.entry.Upstream] = u.own
		}
	}
	return loads
}

// EnginesWithoutMemory returns the engines of a service whose memory size is unknown.
func (a *Allocator) EnginesWithoutMemory(now time.Time, service identifier.ServiceName) []tracker.Entry {
	var entries []tracker.Entry
	for _, u := range a.services[service] {
		if u.entry.Role != tracker.RoleNone && !u.memoryKnown && u.acceptsWork(now) {
			entries = append(entries, u.entry)
		}
	}
	return entries
}

// cacheShare is the share of an engine's memory that holds cached prompts; the rest is for running requests.
const cacheShare = 0.9

// SetMemory sets how many tokens fit into an engine's memory.
func (a *Allocator) SetMemory(id identifier.UpstreamID, incarnation uint64, tokens identifier.Tokens) {
	u := a.started(id, incarnation)
	if u == nil {
		return
	}
	u.memoryKnown = true
	u.cache.resize(identifier.Tokens(cacheShare * float64(tokens)))
}

// Services returns the services that have upstreams, sorted by name.
func (a *Allocator) Services() []identifier.ServiceName {
	names := make([]identifier.ServiceName, 0, len(a.services))
	for name := range a.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Unusable returns the upstreams of a service that this instance should not use for now, for its requests to the
// service's arbiter, whose list may be older.
func (a *Allocator) Unusable(now time.Time, service identifier.ServiceName) []identifier.UpstreamID {
	var ids []identifier.UpstreamID
	for _, u := range a.services[service] {
		if !u.acceptsWork(now) || a.isExcluded(now, "", a.dataCentre, u) {
			ids = append(ids, u.entry.Upstream)
		}
	}
	return ids
}

// AcceptsWork reports whether an upstream is listed, not leaving, and has not asked this instance to wait.
func (a *Allocator) AcceptsWork(now time.Time, id identifier.UpstreamID) bool {
	u := a.upstreams[id]
	return u != nil && u.acceptsWork(now)
}

// isExcluded reports whether an upstream is ejected or paused for a data centre, or can't be reached from an instance.
func (a *Allocator) isExcluded(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, u *upstream,
) bool {
	health := a.healthOf(dataCentre)
	switch health.Status(now, u.entry.Upstream) {
	case ejector.Ejected, ejector.Paused:
		return true
	default:
		return health.IsAvoided(now, u.entry.Upstream, instance)
	}
}

// HasUnreachable reports whether this instance has not reached some upstream of a service lately.
func (a *Allocator) HasUnreachable(now time.Time, service identifier.ServiceName) bool {
	health := a.healthOf(a.dataCentre)
	return slices.ContainsFunc(a.services[service], func(u *upstream) bool {
		return health.IsUnreachable(now, u.entry.Upstream, "")
	})
}

// Entry returns the listing of an upstream, and reports whether it is listed.
func (a *Allocator) Entry(id identifier.UpstreamID) (tracker.Entry, bool) {
	u := a.upstreams[id]
	if u == nil {
		return tracker.Entry{}, false
	}
	return u.entry, true
}

// Entries returns the listings of a service's upstreams.
func (a *Allocator) Entries(service identifier.ServiceName) []tracker.Entry {
	entries := make([]tracker.Entry, 0, len(a.services[service]))
	for _, u := range a.services[service] {
		entries = append(entries, u.entry)
	}
	return entries
}

func (a *Allocator) timingsOf(service identifier.ServiceName) *timings {
	t := a.timings[service]
	if t == nil {
		t = newTimings(a.settings)
		a.timings[service] = t
	}
	return t
}
