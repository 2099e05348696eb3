package allocator

import (
	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
)

// homes are the engines of either role at which the shared parts of a prompt are expected: all instances send prompts
// with the same shared parts there, as long as there is room.
type affinity struct {
	runner *upstream
	prefiller *upstream
}

// newHomes chooses the homes of a prompt by rendezvous hashing of its longest shared part.
func newAffinity(prompt []PromptPart, runners, readers []*upstream) affinity {
	if len(prompt) < 2 {
		return affinity{}
	}
	// The last part is the request's own.
	subject := xxhash.Sum64String(prompt[len(prompt)-2].ID)
	return affinity{runner: highestWeight(runners, subject), prefiller: highestWeight(readers, subject)}
}

// homeCandidates returns the engines of a role that may be homes. Where the work at engines elsewhere is known late, they
// serve as overflow only, and each data centre has homes of its own.
func (a *Allocator) affinityCandidates(us []*upstream) []*upstream {
	if a.remoteAge == 0 {
		return us
	}
	near := make([]*upstream, 0, len(us))
	for _, u := range us {
		if u.entry.DataCentre == a.dataCentre {
			near = append(near, u)
		}
	}
	if len(near) == 0 {
		return us
	}
	return near
}

func highestWeight(us []*upstream, subject uint64) *upstream {
	var best *upstream
	var most uint64
	for _, u := range us {
		if weight := mix(u.hash ^ subject); best == nil || weight > most {
			best, most = u, weight
		}
	}
	return best
}

// uncached returns how many tokens of the prompt an engine is expected to read.
func (a *Allocator) uncachedTokens(ask Request, u *upstream, h affinity) identifier.Tokens {
	left := 0.0
	for i, part := range ask.Prompt {
		hit := a.settings.OtherHitRate
		switch {
		case i == len(ask.Prompt)-1:
			hit = 0
		case i == 0:
			hit = a.settings.RootHitRate
		case u == h.runner || u == h.prefiller:
			hit = a.settings.AffinityHitRate
		}
		left += float64(part.Tokens) * (1 - hit)
	}
	return identifier.Tokens(left)
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// mix spreads a combined hash over all bits; it is the finalizer of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
