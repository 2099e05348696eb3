package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

func TestCallsBeginWhenEarlierOnesHaveArrived(t *testing.T) {
	const flight, returnWait, returnTime = 2 * time.Second, 3 * time.Second, 30 * time.Second
	for _, c := range []struct {
		name   string
		flight time.Duration
		// heldUntil is when this instance's own earlier lease has ended, in seconds; zero if there was none.
		heldUntil float64
		follows   bool
		gained    float64
		from      float64
	}{
		{"tokens are refused", 0, 0, false, 100, 90},
		{"after a stranger", 0, 0, true, 100, 90},
		{"calls may be under way", flight, 0, true, 100, 92},
		{"returns after another", 0, 80, true, 100, 93},
		{"returns after another, calls may be under way", flight, 80, true, 100, 93},
		{"goes on after itself", 0, 80, false, 100, 90},
		{"returns after a long time", 0, 60, true, 100, 90},
		{"has started just now", 0, 0, true, 20, 93},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPermitter(PermitSettings{Flight: c.flight, ReturnWait: returnWait, ReturnTime: returnTime}, at(0))
			if c.heldUntil > 0 {
				p.Held(HeldLease{Scope: "s", ExpiresAt: at(c.heldUntil)})
			}
			lease := HeldLease{Scope: "s", Token: 7, PredecessorExpiry: at(90)}
			p.Gained(at(c.gained), lease, c.follows)
			require.Equal(t, at(c.from), p.UsableFrom("s"))
			require.False(t, p.Permits(at(c.from-0.1), lease))
			require.True(t, p.Permits(at(c.from), lease))
		})
	}
}

func TestRefusedTokensPermitNothing(t *testing.T) {
	p := NewPermitter(PermitSettings{}, at(0))
	permits := func(scope identifier.Scope, token identifier.Token) bool {
		return p.Permits(at(1), HeldLease{Scope: scope, Token: token})
	}
	require.True(t, permits("s", 7))
	require.True(t, p.Refused("s", 7))
	require.False(t, p.Refused("s", 7), "known already")
	require.False(t, p.Refused("s", 5), "an older one")
	require.False(t, permits("s", 7))
	require.True(t, permits("s", 8))
	require.True(t, permits("other", 7))
}
