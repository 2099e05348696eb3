package allocator

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
)

// Weights of engines in the affinity order: an engine that only reads takes more prompts than one that also makes tokens.
const (
	readerWeight = 2
	runnerWeight = 1
)

// homes tells where the shared parts of a prompt are expected: all instances send prompts with the same shared parts to
// the same engine, as long as it has room.
type homes struct {
	first  *upstream
	second *upstream
}

// newHomes ranks the engines for a prompt by weighted rendezvous hashing of its longest shared part.
func newHomes(prompt []Part, runners, readers []*upstream) homes {
	if len(prompt) < 2 {
		return homes{}
	}
	// The last part is the request's own.
	subject := xxhash.Sum64String(prompt[len(prompt)-2].ID)
	var h homes
	var most, next float64
	consider := func(u *upstream, weight float64) {
		score := weight / -math.Log(unit(mix(u.hash^subject)))
		switch {
		case h.first == nil || score > most:
			h.second, next = h.first, most
			h.first, most = u, score
		case h.second == nil || score > next:
			h.second, next = u, score
		}
	}
	for _, u := range runners {
		consider(u, runnerWeight)
	}
	for _, u := range readers {
		consider(u, readerWeight)
	}
	return h
}

// uncached returns how many tokens of the prompt an engine is expected to read.
func (a *Allocator) uncached(ask Ask, u *upstream, h homes) identifier.Tokens {
	left := 0.0
	for i, part := range ask.Prompt {
		hit := a.settings.OtherHit
		switch {
		case i == len(ask.Prompt)-1:
			hit = 0
		case i == 0:
			hit = a.settings.RootHit
		case u == h.first:
			hit = a.settings.HomeHit
		case u == h.second:
			hit = (a.settings.HomeHit + a.settings.OtherHit) / 2
		}
		left += float64(part.Tokens) * (1 - hit)
	}
	return identifier.Tokens(left)
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// unit maps a hash to the open interval from 0 to 1.
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// mix spreads a combined hash over all bits; it is the finalizer of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
