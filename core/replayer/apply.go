package replayer

import (
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// KeptRecords is how many records of unknown kinds the state keeps for a newer version that starts from its snapshot.
const MaxUnknownRecords = 256

// Apply folds the record at an offset. Offsets that were applied before change nothing; an offset beyond Next is an
// error and changes nothing.
func (s *State) Apply(offset identifier.Offset, raw []byte) (Applied, error) {
	if offset < s.next {
		return Applied{Offset: offset, Effect: Skipped{Cause: CauseOld}}, nil
	}
	if offset > s.next {
		return Applied{}, &GapError{Wanted: s.next, Offered: offset}
	}
	s.next = offset + 1
	record := &messenger.Record{}
	if err := proto.Unmarshal(raw, record); err != nil || record.GetId() == "" {
		return s.count(Applied{Offset: offset, Effect: Skipped{Cause: CauseMalformed, Detail: "envelope"}}), nil
	}
	applied := Applied{Offset: offset, Record: identifier.RecordID(record.GetId()), Author: record.GetAuthor()}
	if !s.seen.add(record.GetId()) {
		applied.Effect = Skipped{Kind: record.GetKind(), Cause: CauseDuplicate}
		return s.count(applied), nil
	}
	applied.Effect = s.fold(offset, record, raw)
	return s.count(applied), nil
}

func (s *State) fold(offset identifier.Offset, record *messenger.Record, raw []byte) Effect {
	switch record.GetKind() {
	case messenger.RecordKind_RECORD_KIND_LEASE_CLAIM:
		return decode(record, &messenger.LeaseClaim{}, func(m *messenger.LeaseClaim) Effect { return s.foldClaim(offset, record, m) })
	case messenger.RecordKind_RECORD_KIND_LEASE_RELEASE:
		return decode(record, &messenger.LeaseRelease{}, func(m *messenger.LeaseRelease) Effect { return s.foldRelease(record, m) })
	case messenger.RecordKind_RECORD_KIND_ORDER_INTENT:
		return decode(record, &messenger.OrderIntent{}, func(m *messenger.OrderIntent) Effect { return s.foldIntent(offset, record, m) })
	case messenger.RecordKind_RECORD_KIND_ORDER_OUTCOME:
		return decode(record, &messenger.OrderOutcome{}, func(m *messenger.OrderOutcome) Effect { return s.foldOutcome(record, m) })
	case messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE:
		return decode(record, &messenger.ConfigChange{}, func(m *messenger.ConfigChange) Effect { return s.foldConfig(offset, record, m) })
	case messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE:
		return decode(record, &messenger.PlannedChange{}, func(m *messenger.PlannedChange) Effect { return s.foldPlan(offset, record, m) })
	case messenger.RecordKind_RECORD_KIND_SNAPSHOT:
		return decode(record, &messenger.Snapshot{}, func(m *messenger.Snapshot) Effect { return s.foldSnapshot(offset, record, m) })
	default:
		s.keep(offset, raw)
		return skip(record, CauseUnknownKind, "")
	}
}

func decode[M proto.Message](record *messenger.Record, message M, fold func(M) Effect) Effect {
	if err := proto.Unmarshal(record.GetPayload(), message); err != nil {
		return skip(record, CauseMalformed, "payload")
	}
	return fold(message)
}

func skip(record *messenger.Record, cause Cause, detail string) Effect {
	return Skipped{Kind: record.GetKind(), Cause: cause, Detail: detail}
}

func (s *State) keep(offset identifier.Offset, raw []byte) {
	if len(s.kept) == MaxUnknownRecords {
		s.kept = s.kept[1:]
	}
	s.kept = append(s.kept, &messenger.LogEntry{Offset: uint64(offset), Record: append([]byte(nil), raw...)})
}

func (s *State) count(applied Applied) Applied {
	switch e := applied.Effect.(type) {
	case ConfigRefused:
		s.counters.Refused++
	case Skipped:
		s.countSkipped(e.Cause)
	}
	return applied
}

func (s *State) countSkipped(cause Cause) {
	switch cause {
	case CauseMalformed:
		s.counters.Malformed++
	case CauseDuplicate:
		s.counters.Duplicate++
	case CauseStaleToken:
		s.counters.Stale++
	case CauseUnknownKind:
		s.counters.Unknown++
	case CauseRefused:
		s.counters.Refused++
	}
}
