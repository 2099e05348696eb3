package allocator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/limiter"
	"rosemaryspool.example/core/tracker"
)

// restartUpstream lists u0 with another incarnation.
func restartUpstream(a *Allocator, incarnation uint64) {
	entries := a.Entries(model)
	for i := range entries {
		if entries[i].Upstream == "u0" {
			entries[i].Incarnation = incarnation
		}
	}
	a.SetUpstreams(entries)
}

// Failures and rate limits of one start of an upstream that another instance reports late don't count against the next one.
func TestReportsOfAnEarlierStartDoNotCount(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name     string
		reported uint64
		counts   bool
	}{
		{"of the earlier start", 7, false},
		{"of this start", 8, true},
		{"by an instance of the version before", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAllocator(3, 0)
			restartUpstream(a, 7)
			restartUpstream(a, 8)
			for range 20 {
				a.Observe(now, "other", "here", Observation{
					Upstream: "u0", Incarnation: c.reported, Event: EventEnded, Outcome: OutcomeFailed,
				})
			}
			require.Equal(t, c.counts, a.EjectionCause("u0") != "")
			require.Equal(t, c.counts, a.LearnLimit(NamedLimit{
				Upstream: "u0", Incarnation: c.reported, Limit: limiter.Limit{Limited: true, PerSecond: 2, NamedAt: now},
			}))
		})
	}
}

// The end of a prefill at one start of an engine takes no queued prefill from the next one.
func TestPrefillOfAnEarlierStartEndsWithIt(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(1, 1)
	placement := Placement{Upstream: "u0", Prefiller: "u1", Tokens: 3000}
	a.Adopt(now, &placement, nil)
	require.EqualValues(t, 3000, a.upstreams["u1"].own.QueuedPrefill)
	entries := a.Entries(model)
	for i := range entries {
		if entries[i].Role == tracker.RolePrefill {
			entries[i].Incarnation++
		}
	}
	a.SetUpstreams(entries)
	later := Placement{Upstream: "u0", Prefiller: "u1", Tokens: 4000}
	a.Adopt(now, &later, nil)
	a.PrefillEnded(now, &placement, OutcomeFailed)
	require.EqualValues(t, 4000, a.upstreams["u1"].own.QueuedPrefill)
	require.Empty(t, a.TakeObservations(model))
}
