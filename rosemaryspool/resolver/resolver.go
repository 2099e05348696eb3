// Package resolver maps the ids of listed upstreams to the clients that reach them.
package resolver

import (
	"maps"
	"slices"
	"sync"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/adaptor/director"
	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/core/identifier"
)

// Factory creates the clients of an upstream from its address.
type Factory struct {
	Engine   func(address string) completer.Engine
	Director func(address string) director.Engine
	Service  func(address string) invoker.Service
}

// Upstream is a listed engine or service with the clients of its kind; the other clients are nil.
type Upstream struct {
	Member   lister.Member
	Engine   completer.Engine
	Director director.Engine
	Service  invoker.Service
}

// ID returns the upstream's id.
func (u *Upstream) ID() identifier.UpstreamID {
	return identifier.UpstreamID(u.Member.ID)
}

// Resolver holds the clients of all listed upstreams. It is safe for concurrent use.
type Resolver struct {
	factory Factory

	mutex     sync.RWMutex
	upstreams map[identifier.UpstreamID]*Upstream
}

// NewResolver returns a resolver without upstreams.
func NewResolver(factory Factory) *Resolver {
	return &Resolver{factory: factory, upstreams: make(map[identifier.UpstreamID]*Upstream)}
}

// Update replaces the upstreams by those of a new listing and returns the ids of the removed ones. An upstream keeps
// its clients as long as its address and kind stay the same.
func (r *Resolver) Update(members []lister.Member) (removed []identifier.UpstreamID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	listed := make(map[identifier.UpstreamID]*Upstream, len(members))
	for _, m := range members {
		if m.Kind == lister.KindInstance {
			continue
		}
		listed[identifier.UpstreamID(m.ID)] = r.newUpstream(m)
	}
	for id := range r.upstreams {
		if _, ok := listed[id]; !ok {
			removed = append(removed, id)
		}
	}
	r.upstreams = listed
	return removed
}

// Find returns a listed upstream; the second result is false if the latest listing doesn't contain it.
func (r *Resolver) Find(id identifier.UpstreamID) (*Upstream, bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	u, ok := r.upstreams[id]
	return u, ok
}

// All returns the listed upstreams in no particular order.
func (r *Resolver) All() []*Upstream {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return slices.Collect(maps.Values(r.upstreams))
}

// Engines returns the listed engines in no particular order.
func (r *Resolver) Engines() []*Upstream {
	return slices.DeleteFunc(r.All(), func(u *Upstream) bool { return u.Member.Kind != lister.KindEngine })
}

// newUpstream returns the upstream of a member, with the clients that it already has if address and kind are unchanged.
// The caller holds the mutex.
func (r *Resolver) newUpstream(member lister.Member) *Upstream {
	current, ok := r.upstreams[identifier.UpstreamID(member.ID)]
	if ok && current.Member.Address == member.Address && current.Member.Kind == member.Kind {
		return &Upstream{Member: member, Engine: current.Engine, Director: current.Director, Service: current.Service}
	}
	if member.Kind == lister.KindService {
		return &Upstream{Member: member, Service: r.factory.Service(member.Address)}
	}
	return &Upstream{
		Member:   member,
		Engine:   r.factory.Engine(member.Address),
		Director: r.factory.Director(member.Address),
	}
}
