package gossiper

import (
	"bytes"
	"sync"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/compressor"
	"rosemaryspool.example/wire/messenger"
)

// split returns the fragments of a record with a compressed value.
func split(r Record, value []byte) []*messenger.StoreRecord {
	compressed := bytes.NewBuffer(value)
	size := maxUpdateBytes - recordOverheadBytes - len(r.Key)
	count := (compressed.Len() + size - 1) / size
	fragments := make([]*messenger.StoreRecord, 0, count)
	for i := range count {
		fragments = append(fragments, &messenger.StoreRecord{
			Key: r.Key, Value: bytes.Clone(compressed.Next(size)), Offset: r.Offset,
			Fragment: uint32(i), Fragments: uint32(count),
		})
	}
	return fragments
}

// splitChange returns the fragments of a record as a change of the one before it.
func splitChange(base, r Record) []*messenger.StoreRecord {
	fragments := split(r, compressor.CompressChange(base.Value, r.Value))
	for _, part := range fragments {
		part.Change, part.Base = true, base.Offset
	}
	return fragments
}

// fragmenter remembers the fragments of the newest large record of each key, for instances that start together and ask for
// it one after the other.
type fragmenter struct {
	mu    sync.Mutex
	known map[string]fragmented
}

func newFragmenter() *fragmenter { return &fragmenter{known: map[string]fragmented{}} }

// fragmented holds the fragments of a record.
type fragmented struct {
	record    Record
	fragments []*messenger.StoreRecord
}

// fragment returns the fragments of a record, which must not be changed. They hold the change of the record before it if that
// is known, and the change is not too long to be forwarded.
func (f *fragmenter) fragment(r Record, before map[string]Record) []*messenger.StoreRecord {
	if base, known := before[r.Key]; known {
		if fragments := splitChange(base, r); len(fragments) <= maxFragments {
			return fragments
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.known[r.Key]
	if last.record.Offset != r.Offset || !bytes.Equal(last.record.Value, r.Value) {
		last = fragmented{record: r, fragments: split(r, compressor.Compress(r.Value))}
		f.known[r.Key] = last
	}
	return last.fragments
}

// assemblyKey identifies whose fragments of which topic are being joined.
type assemblyKey struct {
	instance identifier.InstanceID
	topic    string
}

// assembly holds the fragments of one record. Missing ones are nil.
type assembly struct {
	era       uint64
	offset    uint64
	change    bool
	fragments [][]byte
	missing   int
}

// holds reports whether a record is a fragment of the assembly.
func (a *assembly) holds(era uint64, r *messenger.StoreRecord) bool {
	return a.era == era && a.offset == r.GetOffset() && a.change == r.GetChange() && len(a.fragments) == int(r.GetFragments())
}

// assembler joins the fragments of the newest record that each instance forwards of each topic. It is not safe for
// concurrent use.
type assembler struct{ assemblies map[assemblyKey]*assembly }

func newAssembler() assembler { return assembler{assemblies: map[assemblyKey]*assembly{}} }

// fragmentOf returns the fragment of a record that a view has; nil if its records are whole.
func fragmentOf(t *messenger.TopicView) *messenger.StoreRecord {
	if len(t.GetRecords()) != 1 || t.GetRecords()[0].GetFragments() == 0 {
		return nil
	}
	return t.GetRecords()[0]
}

// add adds a view whose record may be a fragment. It returns true when the view's records are whole; the last fragment then
// has the compressed value.
func (a assembler) add(sender identifier.InstanceID, t *messenger.TopicView) (bool, error) {
	r := fragmentOf(t)
	if r == nil {
		return true, nil
	}
	if r.GetFragment() >= r.GetFragments() || r.GetFragments() > maxSnapshotFragments {
		return false, eris.Errorf("fragment %d of %d", r.GetFragment(), r.GetFragments())
	}
	key := assemblyKey{instance: sender, topic: t.GetTopic()}
	joined := a.assemblies[key]
	if joined == nil || !joined.holds(t.GetEra(), r) {
		joined = &assembly{
			era: t.GetEra(), offset: r.GetOffset(), change: r.GetChange(), fragments: make([][]byte, r.GetFragments()),
			missing: int(r.GetFragments()),
		}
		a.assemblies[key] = joined
	}
	if joined.fragments[r.GetFragment()] == nil {
		joined.fragments[r.GetFragment()] = r.GetValue()
		joined.missing--
	}
	if joined.missing > 0 {
		return false, nil
	}
	delete(a.assemblies, key)
	r.Value = bytes.Join(joined.fragments, nil)
	return true, nil
}

// restore decompresses the record of a view that came in fragments. A change of a record that isn't the newest one here can't
// be restored: the view then has no record, which the instance reads from the store.
func (g *Gossiper) restore(t *messenger.TopicView) error {
	r := fragmentOf(t)
	if r == nil {
		return nil
	}
	var err error
	if !r.GetChange() {
		r.Value, err = compressor.Decompress(r.GetValue(), platform.MaxRecordBytes)
	} else {
		base, known := g.newest(t.GetTopic(), r.GetKey())
		if !known || base.Offset != r.GetBase() {
			t.Records, t.RecordsTo = nil, t.GetRecordsFrom()
			return nil
		}
		r.Value, err = compressor.DecompressChange(base.Value, r.GetValue(), platform.MaxRecordBytes)
	}
	r.Fragment, r.Fragments, r.Change, r.Base = 0, 0, false, 0
	return err
}
