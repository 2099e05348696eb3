package simulator

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFluidModel(t *testing.T) {
	p := Kalipci()
	model := newFluidModel(p, p.stepLimit(meanOutput))
	cases := []struct {
		name  string
		split Split
		mix   work
		want  float64
	}{
		{"without mixed engines, the scarcer role is the limit", Split{Prefill: 3, Decode: 4}, work{1, 1}, 3},
		{"no decode engine serves no output", Split{Prefill: 7}, work{1, 1}, 0},
		{"mixed engines alone prefill at full speed", Split{Mixed: 7}, work{1, 0}, 7},
		{"mixed engines alone decode at full speed", Split{Mixed: 7}, work{0, 1}, 7},
		{"a mixed engine splits its time between both roles", Split{Prefill: 3, Decode: 3, Mixed: 1}, work{1, 1}, 3.5},
	}
	for _, c := range cases {
		require.InDelta(t, c.want, model.servedFraction(c.split, c.mix, math.Inf(1)), 0.08, c.name)
	}
}

func TestPrefillInterferenceReducesDecode(t *testing.T) {
	p := Kalipci()
	longLimit, shortLimit := newFluidModel(p, time.Second), newFluidModel(p, 40*time.Millisecond)
	mix := work{1, 1}
	require.InDelta(t, 3.5, longLimit.servedFraction(Split{Mixed: 7}, mix, math.Inf(1)), 0.05)
	require.Less(t, shortLimit.servedFraction(Split{Mixed: 7}, mix, math.Inf(1)), 3.0)
}

func TestSplits(t *testing.T) {
	require.Len(t, splits(7), 36)
	require.Equal(t, 2, Split{3, 3, 1}.Changed(Split{1, 4, 2}))
}

func TestPhasesMatchMixAndLoad(t *testing.T) {
	for _, parameters := range []Parameters{Kalipci(), Luminaria()} {
		w := NewWorkload(parameters, 7, 0.8, 30*time.Minute)
		model := newFluidModel(parameters, parameters.stepLimit(meanOutput))
		perResponse := parameters.meanWork()
		for _, p := range w.Phases {
			require.InDelta(t, p.PrefillShare, p.Mix.prefill/p.Mix.total(), 0.02)
			sum := work{}
			for i, rate := range p.Rates {
				sum = sum.add(perResponse[i].scaled(rate))
			}
			require.InDelta(t, p.Mix.total(), sum.total(), 1e-9)
			_, capacity := model.bestSplit(parameters.Engines, p.Mix)
			require.InDelta(t, 0.8, 1/capacity, 1e-9)
		}
	}
}

func TestBoundAccountsForRoleChangeTime(t *testing.T) {
	p := Kalipci()
	b := newBoundSolver(NewWorkload(p, 1, 0.9, time.Minute))
	c := planState{backlogs: make([]backlog, len(p.Classes))}
	order := b.urgentFirst()
	unchanged := b.servePhase(c, order, Split{4, 3, 0}, Split{4, 3, 0}, 0, 10)
	changed := b.servePhase(c, order, Split{7, 0, 0}, Split{4, 3, 0}, 0, 10)
	require.Less(t, changed.served, unchanged.served)
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
	p := Kalipci()
	prefill, decode := work{6, 0.3}, work{0.3, 6}
	phases := func(length time.Duration) *Workload {
		return &Workload{Parameters: p, Phases: []Phase{
			{Length: length, Mix: prefill}, {Length: length, Mix: decode}, {Length: length, Mix: decode},
		}}
	}
	model := newFluidModel(p, p.stepLimit(meanOutput))
	before, _ := model.bestSplit(p.Engines, prefill)
	after, _ := model.bestSplit(p.Engines, decode)
	require.Positive(t, before.Changed(after))
	require.Equal(t, 1, phases(time.Hour).PayingShifts(), "only the change of the mix counts")
	require.Zero(t, phases(10*time.Second).PayingShifts())
}
