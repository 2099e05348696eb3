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
type recordSet struct {
	limit  int
	order  []uint64
	start  int
	member map[uint64]struct{}
}

func newRecordSet(limit int) *recordSet {
	return &recordSet{limit: limit, member: map[uint64]struct{}{}}
}

// add returns false when the id is remembered already.
func (r *recordSet) add(id string) bool { return r.addHash(xxhash.Sum64String(id)) }

func (r *recordSet) addHash(hash uint64) bool {
	if _, ok := r.member[hash]; ok {
		return false
	}
	r.member[hash] = struct{}{}
	if len(r.order) < r.limit {
		r.order = append(r.order, hash)
		return true
	}
	delete(r.member, r.order[r.start])
	r.order[r.start] = hash
	r.start = (r.start + 1) % r.limit
	return true
}

// hashes returns the remembered hashes, oldest first.
func (r *recordSet) hashes() []uint64 {
	return append(slices.Clone(r.order[r.start:]), r.order[:r.start]...)
}

func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}
