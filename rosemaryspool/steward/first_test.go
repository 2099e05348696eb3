package steward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

// firstCall returns how long after the start of the system the first call of a scope was carried out.
func (w *world) firstCall(scope identifier.Scope) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		if c.scope == scope {
			return c.at.Sub(w.started), true
		}
	}
	return 0, false
}

// killAll kills all instances and starts them again after a time.
func (w *world) killAll(pause time.Duration) {
	for _, id := range w.order {
		w.kill(id)
	}
	time.Sleep(pause)
	for _, id := range w.order {
		w.start(id)
	}
}

// TestFirstHolderDoesNotWait starts a system whose store shows that nobody has ever held a lease.
func TestFirstHolderDoesNotWait(t *testing.T) {
	for _, enforced := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, enforced, nil)
			time.Sleep(startDelay + time.Second)
			at, called := w.firstCall(ScopeScale)
			w.end()
			time.Sleep(20 * time.Second)
			require.True(t, called)
			require.Less(t, at, startDelay+time.Second)
		})
	}
}

// TestOneHolderFromTheFirstStart brings failures about around the first claim and the first call.
func TestOneHolderFromTheFirstStart(t *testing.T) {
	// storeFaults lets the first appends meet faults in turn.
	storeFaults := func(faults ...fault) func(w *world) {
		return func(w *world) {
			n := 0
			w.setStoreFault(func(_ identifier.InstanceID, write bool) fault {
				if !write || n >= len(faults) {
					return fault{}
				}
				n++
				return faults[n-1]
			})
		}
	}
	callsLate := func(late time.Duration) func(w *world) {
		return func(w *world) {
			w.setCallFault(func(identifier.InstanceID, identifier.Scope) fault { return fault{late: late} })
		}
	}
	late := maxFlight - 100*time.Millisecond
	tests := []struct {
		name   string
		before func(w *world)
		// at is when something happens, in the time after the start; the first claim is sent after startDelay.
		at    time.Duration
		bring func(w *world)
	}{
		{name: "first claim is lost", before: storeFaults(fault{lose: true})},
		{name: "first claim is appended late", before: storeFaults(fault{late: 700 * time.Millisecond})},
		{name: "first claim is appended after another one", before: storeFaults(fault{late: 2 * time.Second})},
		{name: "first claims are appended late", before: storeFaults(
			fault{late: 2500 * time.Millisecond}, fault{late: 2600 * time.Millisecond}, fault{late: 2700 * time.Millisecond},
		)},
		{
			name: "first claim is appended late and its claimant killed", before: storeFaults(fault{late: 2 * time.Second}),
			at: startDelay + time.Second, bring: func(w *world) { w.kill(w.order[0]); w.start(w.order[0]) },
		},
		{
			name: "first holder is killed, its calls are carried out late", before: callsLate(late),
			at: startDelay + 400*time.Millisecond, bring: func(w *world) { w.kill(w.order[0]) },
		},
		{
			name: "all are killed, calls are carried out late", before: callsLate(late),
			at: startDelay + 400*time.Millisecond, bring: func(w *world) { w.killAll(100 * time.Millisecond) },
		},
		{
			name: "store returns empty between read and claim", before: callsLate(late),
			at: startDelay + 3*time.Millisecond, bring: func(w *world) { w.restore(100) },
		},
		{
			name: "store returns empty after the first calls", before: callsLate(late),
			at: startDelay + 500*time.Millisecond, bring: func(w *world) { w.restore(100) },
		},
		{
			name: "store returns empty, all are killed", before: callsLate(late),
			at: startDelay + 500*time.Millisecond, bring: func(w *world) { w.restore(100); w.killAll(100 * time.Millisecond) },
		},
		{
			name: "claimant stands still between read and claim", at: startDelay + 3*time.Millisecond,
			bring: func(w *world) { w.freeze(w.order[0], 6*time.Second) },
		},
		{
			name: "first holder stands still", before: callsLate(late), at: startDelay + 300*time.Millisecond,
			bring: func(w *world) { w.freeze(w.order[0], 6*time.Second) },
		},
		{
			name: "first holder is cut off", before: callsLate(late), at: startDelay + 300*time.Millisecond,
			bring: func(w *world) { w.cut(w.order[0], true) },
		},
	}
	for _, test := range tests {
		for _, enforced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/%v", test.name, enforced), func(t *testing.T) {
				var w *world
				synctest.Test(t, func(t *testing.T) {
					w = newWorld(t, enforced, nil)
					if test.before != nil {
						test.before(w)
					}
					if test.bring != nil {
						time.Sleep(test.at)
						// Only calls from before are carried out late.
						w.setCallFault(nil)
						test.bring(w)
					}
					time.Sleep(10 * time.Second)
					w.setStoreFault(nil)
					time.Sleep(20 * time.Second)
					w.end()
					time.Sleep(20 * time.Second)
				})
				require.Empty(t, w.violations)
				require.NotEmpty(t, w.calls)
			})
		}
	}
}

func TestRandomFailuresFromTheFirstStart(t *testing.T) {
	for seed := range randomRunCount(t) {
		for _, enforced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d/%v", seed, enforced), func(t *testing.T) {
				var w *world
				synctest.Test(t, func(t *testing.T) {
					w = newWorld(t, enforced, nil)
					r := rand.New(rand.NewPCG(seed, 3938))
					time.Sleep(time.Duration(r.Int64N(int64(2 * time.Second))))
					w.disturb(r)
					time.Sleep(20 * time.Second)
					w.end()
					time.Sleep(20 * time.Second)
				})
				require.Empty(t, w.violations)
			})
		}
	}
}
