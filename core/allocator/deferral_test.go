package allocator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newWideAllocator returns an allocator with engines of many slots that have more work than can be prefilled in time.
func newWideAllocator(now time.Time, slots int, prefill Load) *Allocator {
	a := newTestAllocator(2, 1)
	entries := a.entries()
	loads := Loads{}
	for i := range entries {
		entries[i].Slots = slots
		loads[entries[i].Upstream] = prefill
	}
	a.SetUpstreams(entries)
	a.UpdatePeer(now, "other", model, loads, 1)
	return a
}

func TestLateRequestsAreDeferred(t *testing.T) {
	const narrow, wide = 6, 32
	busy := Load{QueuedPrefill: 60_000}
	full := Load{QueuedPrefill: 400_000}
	for _, c := range []struct {
		name     string
		slots    int
		load     Load
		deadline time.Duration
		returned bool
		deferred bool
	}{
		{"busy", wide, busy, 2 * time.Second, false, true},
		{"busy, engines with few slots", narrow, busy, 2 * time.Second, false, false},
		{"busy, route with little time", wide, busy, 200 * time.Millisecond, false, false},
		{"too busy for new ones", wide, Load{QueuedPrefill: 200_000}, time.Second, false, false},
		{"not too busy for those who come back", wide, Load{QueuedPrefill: 200_000}, time.Second, true, true},
		{"too busy for all", wide, full, 500 * time.Millisecond, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			a := newWideAllocator(now, c.slots, c.load)
			req := unsharedRequest(1, 3000)
			req.TimeToDeadline, req.Returned = c.deadline, c.returned
			place, refusal := a.Place(now, req)
			require.Equal(t, c.deferred, refusal == nil)
			require.Equal(t, c.deferred, place.Deferred)
		})
	}
}

func TestDeferredWorkDelaysNoRequestInTimeUntilItHasWaited(t *testing.T) {
	now := time.Now()
	a := newWideAllocator(now, 32, Load{DeferredPrefill: 60_000})
	place, refusal := a.Place(now, unsharedRequest(1, 3000))
	require.Nil(t, refusal)
	require.False(t, place.Deferred)
	// Deferred work at one engine that has waited long is run: requests in time go elsewhere.
	a.UpdatePeer(now, "other", model, Loads{"u1": {DeferredPrefill: 60_000}, "u2": {DeferredPrefill: 60_000}}, 1)
	for i := range 5 {
		place, refusal = a.Place(now.Add(deferralPatience), unsharedRequest(i, 3000))
		require.Nil(t, refusal)
		require.EqualValues(t, "u0", place.Upstream)
		require.Empty(t, place.Prefiller)
		a.Ended(now, time.Time{}, place, OutcomeCancelled)
	}
}

func TestRefusedCallersComeBackWhenThereIsRoom(t *testing.T) {
	now := time.Now()
	a := newWideAllocator(now, 32, Load{QueuedPrefill: 300_000})
	req := unsharedRequest(1, 3000)
	req.TimeToDeadline = time.Second
	seen := map[time.Duration]bool{}
	var first, last time.Duration
	const refusals = 20
	for range refusals {
		_, refusal := a.Place(now, req)
		require.NotNil(t, refusal)
		seen[refusal.RetryAfter] = true
		if first == 0 || refusal.RetryAfter < first {
			first = refusal.RetryAfter
		}
		last = max(last, refusal.RetryAfter)
	}
	require.Len(t, seen, refusals)
	require.Greater(t, first, minComeBack)
	require.Greater(t, last, 3*first/2)
}

func TestEndedDeferredWorkIsRemoved(t *testing.T) {
	now := time.Now()
	a := newWideAllocator(now, 32, Load{QueuedPrefill: 60_000})
	place, refusal := a.Place(now, unsharedRequest(1, 3000))
	require.Nil(t, refusal)
	require.True(t, place.Deferred)
	if place.Prefiller != "" {
		a.PrefillEnded(now, &place, OutcomeCompleted)
	}
	a.Ended(now, now, place, OutcomeCompleted)
	for _, u := range a.upstreams {
		require.Zero(t, u.own)
	}
}
