package measurer

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Plan says which cases to measure.
type Plan struct {
	Deployments []string
	Seeds       []uint64
	Loads       []float64
	Faults      []Fault
	Policies    []string
	Length      time.Duration
	// Overrides are figures written as "name=value".
	Overrides []string
	// Parallel is the number of cases that run at once.
	Parallel int
}

// Case is one measured run.
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
	// PayingShifts is the number of shifts of the mix that are long enough for a role change.
	PayingShifts int
	// ChangesRoles tells whether the policy may change roles.
	ChangesRoles bool
}

// boundTolerance covers the resolution of the bound: one answer in a thousand.
const boundTolerance = 0.001

// Beats reports whether the policy did better than the bound, which shows that the bound is wrong.
func (c Case) BeatsBound() bool {
	if c.Result.UrgentGoodput() > c.Bound.Urgent+boundTolerance {
		return true
	}
	return c.Load <= 1 && c.Result.Goodput() > c.Bound.Goodput+boundTolerance
}

// Line returns the case as one line of key=value pairs.
func (c Case) Line() string {
	r := c.Result
	var b strings.Builder
	fmt.Fprintf(&b, "deployment=%s seed=%d load=%.2f fault=%s policy=%s", c.Deployment, c.Seed, c.Load, c.Fault, c.Policy)
	fmt.Fprintf(&b, " goodput=%.4f urgentGoodput=%.4f weightedGoodput=%.4f", r.Goodput(), r.UrgentGoodput(), r.WeightedGoodput())
	for _, class := range r.Classes {
		fmt.Fprintf(&b, " %s=%.4f", class.Class, class.Goodput())
	}
	fmt.Fprintf(&b, " p99LatenessMs=%d refused=%d retried=%d hedged=%d rejected=%d roleChanges=%d payingShifts=%d",
		r.P99Lateness.Milliseconds(), r.Refused, r.Retried, r.Hedged, r.Rejected, r.RoleChanges, c.PayingShifts)
	fmt.Fprintf(&b, " bound=%.4f urgentBound=%.4f breaches=%d cutUrgent=%d", c.Bound.Goodput, c.Bound.Urgent, r.Breaches, r.CutUrgent)
	if c.Fault != FaultNone {
		fmt.Fprintf(&b, " urgentNearFault=%.4f", r.UrgentNearFault)
	}
	fmt.Fprintf(&b, " urgentWhereFits=%.4f", r.UrgentWhereFits)
	fmt.Fprintf(&b, " answers=%d split=%d/%d/%d", r.Arrived, c.Split.Prefill, c.Split.Decode, c.Split.Mixed)
	if r.FirstBreach != "" {
		fmt.Fprintf(&b, " firstBreach=%q", r.FirstBreach)
	}
	return b.String()
}

// job is one workload with everything that runs on it.
type job struct {
	deployment string
	seed       uint64
	load       float64
}

// Run measures every case of a plan, writes a line for each and returns them all. An error names what must not be.
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
	figures, err := Deployment(j.deployment)
	if err != nil {
		return nil, err
	}
	for _, o := range p.Overrides {
		if err := figures.Set(o); err != nil {
			return nil, err
		}
	}
	w := NewWorkload(figures, j.seed, j.load, p.Length)
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
				Split: policy.Split, Phases: w.Phases, PayingShifts: shifts, Bound: bound, Result: result, ChangesRoles: policy.NewPlanner != nil,
			})
		}
	}
	return cases, nil
}

// verdict returns an error when a case shows a wrong bound or a broken promise.
func checkCases(cases []Case) error {
	beats, breaches, cuts := 0, 0, 0
	for _, c := range cases {
		if c.BeatsBound() {
			beats++
		}
		breaches += c.Result.Breaches
		cuts += c.Result.CutUrgent
	}
	if beats+breaches+cuts == 0 {
		return nil
	}
	return fmt.Errorf("measurer: %d cases beat the bound, %d whole-answer breaches, %d urgent answers cut", beats, breaches, cuts)
}
