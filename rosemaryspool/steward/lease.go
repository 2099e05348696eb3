package steward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/platform"
)

const (
	// storeTimeout bounds a call to the store, and an append: a renewal that is lost leaves time for another.
	storeTimeout = time.Second
	// maxHold is how long a read waits for a record at most.
	maxHold = 1500 * time.Millisecond
	// minHold is how long it waits while a claim is due.
	minHold = 100 * time.Millisecond
	// holderInterval is how often a holder checks whether a renewal is due.
	holderInterval = 50 * time.Millisecond
	// minPause is the least time between two calls to the store.
	minPause = 10 * time.Millisecond
	// startDelay is how long an instance that has started waits until it knows the candidates before it.
	startDelay = time.Second
	// idleInterval is how often an instance checks whether it has become a candidate.
	idleInterval = 500 * time.Millisecond
	// firstBackOff and lastBackOff bound the time between calls while the store fails.
	firstBackOff = 200 * time.Millisecond
	lastBackOff  = 500 * time.Millisecond
)

const leasePrefix = "lease/"

// leaseKey is the key of a scope's claims in one era. Records of an earlier era that are appended late have another key,
// and no effect.
func leaseKey(scope identifier.Scope, era identifier.Era) string {
	return fmt.Sprintf("%s%s/%d", leasePrefix, scope, era)
}

// keepLeases follows the leases and claims them until ctx ends.
func (s *Steward) keepLeases(ctx context.Context) {
	var backOff time.Duration
	if !pause(ctx, startDelay) {
		return
	}
	for {
		wait, called, err := s.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && !called:
		case err == nil:
			if backOff > 0 {
				s.log.Info().Str("event", "storeBack").Str("topic", platform.TopicDuties).Msg("Leases can be followed again")
			}
			backOff = 0
		default:
			if backOff == 0 {
				s.log.Warn().Err(err).Str("event", "storeLost").Str("topic", platform.TopicDuties).
					Msg("Following or claiming leases failed; trying again")
			}
			s.count("storeFailures")
			backOff = min(max(firstBackOff, 2*backOff), lastBackOff)
			wait = backOff
		}
		if !pause(ctx, max(wait, minPause)) {
			return
		}
	}
}

// step makes the next call to the store, if one is due, and returns how long to wait before the next step and whether
// there was a call.
func (s *Steward) step(ctx context.Context) (wait time.Duration, called bool, err error) {
	rank, candidate := s.rank()
	s.mu.Lock()
	for _, scope := range s.scopes() {
		s.leaser.SetWanted(scope, candidate)
	}
	following := s.state != nil
	if following && !candidate {
		s.logDecisions(s.leaser.Abandon())
		s.state = nil
	}
	unsure := s.unsure
	s.mu.Unlock()
	switch {
	case !candidate:
		return idleInterval, false, nil
	case !following:
		return 0, true, s.load(ctx)
	case unsure:
		return 0, true, s.read(ctx, 0)
	}
	claims, holds := s.takeClaims(rank)
	switch {
	case len(claims) > 0:
		return 0, true, s.claim(ctx, claims)
	case holds:
		return holderInterval, false, nil
	default:
		return 0, true, s.read(ctx, s.hold())
	}
}

// rank returns how many candidates come before this instance, and whether it is one itself.
func (s *Steward) rank() (int, bool) {
	chosen, _ := s.stewards(Candidates)
	for i, m := range chosen {
		if m.Instance == s.peers.Self().Instance {
			s.mu.Lock()
			defer s.mu.Unlock()
			return i, !s.leaving
		}
	}
	return 0, false
}

// hold returns how long a read may wait: until the latest lease may have ended.
func (s *Steward) hold() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.grantedAt.Add(s.settings.LeaseDuration + clockMargin).Sub(s.now())
	return max(minHold, min(left, maxHold))
}

// takeClaims returns the claims that are due, and whether this instance holds a lease. A candidate leaves the first
// claims of a lease that has ended to the candidates before it.
func (s *Steward) takeClaims(rank int) ([]leaser.Claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var claims []leaser.Claim
	deferred, holds := false, false
	for _, d := range s.leaser.Decide(now, func(identifier.Scope) bool { return true }) {
		claim, ok := d.(leaser.Claim)
		if !ok {
			s.logDecisions([]leaser.Decision{d})
			continue
		}
		if _, held := s.leaser.Held(now, claim.Scope); !held && s.deferred < rank {
			deferred = true
			continue
		}
		claims = append(claims, claim)
	}
	if deferred {
		s.deferred++
	}
	for _, scope := range s.scopes() {
		_, held := s.leaser.Held(now, scope)
		holds = holds || held
	}
	return claims, holds
}

// claim appends claims, all or none.
func (s *Steward) claim(ctx context.Context, claims []leaser.Claim) error {
	return s.append(ctx, func() ([]platform.Record, error) {
		records := make([]platform.Record, 0, len(claims))
		for _, c := range claims {
			id := s.newRecordID()
			value, err := s.leaser.Encode(id, c)
			if err != nil {
				return nil, err
			}
			s.leaser.ClaimSent(s.now(), c.Scope, c.Renewal, id)
			records = append(records, platform.Record{Key: leaseKey(c.Scope, s.era), Value: value})
		}
		return records, nil
	})
}

// newRecordID returns an id for the next record. The caller holds the mutex.
func (s *Steward) newRecordID() identifier.RecordID {
	s.records++
	return identifier.RecordID(fmt.Sprintf("%s/%d", s.holder, s.records))
}

// append appends the records that makeRecords returns, under the condition that nothing was appended since the last record that
// this instance has applied, and applies them. makeRecords is called with the mutex held.
func (s *Steward) append(ctx context.Context, makeRecords func() ([]platform.Record, error)) error {
	s.appending <- struct{}{}
	defer func() { <-s.appending }()
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		return nil
	}
	at, era := replayer.StoredOffset(s.state.Next()), s.era
	records, err := makeRecords()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.count("storeWrites")
	answered, err := s.store.Append(limited, platform.TopicDuties, at, records)
	s.mu.Lock()
	defer s.mu.Unlock()
	var refused *platform.StatusError
	switch {
	case err == nil && answered != era:
		s.changeEra(answered)
	case err == nil:
		for i, r := range records {
			r.Offset = at + uint64(i)
			s.apply(r)
		}
	case errors.Is(err, platform.ErrMoved):
		s.forgetClaims(records)
		s.unsure = true
		return nil
	case errors.As(err, &refused):
		s.forgetClaims(records)
	default:
		s.unsure = true
	}
	return err
}

// forgetClaims records that claims were certainly not appended. The caller holds the mutex.
func (s *Steward) forgetClaims(records []platform.Record) {
	for _, r := range records {
		s.leaser.RecordFailed(s.now(), r.Value)
	}
}

// logDecisions logs the changes of the leases that this instance holds. The caller holds the mutex.
func (s *Steward) logDecisions(decisions []leaser.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case leaser.Gained:
			s.count("leasesGained")
			s.log.Info().Str("event", "leaseGained").Str("scope", string(d.Lease.Scope)).
				Uint64("token", uint64(d.Lease.Token)).Dur("usableInMs", max(0, s.permitter.UsableFrom(d.Lease.Scope).Sub(s.now()))).
				Msg("This instance holds a duty")
		case leaser.Lost:
			s.count("leasesLost")
			s.log.Warn().Str("event", "leaseLost").Str("scope", string(d.Scope)).Msg("This instance no longer holds a duty")
		case leaser.Claim, leaser.Release:
		}
	}
}
