package replayer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxSeenRecords is how many of the latest record ids the state keeps to detect duplicates. An author retries an append
// for a few minutes at most, in which the append budget permits far fewer records than this. The compare-and-set rules
// hold without duplicate detection.
const MaxSeenRecords = 8192

// recentIDs holds the hashes of the latest ids in a ring buffer, in order of arrival.
type recentIDs struct {
	limit   int
	ring    []uint64
	oldest  int
	members map[uint64]struct{}
}

func newRecentIDs(limit int) *recentIDs {
	return &recentIDs{limit: limit, members: map[uint64]struct{}{}}
}

// add adds an id and reports whether it was absent.
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

// hashes returns the hashes, oldest first.
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
