package replayer

import (
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// RestoreLimit is the most bytes of records that a restorer holds while it looks for a snapshot; more than the records
// between two snapshots, so that a longer search only means that there is none.
const MaxRestoreBytes = 64 << 20

// foldSnapshot notes a snapshot of the current holder; a stale holder's snapshot has no effect.
func (s *State) applySnapshot(offset identifier.Offset, record *messenger.Record, snapshot *messenger.Snapshot) Effect {
	if !s.Holds(identifier.Scope(record.GetScope()), identifier.Token(record.GetToken())) {
		return skip(record, CauseStaleToken, "snapshot")
	}
	next := identifier.Offset(snapshot.GetNextOffset())
	if next == 0 || next > offset || next <= s.snapshotNext {
		return skip(record, CauseRefused, "snapshot is not newer")
	}
	s.snapshotOffset = offset
	s.snapshotNext = next
	return SnapshotTaken{Next: next}
}

// Restorer looks for a snapshot in records that begin after a gap. A snapshot counts only when it contains everything
// before the first record that is still there and when, in the state that follows from it, its writer held the lease.
type Restorer struct {
	environment identifier.Environment
	compile     CompileFunc
	first       identifier.Offset
	entries     []*messenger.LogEntry
	size        int
}

// NewRestorer returns a restorer for records from first on.
func NewRestorer(environment identifier.Environment, compile CompileFunc, first identifier.Offset) *Restorer {
	return &Restorer{environment: environment, compile: compile, first: first}
}

// Next returns the offset of the next record to offer.
func (r *Restorer) Next() identifier.Offset { return r.first + identifier.Offset(len(r.entries)) }

// Offer takes the next record. It returns the restored state once a snapshot covers the gap, else nil.
func (r *Restorer) Offer(offset identifier.Offset, raw []byte) *State {
	if offset != r.Next() {
		return nil
	}
	r.entries = append(r.entries, &messenger.LogEntry{Offset: uint64(offset), Record: raw})
	r.size += len(raw)
	state := r.restoreFrom(offset, raw)
	if state == nil && r.size > MaxRestoreBytes {
		r.entries = nil
		r.size = 0
		r.first = offset + 1
	}
	return state
}

// Continue replays the held records on a state from elsewhere, such as a peer. It returns nil when that state does not
// reach to the first held record or is incomplete itself.
func (r *Restorer) Continue(state *State) *State {
	if !state.Complete() || state.Next() < r.first || state.Next() > r.Next() {
		return nil
	}
	r.replay(state, r.Next())
	return state
}

func (r *Restorer) restoreFrom(offset identifier.Offset, raw []byte) *State {
	record := &messenger.Record{}
	if proto.Unmarshal(raw, record) != nil || record.GetKind() != messenger.RecordKind_RECORD_KIND_SNAPSHOT {
		return nil
	}
	snapshot := &messenger.Snapshot{}
	if proto.Unmarshal(record.GetPayload(), snapshot) != nil {
		return nil
	}
	next := identifier.Offset(snapshot.GetNextOffset())
	if next < r.first || next > offset {
		return nil
	}
	state, err := Decode(r.environment, r.compile, snapshot.GetState(), snapshot.GetChecksum())
	if err != nil || !state.Complete() || state.Next() != next {
		return nil
	}
	r.replay(state, offset)
	applied, err := state.Apply(offset, raw)
	if err != nil {
		return nil
	}
	if _, ok := applied.Effect.(SnapshotTaken); !ok {
		return nil
	}
	return state
}

func (r *Restorer) replay(state *State, end identifier.Offset) {
	for o := state.Next(); o < end; o++ {
		// The offsets follow one another, so that no gap can be met.
		_, _ = state.Apply(o, r.entries[o-r.first].GetRecord())
	}
}
