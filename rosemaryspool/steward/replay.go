package steward

import (
	"context"
	"errors"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/platform"
)

// load reads the newest records of the topic, with which following it begins. All leases are taken to be held by others
// from now on for their whole length, as they may have been renewed since; unless nobody can ever have held one.
func (s *Steward) load(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.count("storeReads")
	batch, err := s.store.ReadNewest(limited, platform.TopicDuties, platform.Paging{Timeout: storeTimeout})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	returned := s.everRead && batch.Era != s.era
	unused := !s.everRead && neverAppended(batch)
	fresh := batch.Era > 0
	s.everRead, s.era, s.unsure, s.deferred = true, batch.Era, false, 0
	leases := map[identifier.Scope]replayer.Lease{}
	for _, scope := range s.scopes() {
		leases[scope] = replayer.Lease{Scope: scope, Duration: s.settings.LeaseDuration}
	}
	for _, r := range batch.Records {
		for _, scope := range s.scopes() {
			if r.Key != leaseKey(scope, s.era) {
				continue
			}
			if lease, ok := replayer.GrantedLease(replayer.OffsetInEra(s.era, r.Offset), r.Value); ok {
				leases[scope], fresh = lease, false
			}
		}
		s.readIntent(r)
	}
	known := make([]replayer.Lease, 0, len(leases))
	for _, lease := range leases {
		known = append(known, lease)
	}
	s.state = replayer.NewStateAt("", replayer.OffsetInEra(s.era, batch.Next), known)
	s.grantedAt = now
	if unused {
		// A claim is appended only as the first record: no call was made under an earlier one.
		known, s.grantedAt = nil, time.Time{}
	}
	s.logDecisions(s.leaser.Reset(now, known))
	if returned || fresh {
		// The store has lost its latest records, maybe the intent of a report that was sent.
		s.ledger.DoubtBefore(s.clock.Now(s.elapsed()))
	}
	s.log.Info().Str("event", "leasesLoaded").Uint64("era", uint64(s.era)).Uint64("next", batch.Next).
		Bool("storeReturned", returned).Bool("unused", unused).Msg("Following the leases of the duties")
	return nil
}

// neverAppended reports whether a topic has had no record, expired or not, since the store exists. In a later era, records
// may have been lost.
func neverAppended(b platform.Batch) bool { return b.Era == 0 && b.Next == 0 }

// read applies the records that were appended, and waits for one if there are none.
func (s *Steward) read(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		return nil
	}
	from, era := replayer.StoredOffset(s.state.Next()), s.era
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	s.count("storeReads")
	batch, err := s.store.Read(limited, platform.TopicDuties, from, platform.Polling{Wait: wait})
	var trimmed *platform.TrimmedError
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.As(err, &trimmed):
		s.log.Warn().Str("event", "leasesTrimmed").Uint64("from", from).Uint64("first", trimmed.FirstOffset).
			Msg("The store no longer has the records that follow")
		s.state = nil
		return nil
	case err != nil:
		return err
	case batch.Era != era:
		s.changeEra(batch.Era)
		return nil
	}
	s.unsure = false
	for _, r := range batch.Records {
		s.apply(r)
	}
	return nil
}

// changeEra ends all leases: the store has returned from an older copy. The caller holds the mutex.
func (s *Steward) changeEra(era identifier.Era) {
	s.log.Warn().Str("event", "eraChanged").Uint64("era", uint64(era)).Uint64("before", uint64(s.era)).
		Msg("The store has returned from an older copy; all leases end")
	s.logDecisions(s.leaser.Abandon())
	s.state = nil
}

// apply applies one record. The caller holds the mutex.
func (s *Steward) apply(r platform.Record) {
	if s.state == nil {
		return
	}
	offset := replayer.OffsetInEra(s.era, r.Offset)
	if offset != s.state.Next() {
		return
	}
	scope, found := s.scopeOf(r.Key)
	if !found {
		s.readIntent(r)
		_ = s.state.Skip(offset)
		return
	}
	before, _ := s.state.Lease(scope)
	applied, err := s.state.Apply(offset, r.Value)
	if err != nil {
		return
	}
	switch e := applied.Effect.(type) {
	case replayer.LeaseGranted:
		s.grantedAt, s.deferred = s.now(), 0
		if !e.Renewal {
			s.log.Info().Str("event", "leaseGranted").Str("scope", string(scope)).Str("holder", e.Lease.Holder).
				Uint64("token", uint64(e.Lease.Token)).Msg("A duty has a new holder")
		}
		decisions := s.leaser.Granted(s.now(), applied.Record, e)
		for _, d := range decisions {
			if g, ok := d.(leaser.Gained); ok {
				s.permitter.Gained(s.now(), g.Lease, s.isOther(before.Holder))
			}
		}
		if lease, held := s.leaser.Held(s.now(), scope); held {
			s.permitter.Held(lease)
		}
		s.logDecisions(decisions)
	case replayer.Skipped:
		s.log.Info().Str("event", "claimRefused").Str("scope", string(scope)).Str("author", applied.Author).
			Str("cause", string(e.Cause)).Str("detail", e.Detail).Msg("A claim had no effect")
	}
}

// scopeOf returns the scope of a claim's key in this era.
func (s *Steward) scopeOf(key string) (identifier.Scope, bool) {
	if !strings.HasPrefix(key, leasePrefix) {
		return "", false
	}
	for _, scope := range s.scopes() {
		if key == leaseKey(scope, s.era) {
			return scope, true
		}
	}
	return "", false
}
