package allocator

import (
	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
)

// affinity holds the two engines, one of each role, that most likely have the shared parts of a prompt in their cache.
// All instances prefer them for prompts with the same shared parts as long as they have capacity.
type affinity struct {
	runner    *upstream
	prefiller *upstream
}

// newAffinity chooses the engines for a prompt by rendezvous hashing of its last shared part.
func newAffinity(prompt []PromptPart, runners, prefillers []*upstream) affinity {
	if len(prompt) < 2 {
		return affinity{}
	}
	// The last part is unique to the request, so it can't be cached.
	key := xxhash.Sum64String(prompt[len(prompt)-2].ID)
	return affinity{runner: highestWeight(runners, key), prefiller: highestWeight(prefillers, key)}
}

// affinityCandidates returns the engines of a role that may be chosen for cache affinity. While the work reports from
// other data centres arrive late, engines there only take overflow, so each data centre chooses among its own.
func (a *Allocator) affinityCandidates(us []*upstream) []*upstream {
	if a.remoteAge == 0 {
		return us
	}
	local := make([]*upstream, 0, len(us))
	for _, u := range us {
		if u.entry.DataCentre == a.dataCentre {
			local = append(local, u)
		}
	}
	if len(local) == 0 {
		return us
	}
	return local
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
	uncached := 0.0
	for i, part := range req.Prompt {
		hitRate := a.settings.OtherHitRate
		switch {
		case i == len(req.Prompt)-1:
			hitRate = 0
		case i == 0:
			hitRate = a.settings.RootHitRate
		case u == aff.runner || u == aff.prefiller:
			hitRate = a.settings.AffinityHitRate
		}
		uncached += float64(part.Tokens) * (1 - hitRate)
	}
	return identifier.Tokens(uncached)
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
