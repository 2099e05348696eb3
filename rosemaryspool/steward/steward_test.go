package steward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/meterer"
)

// settled is how long a system needs from its start to its first reports.
const settled = 15 * time.Second

// scenario brings one failure about in a system that reports.
type scenario struct {
	name  string
	bring func(w *world, holder identifier.InstanceID)
	// mayMiss is the most windows of one second that may be missed or off where fences are checked; where they aren't,
	// the successor's wait adds to it.
	mayMiss int
}

var scenarios = []scenario{
	{"nothing", func(*world, identifier.InstanceID) {}, 0},
	{"holder killed", func(w *world, h identifier.InstanceID) { w.kill(h) }, 2},
	{"holder killed between intent and call", func(w *world, h identifier.InstanceID) {
		killed := false
		w.setCallFault(func(id identifier.InstanceID, _ identifier.Scope) fault {
			if id != h || killed {
				return fault{}
			}
			killed = true
			w.nodes[h].stop()
			return fault{lose: true}
		})
	}, 2},
	{"holder killed after its call, which is carried out late", func(w *world, h identifier.InstanceID) {
		killed := false
		w.setCallFault(func(id identifier.InstanceID, _ identifier.Scope) fault {
			if id != h || killed {
				return fault{}
			}
			killed = true
			w.nodes[h].stop()
			return fault{late: maxFlight - 100*time.Millisecond}
		})
	}, 2},
	{"holder killed and started again", func(w *world, h identifier.InstanceID) {
		w.kill(h)
		time.Sleep(300 * time.Millisecond)
		w.start(h)
	}, 2},
	{"planned stop of the holder and start", func(w *world, h identifier.InstanceID) {
		w.node(h).steward.Leave()
		time.Sleep(2 * time.Second)
		w.node(h).steward.Flush()
		time.Sleep(2 * time.Millisecond)
		w.kill(h)
		time.Sleep(300 * time.Millisecond)
		w.start(h)
	}, 2},
	{"all killed and started again", func(w *world, _ identifier.InstanceID) {
		for _, id := range w.order {
			w.kill(id)
		}
		time.Sleep(300 * time.Millisecond)
		for _, id := range w.order {
			w.start(id)
		}
	}, 4},
	{"holder frozen", func(w *world, h identifier.InstanceID) { w.freeze(h, 9*time.Second) }, 10},
	{"holder cut off", func(w *world, h identifier.InstanceID) {
		w.cut(h, true)
		time.Sleep(10 * time.Second)
		w.cut(h, false)
	}, 14},
	{"store answers nothing for a while", func(w *world, _ identifier.InstanceID) {
		w.setStoreFault(func(identifier.InstanceID, bool) fault { return fault{lose: true} })
		time.Sleep(5 * time.Second)
		w.setStoreFault(nil)
	}, 2},
	{"holder refused by the store", func(w *world, h identifier.InstanceID) {
		w.setStoreFault(func(id identifier.InstanceID, _ bool) fault { return fault{refuse: id == h} })
		time.Sleep(10 * time.Second)
		w.setStoreFault(nil)
	}, 2},
	{"appends done late", func(w *world, _ identifier.InstanceID) {
		n := 0
		w.setStoreFault(func(_ identifier.InstanceID, write bool) fault {
			n++
			if write && n%3 == 0 {
				return fault{late: time.Duration(1+n%5) * time.Second}
			}
			return fault{}
		})
		time.Sleep(15 * time.Second)
		w.setStoreFault(nil)
	}, 4},
	{"reports carried out late", func(w *world, _ identifier.InstanceID) {
		n := 0
		w.setCallFault(func(identifier.InstanceID, identifier.Scope) fault {
			n++
			if n%3 == 0 {
				return fault{late: time.Duration(1+n%4) * time.Second}
			}
			return fault{}
		})
		time.Sleep(15 * time.Second)
		w.setCallFault(nil)
	}, 2},
	{"store returns from an older copy", func(w *world, _ identifier.InstanceID) { w.restore(4) }, 4},
	{"store returns twice, holder killed", func(w *world, h identifier.InstanceID) {
		w.restore(3)
		time.Sleep(time.Second)
		w.restore(1)
		w.kill(h)
	}, 10},
}

func (w *world) setStoreFault(f func(identifier.InstanceID, bool) fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeFault = f
}

func (w *world) setCallFault(f func(identifier.InstanceID, identifier.Scope) fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callFault = f
}

// play runs a scenario and returns the world after it.
func play(t *testing.T, s scenario, enforced bool, breakWorld func(*world), breakIt func(*Steward)) (w *world) {
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(t, enforced, breakIt)
		if breakWorld != nil {
			w.mu.Lock()
			breakWorld(w)
			w.mu.Unlock()
		}
		time.Sleep(settled)
		holder := w.holder()
		require.NotEmpty(t, holder)
		before := time.Now()
		s.bring(w, holder)
		time.Sleep(40 * time.Second)
		missing, off := w.missing(before.Add(-5*time.Second), time.Now().Add(-12*time.Second))
		w.lost = len(missing) + len(off)
		t.Logf("%s: missing %v, off %v, calls %d", s.name, missing, off, len(w.calls))
		w.end()
		time.Sleep(20 * time.Second)
	})
	return w
}

func TestOneHolderAtATime(t *testing.T) {
	for _, enforced := range []bool{true, false} {
		for _, s := range scenarios {
			t.Run(s.name, func(t *testing.T) {
				w := play(t, s, enforced, nil, nil)
				require.Empty(t, w.violations)
				allowed := s.mayMiss
				if !enforced && allowed > 0 {
					allowed += int(2 * maxFlight / time.Second)
				}
				require.LessOrEqual(t, w.lost, allowed)
			})
		}
	}
}

// TestBrokenSafeguardsAreSeen breaks one safeguard at a time and expects the platform's check to see it.
func TestBrokenSafeguardsAreSeen(t *testing.T) {
	frozenAndCut := scenario{name: "holder frozen, then cut from the store", bring: func(w *world, h identifier.InstanceID) {
		w.setCallFault(func(id identifier.InstanceID, _ identifier.Scope) fault { return fault{lose: id == h} })
		time.Sleep(2 * time.Second)
		w.setStoreFault(func(id identifier.InstanceID, _ bool) fault { return fault{lose: id == h} })
		w.freeze(h, 12*time.Second)
		time.Sleep(11 * time.Second)
		w.setCallFault(nil)
		time.Sleep(9 * time.Second)
		w.setStoreFault(nil)
	}}
	returns := scenario{name: "holder returns after another", bring: func(w *world, h identifier.InstanceID) {
		began := time.Now()
		w.setCallFault(func(id identifier.InstanceID, _ identifier.Scope) fault {
			arrives := 6 * time.Second
			if id != h {
				arrives = 6500 * time.Millisecond
			}
			return fault{late: max(0, arrives-time.Since(began))}
		})
		w.setStoreFault(func(id identifier.InstanceID, write bool) fault { return fault{refuse: id == h && write} })
		time.Sleep(4300 * time.Millisecond)
		// No third instance comes between.
		w.setStoreFault(func(id identifier.InstanceID, write bool) fault { return fault{refuse: id != h && write} })
		w.kill(w.order[1])
		time.Sleep(2200 * time.Millisecond)
		w.setCallFault(nil)
		time.Sleep(10 * time.Second)
		w.setStoreFault(nil)
	}}
	cases := []struct {
		name       string
		scenario   scenario
		enforced   bool
		breakWorld func(*world)
		breakIt    func(*Steward)
	}{
		{
			"successor doesn't wait for calls under way", scenario{bring: func(w *world, h identifier.InstanceID) {
				w.setCallFault(func(id identifier.InstanceID, _ identifier.Scope) fault {
					if id == h {
						return fault{late: maxFlight - 100*time.Millisecond}
					}
					return fault{}
				})
				time.Sleep(3 * time.Second)
				w.kill(h)
			}}, false, nil, func(s *Steward) {
				s.permitter = leaser.NewPermitter(leaser.PermitSettings{ReturnTime: returnTime}, s.now())
			},
		},
		{"holder returns at once", returns, true, nil, func(s *Steward) {
			s.permitter = leaser.NewPermitter(leaser.PermitSettings{ReturnTime: returnTime}, s.now())
		}},
		{"reports are not recorded", scenario{bring: func(w *world, h identifier.InstanceID) {
			// Counts that no report contained arrive late.
			late := w.node(w.order[len(w.order)-1]).steward
			late.mu.Lock()
			late.counter.Count(meterer.WindowAt(time.Now().Add(-4*time.Second), time.Second), "account")
			late.mu.Unlock()
			w.kill(h)
		}}, true, func(w *world) { w.dropIntents = true }, nil},
		{"offsets count across eras", scenario{bring: func(w *world, h identifier.InstanceID) {
			w.kill(h)
			time.Sleep(10 * time.Second)
			// The copy lacks the successor's claim.
			w.restore(30)
		}}, false, func(w *world) { w.sameEra = true }, nil},
		{"empty copy counts as a new store", scenario{bring: func(w *world, h identifier.InstanceID) {
			w.kill(h)
			time.Sleep(10 * time.Second)
			w.restore(1000)
			w.killAll(100 * time.Millisecond)
		}}, false, func(w *world) { w.sameEra = true }, nil},
		{"clock stands still while the machine does", frozenAndCut, false, nil, func(s *Steward) {
			elapsed, c := s.elapsed, s.store.(*client)
			var standstill time.Duration
			s.elapsed = func() time.Duration {
				c.world.mu.Lock()
				defer c.world.mu.Unlock()
				if !c.node.frozenUntil.IsZero() {
					standstill = 12*time.Second - max(0, time.Until(c.node.frozenUntil))
				}
				return elapsed() - standstill
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.NotEmpty(t, play(t, c.scenario, c.enforced, c.breakWorld, c.breakIt).violations)
			require.Empty(t, play(t, c.scenario, c.enforced, nil, nil).violations, "whole")
		})
	}
}

func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true, nil)
		time.Sleep(settled)
		s := w.node(w.holder()).steward
		fence, until, held := s.Lease(ScopeScale)
		require.True(t, held)
		require.Greater(t, time.Until(until), time.Second)
		s.Refused(ScopeScale, fence.Token)
		_, _, held = s.Lease(ScopeScale)
		require.False(t, held)
		time.Sleep(10 * time.Second)
		newer, _, held := s.Lease(ScopeScale)
		require.True(t, held)
		require.Greater(t, newer.Token, fence.Token)
		w.end()
		time.Sleep(10 * time.Second)
	})
}
