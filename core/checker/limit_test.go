package checker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAppendRateStaysWithinBudget guards against more log appends than the budget allows: 5 a second when idle and 100
// a second at 100 calls a second.
func TestAppendRateStaysWithinBudget(t *testing.T) {
	const measured = 30 * time.Second
	cases := []struct {
		name  string
		calls int
		limit float64
	}{
		{"idle", 0, 5},
		{"100 calls a second", 100, 100},
	}
	for _, c := range cases {
		sm := newFaultFreeSimulation(t, 3, 7)
		before := sm.control.appends + sm.claims.appends
		start := sm.clock.Now
		for i := range c.calls * int(measured/time.Second) {
			sm.clock.After(time.Duration(i)*time.Second/time.Duration(c.calls), func() { sm.callWithKey(sm.processes[i%7], i+1) })
		}
		sm.clock.RunUntil(start + measured)
		rate := float64(sm.control.appends+sm.claims.appends-before) / measured.Seconds()
		t.Logf("case=%q appendsPerSecond=%.1f runs=%d instances=7", c.name, rate, sm.result.Runs)
		require.Less(t, rate, c.limit, c.name)
		require.Nil(t, sm.result.FirstViolation, c.name)
		require.GreaterOrEqual(t, sm.result.Runs, c.calls*20, c.name)
	}
}

// TestConfigChangeIsInForceEverywhereWithinFourSeconds publishes 200 changes, restarts a process and measures how long
// the next accepted change takes until it is in force in all of them, the restarted one included.
func TestConfigChangeIsInForceEverywhereWithinFourSeconds(t *testing.T) {
	const limit = 4 * time.Second
	var longest time.Duration
	for seed := uint64(1); seed <= 20; seed++ {
		sm := newFaultFreeSimulation(t, seed, 7)
		for range 200 {
			sm.publish(sm.reference.current.revision)
			sm.clock.RunUntil(sm.clock.Now + 60*time.Millisecond)
		}
		sm.processes[2].alive = false
		sm.start(2, 1)
		// Some changes carry a wrong digest, so the time is measured from the change that is accepted.
		var published time.Duration
		for sm.reference.sections["models"] == "" {
			published = sm.clock.Now
			sm.publishChange(sm.reference.current.revision, "models", "new")
			sm.clock.RunUntil(sm.clock.Now + 50*time.Millisecond)
		}
		for !sm.allInForce() && sm.clock.Now < published+limit {
			sm.clock.RunUntil(sm.clock.Now + 20*time.Millisecond)
		}
		require.True(t, sm.allInForce(), "seed %d", seed)
		require.Nil(t, sm.result.FirstViolation, "seed %d", seed)
		longest = max(longest, sm.clock.Now-published)
	}
	t.Logf("longestUntilInForce=%s instances=7 newlyStarted=1 histories=20", longest)
}

// allInForce reports whether the change of section models is accepted and in force in every process.
func (sm *simulation) allInForce() bool {
	if sm.reference.sections["models"] == "" {
		return false
	}
	for _, p := range sm.processes {
		if uint64(p.revisionInForce) != sm.reference.current.revision {
			return false
		}
	}
	return true
}

// TestAppendRateStaysBoundedAfterLogOutage guards against a thundering herd of appends when the log returns after an
// outage of an hour during which 2 calls a second arrive.
func TestAppendRateStaysBoundedAfterLogOutage(t *testing.T) {
	const outage, limit = time.Hour, 100
	sm := newFaultFreeSimulation(t, 5, 7)
	sm.logDownUntil = sm.clock.Now + outage
	for i := range int(outage/time.Second) * 2 {
		sm.clock.After(time.Duration(i)*time.Second/2, func() { sm.callWithKey(sm.processes[i%7], i+1) })
	}
	sm.clock.RunUntil(sm.logDownUntil)
	require.Nil(t, sm.leaseHolder("model/a"))
	maxPerSecond := 0
	for range 20 {
		before := sm.control.appends + sm.claims.appends
		sm.clock.RunUntil(sm.clock.Now + time.Second)
		maxPerSecond = max(maxPerSecond, sm.control.appends+sm.claims.appends-before)
	}
	t.Logf("outage=%s mostAppendsInOneSecondAfterIt=%d runs=%d refused=%d instances=7",
		outage, maxPerSecond, sm.result.Runs, sm.result.Refused)
	require.LessOrEqual(t, maxPerSecond, limit)
	require.NotNil(t, sm.leaseHolder("model/a"))
	require.Nil(t, sm.result.FirstViolation)
}
