package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

// shortPlan returns a plan of short runs, which together take a few seconds.
func shortPlan() Plan {
	return Plan{
		Deployments: []string{"kalipci", "luminaria"}, Seeds: []uint64{1}, Loads: []float64{0.6, 1.3},
		Faults: []Fault{FaultNone}, Policies: PolicyNames, Length: 2 * time.Minute, Parallel: 2,
	}
}

func mustRun(t *testing.T, plan Plan) ([]Case, string) {
	var out strings.Builder
	cases, err := Run(plan, &out)
	require.NoError(t, err, "no case exceeds the bound, no violation, no urgent response cut")
	return cases, out.String()
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	plan := shortPlan()
	cases, first := mustRun(t, plan)
	plan.Parallel = 1
	_, second := mustRun(t, plan)
	require.Equal(t, first, second)

	arrived := map[string]int{}
	for _, c := range cases {
		key := fmt.Sprint(c.Deployment, c.Seed, c.Load)
		if previous, ok := arrived[key]; ok {
			require.Equal(t, previous, c.Result.Arrived, "all policies get the same arrivals")
		}
		arrived[key] = c.Result.Arrived
	}
	require.Len(t, arrived, 4)
}

func TestDifferentSeedGivesDifferentResult(t *testing.T) {
	plan := shortPlan()
	plan.Loads, plan.Policies = []float64{0.6}, []string{"round-robin"}
	_, first := mustRun(t, plan)
	plan.Seeds = []uint64{2}
	_, second := mustRun(t, plan)
	require.NotEqual(t, strings.ReplaceAll(first, "seed=1", "seed=2"), second)
}

func TestFaultsCauseNoViolation(t *testing.T) {
	plan := shortPlan()
	plan.Loads, plan.Faults = []float64{0.9}, Faults
	plan.Policies, plan.Overrides = []string{"ours", "reactive"}, []string{"faultLength=30s"}
	cases, _ := mustRun(t, plan)
	retried := map[Fault]int{}
	for _, c := range cases {
		retried[c.Fault] += c.Result.Retried
	}
	for _, f := range []Fault{FaultCrash, FaultDataCentre} {
		require.Greater(t, retried[f], retried[FaultNone], "fault %s", f)
	}
}

func TestGoodputAboveBoundFails(t *testing.T) {
	result := Result{Arrived: 10, Classes: []ClassResult{{Arrived: 10, InTime: 9, Urgent: true}}}
	cases := []struct {
		name    string
		load    float64
		bound   Bound
		exceeds bool
	}{
		{"both below the bound", 1, Bound{Goodput: 0.95, Urgent: 0.95}, false},
		{"goodput above the bound", 1, Bound{Goodput: 0.85, Urgent: 0.95}, true},
		{
			"goodput above the bound in overload, where serving urgent requests first may cost responses", 1.3,
			Bound{Goodput: 0.85, Urgent: 0.95},
			false,
		},
		{"urgent goodput above the bound in overload", 1.3, Bound{Goodput: 0.95, Urgent: 0.85}, true},
	}
	for _, c := range cases {
		measured := Case{Load: c.load, Bound: c.bound, Result: result}
		require.Equal(t, c.exceeds, measured.ExceedsBound(), c.name)
		require.Equal(t, c.exceeds, checkCases([]Case{measured}) != nil, c.name)
	}
}

func TestOverrides(t *testing.T) {
	cases := []struct {
		assignment string
		fails      bool
		check      func(Parameters) bool
	}{
		{"prefillPerSecond=8000", false, func(p Parameters) bool { return p.PrefillPerSecond == 8000 }},
		{"reportLate=3s", false, func(p Parameters) bool { return p.ReportDelay == 3*time.Second }},
		{"maxBatch=32", false, func(p Parameters) bool { return p.MaxBatch == 32 }},
		{"fittingVerdict.deadline=5s", false, func(p Parameters) bool { return p.Classes[0].Deadline == 5*time.Second }},
		{"cacheTokens=1000", false, func(p Parameters) bool { return p.CacheTokens == identifier.Tokens(1000) }},
		{"unknown=1", true, nil},
		{"maxBatch", true, nil},
		{"maxBatch=many", true, nil},
	}
	for _, c := range cases {
		p := Kalipci()
		err := p.Set(c.assignment)
		require.Equal(t, c.fails, err != nil, c.assignment)
		if !c.fails {
			require.True(t, c.check(p), c.assignment)
		}
	}
}
