package allocator

import (
	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
)

// affinity holds the two engines, one of each role, that own the last shared part of a prompt by rendezvous hashing. All
// instances choose the same ones, so an allocator that has not placed the part before expects it there.
type affinity struct {
	runner    *upstream
	prefiller *upstream
}

// newAffinity chooses the engines for a prompt. There are none if an engine is known to keep the part.
func newAffinity(prompt []PromptPart, runners, prefillers []*upstream) affinity {
	if len(prompt) < 2 {
		return affinity{}
	}
	// The last part is unique to the request, so it can't be cached.
	part := prompt[len(prompt)-2]
	for _, us := range [][]*upstream{runners, prefillers} {
		for _, u := range us {
			if u.cache.contains(part) {
				return affinity{}
			}
		}
	}
	return affinity{runner: highestWeight(runners, part.Hash), prefiller: highestWeight(prefillers, part.Hash)}
}

func highestWeight(us []*upstream, key uint64) *upstream {
	var best *upstream
	var bestWeight uint64
	for _, u := range us {
		if weight := mix(u.hash ^ key); best == nil || weight > bestWeight {
			best, bestWeight = u, weight
		}
	}
	return best
}

// uncachedTokens returns the number of prompt tokens that are expected to miss an engine's cache.
func (a *Allocator) uncachedTokens(req Request, u *upstream, aff affinity) identifier.Tokens {
	total := req.promptTokens()
	cached := u.cache.cached(req.Prompt)
	if u == aff.runner || u == aff.prefiller {
		shared := total - req.Prompt[len(req.Prompt)-1].Tokens
		cached = max(cached, identifier.Tokens(a.settings.OwnerHitRate*float64(shared)))
	}
	return total - cached
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// mix is the 64-bit finalizer of MurmurHash3: it spreads each bit of a combined hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
