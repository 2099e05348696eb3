package measurer

import (
	"math"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// Decider decides for one instance; the real scheduler and the baselines' own ones are deciders.
type Decider interface {
	Handle(event scheduler.Event) []scheduler.Action
}

// OrderKind tells what an order asks for.
type OrderKind int

// Kinds of orders.
const (
	// OrderChangeRole changes an engine's role; the engine serves what it holds first, up to its patience.
	OrderChangeRole OrderKind = iota
	// OrderDrain stops new work for an engine on every instance; OrderRestore allows it again.
	OrderDrain
	OrderRestore
)

// Order is what a planner wants done with an engine.
type Order struct {
	Kind     OrderKind
	Upstream identifier.UpstreamID
	Role     identifier.Role
}

// Planner decides the engines' roles; one instance at a time runs it.
type Planner interface {
	// Observe takes what the instance sees and decides, and returns the orders that follow.
	Observe(event scheduler.Event, actions []scheduler.Action) []Order
	// Ended tells that the engine took or refused the order.
	OrderEnded(now time.Time, order Order, taken bool)
}

// Policy is one way to run the fleet.
type Policy struct {
	Name string
	// Split is how the engines start.
	Split      Split
	NewDecider func(instance identifier.InstanceID, dataCentre identifier.DataCentre) Decider
	// NewPlanner is nil when roles never change.
	NewPlanner func() Planner
}

// PolicyNames lists the policies in the order of the table.
var PolicyNames = []string{"ours", "static", "reactive", "round-robin"}

// splitForRun returns the best fixed split for a run: of those whose fluid limits serve nearly the most of the run's
// phases, the one with the most mixed engines, since a common pool rides out the swings that fluid limits don't see.
func bestFixedSplit(w *Workload, allowed func(Split) bool) Split {
	limits := newFluidModel(w.Parameters, w.Parameters.stepLimit(meanOutput))
	var candidates []Split
	served := map[Split]float64{}
	most := 0.0
	for _, s := range splits(w.Parameters.Engines) {
		if !allowed(s) {
			continue
		}
		candidates = append(candidates, s)
		served[s] = meanMixWeight * limits.servedFraction(s, w.Mean, math.Inf(1))
		for _, p := range w.Phases {
			served[s] += limits.servedFraction(s, p.Mix, 1) * float64(p.Length) / float64(w.Length)
		}
		most = max(most, served[s])
	}
	var best Split
	for _, s := range candidates {
		near := served[s] >= nearBestShare*most
		if near && (best == Split{} || s.Mixed > best.Mixed || s.Mixed == best.Mixed && served[s] > served[best]) {
			best = s
		}
	}
	return best
}

// nearlyBest is the share of the best split's service that counts as nearly as good.
const nearBestShare = 0.9

// averageWeight lets the average mix decide between splits that serve every phase.
const meanMixWeight = 0.01

// allMixed is the split without roles.
func allMixed(f Parameters) Split { return Split{Mixed: f.Engines} }

// roles returns the role of each engine; engines of one role are spread over the data centres by their numbers.
func (s Split) roles() []identifier.Role {
	var roles []identifier.Role
	for range s.Prefill {
		roles = append(roles, identifier.RolePrefill)
	}
	for range s.Decode {
		roles = append(roles, identifier.RoleDecode)
	}
	for range s.Mixed {
		roles = append(roles, identifier.RoleMixed)
	}
	return roles
}
