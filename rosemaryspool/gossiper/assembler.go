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

// fragment compresses a record and splits it.
func fragment(r Record) []*messenger.StoreRecord {
	compressed := bytes.NewBuffer(compressor.Compress(r.Value))
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

// fragment returns the fragments of a record, which must not be changed.
func (f *fragmenter) fragment(r Record) []*messenger.StoreRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.known[r.Key]
	if last.record.Offset != r.Offset || !bytes.Equal(last.record.Value, r.Value) {
		last = fragmented{record: r, fragments: fragment(r)}
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
	fragments [][]byte
	missing   int
}

// assembler joins the fragments of the newest record that each instance forwards of each topic. It is not safe for
// concurrent use.
type assembler struct{ assemblies map[assemblyKey]*assembly }

func newAssembler() assembler { return assembler{assemblies: map[assemblyKey]*assembly{}} }

// add adds a view whose record may be a fragment. It returns true when the view's records are whole; the last fragment is
// then replaced by the record.
func (a assembler) add(sender identifier.InstanceID, t *messenger.TopicView) (bool, error) {
	if len(t.GetRecords()) != 1 || t.GetRecords()[0].GetFragments() == 0 {
		return true, nil
	}
	r := t.GetRecords()[0]
	if r.GetFragment() >= r.GetFragments() || r.GetFragments() > maxSnapshotFragments {
		return false, eris.Errorf("fragment %d of %d", r.GetFragment(), r.GetFragments())
	}
	key := assemblyKey{instance: sender, topic: t.GetTopic()}
	joined := a.assemblies[key]
	if joined == nil || joined.era != t.GetEra() || joined.offset != r.GetOffset() || len(joined.fragments) != int(r.GetFragments()) {
		joined = &assembly{
			era: t.GetEra(), offset: r.GetOffset(), fragments: make([][]byte, r.GetFragments()), missing: int(r.GetFragments()),
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
	value, err := compressor.Decompress(bytes.Join(joined.fragments, nil), platform.MaxRecordBytes)
	if err != nil {
		return false, err
	}
	r.Value, r.Fragment, r.Fragments = value, 0, 0
	return true, nil
}
