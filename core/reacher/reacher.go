// Package reacher recognises that an instance has lost its path to the upstreams of a service. What looks like many failing
// upstreams may be a fault between them and this instance alone, so failures only raise suspicion: connections that are
// opened for that purpose decide.
package reacher

import (
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
)

const (
	// suspectUpstreams is the number of upstreams that must fail before the path is suspected: one may fail by itself.
	suspectUpstreams = 2
	// failureMemory is how long a failure counts.
	failureMemory = 2 * time.Second
	// suspectInterval is the time between two probes of a path that is suspected, lostInterval that of one that is lost.
	suspectInterval = time.Second
	lostInterval    = 500 * time.Millisecond
	// declineTime is how long an instance is passed over that has not taken a request.
	declineTime = time.Second
	// reroutePause is the time without a further attempt after no other instance could place what this one could not: the
	// upstreams are probably busy or gone for all.
	reroutePause = 200 * time.Millisecond
	// declineMemory is how long a further refusal of the same instance is no news.
	declineMemory = 10 * time.Second
)

// path is what is known of the path to the upstreams of one service.
type path struct {
	// failed holds when attempts last failed on the way to an upstream, since the last probe.
	failed   map[identifier.UpstreamID]time.Time
	probedAt time.Time
	probing  bool
	lost     bool
	lostAt   time.Time
	// rerouteFrom is from when on requests that can't be placed here are passed on.
	rerouteFrom time.Time
}

// Reacher holds the paths to all services. It is not safe for concurrent use.
type Reacher struct {
	paths map[identifier.ServiceName]*path
	// declined holds when other instances last did not take a request that was passed on.
	declined map[identifier.InstanceID]time.Time
	// peers holds the other instances whose paths are lost.
	peers map[peerPath]bool
}

// peerPath is the path of another instance to the upstreams of a service.
type peerPath struct {
	instance identifier.InstanceID
	service  identifier.ServiceName
}

// NewReacher returns a reacher that suspects nothing.
func NewReacher() *Reacher {
	return &Reacher{
		paths: map[identifier.ServiceName]*path{}, declined: map[identifier.InstanceID]time.Time{},
		peers: map[peerPath]bool{},
	}
}

func (r *Reacher) path(service identifier.ServiceName) *path {
	p := r.paths[service]
	if p == nil {
		p = &path{failed: map[identifier.UpstreamID]time.Time{}}
		r.paths[service] = p
	}
	return p
}

// Failed records that an attempt did not get through to an upstream, or that nothing came back.
func (r *Reacher) Failed(now time.Time, service identifier.ServiceName, id identifier.UpstreamID) {
	r.path(service).failed[id] = now
}

// BeginProbe reports whether the path to a service with a number of upstreams is to be probed now. If so, ProbeEnded has to
// be called.
func (r *Reacher) BeginProbe(now time.Time, service identifier.ServiceName, upstreams int) bool {
	p := r.path(service)
	if p.probing || upstreams == 0 || !p.due(now, upstreams) {
		return false
	}
	p.probing, p.probedAt = true, now
	return true
}

func (p *path) due(now time.Time, upstreams int) bool {
	if p.lost {
		return now.Sub(p.probedAt) >= lostInterval
	}
	for id, at := range p.failed {
		if now.Sub(at) >= failureMemory {
			delete(p.failed, id)
		}
	}
	return len(p.failed) >= min(suspectUpstreams, upstreams) && now.Sub(p.probedAt) >= suspectInterval
}

// ProbeEnded records whether a connection to any upstream could be opened. It reports whether the path has been lost or
// restored by that, and for how long it was lost.
func (r *Reacher) ProbeEnded(
	now time.Time, service identifier.ServiceName, reached bool,
) (changed bool, lostFor time.Duration) {
	p := r.path(service)
	p.probing = false
	clear(p.failed)
	if p.lost == !reached {
		return false, 0
	}
	p.lost = !reached
	if p.lost {
		p.lostAt = now
		return true, 0
	}
	return true, now.Sub(p.lostAt)
}

// Lost reports whether the path to a service is lost.
func (r *Reacher) Lost(service identifier.ServiceName) bool {
	p := r.paths[service]
	return p != nil && p.lost
}

// Decline records that another instance did not take a request, as it can't serve it or doesn't answer. It reports whether
// that is news: while a path is lost, the same instance is asked again and again.
func (r *Reacher) Decline(now time.Time, id identifier.InstanceID) bool {
	last, known := r.declined[id]
	r.declined[id] = now
	return !known || now.Sub(last) >= declineMemory
}

// Detours returns the first of the members that have not declined lately, at most limit: requests are passed on to them
// while the path from this instance is lost.
func (r *Reacher) Detours(now time.Time, members []elector.Member, limit int) []elector.Member {
	detours := make([]elector.Member, 0, limit)
	for _, m := range members {
		at, declined := r.declined[m.Instance]
		if len(detours) < limit && (!declined || now.Sub(at) >= declineTime) {
			detours = append(detours, m)
		}
	}
	return detours
}

// MayReroute reports whether requests to a service that can't be placed here may be passed on although its path is not lost.
func (r *Reacher) MayReroute(now time.Time, service identifier.ServiceName) bool {
	return !now.Before(r.path(service).rerouteFrom)
}

// RerouteFailed records that no other instance could place such a request either.
func (r *Reacher) RerouteFailed(now time.Time, service identifier.ServiceName) {
	r.path(service).rerouteFrom = now.Add(reroutePause)
}

// PeerLost records whether the path of another instance is lost. It reports whether that has changed.
func (r *Reacher) PeerLost(instance identifier.InstanceID, service identifier.ServiceName, lost bool) bool {
	key := peerPath{instance: instance, service: service}
	if r.peers[key] == lost {
		return false
	}
	if lost {
		r.peers[key] = true
	} else {
		delete(r.peers, key)
	}
	return true
}
