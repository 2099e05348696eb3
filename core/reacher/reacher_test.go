package reacher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
)

const model identifier.ServiceName = "model"

func TestPathIsSuspectedAfterFailuresAtSeveralUpstreams(t *testing.T) {
	type failure struct {
		after time.Duration
		id    identifier.UpstreamID
	}
	for _, c := range []struct {
		name      string
		upstreams int
		failures  []failure
		probed    bool
	}{
		{"none", 3, nil, false},
		{"one upstream fails again and again", 3, []failure{{0, "a"}, {10 * time.Millisecond, "a"}}, false},
		{"two fail", 3, []failure{{0, "a"}, {10 * time.Millisecond, "b"}}, true},
		{"two fail far apart", 3, []failure{{0, "a"}, {failureMemory, "b"}}, false},
		{"the only one fails", 1, []failure{{0, "a"}}, true},
		{"none is listed any more", 0, []failure{{0, "a"}, {0, "b"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewReacher()
			start := time.Now()
			now := start
			for _, f := range c.failures {
				now = start.Add(f.after)
				r.Failed(now, model, f.id)
			}
			require.Equal(t, c.probed, r.BeginProbe(now, model, c.upstreams))
			require.False(t, r.Lost(model), "only a probe decides")
		})
	}
}

func TestProbesDecideWhetherAPathIsLost(t *testing.T) {
	r := NewReacher()
	now := time.Now()
	fail := func() {
		r.Failed(now, model, "a")
		r.Failed(now, model, "b")
	}
	fail()
	require.True(t, r.BeginProbe(now, model, 3))
	require.False(t, r.BeginProbe(now, model, 3), "one probe at a time")
	changed, _ := r.ProbeEnded(now, model, true)
	require.False(t, changed)
	fail()
	require.False(t, r.BeginProbe(now, model, 3), "probes of a sound path are rare")
	now = now.Add(suspectInterval)
	require.True(t, r.BeginProbe(now, model, 3))
	changed, _ = r.ProbeEnded(now, model, false)
	require.True(t, changed)
	require.True(t, r.Lost(model))
	require.False(t, r.Lost("another"))
	require.False(t, r.BeginProbe(now, model, 3))
	now = now.Add(lostInterval)
	require.True(t, r.BeginProbe(now, model, 3), "a lost path is probed without failures")
	changed, _ = r.ProbeEnded(now, model, false)
	require.False(t, changed)
	now = now.Add(lostInterval)
	require.True(t, r.BeginProbe(now, model, 3))
	changed, lostFor := r.ProbeEnded(now, model, true)
	require.True(t, changed)
	require.Equal(t, 2*lostInterval, lostFor)
	require.False(t, r.Lost(model))
}

func TestInstancesThatDeclineArePassedOver(t *testing.T) {
	r := NewReacher()
	now := time.Now()
	members := []elector.Member{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}}
	require.Equal(t, members[:2], r.Detours(now, members, 2))
	require.True(t, r.Decline(now, "a"))
	require.False(t, r.Decline(now.Add(declineTime), "a"), "no news")
	require.True(t, r.Decline(now.Add(declineTime+declineMemory), "a"))
	r.Decline(now, "a")
	require.Equal(t, members[1:], r.Detours(now, members, 2))
	r.Decline(now, "b")
	r.Decline(now, "c")
	require.Empty(t, r.Detours(now, members, 2))
	require.Equal(t, members, r.Detours(now.Add(declineTime), members, 3))
}

func TestChangesOfOtherInstancesPathsAreReported(t *testing.T) {
	r := NewReacher()
	for _, c := range []struct {
		instance identifier.InstanceID
		lost     bool
		changed  bool
	}{
		{"a", false, false},
		{"a", true, true},
		{"a", true, false},
		{"b", true, true},
		{"a", false, true},
		{"a", false, false},
	} {
		require.Equal(t, c.changed, r.PeerLost(c.instance, model, c.lost))
	}
}

func TestReroutingPausesWhenItFails(t *testing.T) {
	r := NewReacher()
	now := time.Now()
	require.True(t, r.MayReroute(now, model))
	r.RerouteFailed(now, model)
	require.False(t, r.MayReroute(now, model))
	require.True(t, r.MayReroute(now, "another"))
	require.True(t, r.MayReroute(now.Add(reroutePause), model))
}
