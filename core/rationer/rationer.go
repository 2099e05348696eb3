// Package rationer bounds the memory that an instance holds for the requests and responses in flight. It is built for
// hundreds of callers or upstreams that send or read a few bytes a second, or stop: what is on its way to them adds up.
package rationer

import (
	"sync/atomic"

	"rosemaryspool.example/core/identifier"
)

// Rationer hands out a number of bytes. It is safe for concurrent use.
type Rationer struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewRationer returns a rationer of limit bytes; zero means unlimited.
func NewRationer(limit identifier.Bytes) *Rationer {
	r := &Rationer{}
	r.SetLimit(limit)
	return r
}

// SetLimit replaces the limit. What is held beyond it stays until it is returned.
func (r *Rationer) SetLimit(limit identifier.Bytes) { r.limit.Store(int64(limit)) }

// Used returns the number of bytes that are held.
func (r *Rationer) Used() identifier.Bytes { return identifier.Bytes(r.used.Load()) }

func (r *Rationer) take(n identifier.Bytes) bool {
	limit := r.limit.Load()
	if used := r.used.Add(int64(n)); limit > 0 && used > limit {
		r.used.Add(-int64(n))
		return false
	}
	return true
}

// Grant is what one request holds. It is safe for concurrent use.
type Grant struct {
	rationer *Rationer
	held     atomic.Int64
}

// NewGrant returns a grant without bytes.
func (r *Rationer) NewGrant() *Grant { return &Grant{rationer: r} }

// Grow adds bytes to the grant. It returns false, and adds nothing, if the limit doesn't allow them.
func (g *Grant) Grow(n identifier.Bytes) bool {
	if !g.rationer.take(n) {
		return false
	}
	g.held.Add(int64(n))
	return true
}

// Shrink returns bytes that the request no longer holds.
func (g *Grant) Shrink(n identifier.Bytes) {
	g.held.Add(-int64(n))
	g.rationer.used.Add(-int64(n))
}

// Release returns all bytes of the grant.
func (g *Grant) Release() { g.rationer.used.Add(-g.held.Swap(0)) }
