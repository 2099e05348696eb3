package simulator

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Plan selects the cases to measure: every combination of its deployments, seeds, loads, faults and policies.
type Plan struct {
	Deployments []string
	Seeds       []uint64
	Loads       []float64
	Faults      []Fault
	Policies    []string
	Length      time.Duration
	// Overrides holds parameters to change, each as "name=value".
	Overrides []string
	// Parallel is the number of workloads that run at once; the cases on a workload run one after another.
	Parallel int
}

// Case is one measured run: its workload, fault and policy, with the result and the bound.
type Case struct {
	Deployment string
	Seed       uint64
	Load       float64
	Fault      Fault
	Policy     string
	Split      Split
	Phases     []Phase
	Bound      Bound
	Result     Result
	// PayingShifts is the number of phase changes for which a role change pays off.
	PayingShifts int
	// ChangesRoles is true if the policy may change roles.
	ChangesRoles bool
}

// boundTolerance allows for the resolution of the bound: one response in a thousand.
const boundTolerance = 0.001

// ExceedsBound reports whether the policy exceeds the bound, which shows that the bound is wrong. In overload only the
// urgent bound applies, as serving urgent requests first may cost other responses.
func (c Case) ExceedsBound() bool {
	if c.Result.UrgentGoodput() > c.Bound.Urgent+boundTolerance {
		return true
	}
	return c.Load <= 1 && c.Result.Goodput() > c.Bound.Goodput+boundTolerance
}

// Line formats the case as one line of key=value pairs.
func (c Case) Line() string {
	r := c.Result
	var b strings.Builder
	fmt.Fprintf(&b, "deployment=%s seed=%d load=%.2f fault=%s policy=%s",
		c.Deployment, c.Seed, c.Load, c.Fault, c.Policy)
	fmt.Fprintf(&b, " goodput=%.4f urgentGoodput=%.4f weightedGoodput=%.4f",
		r.Goodput(), r.UrgentGoodput(), r.WeightedGoodput())
	for _, class := range r.Classes {
		fmt.Fprintf(&b, " %s=%.4f", class.Class, class.Goodput())
	}
	fmt.Fprintf(&b, " p99LatenessMs=%d refused=%d retried=%d hedged=%d rejected=%d roleChanges=%d payingShifts=%d",
		r.P99Lateness.Milliseconds(), r.Refused, r.Retried, r.Hedged, r.Rejected, r.RoleChanges, c.PayingShifts)
	fmt.Fprintf(&b, " bound=%.4f urgentBound=%.4f breaches=%d cutUrgent=%d",
		c.Bound.Goodput, c.Bound.Urgent, r.Violations, r.CutUrgent)
	if c.Fault != FaultNone {
		fmt.Fprintf(&b, " urgentNearFault=%.4f", r.UrgentNearFault)
	}
	fmt.Fprintf(&b, " urgentWhereFits=%.4f", r.UrgentWhereFits)
	fmt.Fprintf(&b, " answers=%d split=%d/%d/%d", r.Arrived, c.Split.Prefill, c.Split.Decode, c.Split.Mixed)
	if r.FirstViolation != "" {
		fmt.Fprintf(&b, " firstBreach=%q", r.FirstViolation)
	}
	return b.String()
}

// job identifies one workload, on which every fault and policy of the plan runs.
type job struct {
	deployment string
	seed       uint64
	load       float64
}

// Run measures every case of a plan, writes a line for each and returns them all. It also returns an error if a case
// exceeds its bound, violates a response guarantee or cuts an urgent response.
func Run(plan Plan, out io.Writer) ([]Case, error) {
	var jobs []job
	for _, deployment := range plan.Deployments {
		for _, load := range plan.Loads {
			for _, seed := range plan.Seeds {
				jobs = append(jobs, job{deployment, seed, load})
			}
		}
	}
	results := make([][]Case, len(jobs))
	workers := pool.New().WithErrors().WithMaxGoroutines(max(plan.Parallel, 1))
	for i, j := range jobs {
		workers.Go(func() error {
			cases, err := plan.runJob(j)
			results[i] = cases
			return err
		})
	}
	if err := workers.Wait(); err != nil {
		return nil, err
	}
	var all []Case
	for _, cases := range results {
		for _, c := range cases {
			fmt.Fprintln(out, c.Line())
			all = append(all, c)
		}
	}
	return all, checkCases(all)
}

// runJob runs every fault and policy on one workload.
func (p Plan) runJob(j job) ([]Case, error) {
	parameters, err := Deployment(j.deployment)
	if err != nil {
		return nil, err
	}
	for _, o := range p.Overrides {
		if err := parameters.Set(o); err != nil {
			return nil, err
		}
	}
	w := NewWorkload(parameters, j.seed, j.load, p.Length)
	bound, shifts := NewBound(w), w.PayingShifts()
	var cases []Case
	for _, fault := range p.Faults {
		for _, name := range p.Policies {
			policy, err := NewPolicy(name, w, j.seed)
			if err != nil {
				return nil, err
			}
			result := NewSimulation(w, policy, j.seed, fault).Run()
			cases = append(cases, Case{
				Deployment: j.deployment, Seed: j.seed, Load: j.load, Fault: fault, Policy: name,
				Split: policy.Split, Phases: w.Phases, PayingShifts: shifts, Bound: bound, Result: result,
				ChangesRoles: policy.NewPlanner != nil,
			})
		}
	}
	return cases, nil
}

// checkCases returns an error if a case exceeds its bound, violates a response guarantee or cuts an urgent response.
func checkCases(cases []Case) error {
	exceeding, violations, cutUrgent := 0, 0, 0
	for _, c := range cases {
		if c.ExceedsBound() {
			exceeding++
		}
		violations += c.Result.Violations
		cutUrgent += c.Result.CutUrgent
	}
	if exceeding+violations+cutUrgent == 0 {
		return nil
	}
	return fmt.Errorf(
		"simulator: %d cases exceed the bound, %d violations of response guarantees, %d urgent responses cut",
		exceeding, violations, cutUrgent)
}
