package measurer

import (
	"fmt"
	"strings"

	"rosemaryspool.example/core/identifier"
)

// NewPolicy returns a policy by its name, prepared for one run. A name such as "static:2/2/3" sets the number of prefill,
// decode and mixed engines at the start.
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
		return Policy{}, fmt.Errorf("measurer: unknown policy %q", name)
	}
	if !fixed {
		return policy, nil
	}
	s := Split{}
	_, err := fmt.Sscanf(split, "%d/%d/%d", &s.Prefill, &s.Decode, &s.Mixed)
	if err != nil || s.Prefill+s.Decode+s.Mixed != w.Parameters.Engines {
		return Policy{}, fmt.Errorf("measurer: policy %q: want prefill/decode/mixed that sum to %d", name, w.Parameters.Engines)
	}
	policy.Split = s
	return policy, nil
}

// staticSplit is the best fixed split for the run's average mix.
func staticSplit(w *Workload) Split {
	return bestFixedSplit(w, func(s Split) bool { return (s.Prefill > 0) == (s.Decode > 0) })
}

// reactiveSplit is the best split into the two roles that the reactive planner moves engines between.
func reactiveSplit(w *Workload) Split {
	return bestFixedSplit(w, func(s Split) bool { return s.Mixed == 0 && s.Prefill > 0 && s.Decode > 0 })
}

// baselineDeciders returns deciders whose rotations begin at different engines.
func baselineDeciders(rotate bool) func(identifier.InstanceID, identifier.DataCentre) Decider {
	start := 0
	return func(instance identifier.InstanceID, _ identifier.DataCentre) Decider {
		start++
		return newBaseline(instance, rotate, start)
	}
}
