// Package leaser claims, renews and releases leases by compare-and-set on the log. Expiry is measured on the local
// clock only: a holder counts from before it sent its claim, a claimant from after it read the latest grant.
package leaser

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
)

// Default lease timings. After a holder fails, a successor takes over within Duration + Margin + Stagger plus two round
// trips through the log.
const (
	// DefaultDuration tolerates two lost renewals.
	DefaultDuration = 6 * time.Second
	// DefaultRenewEvery leaves time for two more attempts within the duration.
	DefaultRenewEvery = 2 * time.Second
	// DefaultMargin covers the drift between two clocks over the duration and the time between check and write.
	DefaultMargin = 500 * time.Millisecond
	// DefaultRetryEvery is the minimum interval between claims after an append that failed or lost the compare-and-set.
	DefaultRetryEvery = time.Second
	// DefaultStagger is the range over which instances spread their claims.
	DefaultStagger = 500 * time.Millisecond
)

// Settings holds the lease timings and the holder's name, which must be unique to each start of the process.
type Settings struct {
	Holder     string
	Duration   time.Duration
	RenewEvery time.Duration
	Margin     time.Duration
	RetryEvery time.Duration
	Stagger    time.Duration
}

// NewSettings returns the default timings for a holder.
func NewSettings(holder string) Settings {
	return Settings{
		Holder:     holder,
		Duration:   DefaultDuration,
		RenewEvery: DefaultRenewEvery,
		Margin:     DefaultMargin,
		RetryEvery: DefaultRetryEvery,
		Stagger:    DefaultStagger,
	}
}

// HeldLease is a lease that this process may use before ExpiresAt.
type HeldLease struct {
	Scope     identifier.Scope
	Token     identifier.Token
	ExpiresAt time.Time
	// PredecessorExpiry is the time by which all earlier holders have stopped writing.
	PredecessorExpiry time.Time
}

// Decision is an action for the leaser's user to carry out, or a change in the leases held.
type Decision interface{ decision() }

// Claim requests the append of a lease claim. Its record id must be passed to ClaimSent before the append.
type Claim struct {
	Scope      identifier.Scope
	LastOffset identifier.Offset
	Renewal    bool
	// Token is the current token for a renewal, otherwise zero.
	Token identifier.Token
}

// Release requests the append of a lease release. The lease is no longer used at this point.
type Release struct {
	Scope identifier.Scope
	Token identifier.Token
}

// Gained reports that the process holds a lease under a new token.
type Gained struct{ Lease HeldLease }

// Lost reports that the process must stop using a lease.
type Lost struct{ Scope identifier.Scope }

func (Claim) decision()   {}
func (Release) decision() {}
func (Gained) decision()  {}
func (Lost) decision()    {}

// pendingClaim is a claim that was sent but not yet read back.
type pendingClaim struct {
	at      time.Time
	renewal bool
}

// scopeState holds the candidacy, the latest grant and the pending claims of one scope.
type scopeState struct {
	wanted bool
	// lease is the latest grant and readAt the time at which it was read; seen is false before the first grant.
	lease  replayer.Lease
	seen   bool
	readAt time.Time
	// predecessorExpiry is the time by which every holder before lease has stopped writing.
	predecessorExpiry time.Time
	held              bool
	current           HeldLease
	replaceToken      bool
	renewAt           time.Time
	claimAt           time.Time
	pending           map[identifier.RecordID]pendingClaim
}

// Leaser decides when one process claims, renews and releases leases.
type Leaser struct {
	settings Settings
	scopes   map[identifier.Scope]*scopeState
}

// NewLeaser returns a leaser that is a candidate for no scope.
func NewLeaser(settings Settings) *Leaser {
	return &Leaser{settings: settings, scopes: map[identifier.Scope]*scopeState{}}
}

// SetWanted sets whether the process is a candidate for a scope.
func (l *Leaser) SetWanted(scope identifier.Scope, wanted bool) { l.scope(scope).wanted = wanted }

// Wanted reports whether the process is a candidate for a scope.
func (l *Leaser) Wanted(scope identifier.Scope) bool {
	s, ok := l.scopes[scope]
	return ok && s.wanted
}

// ReplaceToken requests a newer token for a scope that the process holds.
func (l *Leaser) ReplaceToken(scope identifier.Scope) { l.scope(scope).replaceToken = true }

// Held returns the lease of a scope if the process may use it now.
func (l *Leaser) Held(now time.Time, scope identifier.Scope) (HeldLease, bool) {
	s, ok := l.scopes[scope]
	if !ok || !s.held || !now.Before(s.current.ExpiresAt) {
		return HeldLease{}, false
	}
	return s.current, true
}

// ClaimSent records that a claim is about to be sent. It must be called before the append, because the lease runs from
// this time.
func (l *Leaser) ClaimSent(now time.Time, scope identifier.Scope, renewal bool, record identifier.RecordID) {
	s := l.scope(scope)
	for id, c := range s.pending {
		if now.Sub(c.at) > l.settings.Duration {
			delete(s.pending, id)
		}
	}
	s.pending[record] = pendingClaim{at: now, renewal: renewal}
}

// ClaimFailed records that a claim was certainly not appended.
func (l *Leaser) ClaimFailed(now time.Time, record identifier.RecordID) {
	for _, s := range l.scopes {
		if _, ok := s.pending[record]; !ok {
			continue
		}
		delete(s.pending, record)
		s.renewAt = earlier(s.renewAt, now.Add(l.settings.RetryEvery))
	}
}

// Granted processes a grant that was read from the log.
func (l *Leaser) Granted(now time.Time, record identifier.RecordID, granted replayer.LeaseGranted) []Decision {
	s := l.scope(granted.Lease.Scope)
	claim, own := s.pending[record]
	delete(s.pending, record)
	if !granted.Renewal {
		s.predecessorExpiry = l.expiry(s)
	}
	s.lease = granted.Lease
	s.seen = true
	s.readAt = now
	expiresAt := claim.at.Add(granted.Lease.Duration - l.settings.Margin)
	if !own || !now.Before(expiresAt) {
		return l.endSuperseded(s, granted)
	}
	if granted.Renewal {
		if s.held && s.current.ExpiresAt.Before(expiresAt) {
			s.current.ExpiresAt = expiresAt
		}
		return nil
	}
	s.held = true
	s.replaceToken = false
	s.renewAt = claim.at.Add(l.settings.RenewEvery)
	s.current = HeldLease{
		Scope:             granted.Lease.Scope,
		Token:             granted.Lease.Token,
		ExpiresAt:         expiresAt,
		PredecessorExpiry: s.predecessorExpiry,
	}
	return []Decision{Gained{Lease: s.current}}
}

// endSuperseded ends the held lease when a grant gave the scope a different token.
func (l *Leaser) endSuperseded(s *scopeState, granted replayer.LeaseGranted) []Decision {
	if !s.held || s.current.Token == granted.Lease.Token {
		return nil
	}
	s.held = false
	return []Decision{Lost{Scope: granted.Lease.Scope}}
}

// expiry returns the time on the local clock by which the holder of the latest grant has stopped.
func (l *Leaser) expiry(s *scopeState) time.Time {
	if !s.seen {
		return time.Time{}
	}
	return s.readAt.Add(s.lease.Duration + l.settings.Margin)
}

// Released processes a release that was read from the log.
func (l *Leaser) Released(released replayer.LeaseReleased) []Decision {
	s := l.scope(released.Lease.Scope)
	s.lease = released.Lease
	if !s.held || s.current.Token != released.Lease.Token {
		return nil
	}
	s.held = false
	return []Decision{Lost{Scope: released.Lease.Scope}}
}

// Reset drops all held leases and loads leases from a state that was not read record by record. When these leases were
// granted is unknown, so each is assumed to run for its full duration from now.
func (l *Leaser) Reset(now time.Time, leases []replayer.Lease) []Decision {
	decisions := l.Abandon()
	for _, lease := range leases {
		s := l.scope(lease.Scope)
		s.lease = lease
		s.seen = true
		s.readAt = now
	}
	return decisions
}

// Abandon drops every held lease at once, without appending a release.
func (l *Leaser) Abandon() []Decision {
	var decisions []Decision
	for _, name := range slices.Sorted(maps.Keys(l.scopes)) {
		s := l.scopes[name]
		s.pending = map[identifier.RecordID]pendingClaim{}
		if s.held {
			s.held = false
			decisions = append(decisions, Lost{Scope: name})
		}
	}
	return decisions
}

// Decide returns the decisions due now. busy reports whether a scope has work that prevents the release of its lease.
func (l *Leaser) Decide(now time.Time, busy func(identifier.Scope) bool) []Decision {
	var decisions []Decision
	for _, name := range slices.Sorted(maps.Keys(l.scopes)) {
		s := l.scopes[name]
		if s.held && !now.Before(s.current.ExpiresAt) {
			s.held = false
			decisions = append(decisions, Lost{Scope: name})
		}
		if s.held {
			decisions = append(decisions, l.decideHeld(now, name, s, busy)...)
			continue
		}
		if s.wanted && l.claimable(now, name, s) {
			s.claimAt = now.Add(l.settings.RetryEvery)
			decisions = append(decisions, Claim{Scope: name, LastOffset: s.lease.Latest})
		}
	}
	return decisions
}

func (l *Leaser) decideHeld(
	now time.Time, name identifier.Scope, s *scopeState, busy func(identifier.Scope) bool,
) []Decision {
	if !s.wanted && !busy(name) {
		s.held = false
		return []Decision{Lost{Scope: name}, Release{Scope: name, Token: s.current.Token}}
	}
	if s.replaceToken {
		if now.Before(s.claimAt) {
			return nil
		}
		s.claimAt = now.Add(l.settings.RetryEvery)
		return []Decision{Claim{Scope: name, LastOffset: s.lease.Latest}}
	}
	if now.Before(s.renewAt) {
		return nil
	}
	s.renewAt = now.Add(l.settings.RenewEvery)
	return []Decision{Claim{Scope: name, LastOffset: s.lease.Latest, Renewal: true, Token: s.current.Token}}
}

// claimable reports whether the holder of the latest grant has stopped. A lapsed lease of this process counts as
// stopped.
func (l *Leaser) claimable(now time.Time, name identifier.Scope, s *scopeState) bool {
	if now.Before(s.claimAt) {
		return false
	}
	if !s.seen || s.lease.Released || s.lease.Holder == l.settings.Holder {
		return true
	}
	return !now.Before(l.expiry(s).Add(l.stagger(name, s.lease.Latest)))
}

// stagger returns a claim delay that differs between claimants and, for one claimant, between grants.
func (l *Leaser) stagger(name identifier.Scope, latest identifier.Offset) time.Duration {
	if l.settings.Stagger <= 0 {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(name))
	_, _ = digest.WriteString(l.settings.Holder)
	_, _ = digest.Write([]byte{byte(latest), byte(latest >> 8)})
	return time.Duration(digest.Sum64() % uint64(l.settings.Stagger))
}

func (l *Leaser) scope(name identifier.Scope) *scopeState {
	s, ok := l.scopes[name]
	if !ok {
		s = &scopeState{pending: map[identifier.RecordID]pendingClaim{}}
		l.scopes[name] = s
	}
	return s
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
