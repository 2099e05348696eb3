package measurer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFluidLimits(t *testing.T) {
	f := Kalipci()
	limits := newFluid(f, f.stepLimit(meanOutput))
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
		require.InDelta(t, c.want, limits.fraction(c.split, c.mix, math.Inf(1)), 0.08, c.name)
	}
}

func TestInterferenceCostsDecodeBesidePrefill(t *testing.T) {
	f := Kalipci()
	loose, tight := newFluid(f, time.Second), newFluid(f, 40*time.Millisecond)
	mix := work{1, 1}
	require.InDelta(t, 3.5, loose.fraction(Split{Mixed: 7}, mix, math.Inf(1)), 0.05)
	require.Less(t, tight.fraction(Split{Mixed: 7}, mix, math.Inf(1)), 3.0)
}

func TestSplits(t *testing.T) {
	require.Len(t, splits(7), 36)
	require.Equal(t, 2, Split{3, 3, 1}.Changed(Split{1, 4, 2}))
}

func TestPhasesHaveTheWantedMixAndLoad(t *testing.T) {
	for _, f := range []Figures{Kalipci(), Luminaria()} {
		w := NewWorkload(f, 7, 0.8, 30*time.Minute)
		limits := newFluid(f, f.stepLimit(meanOutput))
		each := f.meanWork()
		for _, p := range w.Phases {
			require.InDelta(t, p.PrefillShare, p.Mix.prefill/p.Mix.total(), 0.02)
			sum := work{}
			for i, rate := range p.Rates {
				sum = sum.add(each[i].scaled(rate))
			}
			require.InDelta(t, p.Mix.total(), sum.total(), 1e-9)
			_, times := limits.best(f.Engines, p.Mix)
			require.InDelta(t, 0.8, 1/times, 1e-9)
		}
	}
}

func TestBoundAccountsForAbsence(t *testing.T) {
	f := Kalipci()
	b := newBounder(NewWorkload(f, 1, 0.9, time.Minute))
	c := course{waiting: make([]backlog, len(f.Classes))}
	order := b.urgentFirst()
	stay := b.serve(c, order, Split{4, 3, 0}, Split{4, 3, 0}, 0, 10)
	move := b.serve(c, order, Split{7, 0, 0}, Split{4, 3, 0}, 0, 10)
	require.Less(t, move.served, stay.served)
}

func TestGammaGapsHaveTheWantedVariation(t *testing.T) {
	random := source(1, "test")
	const count = 200_000
	var sum, squares float64
	for range count {
		g := gap(random, 2)
		sum += g
		squares += g * g
	}
	mean := sum / count
	require.InDelta(t, 1, mean, 0.03)
	require.InDelta(t, 2, math.Sqrt(squares/count-mean*mean)/mean, 0.06)
}

func TestShortPhasesDontPayAChangeBack(t *testing.T) {
	f := Kalipci()
	prefill, decode := work{6, 0.3}, work{0.3, 6}
	phases := func(length time.Duration) *Workload {
		return &Workload{Parameters: f, Phases: []Phase{{Length: length, Mix: prefill}, {Length: length, Mix: decode}, {Length: length, Mix: decode}}}
	}
	limits := newFluid(f, f.stepLimit(meanOutput))
	before, _ := limits.best(f.Engines, prefill)
	after, _ := limits.best(f.Engines, decode)
	require.Positive(t, before.Changed(after))
	require.Equal(t, 1, phases(time.Hour).PayingShifts(), "only the shift of the mix counts")
	require.Zero(t, phases(10*time.Second).PayingShifts())
}
