package sharer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

// demand is what an account asks for in each second, in seconds of engine time, in requests of an equal cost and level.
type demand struct {
	caller identifier.CallerID
	level  int
	asked  float64
	cost   time.Duration
}

// play serves demands with a capacity in engines, from a queue that is full after a tenth of a second's work. Requests beyond
// an account's share only get in while it is short. It returns what each account got in the second half, in engines.
func play(s *Sharer, started time.Time, seconds int, capacity float64, demands []demand) map[demand]float64 {
	const tick = 5 * time.Millisecond
	got := map[demand]float64{}
	debts := make([]float64, len(demands))
	ticks := seconds * int(time.Second/tick)
	full := capacity / 10
	room := full
	for i := range ticks {
		now := started.Add(time.Duration(i) * tick)
		room = min(room+capacity*tick.Seconds(), full)
		for j := range demands {
			d := demands[(i+j)%len(demands)]
			n := (i + j) % len(demands)
			for debts[n] += d.asked * tick.Seconds(); debts[n] >= d.cost.Seconds(); debts[n] -= d.cost.Seconds() {
				admitted := room >= d.cost.Seconds() && (room > 0.7*full || !s.Exceeds(now, d.caller, d.level))
				s.Record(now, d.caller, d.level, d.cost, admitted)
				if !admitted {
					continue
				}
				room -= d.cost.Seconds()
				if i >= ticks/2 {
					got[d] += d.cost.Seconds() / (float64(ticks/2) * tick.Seconds())
				}
			}
		}
	}
	return got
}

func TestSharesAreMaxMinFair(t *testing.T) {
	small := func(asked float64, cost time.Duration) []demand {
		var ds []demand
		for i := range 20 {
			ds = append(ds, demand{caller: identifier.CallerID(fmt.Sprint("small", i)), asked: asked, cost: cost})
		}
		return ds
	}
	for _, c := range []struct {
		name    string
		demands []demand
		// want is what the first account is to get, and rest what each other one is to get.
		want, rest float64
	}{
		{"room for all", append([]demand{{caller: "large", asked: 4, cost: 10 * time.Millisecond}}, small(0.2, 10*time.Millisecond)...), 4, 0.2},
		{"one account at ten times its share", append([]demand{{caller: "large", asked: 5, cost: 10 * time.Millisecond}}, small(0.4, 10*time.Millisecond)...), 2, 0.4},
		{"all ask for more than their share", append([]demand{{caller: "large", asked: 8, cost: 10 * time.Millisecond}}, small(1, 10*time.Millisecond)...), 10.0 / 21, 10.0 / 21},
		{"long prompts pay for what they take", append([]demand{{caller: "large", asked: 5, cost: 80 * time.Millisecond}}, small(0.4, 4*time.Millisecond)...), 2, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := play(NewSharer(), time.Now(), 12, 10, c.demands)
			require.InEpsilon(t, c.want, got[c.demands[0]], 0.15)
			for _, d := range c.demands[1:] {
				require.InEpsilon(t, c.rest, got[d], 0.15, d.caller)
			}
		})
	}
}

func TestLessUrgentRequestsOfAnAccountYieldFirst(t *testing.T) {
	urgent := demand{caller: "a", level: 0, asked: 1, cost: 5 * time.Millisecond}
	other := demand{caller: "a", level: 2, asked: 6, cost: 5 * time.Millisecond}
	second := demand{caller: "b", level: 2, asked: 6, cost: 5 * time.Millisecond}
	got := play(NewSharer(), time.Now(), 12, 4, []demand{urgent, other, second})
	require.InEpsilon(t, 1, got[urgent], 0.1)
	require.InEpsilon(t, 1, got[other], 0.25)
	require.InEpsilon(t, 2, got[second], 0.15)
}

// An instance that begins to decide knows nothing. After a second or so its shares are those of the one before it.
func TestNewDeciderKnowsTheSharesAfterAWindow(t *testing.T) {
	demands := []demand{
		{caller: "large", asked: 10, cost: 10 * time.Millisecond},
		{caller: "a", asked: 1, cost: 10 * time.Millisecond},
		{caller: "b", asked: 1, cost: 10 * time.Millisecond},
	}
	got := play(NewSharer(), time.Now(), 4, 4, demands)
	require.InEpsilon(t, 2, got[demands[0]], 0.2)
	require.InEpsilon(t, 1, got[demands[1]], 0.2)
}

func TestRefusedRequestsReturnOneAfterTheOther(t *testing.T) {
	now := time.Now()
	s := NewSharer()
	for i := range 100 {
		s.Record(now, "large", 0, 20*time.Millisecond, i%2 == 0)
		s.Record(now, "small", 0, time.Millisecond, true)
	}
	now = now.Add(interval)
	last := time.Duration(0)
	for range 5 {
		wait := s.Reserve(now, "large", 20*time.Millisecond)
		require.Greater(t, wait, last)
		last = wait
	}
	require.Less(t, s.Reserve(now, "small", time.Millisecond), last)
	require.LessOrEqual(t, s.Reserve(now, "large", time.Hour), idleAfter)
}

func TestIdleAccountsAreDropped(t *testing.T) {
	now := time.Now()
	s := NewSharer()
	for i := range 44_000 {
		s.Record(now, identifier.CallerID(fmt.Sprint(i)), 0, time.Millisecond, true)
		require.LessOrEqual(t, len(s.accounts), maxAccounts)
	}
	require.False(t, s.Exceeds(now, "not kept", 0))
	now = now.Add(idleAfter + time.Second)
	s.Record(now, "active", 0, time.Millisecond, true)
	largest, limit := s.Shares(now, 10)
	require.Len(t, largest, 1)
	require.True(t, math.IsInf(limit, 1))
}

func BenchmarkDecision(b *testing.B) {
	now := time.Now()
	s := NewSharer()
	for i := range maxAccounts {
		s.Record(now, identifier.CallerID(fmt.Sprint(i)), 0, time.Millisecond, i%2 == 0)
	}
	i := 0
	for b.Loop() {
		i++
		// A thousand requests in a second.
		at := now.Add(time.Duration(i) * time.Millisecond % idleAfter)
		caller := identifier.CallerID(fmt.Sprint(i % maxAccounts))
		s.Record(at, caller, 0, time.Millisecond, !s.Exceeds(at, caller, 0))
	}
}
