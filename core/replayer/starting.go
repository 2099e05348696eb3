package replayer

import (
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// NewStateAt returns the state before the record at next of a stream of which only the leases are known.
func NewStateAt(environment identifier.Environment, next identifier.Offset, leases []Lease) *State {
	s := NewState(environment, nil)
	s.next = next
	s.incomplete = true
	for _, l := range leases {
		s.leases[l.Scope] = l
	}
	return s
}

// Skip passes over the record at an offset, which doesn't concern this state. Like Apply, it ignores earlier offsets and
// returns a *GapError for one beyond Next.
func (s *State) Skip(offset identifier.Offset) error {
	if offset > s.next {
		return &GapError{Wanted: s.next, Offered: offset}
	}
	s.next = max(s.next, offset+1)
	return nil
}

// GrantedLease returns the lease of an encoded claim that is known to have been granted, and false if the record is none.
func GrantedLease(offset identifier.Offset, raw []byte) (Lease, bool) {
	record, claim := &messenger.Record{}, &messenger.LeaseClaim{}
	if proto.Unmarshal(raw, record) != nil || record.GetKind() != messenger.RecordKind_RECORD_KIND_LEASE_CLAIM ||
		proto.Unmarshal(record.GetPayload(), claim) != nil {
		return Lease{}, false
	}
	lease := newLease(offset, claim)
	if claim.GetRenewal() {
		lease.Token = identifier.Token(record.GetToken())
	}
	return lease, true
}
