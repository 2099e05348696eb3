package steward

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/meterer"
	"rosemaryspool.example/platform"
)

// disturb brings random failures about, one each second or two, for a minute.
func (w *world) disturb(r *rand.Rand) {
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(r.Int64N(int64(b-a))) }
	for range 40 {
		id := w.order[r.IntN(len(w.order))]
		if h := w.holder(); h != "" && r.IntN(2) == 0 {
			id = h
		}
		chance, late := r.IntN(4), between(time.Second, maxFlight-100*time.Millisecond)
		switch r.IntN(9) {
		case 0:
			w.kill(id)
			time.Sleep(between(200*time.Millisecond, 2*time.Second))
			w.start(id)
		case 1:
			w.freeze(id, between(500*time.Millisecond, 9*time.Second))
		case 2:
			w.cut(id, true)
			time.AfterFunc(between(time.Second, 9*time.Second), func() { w.cut(id, false) })
		case 3:
			w.setStoreFault(func(identifier.InstanceID, bool) fault { return fault{lose: true} })
			time.AfterFunc(between(time.Second, 5*time.Second), func() { w.setStoreFault(nil) })
		case 4:
			n := 0
			w.setStoreFault(func(_ identifier.InstanceID, write bool) fault {
				if n++; write && n%4 == chance {
					return fault{late: late}
				}
				return fault{}
			})
			time.AfterFunc(between(time.Second, 9*time.Second), func() { w.setStoreFault(nil) })
		case 5:
			n := 0
			w.setCallFault(func(identifier.InstanceID, identifier.Scope) fault {
				if n++; n%4 == chance {
					return fault{late: late}
				}
				return fault{}
			})
			time.AfterFunc(between(time.Second, 9*time.Second), func() { w.setCallFault(nil) })
		case 6:
			w.restore(r.IntN(6))
		case 7:
			w.setStoreFault(func(i identifier.InstanceID, _ bool) fault { return fault{refuse: i == id} })
			time.AfterFunc(between(time.Second, 9*time.Second), func() { w.setStoreFault(nil) })
		case 8:
			w.node(id).steward.Leave()
			time.Sleep(between(time.Second, 3*time.Second))
			w.kill(id)
			w.start(id)
		}
		time.Sleep(between(200*time.Millisecond, 3*time.Second))
	}
}

func (w *world) cut(id identifier.InstanceID, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[id].cut = cut
}

// randomRuns is how many runs there are without STEWARD_RUNS.
const randomRuns = 6

func randomRunCount(t *testing.T) uint64 {
	text := os.Getenv("STEWARD_RUNS")
	if text == "" {
		return randomRuns
	}
	runs, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return runs
}

func TestRandomFailures(t *testing.T) {
	for seed := range randomRunCount(t) {
		for _, enforced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d/%v", seed, enforced), func(t *testing.T) {
				var w *world
				synctest.Test(t, func(t *testing.T) {
					w = newWorld(t, enforced, nil)
					time.Sleep(settled)
					w.disturb(rand.New(rand.NewPCG(seed, 39)))
					time.Sleep(40 * time.Second)
					missing, off := w.missing(time.Now().Add(-20*time.Second), time.Now().Add(-12*time.Second))
					w.lost = len(missing) + len(off)
					w.end()
					time.Sleep(20 * time.Second)
				})
				require.Empty(t, w.violations)
				require.Zero(t, w.lost, "reports are back")
			})
		}
	}
}

func TestUsageBearsAWrongClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true, func(s *Steward) {
			if id := s.peers.Self().Instance; id == "i0" || id == "i3" {
				s.clock = meterer.NewClock(time.Now().Add(4*time.Second), s.elapsed())
			}
		})
		time.Sleep(settled)
		from := time.Now()
		time.Sleep(30 * time.Second)
		missing, off := w.missing(from, time.Now().Add(-12*time.Second))
		require.Empty(t, missing)
		require.Empty(t, off)
		w.end()
		time.Sleep(20 * time.Second)
	})
}

func TestOthersHoldADutyWhenAllCandidatesAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldOf(t, platform.DutySettings{
			OrdersServers: true, LeaseDuration: 3 * time.Second,
		}, nil)
		time.Sleep(settled)
		for _, id := range w.order[:Candidates] {
			w.kill(id)
		}
		time.Sleep(30 * time.Second)
		holder := w.holder()
		w.end()
		time.Sleep(20 * time.Second)
		require.Contains(t, w.order[Candidates:], holder)
		require.Empty(t, w.violations)
	})
}
