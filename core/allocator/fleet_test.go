package allocator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// fleet plays a load against an allocator: engines that prefill one prompt after the other, those of requests in time
// first, and callers that come back once after a refusal.
type fleet struct {
	agenda
	a       *Allocator
	engines map[identifier.UpstreamID]*engine
	random  *rand.Rand
	// before plays the rules without learnt speeds and deferral.
	before bool
	got    map[string]*tally
}

// tally is what callers of one kind got.
type tally struct{ asked, inAim, served, refused int }

func (t *tally) inAimShare() float64  { return float64(t.inAim) / float64(t.asked) }
func (t *tally) servedShare() float64 { return float64(t.served) / float64(t.asked) }

type engine struct {
	entry tracker.Entry
	// slowness is how long the engine takes relative to the usual one.
	slowness float64
	busy     bool
	crashed  bool
	waiting  [2][]prefill
}

type prefill struct {
	took time.Duration
	done func()
}

type step struct {
	at time.Time
	do func()
}

// agenda holds what is still to be done, in the order of its times, and the time.
type agenda struct {
	now   time.Time
	steps []step
}

// after has something done after a wait.
func (a *agenda) after(wait time.Duration, do func()) {
	s := step{at: a.now.Add(wait), do: do}
	i, _ := slices.BinarySearchFunc(a.steps, s, func(x, y step) int { return x.at.Compare(y.at) })
	a.steps = slices.Insert(a.steps, i, s)
}

// next does the next step. It returns false if there is none.
func (a *agenda) next() bool {
	if len(a.steps) == 0 {
		return false
	}
	s := a.steps[0]
	a.steps = a.steps[1:]
	a.now = s.at
	s.do()
	return true
}

// newFleet returns a fleet of 12 engines that decode and 5 that prefill; slowness is that of each one.
func newFleet(t *testing.T, before bool, slots int, slowness func(i int) float64) *fleet {
	t.Helper()
	f := &fleet{
		agenda: agenda{now: time.Now()}, a: newTestAllocator(12, 5), engines: map[identifier.UpstreamID]*engine{},
		random: rand.New(rand.NewPCG(1, 2)), before: before,
		got: map[string]*tally{"check": {}, "reply": {}},
	}
	entries := f.a.entries()
	for i := range entries {
		entries[i].Slots = slots
		number := 0
		_, err := fmt.Sscanf(string(entries[i].Upstream), "u%d", &number)
		require.NoError(t, err)
		f.engines[entries[i].Upstream] = &engine{entry: entries[i], slowness: slowness(number)}
	}
	f.a.SetUpstreams(entries)
	return f
}

func (f *fleet) run() {
	for f.agenda.next() {
		if f.before {
			clear(f.a.speeds)
		}
	}
}

// load has requests of a kind arrive for a time, rate(at) per second.
func (f *fleet) load(length time.Duration, rate func(at time.Duration) float64, arrive func(i int)) {
	for at := time.Duration(0); at < length; {
		at += time.Duration(f.random.ExpFloat64() / rate(at) * float64(time.Second))
		f.after(at, func() { arrive(f.got["check"].asked + f.got["reply"].asked) })
	}
}

// prefillAt has an engine prefill a prompt.
func (f *fleet) prefillAt(e *engine, took time.Duration, deferred bool, done func()) {
	lane := 0
	if deferred {
		lane = 1
	}
	e.waiting[lane] = append(e.waiting[lane], prefill{time.Duration(e.slowness * float64(took)), done})
	f.next(e)
}

func (f *fleet) next(e *engine) {
	for lane := range e.waiting {
		if e.busy || len(e.waiting[lane]) == 0 {
			continue
		}
		p := e.waiting[lane][0]
		e.waiting[lane] = e.waiting[lane][1:]
		e.busy = true
		f.after(p.took, func() {
			if e.crashed {
				return
			}
			e.busy = false
			p.done()
			f.next(e)
		})
	}
}

const (
	testTarget   = 200 * time.Millisecond
	testDeadline = 2 * time.Second
	testGap      = 70 * time.Millisecond
	pauseTarget  = 100 * time.Millisecond
	replyEvents  = 40
)

// check is a request with a long prompt and a short answer.
func (f *fleet) check(number int) {
	f.got["check"].asked++
	f.try("check", f.now, unsharedRequest(number, identifier.Tokens(1500+f.random.IntN(5000))))
}

// reply is a request with a short prompt and a long answer.
func (f *fleet) reply(number int) {
	f.got["reply"].asked++
	req := unsharedRequest(-number, 200)
	req.Output = 3000
	f.try("reply", f.now, req)
}

func (f *fleet) try(kind string, began time.Time, req Request) {
	req.Target, req.TimeToDeadline = testTarget, began.Add(testDeadline).Sub(f.now)
	req.TimeToTarget = began.Add(testTarget).Sub(f.now)
	if req.Returned {
		req.TimeToTarget = 0
	}
	place, refusal := f.a.Place(f.now, req)
	if f.before && (refusal != nil || place.Deferred) {
		if place.Prefiller != "" {
			f.a.PrefillEnded(f.now, &place, OutcomeCancelled)
		}
		f.a.Ended(f.now, time.Time{}, place, OutcomeCancelled)
		refusal = &Refusal{RetryAfter: time.Second}
	}
	if refusal != nil {
		if req.Returned {
			f.got[kind].refused++
		} else {
			req.Returned = true
			f.after(min(refusal.RetryAfter, req.TimeToDeadline/3), func() { f.try(kind, began, req) })
		}
		return
	}
	runner, sent := f.engines[place.Upstream], f.now
	begin := func() {
		first := f.now
		f.a.FirstEventArrived(f.now, sent, &place)
		if !place.Long {
			f.end(kind, began, first, 0)
			f.a.Ended(f.now, sent, place, OutcomeCompleted)
			return
		}
		gap := time.Duration(runner.slowness * float64(testGap))
		for i := 1; i <= replyEvents; i++ {
			f.after(time.Duration(i)*gap, func() {
				if runner.crashed {
					return
				}
				if i%10 == 0 {
					f.a.Progressed(f.now, place, 10, 10*gap)
				}
				if i == replyEvents {
					f.end(kind, began, first, gap)
					f.a.Ended(f.now, sent, place, OutcomeCompleted)
				}
			})
		}
	}
	if place.Prefiller == "" {
		f.prefillAt(runner, 4*time.Millisecond+time.Duration(place.Tokens)*time.Microsecond*10, place.Deferred, begin)
		return
	}
	took := 4*time.Millisecond + time.Duration(place.Tokens)*time.Microsecond*4
	f.prefillAt(f.engines[place.Prefiller], took, place.Deferred, func() {
		f.a.PrefillEnded(f.now, &place, OutcomeCompleted)
		sent = f.now
		f.after(5*time.Millisecond, begin)
	})
}

// end counts an answer whose first event came at a time, with pauses of a length.
func (f *fleet) end(kind string, began, first time.Time, pause time.Duration) {
	if first.Sub(began) <= testDeadline {
		f.got[kind].served++
		if first.Sub(began) <= testTarget && pause <= pauseTarget {
			f.got[kind].inAim++
		}
	}
}

const (
	playLength = 20 * time.Second
	wideSlots  = 32
)

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// Each load is played under the rules without learnt speeds and deferral, and under the present ones.
func TestCallersOfAnUnevenFleet(t *testing.T) {
	quickQuarter := func(i int) float64 {
		if i%4 == 0 {
			return 0.7
		}
		return 1.5
	}
	wave := func(mean, swing float64, period, phase time.Duration) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			return mean * (1 + swing*math.Sin(2*math.Pi*float64(at+phase)/float64(period)))
		}
	}
	turn := func(low, high float64, first bool) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if (int(at/(2800*time.Millisecond))%2 == 0) == first {
				return high
			}
			return low
		}
	}
	for _, c := range []struct {
		name            string
		checks, replies func(at time.Duration) float64
		// crashAt is when a third of the engines crash; zero if none do.
		crashAt time.Duration
		// servedChecks and inAimReplies are the shares that callers need.
		servedChecks, inAimReplies float64
	}{
		{"a quarter twice as quick", steady(150), steady(15), 0, 0.99, 0.75},
		{"a wave of demand", wave(150, 0.55, 6*time.Second, 0), wave(12, 0.55, 6*time.Second, 3*time.Second), 0, 0.99, 0.75},
		{"a turn of the mix", turn(80, 320, true), turn(6, 20, false), 0, 0.99, 0.75},
		{"a crash at the peak", wave(180, 0.4, 6*time.Second, 0), steady(8), 7 * time.Second, 0.98, 0.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			var results [2]map[string]*tally
			for i, before := range []bool{true, false} {
				f := newFleet(t, before, wideSlots, quickQuarter)
				f.load(playLength, c.checks, f.check)
				f.load(playLength, c.replies, f.reply)
				if c.crashAt > 0 {
					f.after(c.crashAt, f.crashThird)
				}
				f.run()
				results[i] = f.got
				for kind, g := range f.got {
					t.Logf("before %t, %s: %d asked, %.3f in aim, %.3f served, %d refused twice",
						before, kind, g.asked, g.inAimShare(), g.servedShare(), g.refused)
				}
			}
			before, now := results[0], results[1]
			require.GreaterOrEqual(t, now["check"].servedShare(), c.servedChecks)
			require.GreaterOrEqual(t, now["reply"].inAimShare(), c.inAimReplies)
			require.GreaterOrEqual(t, now["check"].inAimShare(), before["check"].inAimShare())
			require.Greater(t, now["reply"].inAimShare(), before["reply"].inAimShare())
		})
	}
}

// The mix turns from long prompts to long answers soon after a start, before any engine has decoded many of those.
func TestFirstRepliesGoToQuickEngines(t *testing.T) {
	f := newFleet(t, false, wideSlots, func(i int) float64 {
		if i%4 == 0 {
			return 0.7
		}
		return 1.5
	})
	const turnAt = 3 * time.Second
	f.load(turnAt, steady(400), f.check)
	f.after(turnAt, func() {
		f.load(turnAt, steady(100), f.check)
		f.load(turnAt, steady(20), f.reply)
	})
	f.run()
	for kind, g := range f.got {
		t.Logf("%s: %d asked, %.3f in aim, %.3f served", kind, g.asked, g.inAimShare(), g.servedShare())
	}
	require.GreaterOrEqual(t, f.got["reply"].inAimShare(), 0.85)
}

// crashThird takes every third engine off the list; their requests are lost.
func (f *fleet) crashThird() {
	var left []tracker.Entry
	for id, e := range f.engines {
		if e.crashed = int(id[len(id)-1]-'0')%3 == 0; !e.crashed {
			left = append(left, e.entry)
		}
	}
	f.a.SetUpstreams(left)
}
