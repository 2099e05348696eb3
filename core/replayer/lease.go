package replayer

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// applyClaim grants a claim only if it names the offset of the latest granted claim of its scope (compare-and-set). An
// acquisition gets its own offset as a new fencing token; a renewal keeps the token.
func (s *State) applyClaim(offset identifier.Offset, record *messenger.Record, claim *messenger.LeaseClaim) Effect {
	scope := identifier.Scope(claim.GetScope())
	if scope == "" || claim.GetHolder() == "" || claim.GetHolder() != record.GetAuthor() || claim.GetDurationMs() == 0 {
		return skip(record, CauseMalformed, "claim")
	}
	current := s.leases[scope]
	if claim.GetRenewal() && !s.Holds(scope, identifier.Token(record.GetToken())) {
		return skip(record, CauseStaleToken, "renewal")
	}
	if claim.GetRenewal() && current.Holder != claim.GetHolder() {
		return skip(record, CauseRefused, "renewal by another holder")
	}
	if identifier.Offset(claim.GetLastOffset()) != current.Latest {
		return skip(record, CauseRefused, "claim is not based on the latest grant")
	}
	lease := newLease(offset, claim)
	if claim.GetRenewal() {
		lease.Token = current.Token
	}
	s.leases[scope] = lease
	return LeaseGranted{Lease: lease, Renewal: claim.GetRenewal()}
}

// newLease returns the lease that a claim at an offset acquires.
func newLease(offset identifier.Offset, claim *messenger.LeaseClaim) Lease {
	return Lease{
		Scope:    identifier.Scope(claim.GetScope()),
		Holder:   claim.GetHolder(),
		Token:    identifier.Token(offset),
		Latest:   offset,
		Duration: time.Duration(claim.GetDurationMs()) * time.Millisecond,
	}
}

func (s *State) applyRelease(record *messenger.Record, release *messenger.LeaseRelease) Effect {
	scope := identifier.Scope(release.GetScope())
	if !s.Holds(scope, identifier.Token(record.GetToken())) {
		return skip(record, CauseStaleToken, "release")
	}
	lease := s.leases[scope]
	lease.Released = true
	s.leases[scope] = lease
	return LeaseReleased{Lease: lease}
}
