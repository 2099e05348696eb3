package simulator

import (
	"fmt"
	"strings"

	"rosemaryspool.example/core/identifier"
)

// NewPolicy returns the named policy for one run. A suffix, as in "static:2/2/3", sets the numbers of prefill, decode
// and mixed engines at the start.
func NewPolicy(name string, w *Workload, seed uint64) (Policy, error) {
	kind, split, fixed := strings.Cut(name, ":")
	policy := Policy{Name: name, NewDecider: baselineDeciders(false)}
	switch kind {
	case "ours":
		policy = corePolicy(w, seed)
		policy.Name = name
	case "static":
		policy.Split = staticSplit(w)
	case "reactive":
		policy.Split = reactiveSplit(w)
		policy.NewPlanner = func() Planner { return newReactive() }
	case "round-robin":
		policy.Split = allMixed(w.Parameters)
		policy.NewDecider = baselineDeciders(true)
	default:
		return Policy{}, fmt.Errorf("simulator: unknown policy %q", name)
	}
	if !fixed {
		return policy, nil
	}
	s := Split{}
	_, err := fmt.Sscanf(split, "%d/%d/%d", &s.Prefill, &s.Decode, &s.Mixed)
	if err != nil || s.Prefill+s.Decode+s.Mixed != w.Parameters.Engines {
		return Policy{}, fmt.Errorf("simulator: policy %q: the split must be prefill/decode/mixed with a sum of %d",
			name, w.Parameters.Engines)
	}
	policy.Split = s
	return policy, nil
}

// staticSplit returns the best fixed split for the run that has both prefill and decode engines, or neither.
func staticSplit(w *Workload) Split {
	return bestFixedSplit(w, func(s Split) bool { return (s.Prefill > 0) == (s.Decode > 0) })
}

// reactiveSplit returns the best fixed split into prefill and decode engines only, as the reactive planner moves
// engines between these two roles.
func reactiveSplit(w *Workload) Split {
	return bestFixedSplit(w, func(s Split) bool { return s.Mixed == 0 && s.Prefill > 0 && s.Decode > 0 })
}

// baselineDeciders returns a constructor of baseline deciders. Each decider starts its rotation at a different engine.
func baselineDeciders(rotate bool) func(identifier.InstanceID, identifier.DataCentre) Decider {
	start := 0
	return func(instance identifier.InstanceID, _ identifier.DataCentre) Decider {
		start++
		return newBaseline(instance, rotate, start)
	}
}
