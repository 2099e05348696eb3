// Package allocator decides for each request to the platform's upstreams where it runs, or that it can't be served in time.
// It answers loads of twice the fleet's capacity for seconds: it admits what can still be in time, sends nothing into a
// queue that would make it late, and refuses the rest on arrival.
package allocator

import (
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// Part is a piece of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens identifier.Tokens
}

// Load is the work that one instance has at one upstream.
type Load struct {
	// Short and Long count requests that run or wait there, by the length of their answers.
	Short int
	Long  int
	// Coming counts requests with short answers whose prompt is still being read elsewhere.
	AwaitingPrefill int
	// Reading is the length of the prompts that are still to be read there, less what is expected in its cache.
	QueuedPrefill identifier.Tokens
}

// upstream is what is known of one upstream.
type upstream struct {
	entry tracker.Entry
	own   Load
	peers Load
	// hash places the upstream in the affinity order of each prompt.
	hash uint64
}

// add adds another load, or with sign -1 takes it away.
func (l *Load) add(other Load, sign int) {
	l.Short += sign * other.Short
	l.Long += sign * other.Long
	l.AwaitingPrefill += sign * other.AwaitingPrefill
	l.QueuedPrefill += identifier.Tokens(sign) * other.QueuedPrefill
}

// total returns the work of all instances.
func (u *upstream) total() Load {
	sum := u.own
	sum.add(u.peers, 1)
	return sum
}

type peer struct {
	loads map[identifier.UpstreamID]Load
	lastReport time.Time
}

// Allocator decides for one instance. It is not safe for concurrent use.
type Allocator struct {
	settings   Settings
	dataCentre identifier.DataCentre
	upstreams  map[identifier.UpstreamID]*upstream
	services   map[identifier.ServiceName][]*upstream
	peers      map[identifier.InstanceID]*peer
	health     *ejector.Ejector
	timings       map[identifier.ServiceName]*timings
	// remoteAge is the average age of what is known of the work at upstreams of other data centres.
	remoteAge time.Duration
}

// NewAllocator returns an allocator that knows no upstream.
func NewAllocator(settings Settings, dataCentre identifier.DataCentre) *Allocator {
	return &Allocator{
		settings:   settings,
		dataCentre: dataCentre,
		upstreams:  map[identifier.UpstreamID]*upstream{},
		services:   map[identifier.ServiceName][]*upstream{},
		peers:      map[identifier.InstanceID]*peer{},
		health:     ejector.NewEjector(settings.Health),
		timings:       map[identifier.ServiceName]*timings{},
	}
}

// SetUpstreams replaces the list of upstreams; what is known of those that stay is kept.
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

// Learn takes another instance's work; it replaces what that instance told before. It returns true when the instance was
// not heard before.
func (a *Allocator) UpdatePeer(now time.Time, instance identifier.InstanceID, loads map[identifier.UpstreamID]Load) bool {
	p := a.peers[instance]
	unknown := p == nil
	if unknown {
		p = &peer{}
		a.peers[instance] = p
	}
	p.lastReport = now
	a.addPeerLoads(p.loads, -1)
	p.loads = loads
	a.addPeerLoads(p.loads, 1)
	return unknown
}

// count adds another instance's work to the sums, or with sign -1 takes it out.
func (a *Allocator) addPeerLoads(loads map[identifier.UpstreamID]Load, sign int) {
	for id, l := range loads {
		if u := a.upstreams[id]; u != nil {
			u.peers.add(l, sign)
		}
	}
}

// SetRemoteAge sets the average age of reports from other data centres. Work at their upstreams that is not known yet is
// counted as a cost, so that they serve as overflow only.
func (a *Allocator) SetRemoteAge(age time.Duration) { a.remoteAge = age }

// Expire forgets the work of instances that have been silent, and returns them.
func (a *Allocator) ExpirePeers(now time.Time) []identifier.InstanceID {
	var silent []identifier.InstanceID
	for id, p := range a.peers {
		if now.Sub(p.lastReport) > a.settings.PeerTTL {
			a.addPeerLoads(p.loads, -1)
			delete(a.peers, id)
			silent = append(silent, id)
		}
	}
	return silent
}

// Overdue takes a request that shows no sign of life long after its predicted time. It returns true when its upstream
// has been silent altogether.
func (a *Allocator) RecordOverdue(now time.Time, id identifier.UpstreamID) bool {
	a.health.Silent(now, id)
	return a.health.Cause(id) != ""
}

// Ejected returns why an upstream gets nothing at present; empty for one that is used.
func (a *Allocator) EjectionCause(id identifier.UpstreamID) ejector.Cause { return a.health.Cause(id) }

func (a *Allocator) sumPeerLoads(id identifier.UpstreamID) Load {
	var sum Load
	for _, p := range a.peers {
		sum.add(p.loads[id], 1)
	}
	return sum
}

// OwnLoads returns this instance's work, for its peers.
func (a *Allocator) OwnLoads() map[identifier.UpstreamID]Load {
	loads := make(map[identifier.UpstreamID]Load, len(a.upstreams))
	for id, u := range a.upstreams {
		if u.own != (Load{}) {
			loads[id] = u.own
		}
	}
	return loads
}

// Entry returns an upstream as it is listed.
func (a *Allocator) Entry(id identifier.UpstreamID) (tracker.Entry, bool) {
	u := a.upstreams[id]
	if u == nil {
		return tracker.Entry{}, false
	}
	return u.entry, true
}

// usable tells whether an upstream may get the request; sick allows those that fail.
func (a *Allocator) usable(now time.Time, u *upstream, tried []identifier.UpstreamID, sick bool) bool {
	if u.entry.Leaving || slices.Contains(tried, u.entry.Upstream) {
		return false
	}
	if sick {
		return true
	}
	switch a.health.Standing(now, u.entry.Upstream) {
	case ejector.Ejected, ejector.Paused:
		return false
	default:
		return true
	}
}

func (a *Allocator) timingsOf(service identifier.ServiceName) *timings {
	p := a.timings[service]
	if p == nil {
		p = newTimings(a.settings)
		a.timings[service] = p
	}
	return p
}
