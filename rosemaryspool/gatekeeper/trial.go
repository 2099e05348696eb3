package gatekeeper

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/governor"
)

// trialLease is a stand-in.
type trialLease struct {
	g     *governor.Governor
	since time.Time
}

func (t *trialLease) Lease(identifier.Scope) (platform.Fence, time.Time, bool) {
	now := time.Now()
	first := t.g.Candidates(now, "duty/scale", 1)
	if len(first) == 0 || first[0].Instance != t.g.Self().Instance || len(t.g.Candidates(now, "duty/scale", 5)) < 5 {
		t.since = time.Time{}
		return platform.Fence{}, time.Time{}, false
	}
	if t.since.IsZero() {
		t.since = now
	}
	if now.Sub(t.since) < 3*time.Second {
		return platform.Fence{}, time.Time{}, false
	}
	return platform.Fence{Holder: t.g.Self().Instance, Token: identifier.Token(t.since.UnixMilli())}, now.Add(2 * time.Second), true
}

func (t *trialLease) Refused(identifier.Scope, identifier.Token) {}
