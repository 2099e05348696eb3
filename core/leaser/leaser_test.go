package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
)

func at(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func granted(holder string, token, latest int, renewal bool) replayer.LeaseGranted {
	return replayer.LeaseGranted{Renewal: renewal, Lease: replayer.Lease{
		Scope: "s", Holder: holder, Token: identifier.Token(token), Latest: identifier.Offset(latest),
		Duration: DefaultDuration,
	}}
}

func idle(identifier.Scope) bool { return false }

func busy(identifier.Scope) bool { return true }

// newCandidate returns a leaser that is a candidate for scope s and claims without stagger.
func newCandidate(holder string) *Leaser {
	settings := NewSettings(holder)
	settings.Stagger = 0
	l := NewLeaser(settings)
	l.SetWanted("s", true)
	return l
}

// newHolder returns a leaser that acquired s by a claim sent at second 0 and read back at readAt, in seconds.
func newHolder(t *testing.T, readAt float64) *Leaser {
	l := newCandidate("a")
	require.Equal(t, []Decision{Claim{Scope: "s"}}, l.Decide(at(0), idle))
	l.ClaimSent(at(0), "s", false, "r1")
	l.Granted(at(readAt), "r1", granted("a", 1, 1, false))
	return l
}

func TestHolderExpiryCountsFromClaimSend(t *testing.T) {
	cases := []struct {
		name   string
		readAt float64
		now    float64
		held   bool
	}{
		{"just before expiry", 1, 5.4, true},
		{"at expiry", 1, 5.5, false},
		{"claim read back late", 5.4, 5.45, true},
		{"claim read back after expiry", 5.6, 5.7, false},
	}
	for _, c := range cases {
		l := newHolder(t, c.readAt)
		_, held := l.Held(at(c.now), "s")
		require.Equal(t, c.held, held, c.name)
	}
}

func TestHolderExpiresWithoutRenewalAndReclaims(t *testing.T) {
	l := newHolder(t, 0.1)
	renewal := Claim{Scope: "s", LastOffset: 1, Renewal: true, Token: 1}
	require.Equal(t, []Decision{renewal}, l.Decide(at(2), idle))
	l.ClaimSent(at(2), "s", true, "r2")
	require.Equal(t, []Decision{renewal}, l.Decide(at(4), idle))
	// Neither renewal was read back, so the lease expires on the local clock.
	require.Equal(t, []Decision{Lost{Scope: "s"}, Claim{Scope: "s", LastOffset: 1}}, l.Decide(at(5.5), idle))
	require.Empty(t, l.Granted(at(6), "r2", granted("a", 1, 7, true)))
	_, held := l.Held(at(6), "s")
	require.False(t, held)
	require.Equal(t, []Decision{Claim{Scope: "s", LastOffset: 7}}, l.Decide(at(6.6), idle))
}

func TestRenewalExtendsFromSendTime(t *testing.T) {
	l := newHolder(t, 0.1)
	l.Decide(at(2), idle)
	l.ClaimSent(at(2), "s", true, "r2")
	require.Empty(t, l.Granted(at(3), "r2", granted("a", 1, 5, true)))
	lease, held := l.Held(at(7.4), "s")
	require.True(t, held)
	require.Equal(t, at(7.5), lease.ExpiresAt)
	require.Equal(t, identifier.Token(1), lease.Token)
}

func TestClaimantWaitCountsFromRead(t *testing.T) {
	l := newCandidate("b")
	l.Granted(at(10), "x", granted("a", 1, 1, false))
	require.Empty(t, l.Decide(at(16.4), idle))
	require.Equal(t, []Decision{Claim{Scope: "s", LastOffset: 1}}, l.Decide(at(16.5), idle))
	require.Empty(t, l.Decide(at(17), idle))
	// A renewal read in the meantime restarts the wait.
	l.Granted(at(17), "y", granted("a", 1, 4, true))
	require.Empty(t, l.Decide(at(23.4), idle))
	l.Released(replayer.LeaseReleased{Lease: replayer.Lease{Scope: "s", Holder: "a", Token: 1, Latest: 4, Released: true}})
	require.Equal(t, []Decision{Claim{Scope: "s", LastOffset: 4}}, l.Decide(at(23.45), idle))
}

func TestGainedLeaseCarriesPredecessorExpiry(t *testing.T) {
	l := newCandidate("b")
	l.Granted(at(10), "x", granted("a", 1, 1, false))
	l.ClaimSent(at(16.5), "s", false, "r1")
	gained := l.Granted(at(16.6), "r1", granted("b", 9, 9, false))
	want := HeldLease{Scope: "s", Token: 9, ExpiresAt: at(22), PredecessorExpiry: at(16.5)}
	require.Equal(t, []Decision{Gained{Lease: want}}, gained)
}

func TestGrantToAnotherHolderEndsLease(t *testing.T) {
	l := newHolder(t, 0.1)
	require.Equal(t, []Decision{Lost{Scope: "s"}}, l.Granted(at(1), "x", granted("b", 5, 5, false)))
	_, held := l.Held(at(1), "s")
	require.False(t, held)
}

func TestReplaceTokenClaimsAtOnce(t *testing.T) {
	l := newHolder(t, 0.1)
	l.ReplaceToken("s")
	require.Equal(t, []Decision{Claim{Scope: "s", LastOffset: 1}}, l.Decide(at(1), idle))
	l.ClaimSent(at(1), "s", false, "r2")
	l.Granted(at(1.1), "r2", granted("a", 6, 6, false))
	lease, held := l.Held(at(1.2), "s")
	require.True(t, held)
	require.Equal(t, identifier.Token(6), lease.Token)
}

func TestUnwantedLeaseIsReleasedOnceIdle(t *testing.T) {
	l := newHolder(t, 0.1)
	l.SetWanted("s", false)
	require.Equal(t, []Decision{Claim{Scope: "s", LastOffset: 1, Renewal: true, Token: 1}}, l.Decide(at(2), busy))
	require.Equal(t, []Decision{Lost{Scope: "s"}, Release{Scope: "s", Token: 1}}, l.Decide(at(2.1), idle))
	require.Empty(t, l.Decide(at(2.2), idle))
}

func TestResetWaitsForLoadedHolders(t *testing.T) {
	l := newHolder(t, 0.1)
	lease := granted("b", 50, 50, false).Lease
	require.Equal(t, []Decision{Lost{Scope: "s"}}, l.Reset(at(1), []replayer.Lease{lease}))
	require.Empty(t, l.Decide(at(7.4), idle))
	require.Equal(t, []Decision{Claim{Scope: "s", LastOffset: 50}}, l.Decide(at(7.5), idle))
}
