package allocator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

const (
	plainService identifier.ServiceName = "plain"

	warmServers = 12
	warmSlots   = 6
	warmHold    = 20 * time.Millisecond
	warmTarget  = 120 * time.Millisecond
	// returnAt is when upstreams come back, watchTime how long callers are watched from then on.
	returnAt  = 2 * time.Second
	watchTime = 4 * time.Second
)

// warmFleet plays a plain service of which some upstreams come back under load. Answers take longer at a cold one, and
// much longer if it runs several at once.
type warmFleet struct {
	agenda
	a       *Allocator
	started time.Time
	random  *rand.Rand
	running map[identifier.UpstreamID]int
	served  map[identifier.UpstreamID]int
	queues  map[identifier.UpstreamID][]func()
	// cold is how many answers a returned upstream needs until it is warm, slowness how long it takes for good relative to
	// the others; fails has it fail each request.
	cold     int
	slowness float64
	fails    bool
	trials   bool
	returned map[identifier.UpstreamID]bool
	got      tally
	failed   int
}

func newWarmFleet(trials bool) *warmFleet {
	f := &warmFleet{
		a: NewAllocator(DefaultSettings(), "here"), agenda: agenda{now: time.Now()}, random: rand.New(rand.NewPCG(3, 4)),
		running: map[identifier.UpstreamID]int{}, served: map[identifier.UpstreamID]int{},
		queues:   map[identifier.UpstreamID][]func(){},
		returned: map[identifier.UpstreamID]bool{}, slowness: 1, trials: trials,
	}
	f.started = f.now
	return f
}

// list lists the upstreams; those from number first on are returned ones of another incarnation.
func (f *warmFleet) list(count, first int, incarnation uint64) {
	var entries []tracker.Entry
	for i := range count {
		e := tracker.Entry{
			Upstream: identifier.UpstreamID(fmt.Sprintf("u%02d", i)), Service: plainService, Slots: warmSlots, DataCentre: "here",
			Incarnation: 1,
		}
		if i >= first {
			e.Incarnation = incarnation
			f.returned[e.Upstream] = true
		}
		entries = append(entries, e)
	}
	f.a.SetUpstreams(entries)
	if f.trials {
		f.a.BeginTrials(f.now)
	}
}

func (f *warmFleet) run(perSecond float64) {
	for at := time.Duration(0); at < returnAt+watchTime; {
		at += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
		f.after(at, func() { f.send(f.now) })
	}
	for f.next() {
		continue
	}
}

// send sends a request; one that fails is sent once more.
func (f *warmFleet) send(began time.Time) {
	watched := f.now.Sub(f.started) >= returnAt
	if watched {
		f.got.asked++
	}
	f.try(began, watched, nil)
}

func (f *warmFleet) try(began time.Time, watched bool, excluded []identifier.UpstreamID) {
	place, refusal := f.a.Place(f.now, Request{
		Service: plainService, Target: warmTarget, TimeToTarget: began.Add(warmTarget).Sub(f.now),
		TimeToDeadline: time.Second, Excluded: excluded, Repeatable: true, Rank: 1, RateShare: 1,
	})
	if refusal != nil {
		if watched {
			f.got.refused++
		}
		return
	}
	id, sent := place.Upstream, f.now
	f.enqueue(id, func() {
		f.finish(place, sent, began, watched, excluded)
	})
}

// enqueue runs a request at an upstream as soon as it has a free slot, and calls done at its end.
func (f *warmFleet) enqueue(id identifier.UpstreamID, done func()) {
	if f.running[id] >= warmSlots {
		f.queues[id] = append(f.queues[id], done)
		return
	}
	f.running[id]++
	hold := time.Duration((0.7 + 0.6*f.random.Float64()) * float64(warmHold))
	if f.returned[id] {
		coldness := max(0, float64(f.cold-f.served[id]))
		hold = time.Duration(float64(hold) * f.slowness * (1 + coldness/10*float64(f.running[id]-1)))
	}
	f.after(hold, func() {
		f.running[id]--
		f.served[id]++
		done()
		if queue := f.queues[id]; len(queue) > 0 {
			f.queues[id] = queue[1:]
			f.enqueue(id, queue[0])
		}
	})
}

// finish records the end of a request at an upstream.
func (f *warmFleet) finish(
	place Placement, sent, began time.Time, watched bool, excluded []identifier.UpstreamID,
) {
	id := place.Upstream
	if f.fails && f.returned[id] {
		f.failed++
		f.a.Ended(f.now, sent, place, OutcomeFailed)
		if excluded == nil {
			f.try(began, watched, []identifier.UpstreamID{id})
		}
		return
	}
	f.a.Ended(f.now, sent, place, OutcomeCompleted)
	if watched && f.now.Sub(began) <= warmTarget {
		f.got.inAim++
	}
}

// used returns how many requests the returned upstreams have run.
func (f *warmFleet) used() int {
	total := 0
	for id := range f.returned {
		total += f.served[id]
	}
	return total
}

func TestOpenLoadIsMeasuredOnceInAWhile(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(4, 0)
	require.Zero(t, a.openLoadOf(now, model))
	loads := Loads{}
	for _, e := range a.entries() {
		loads[e.Upstream] = Load{Short: 3, Long: 1}
	}
	a.UpdatePeer(now, "other", model, loads, 1)
	require.Zero(t, a.openLoadOf(now.Add(openLoadAge-time.Millisecond), model))
	require.Equal(t, 4, a.openLoadOf(now.Add(openLoadAge), model))
}

// Each return is played without trials, as before, and with them.
func TestCallersWhileUpstreamsReturn(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		play      func(f *warmFleet)
		check     func(t *testing.T, before, now *warmFleet)
	}{
		{
			name: "a third returns cold", perSecond: 3200,
			play: func(f *warmFleet) {
				f.cold = 40
				f.list(warmServers-4, warmServers, 1)
				f.after(returnAt, func() { f.list(warmServers, warmServers-4, 2) })
			},
			check: func(t *testing.T, before, now *warmFleet) {
				require.Greater(t, now.got.inAimShare(), before.got.inAimShare())
				require.GreaterOrEqual(t, now.got.inAimShare(), 0.9)
				require.Less(t, now.got.refused, before.got.refused)
				require.Greater(t, now.used(), before.used())
			},
		},
		{
			name: "one is slow for good", perSecond: 3600,
			play: func(f *warmFleet) {
				f.slowness = 3
				f.list(warmServers-1, warmServers, 1)
				f.after(returnAt, func() { f.list(warmServers, warmServers-1, 2) })
			},
			check: func(t *testing.T, before, now *warmFleet) {
				// It is compared with itself, so it isn't left idle.
				require.Greater(t, now.used(), before.used()*9/10)
				require.GreaterOrEqual(t, now.got.inAimShare(), before.got.inAimShare()-0.01)
			},
		},
		{
			name: "one fails all requests", perSecond: 3400,
			play: func(f *warmFleet) {
				f.fails = true
				f.list(warmServers-1, warmServers, 1)
				f.after(returnAt, func() { f.list(warmServers, warmServers-1, 2) })
			},
			check: func(t *testing.T, before, now *warmFleet) {
				require.Less(t, now.failed, before.failed)
				require.GreaterOrEqual(t, now.got.inAimShare(), before.got.inAimShare())
			},
		},
		{
			name: "all return", perSecond: 3400,
			play: func(f *warmFleet) {
				f.list(warmServers, warmServers, 1)
				f.after(returnAt, func() { f.list(warmServers, 0, 2) })
			},
			check: func(t *testing.T, before, now *warmFleet) {
				// Nobody is better, so nobody is held back.
				require.Equal(t, before.got, now.got)
			},
		},
		{
			name: "a third returns and is gone again", perSecond: 3000,
			play: func(f *warmFleet) {
				f.cold = 40
				f.list(warmServers-4, warmServers, 1)
				f.after(returnAt, func() { f.list(warmServers, warmServers-4, 2) })
				f.after(returnAt+300*time.Millisecond, func() { f.list(warmServers-4, warmServers, 1) })
				f.after(returnAt+900*time.Millisecond, func() { f.list(warmServers, warmServers-4, 3) })
			},
			check: func(t *testing.T, before, now *warmFleet) {
				require.GreaterOrEqual(t, now.got.inAimShare(), before.got.inAimShare())
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var results [2]*warmFleet
			for i, trials := range []bool{false, true} {
				f := newWarmFleet(trials)
				c.play(f)
				f.run(c.perSecond)
				results[i] = f
				t.Logf("trials %t: %d asked, %.4f in aim, %d refused, %d failed there, %d run there", trials, f.got.asked,
					f.got.inAimShare(), f.got.refused, f.failed, f.used())
			}
			c.check(t, results[0], results[1])
		})
	}
}
