package scheduler

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

const largeFleet = 183

func newLargeFleet(callers int) *Scheduler {
	s := NewScheduler(Settings{Instance: "i1", DataCentre: "a", Instances: 360, Seed: 7})
	for i := range largeFleet {
		id := identifier.UpstreamID("engine-" + strconv.Itoa(i))
		s.Handle(UpstreamListed{Now: start, Upstream: id, DataCentre: "a", Models: []identifier.ModelName{"m"}})
		s.Handle(LoadReported{Now: start, Upstream: id, Load: Load{
			Sequence: 1, Role: identifier.RoleMixed, Model: "m", MaxBatch: 64, PrefillPerSecond: 8000,
			DecodeStep: 20 * time.Millisecond,
		}})
	}
	for i := range callers {
		s.Handle(CallerLimitSet{Caller: identifier.CallerID("caller-" + strconv.Itoa(i)), RequestsPerSecond: 10, Burst: 5})
	}
	return s
}

func TestLargeFleetUsesASubset(t *testing.T) {
	s := newLargeFleet(0)
	require.Len(t, s.engines, DefaultTunables().SubsetSize)
	other := NewScheduler(Settings{Instance: "i2", DataCentre: "a", Instances: 360, Seed: 7})
	for id := range s.members {
		other.Handle(UpstreamListed{Now: start, Upstream: id, DataCentre: "a", Models: []identifier.ModelName{"m"}})
	}
	shared := 0
	for _, e := range other.engines {
		if s.byID[e.ID] != nil {
			shared++
		}
	}
	require.Less(t, shared, DefaultTunables().SubsetSize/2, "instances use different engines")
	leaving := s.engines[0].ID
	s.Handle(UpstreamListed{
		Now: start, Upstream: leaving, DataCentre: "a", Models: []identifier.ModelName{"m"}, Leaving: true,
	})
	s.Handle(UpstreamListed{Now: start, Upstream: leaving, DataCentre: "a", Models: []identifier.ModelName{"m"}})
	require.True(t, s.byID[leaving].Unavailable(), "leaving is permanent until the engine is removed")
	require.Len(t, s.engines, DefaultTunables().SubsetSize+1, "a leaving engine is replaced")
}

func BenchmarkDecision183(b *testing.B) {
	s := newLargeFleet(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := arrival(identifier.RequestID(strconv.Itoa(i)), 0, 8*time.Second)
		d, ok := s.Handle(a)[0].(Dispatch)
		if !ok {
			b.Fatal("not dispatched")
		}
		s.Handle(AttemptFinished{Now: start, Attempt: d.Attempt, Output: 5, CachedPrompt: -1})
		if i%1000 == 0 {
			s.Handle(Ticked{Now: start})
		}
	}
}

func BenchmarkState(b *testing.B) {
	cases := []struct {
		name    string
		callers int
	}{{"upstreams183", 0}, {"upstreams183Callers44000", 44_000}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			var before, after runtime.MemStats
			var kept *Scheduler
			for b.Loop() {
				kept = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				kept = newLargeFleet(c.callers)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "stateBytes")
			runtime.KeepAlive(kept)
		})
	}
}
