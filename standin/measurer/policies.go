package measurer

import (
	"fmt"

	"rosemaryspool.example/core/identifier"
)

// NewPolicy returns a policy by its name, prepared for one run.
func NewPolicy(name string, w *Workload, seed uint64) (Policy, error) {
	switch name {
	case "ours":
		return ours(w, seed), nil
	case "static":
		return Policy{Name: name, Split: staticSplit(w), NewDecider: baselineDeciders(false)}, nil
	case "reactive":
		return Policy{
			Name: name, Split: reactiveSplit(w), NewDecider: baselineDeciders(false),
			NewPlanner: func() Planner { return newReactive() },
		}, nil
	case "round-robin":
		return Policy{Name: name, Split: allMixed(w.Figures), NewDecider: baselineDeciders(true)}, nil
	default:
		var fixed Split
		if n, _ := fmt.Sscanf(name, "static:%d/%d/%d", &fixed.Prefill, &fixed.Decode, &fixed.Mixed); n == 3 {
			return Policy{Name: name, Split: fixed, NewDecider: baselineDeciders(false)}, nil
		}
		return Policy{}, fmt.Errorf("measurer: unknown policy %q", name)
	}
}

// staticSplit is the best fixed split for the run's average mix.
func staticSplit(w *Workload) Split {
	return splitForRun(w, func(s Split) bool { return (s.Prefill > 0) == (s.Decode > 0) })
}

// reactiveSplit is the best split into the two roles that the reactive planner moves engines between.
func reactiveSplit(w *Workload) Split {
	return splitForRun(w, func(s Split) bool { return s.Mixed == 0 && s.Prefill > 0 && s.Decode > 0 })
}

// baselineDeciders returns deciders whose rotations begin at different engines.
func baselineDeciders(rotate bool) func(identifier.InstanceID, identifier.DataCentre) Decider {
	start := 0
	return func(instance identifier.InstanceID, _ identifier.DataCentre) Decider {
		start++
		return newBaseline(instance, rotate, start)
	}
}
