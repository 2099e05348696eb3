// Package resolver maps upstream ids to the adaptors that reach them.
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

// Factory makes the adaptors of one upstream from its address.
type Factory struct {
	Engine   func(address string) completer.Engine
	Director func(address string) director.Engine
	Service  func(address string) invoker.Service
}

// Upstream is one listed back end with the adaptors of its kind; the others are nil.
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

// Resolver keeps the adaptors of all listed upstreams. It is safe for concurrent use.
type Resolver struct {
	factory Factory

	mutex     sync.RWMutex
	upstreams map[identifier.UpstreamID]*Upstream
}

// NewResolver returns a resolver that knows no upstream yet.
func NewResolver(factory Factory) *Resolver {
	return &Resolver{factory: factory, upstreams: make(map[identifier.UpstreamID]*Upstream)}
}

// Update takes over a listing and returns the upstreams that it no longer names. Adaptors outlive a listing as long as
// the address stays the same.
func (r *Resolver) Update(members []lister.Member) (gone []identifier.UpstreamID) {
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
			gone = append(gone, id)
		}
	}
	r.upstreams = listed
	return gone
}

// Find returns an upstream, or false when no listing names it.
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

func (r *Resolver) newUpstream(member lister.Member) *Upstream {
	known, ok := r.upstreams[identifier.UpstreamID(member.ID)]
	if ok && known.Member.Address == member.Address && known.Member.Kind == member.Kind {
		return &Upstream{Member: member, Engine: known.Engine, Director: known.Director, Service: known.Service}
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
