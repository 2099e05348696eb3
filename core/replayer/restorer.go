package replayer

import (
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// MaxRestoreBytes bounds the records that a Restorer buffers while it searches for a snapshot. It exceeds the size of
// the records between two snapshots: a longer search means that there is no snapshot.
const MaxRestoreBytes = 64 << 20

// applySnapshot records the offsets of a snapshot that the current holder wrote. A snapshot of a stale holder is
// skipped.
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

// Restorer restores the state from a snapshot in a log whose first records were trimmed. It accepts a snapshot only if
// it contains every record before the first one available and if its writer held the lease in the state replayed from
// it.
type Restorer struct {
	environment identifier.Environment
	compile     CompileFunc
	first       identifier.Offset
	entries     []*messenger.LogEntry
	size        int
}

// NewRestorer returns a restorer for a log in which first is the lowest available offset.
func NewRestorer(environment identifier.Environment, compile CompileFunc, first identifier.Offset) *Restorer {
	return &Restorer{environment: environment, compile: compile, first: first}
}

// Next returns the offset of the next record to offer.
func (r *Restorer) Next() identifier.Offset { return r.first + identifier.Offset(len(r.entries)) }

// Offer buffers the next record and ignores any other offset. It returns the restored state once a valid snapshot
// covers the gap, otherwise nil. Beyond MaxRestoreBytes the buffer is dropped and the search restarts with the next
// record.
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

// Continue replays the buffered records on a state from another source, such as a peer. It returns nil if that state is
// incomplete, ends before the first buffered record or extends beyond the last one.
func (r *Restorer) Continue(state *State) *State {
	if !state.Complete() || state.Next() < r.first || state.Next() > r.Next() {
		return nil
	}
	r.replay(state, r.Next())
	return state
}

// restoreFrom returns the state restored from a snapshot record, or nil if the record is no snapshot or not a valid
// one.
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

// replay applies the buffered records from the state's next offset up to end, exclusive.
func (r *Restorer) replay(state *State, end identifier.Offset) {
	for o := state.Next(); o < end; o++ {
		// The offsets are consecutive, so Apply cannot return a GapError.
		_, _ = state.Apply(o, r.entries[o-r.first].GetRecord())
	}
}
