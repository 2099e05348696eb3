package speedometer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

const count = 8

// play has each upstream measured ten times a second; ratio gives the time taken relative to the service's estimate.
func play(s *Speedometer, start time.Time, length time.Duration, ratio func(i int, at time.Duration) float64) time.Time {
	for at := time.Duration(0); at < length; at += 100 * time.Millisecond {
		for i := range count {
			s.Observe(start.Add(at), id(i), Prefill, ratio(i, at))
		}
	}
	return start.Add(length)
}

func id(i int) identifier.UpstreamID { return identifier.UpstreamID(fmt.Sprint("u", i)) }

func newTestSpeedometer() *Speedometer {
	s := NewSpeedometer()
	for i := range count {
		s.Add(id(i), Identity{Incarnation: 1, Version: "v1"})
	}
	return s
}

func TestSteadyIsToldFromWhatPasses(t *testing.T) {
	const half, whole = 2.0, 1.0
	for _, c := range []struct {
		name  string
		ratio func(i int, at time.Duration) float64
		class Class
		// now and later are the factors of the first upstream at the end and 10 s later.
		now, later float64
	}{
		{"even", func(int, time.Duration) float64 { return whole }, Usual, 1, 1},
		{"slow machine", func(i int, _ time.Duration) float64 {
			if i == 0 {
				return half
			}
			return whole
		}, Slow, 2, 2},
		{"quick machine", func(i int, _ time.Duration) float64 {
			if i == 0 {
				return 1 / half
			}
			return whole
		}, Quick, 0.5, 0.5},
		{"noisy neighbours", func(i int, at time.Duration) float64 {
			if int(at/(600*time.Millisecond))%7 == i%7 {
				return 2.5
			}
			return whole
		}, Usual, 1, 1},
		{"slow fault of 3 s", func(i int, at time.Duration) float64 {
			if i == 0 && at >= 17*time.Second {
				return 4
			}
			return whole
		}, Usual, 4, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSpeedometer()
			end := play(s, time.Now(), 20*time.Second, c.ratio)
			require.Equal(t, c.class, s.upstreams[id(0)].gauges[Prefill].class)
			require.InEpsilon(t, c.now, s.Factor(end, id(0), Prefill), 0.25)
			require.InEpsilon(t, c.later, s.Factor(end.Add(10*time.Second), id(0), Prefill), 0.1)
		})
	}
}

// A slow machine is known within a second and a half of work.
func TestSlowMachineIsSoonKnown(t *testing.T) {
	s := newTestSpeedometer()
	play(s, time.Now(), 1500*time.Millisecond, func(i int, _ time.Duration) float64 { return 1 + float64(i%4/3) })
	require.Equal(t, 2, s.Count(Prefill, Slow))
	require.Equal(t, count-2, s.Count(Prefill, Usual))
	require.Len(t, s.TakeChanges(), 2)
	require.Empty(t, s.TakeChanges())
}

func TestEngineIsPresumedToDecodeAsItPrefills(t *testing.T) {
	for _, c := range []struct {
		name     string
		prefills Work
		decodes  time.Duration
		steady   float64
	}{
		{"no long answers yet", MixedPrefill, 0, 0.5},
		{"few measurements of long answers", MixedPrefill, time.Second, 0.5},
		{"decodes at the usual speed", MixedPrefill, 10 * time.Second, 1},
		{"prefills for others", Prefill, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSpeedometer()
			start := time.Now()
			for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
				for i := range count {
					ratio := 1.0
					if i == 0 {
						ratio = 0.5
					}
					s.Observe(start.Add(at), id(i), c.prefills, ratio)
					if at < c.decodes {
						s.Observe(start.Add(at), id(i), Decode, 1)
					}
				}
			}
			require.InEpsilon(t, c.steady, s.Steady(id(0), Decode), 0.1)
			require.EqualValues(t, 1, s.Steady(id(1), Decode))
		})
	}
}

func TestAnotherStartIsAnotherUpstream(t *testing.T) {
	for _, next := range []Identity{{Incarnation: 2, Version: "v1"}, {Incarnation: 1, Version: "v2"}} {
		s := newTestSpeedometer()
		end := play(s, time.Now(), 5*time.Second, func(i int, _ time.Duration) float64 { return 1 + float64(i%4/3) })
		require.Greater(t, s.Factor(end, id(3), Prefill), 1.8)
		s.Add(id(3), next)
		require.EqualValues(t, 1, s.Factor(end, id(3), Prefill))
	}
}

func TestSpeedsAreHandedOn(t *testing.T) {
	arbiter, standBy := newTestSpeedometer(), newTestSpeedometer()
	end := play(arbiter, time.Now(), 5*time.Second, func(i int, _ time.Duration) float64 { return 1 + float64(i%4/3) })
	standBy.Add(id(7), Identity{Incarnation: 2, Version: "v1"})
	for range 2 {
		handed := arbiter.Handover(1)
		require.Len(t, handed, 1)
		standBy.Learn(handed[0])
	}
	require.InEpsilon(t, 2, standBy.Factor(end, id(3), Prefill), 0.1)
	require.EqualValues(t, 1, standBy.Factor(end, id(7), Prefill), "another start")
	require.EqualValues(t, 1, standBy.Factor(end, id(0), Prefill))
	// What is handed on is not all: its own few measurements don't make it forget that the others are quicker.
	standBy.TakeChanges()
	play(standBy, end, time.Second, func(i int, _ time.Duration) float64 { return 1 + float64(i%4/3) })
	for range 5 {
		for _, speed := range arbiter.Handover(count) {
			standBy.Learn(speed)
		}
	}
	require.InEpsilon(t, 2, standBy.Steady(id(3), Prefill), 0.1)
	require.Empty(t, standBy.TakeChanges())
}
