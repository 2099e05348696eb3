package replayer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SeenRecords is how many of the latest record ids the fold remembers. An author repeats an append for at most some
// minutes, far less than this many records at the append budget; the compare-and-set rules hold without it.
const MaxSeenRecords = 8192

// recordSet remembers the latest ids by hash, in the order in which they came.
type recentIDs struct {
	limit  int
	ring  []uint64
	oldest  int
	members map[uint64]struct{}
}

func newRecentIDs(limit int) *recentIDs {
	return &recentIDs{limit: limit, members: map[uint64]struct{}{}}
}

// add returns false when the id is remembered already.
func (r *recentIDs) add(id string) bool { return r.addHash(xxhash.Sum64String(id)) }

func (r *recentIDs) addHash(hash uint64) bool {
	if _, ok := r.members[hash]; ok {
		return false
	}
	r.members[hash] = struct{}{}
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, hash)
		return true
	}
	delete(r.members, r.ring[r.oldest])
	r.ring[r.oldest] = hash
	r.oldest = (r.oldest + 1) % r.limit
	return true
}

// hashes returns the remembered hashes, oldest first.
func (r *recentIDs) hashes() []uint64 {
	return append(slices.Clone(r.ring[r.oldest:]), r.ring[:r.oldest]...)
}

func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}
