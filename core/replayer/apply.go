package replayer

import (
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// MaxUnknownRecords is how many records of unknown kinds the state retains, so that a newer version that starts from
// its snapshot can read them.
const MaxUnknownRecords = 256

// Apply applies the record at an offset and reports its effect. An offset that was applied before is skipped with
// CauseOld. An offset beyond Next returns a *GapError. Neither changes the state.
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
	applied.Effect = s.applyRecord(offset, record, raw)
	return s.count(applied), nil
}

func (s *State) applyRecord(offset identifier.Offset, record *messenger.Record, raw []byte) Effect {
	switch record.GetKind() {
	case messenger.RecordKind_RECORD_KIND_LEASE_CLAIM:
		return applyPayload(record, &messenger.LeaseClaim{}, func(m *messenger.LeaseClaim) Effect {
			return s.applyClaim(offset, record, m)
		})
	case messenger.RecordKind_RECORD_KIND_LEASE_RELEASE:
		return applyPayload(record, &messenger.LeaseRelease{}, func(m *messenger.LeaseRelease) Effect {
			return s.applyRelease(record, m)
		})
	case messenger.RecordKind_RECORD_KIND_ORDER_INTENT:
		return applyPayload(record, &messenger.OrderIntent{}, func(m *messenger.OrderIntent) Effect {
			return s.applyIntent(offset, record, m)
		})
	case messenger.RecordKind_RECORD_KIND_ORDER_OUTCOME:
		return applyPayload(record, &messenger.OrderOutcome{}, func(m *messenger.OrderOutcome) Effect {
			return s.applyOutcome(record, m)
		})
	case messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE:
		return applyPayload(record, &messenger.ConfigChange{}, func(m *messenger.ConfigChange) Effect {
			return s.applyConfig(offset, record, m)
		})
	case messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE:
		return applyPayload(record, &messenger.PlannedChange{}, func(m *messenger.PlannedChange) Effect {
			return s.applyPlan(offset, record, m)
		})
	case messenger.RecordKind_RECORD_KIND_SNAPSHOT:
		return applyPayload(record, &messenger.Snapshot{}, func(m *messenger.Snapshot) Effect {
			return s.applySnapshot(offset, record, m)
		})
	default:
		s.keepUnknown(offset, raw)
		return skip(record, CauseUnknownKind, "")
	}
}

func applyPayload[M proto.Message](record *messenger.Record, message M, apply func(M) Effect) Effect {
	if err := proto.Unmarshal(record.GetPayload(), message); err != nil {
		return skip(record, CauseMalformed, "payload")
	}
	return apply(message)
}

func skip(record *messenger.Record, cause Cause, detail string) Effect {
	return Skipped{Kind: record.GetKind(), Cause: cause, Detail: detail}
}

func (s *State) keepUnknown(offset identifier.Offset, raw []byte) {
	if len(s.unknownRecords) == MaxUnknownRecords {
		s.unknownRecords = s.unknownRecords[1:]
	}
	s.unknownRecords = append(s.unknownRecords, &messenger.LogEntry{
		Offset: uint64(offset), Record: append([]byte(nil), raw...),
	})
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
