// Package allocator chooses the upstream for each request, or refuses a request that can't be served in time. It is
// built for bursts of some seconds at twice the fleet's capacity: it admits requests that can still be answered in
// time, queues none that the wait would make late, and sheds the rest on arrival.
package allocator

import (
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// PromptPart is a section of a prompt. Requests that share a section give it the same ID; an engine that has run one of
// them may have it in its cache.
type PromptPart struct {
	ID     string
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
}

// upstream holds the listing and the load of one upstream.
type upstream struct {
	entry tracker.Entry
	own   Load
	peers Load
	// hash is the hash of the upstream's ID, for rendezvous hashing.
	hash uint64
}

// add adds another load, or subtracts it if sign is -1.
func (l *Load) add(other Load, sign int) {
	l.Short += sign * other.Short
	l.Long += sign * other.Long
	l.AwaitingPrefill += sign * other.AwaitingPrefill
	l.QueuedPrefill += identifier.Tokens(sign) * other.QueuedPrefill
}

// total returns the load from all instances.
func (u *upstream) total() Load {
	sum := u.own
	sum.add(u.peers, 1)
	return sum
}

type peer struct {
	loads      map[identifier.UpstreamID]Load
	lastReport time.Time
}

// Allocator places the requests of one instance. It is not safe for concurrent use.
type Allocator struct {
	settings   Settings
	dataCentre identifier.DataCentre
	upstreams  map[identifier.UpstreamID]*upstream
	services   map[identifier.ServiceName][]*upstream
	peers      map[identifier.InstanceID]*peer
	health     *ejector.Ejector
	timings    map[identifier.ServiceName]*timings
	// remoteAge is the average age of the work reports from other data centres.
	remoteAge time.Duration
}

// NewAllocator returns an allocator without upstreams for an instance in dataCentre.
func NewAllocator(settings Settings, dataCentre identifier.DataCentre) *Allocator {
	return &Allocator{
		settings:   settings,
		dataCentre: dataCentre,
		upstreams:  map[identifier.UpstreamID]*upstream{},
		services:   map[identifier.ServiceName][]*upstream{},
		peers:      map[identifier.InstanceID]*peer{},
		health:     ejector.NewEjector(settings.Health),
		timings:    map[identifier.ServiceName]*timings{},
	}
}

// SetUpstreams replaces the list of upstreams. The load and health of those that stay are kept, unless the incarnation
// has changed.
func (a *Allocator) SetUpstreams(entries []tracker.Entry) {
	listed := make(map[identifier.UpstreamID]bool, len(entries))
	clear(a.services)
	for _, e := range entries {
		listed[e.Upstream] = true
		u := a.upstreams[e.Upstream]
		if u == nil || u.entry.Incarnation != e.Incarnation {
			u = &upstream{hash: hash(string(e.Upstream))}
			a.upstreams[e.Upstream] = u
			a.health.Remove(e.Upstream)
			a.health.Add(e.Upstream)
			u.peers = a.sumPeerLoads(e.Upstream)
		}
		u.entry = e
		a.services[e.Service] = append(a.services[e.Service], u)
	}
	for id := range a.upstreams {
		if !listed[id] {
			delete(a.upstreams, id)
			a.health.Remove(id)
		}
	}
	for _, us := range a.services {
		slices.SortFunc(us, func(x, y *upstream) int {
			return strings.Compare(string(x.entry.Upstream), string(y.entry.Upstream))
		})
	}
}

// UpdatePeer replaces the work report of another instance. It reports whether the instance is new.
func (a *Allocator) UpdatePeer(
	now time.Time, instance identifier.InstanceID, loads map[identifier.UpstreamID]Load,
) bool {
	p := a.peers[instance]
	isNew := p == nil
	if isNew {
		p = &peer{}
		a.peers[instance] = p
	}
	p.lastReport = now
	a.addPeerLoads(p.loads, -1)
	p.loads = loads
	a.addPeerLoads(p.loads, 1)
	return isNew
}

// addPeerLoads adds another instance's loads to the sums, or subtracts them if sign is -1.
func (a *Allocator) addPeerLoads(loads map[identifier.UpstreamID]Load, sign int) {
	for id, l := range loads {
		if u := a.upstreams[id]; u != nil {
			u.peers.add(l, sign)
		}
	}
}

// SetRemoteAge sets the average age of work reports from other data centres. The age is charged as a cost for the load
// that isn't reported yet, so upstreams there only take overflow.
func (a *Allocator) SetRemoteAge(age time.Duration) { a.remoteAge = age }

// ExpirePeers drops the loads of instances that have not reported for PeerTTL, and returns these instances.
func (a *Allocator) ExpirePeers(now time.Time) []identifier.InstanceID {
	var expired []identifier.InstanceID
	for id, p := range a.peers {
		if now.Sub(p.lastReport) > a.settings.PeerTTL {
			a.addPeerLoads(p.loads, -1)
			delete(a.peers, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// RecordOverdue records that a request has had no response long after its predicted time. That ejects the upstream
// unless it responded to another request recently. RecordOverdue reports whether the upstream is ejected.
func (a *Allocator) RecordOverdue(now time.Time, id identifier.UpstreamID) bool {
	a.health.Stalled(now, id)
	return a.health.Cause(id) != ""
}

// EjectionCause returns why an upstream is ejected, or an empty cause if it is not.
func (a *Allocator) EjectionCause(id identifier.UpstreamID) ejector.Cause { return a.health.Cause(id) }

func (a *Allocator) sumPeerLoads(id identifier.UpstreamID) Load {
	var sum Load
	for _, p := range a.peers {
		sum.add(p.loads[id], 1)
	}
	return sum
}

// OwnLoads returns this instance's load per upstream, for its report to the other instances.
func (a *Allocator) OwnLoads() map[identifier.UpstreamID]Load {
	loads := make(map[identifier.UpstreamID]Load, len(a.upstreams))
	for id, u := range a.upstreams {
		if u.own != (Load{}) {
			loads[id] = u.own
		}
	}
	return loads
}

// Entry returns the listing of an upstream, and reports whether it is listed.
func (a *Allocator) Entry(id identifier.UpstreamID) (tracker.Entry, bool) {
	u := a.upstreams[id]
	if u == nil {
		return tracker.Entry{}, false
	}
	return u.entry, true
}

// usable reports whether an upstream may get a request that has tried some upstreams already. With includeEjected,
// ejected and paused ones count as well.
func (a *Allocator) usable(now time.Time, u *upstream, tried []identifier.UpstreamID, includeEjected bool) bool {
	if u.entry.Leaving || slices.Contains(tried, u.entry.Upstream) {
		return false
	}
	if includeEjected {
		return true
	}
	switch a.health.Status(now, u.entry.Upstream) {
	case ejector.Ejected, ejector.Paused:
		return false
	default:
		return true
	}
}

func (a *Allocator) timingsOf(service identifier.ServiceName) *timings {
	t := a.timings[service]
	if t == nil {
		t = newTimings(a.settings)
		a.timings[service] = t
	}
	return t
}
