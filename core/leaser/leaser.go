// Package leaser claims, renews and gives up leases by compare-and-set on the log. It judges expiry on the clock of its
// own process alone: a holder counts from before it sent its claim, a claimant from after it read the latest grant.
package leaser

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
)

// Times of a lease. A successor is there within Duration + Margin + Stagger + two passes through the log.
const (
	// DefaultDuration survives two lost renewals.
	DefaultDuration = 6 * time.Second
	// DefaultRenewEvery leaves two more tries within the duration.
	DefaultRenewEvery = 2 * time.Second
	// DefaultMargin covers the drift of two clocks over the duration and the step from check to write.
	DefaultMargin = 500 * time.Millisecond
	// DefaultRetryEvery spaces claims whose append failed or lost.
	DefaultRetryEvery = time.Second
	// DefaultStagger spreads the claims of several instances.
	DefaultStagger = 500 * time.Millisecond
)

// Settings holds the times of the leases and the holder's name, which must be unique to this start of the process.
type Settings struct {
	Holder     string
	Duration   time.Duration
	RenewEvery time.Duration
	Margin     time.Duration
	RetryEvery time.Duration
	Stagger    time.Duration
}

// NewSettings returns the default times for a holder.
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

// Hold is a lease that this process may use until Until.
type HeldLease struct {
	Scope     identifier.Scope
	Token     identifier.Token
	ExpiresAt time.Time
	// QuietFrom is when the holders before this one certainly stopped writing.
	PredecessorExpiry time.Time
}

// Decision is what the leaser wants done.
type Decision interface{ decision() }

// Claim asks for an append of a lease claim; the caller reports its record id to Sent.
type Claim struct {
	Scope      identifier.Scope
	LastOffset identifier.Offset
	Renewal    bool
	// Token is the current token of a renewal, else zero.
	Token identifier.Token
}

// Release asks for an append of a lease release; the hold has ended already.
type Release struct {
	Scope identifier.Scope
	Token identifier.Token
}

// Gained tells that the process holds a lease under a new token.
type Gained struct{ Lease HeldLease }

// Lost tells that the process must stop using a lease.
type Lost struct{ Scope identifier.Scope }

func (Claim) decision()   {}
func (Release) decision() {}
func (Gained) decision()  {}
func (Lost) decision()    {}

// claimSent is a claim on its way.
type pendingClaim struct {
	at      time.Time
	renewal bool
}

// scopeState is what the process knows of one scope.
type scopeState struct {
	wanted bool
	// lease is the latest grant, readAt when it was read; seen is false until there was one.
	lease  replayer.Lease
	seen   bool
	readAt time.Time
	// quietFrom is when every holder before lease certainly stopped writing.
	predecessorExpiry time.Time
	held              bool
	current           HeldLease
	replaceToken      bool
	renewAt           time.Time
	claimAt           time.Time
	pending           map[identifier.RecordID]pendingClaim
}

// Leaser decides the claims of one process.
type Leaser struct {
	settings Settings
	scopes   map[identifier.Scope]*scopeState
}

// NewLeaser returns a leaser that wants no scope.
func NewLeaser(settings Settings) *Leaser {
	return &Leaser{settings: settings, scopes: map[identifier.Scope]*scopeState{}}
}

// Want makes the process a candidate for a scope, or no longer one.
func (l *Leaser) SetWanted(scope identifier.Scope, wanted bool) { l.scope(scope).wanted = wanted }

// Wants tells whether the process is a candidate for a scope.
func (l *Leaser) Wanted(scope identifier.Scope) bool {
	s, ok := l.scopes[scope]
	return ok && s.wanted
}

// Replace asks for a newer token of a scope that the process holds.
func (l *Leaser) ReplaceToken(scope identifier.Scope) { l.scope(scope).replaceToken = true }

// Held returns the lease of a scope when the process may use it now.
func (l *Leaser) Held(now time.Time, scope identifier.Scope) (HeldLease, bool) {
	s, ok := l.scopes[scope]
	if !ok || !s.held || !now.Before(s.current.ExpiresAt) {
		return HeldLease{}, false
	}
	return s.current, true
}

// Sent notes that a claim leaves the process now. It must be called before the append.
func (l *Leaser) ClaimSent(now time.Time, scope identifier.Scope, renewal bool, record identifier.RecordID) {
	s := l.scope(scope)
	for id, c := range s.pending {
		if now.Sub(c.at) > l.settings.Duration {
			delete(s.pending, id)
		}
	}
	s.pending[record] = pendingClaim{at: now, renewal: renewal}
}

// Failed notes that a claim was certainly not appended.
func (l *Leaser) ClaimFailed(now time.Time, record identifier.RecordID) {
	for _, s := range l.scopes {
		if _, ok := s.pending[record]; !ok {
			continue
		}
		delete(s.pending, record)
		s.renewAt = earlier(s.renewAt, now.Add(l.settings.RetryEvery))
	}
}

// Granted notes a grant that was read from the log.
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
	until := claim.at.Add(granted.Lease.Duration - l.settings.Margin)
	if !own || !now.Before(until) {
		return l.endSuperseded(s, granted)
	}
	if granted.Renewal {
		if s.held && s.current.ExpiresAt.Before(until) {
			s.current.ExpiresAt = until
		}
		return nil
	}
	s.held = true
	s.replaceToken = false
	s.renewAt = claim.at.Add(l.settings.RenewEvery)
	s.current = HeldLease{Scope: granted.Lease.Scope, Token: granted.Lease.Token, ExpiresAt: until, PredecessorExpiry: s.predecessorExpiry}
	return []Decision{Gained{Lease: s.current}}
}

// notHeld ends a hold when the grant gave the scope a token other than its own.
func (l *Leaser) endSuperseded(s *scopeState, granted replayer.LeaseGranted) []Decision {
	if !s.held || s.current.Token == granted.Lease.Token {
		return nil
	}
	s.held = false
	return []Decision{Lost{Scope: granted.Lease.Scope}}
}

// expiry returns when the latest grant's holder has certainly stopped, on this process's clock.
func (l *Leaser) expiry(s *scopeState) time.Time {
	if !s.seen {
		return time.Time{}
	}
	return s.readAt.Add(s.lease.Duration + l.settings.Margin)
}

// Released notes a release that was read from the log.
func (l *Leaser) Released(released replayer.LeaseReleased) []Decision {
	s := l.scope(released.Lease.Scope)
	s.lease = released.Lease
	if !s.held || s.current.Token != released.Lease.Token {
		return nil
	}
	s.held = false
	return []Decision{Lost{Scope: released.Lease.Scope}}
}

// Restart forgets all holds and takes over leases from a state that was not read record by record; their holders are
// counted as alive from now.
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

// Abandon ends every hold at once, without a release.
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

// Decide returns what is due now. busy tells whether a scope's work keeps the process from giving it up.
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

func (l *Leaser) decideHeld(now time.Time, name identifier.Scope, s *scopeState, busy func(identifier.Scope) bool) []Decision {
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

// claimable tells whether the latest grant's holder has certainly stopped. This process's own lapsed lease has.
func (l *Leaser) claimable(now time.Time, name identifier.Scope, s *scopeState) bool {
	if now.Before(s.claimAt) {
		return false
	}
	if !s.seen || s.lease.Released || s.lease.Holder == l.settings.Holder {
		return true
	}
	return !now.Before(l.expiry(s).Add(l.stagger(name, s.lease.Latest)))
}

// stagger spreads the claimants of a scope, differently after each grant.
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
