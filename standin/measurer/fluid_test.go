package measurer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFluidLimits(t *testing.T) {
	f := Kalipci()
	limits := newFluidModel(f, f.stepLimit(meanOutput))
	cases := []struct {
		name  string
		split Split
		mix   work
		want  float64
	}{
		{"roles without mixed engines are bound by the scarcer one", Split{Prefill: 3, Decode: 4}, work{1, 1}, 3},
		{"no decode engine serves no output", Split{Prefill: 7}, work{1, 1}, 0},
		{"mixed engines alone prefill at full speed", Split{Mixed: 7}, work{1, 0}, 7},
		{"mixed engines alone decode at full speed", Split{Mixed: 7}, work{0, 1}, 7},
		{"a mixed engine fills the gap between the roles", Split{Prefill: 3, Decode: 3, Mixed: 1}, work{1, 1}, 3.5},
	}
	for _, c := range cases {
		require.InDelta(t, c.want, limits.servedFraction(c.split, c.mix, math.Inf(1)), 0.08, c.name)
	}
}

func TestPrefillInterferenceReducesDecode(t *testing.T) {
	f := Kalipci()
	loose, tight := newFluidModel(f, time.Second), newFluidModel(f, 40*time.Millisecond)
	mix := work{1, 1}
	require.InDelta(t, 3.5, loose.servedFraction(Split{Mixed: 7}, mix, math.Inf(1)), 0.05)
	require.Less(t, tight.servedFraction(Split{Mixed: 7}, mix, math.Inf(1)), 3.0)
}

func TestSplits(t *testing.T) {
	require.Len(t, splits(7), 36)
	require.Equal(t, 2, Split{3, 3, 1}.Changed(Split{1, 4, 2}))
}

func TestPhasesMatchMixAndLoad(t *testing.T) {
	for _, f := range []Parameters{Kalipci(), Luminaria()} {
		w := NewWorkload(f, 7, 0.8, 30*time.Minute)
		limits := newFluidModel(f, f.stepLimit(meanOutput))
		each := f.meanWork()
		for _, p := range w.Phases {
			require.InDelta(t, p.PrefillShare, p.Mix.prefill/p.Mix.total(), 0.02)
			sum := work{}
			for i, rate := range p.Rates {
				sum = sum.add(each[i].scaled(rate))
			}
			require.InDelta(t, p.Mix.total(), sum.total(), 1e-9)
			_, times := limits.bestSplit(f.Engines, p.Mix)
			require.InDelta(t, 0.8, 1/times, 1e-9)
		}
	}
}

func TestBoundAccountsForRoleChangeTime(t *testing.T) {
	f := Kalipci()
	b := newBoundSolver(NewWorkload(f, 1, 0.9, time.Minute))
	c := planState{backlogs: make([]backlog, len(f.Classes))}
	order := b.urgentFirst()
	stay := b.servePhase(c, order, Split{4, 3, 0}, Split{4, 3, 0}, 0, 10)
	move := b.servePhase(c, order, Split{7, 0, 0}, Split{4, 3, 0}, 0, 10)
	require.Less(t, move.served, stay.served)
}

func TestGammaGapsHaveRequestedVariation(t *testing.T) {
	random := newRandom(1, "test")
	const count = 200_000
	var sum, squares float64
	for range count {
		g := drawGap(random, 2)
		sum += g
		squares += g * g
	}
	mean := sum / count
	require.InDelta(t, 1, mean, 0.03)
	require.InDelta(t, 2, math.Sqrt(squares/count-mean*mean)/mean, 0.06)
}

func TestShortPhasesDoNotRepayRoleChange(t *testing.T) {
	f := Kalipci()
	prefill, decode := work{6, 0.3}, work{0.3, 6}
	phases := func(length time.Duration) *Workload {
		return &Workload{Parameters: f, Phases: []Phase{{Length: length, Mix: prefill}, {Length: length, Mix: decode}, {Length: length, Mix: decode}}}
	}
	limits := newFluidModel(f, f.stepLimit(meanOutput))
	before, _ := limits.bestSplit(f.Engines, prefill)
	after, _ := limits.bestSplit(f.Engines, decode)
	require.Positive(t, before.Changed(after))
	require.Equal(t, 1, phases(time.Hour).PayingShifts(), "only the shift of the mix counts")
	require.Zero(t, phases(10*time.Second).PayingShifts())
}
