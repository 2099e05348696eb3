package leaser

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// PermitSettings bound when calls are made under a lease whose receiver carries out some of them late.
type PermitSettings struct {
	// Flight is how long a call may be under way after its time limit. It is zero where the receiver refuses outdated tokens.
	Flight time.Duration
	// ReturnWait is how long an instance waits that returns to a lease after another one, within ReturnTime of its own
	// last lease or its start.
	ReturnWait time.Duration
	ReturnTime time.Duration
}

// Permitter decides when a holder may make calls: not before those of earlier holders have arrived, and none under a token
// that was refused. Its times are those of the leaser's clock.
type Permitter struct {
	settings  PermitSettings
	startedAt time.Time
	// heldUntil is when the latest lease of a scope ends or ended, usableFrom when its calls may begin.
	heldUntil  map[identifier.Scope]time.Time
	usableFrom map[identifier.Scope]time.Time
	refused    map[identifier.Scope]identifier.Token
}

// NewPermitter returns a permitter of a process that has started at a time.
func NewPermitter(settings PermitSettings, startedAt time.Time) *Permitter {
	return &Permitter{
		settings: settings, startedAt: startedAt, heldUntil: map[identifier.Scope]time.Time{},
		usableFrom: map[identifier.Scope]time.Time{}, refused: map[identifier.Scope]identifier.Token{},
	}
}

// Gained sets from when a lease may be used; follows is true if another instance has held it before. No call of an earlier
// holder arrives any more then, where the receiver would carry it out; and an instance that returns to a lease does so a
// whole lease after the other one's last call.
func (p *Permitter) Gained(now time.Time, lease HeldLease, follows bool) {
	wait := p.settings.Flight
	returns := now.Sub(p.startedAt) < p.settings.ReturnTime || now.Sub(p.heldUntil[lease.Scope]) < p.settings.ReturnTime
	if follows && returns {
		wait = max(wait, p.settings.ReturnWait)
	}
	p.usableFrom[lease.Scope] = lease.PredecessorExpiry.Add(wait)
}

// Held records until when this instance holds a lease.
func (p *Permitter) Held(lease HeldLease) { p.heldUntil[lease.Scope] = lease.ExpiresAt }

// UsableFrom returns when the calls of the latest lease of a scope may begin.
func (p *Permitter) UsableFrom(scope identifier.Scope) time.Time { return p.usableFrom[scope] }

// Permits reports whether calls may be made under a lease that is held.
func (p *Permitter) Permits(now time.Time, lease HeldLease) bool {
	return lease.Token > p.refused[lease.Scope] && !now.Before(p.usableFrom[lease.Scope])
}

// Refused records that a token was refused for a higher one, and reports whether that is new.
func (p *Permitter) Refused(scope identifier.Scope, token identifier.Token) bool {
	if token <= p.refused[scope] {
		return false
	}
	p.refused[scope] = token
	return true
}
