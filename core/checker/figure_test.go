package checker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAppendRateStaysWithinBudget(t *testing.T) {
	const measured = 30 * time.Second
	cases := []struct {
		name  string
		calls int
		limit float64
	}{
		{"at rest", 0, 5},
		{"100 calls a second", 100, 100},
	}
	for _, c := range cases {
		w := newFaultFreeSimulation(t, 3, 7)
		before := w.control.appends + w.claims.appends
		start := w.now
		for i := range c.calls * int(measured/time.Second) {
			w.after(time.Duration(i)*time.Second/time.Duration(c.calls), func() { w.callWithKey(w.processes[i%7], i+1) })
		}
		w.runUntil(start + measured)
		rate := float64(w.control.appends+w.claims.appends-before) / measured.Seconds()
		t.Logf("case=%q appendsPerSecond=%.1f runs=%d instances=7", c.name, rate, w.result.Runs)
		require.Less(t, rate, c.limit, c.name)
		require.Nil(t, w.result.FirstViolation, c.name)
		require.GreaterOrEqual(t, w.result.Runs, c.calls*20, c.name)
	}
}

func TestConfigChangeIsInForceEverywhereWithinFourSeconds(t *testing.T) {
	const limit = 4 * time.Second
	var longest time.Duration
	for seed := uint64(1); seed <= 20; seed++ {
		w := newFaultFreeSimulation(t, seed, 7)
		for range 200 {
			w.publish(w.reference.current.revision)
			w.runUntil(w.now + 60*time.Millisecond)
		}
		w.processes[2].alive = false
		w.start(2, 1)
		// Operators publish a wrong digest at times: the time counts from the change that is accepted.
		var published time.Duration
		for w.reference.sections["models"] == "" {
			published = w.now
			w.publishChange(w.reference.current.revision, "models", "new")
			w.runUntil(w.now + 50*time.Millisecond)
		}
		for !w.allInForce() && w.now < published+limit {
			w.runUntil(w.now + 20*time.Millisecond)
		}
		require.True(t, w.allInForce(), "seed %d", seed)
		require.Nil(t, w.result.FirstViolation, "seed %d", seed)
		longest = max(longest, w.now-published)
	}
	t.Logf("longestUntilInForce=%s instances=7 newlyStarted=1 histories=20", longest)
}

// allInForce tells whether the change of section models is accepted and in force at every process.
func (w *simulation) allInForce() bool {
	if w.reference.sections["models"] == "" {
		return false
	}
	for _, p := range w.processes {
		if uint64(p.revisionInForce) != w.reference.current.revision {
			return false
		}
	}
	return true
}

func TestAppendRateStaysBoundedAfterLogOutage(t *testing.T) {
	const outage, limit = time.Hour, 100
	w := newFaultFreeSimulation(t, 5, 7)
	w.logDownUntil = w.now + outage
	for i := range int(outage/time.Second) * 2 {
		w.after(time.Duration(i)*time.Second/2, func() { w.callWithKey(w.processes[i%7], i+1) })
	}
	w.runUntil(w.logDownUntil)
	require.Nil(t, w.leaseHolder("model/a"))
	most := 0
	for range 20 {
		before := w.control.appends + w.claims.appends
		w.runUntil(w.now + time.Second)
		most = max(most, w.control.appends+w.claims.appends-before)
	}
	t.Logf("outage=%s mostAppendsInOneSecondAfterIt=%d runs=%d refused=%d instances=7", outage, most, w.result.Runs, w.result.Refused)
	require.LessOrEqual(t, most, limit)
	require.NotNil(t, w.leaseHolder("model/a"))
	require.Nil(t, w.result.FirstViolation)
}
