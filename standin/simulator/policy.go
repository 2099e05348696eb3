package simulator

import (
	"math"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// Decider routes and admits the requests of one instance. The core's scheduler is one; the baselines have their own.
type Decider interface {
	// Handle processes one event and returns the resulting actions.
	Handle(event scheduler.Event) []scheduler.Action
}

// OrderKind is the operation that an order requests of an engine.
type OrderKind int

// Operations that an order can request.
const (
	// OrderChangeRole changes an engine's role. The engine first finishes its requests in flight, up to its drain
	// timeout.
	OrderChangeRole OrderKind = iota
	// OrderDrain stops every instance from sending new requests to an engine.
	OrderDrain
	// OrderRestore ends a drain.
	OrderRestore
)

// Order is a planner's request to drain or restore an engine or to change its role.
type Order struct {
	Kind     OrderKind
	Upstream identifier.UpstreamID
	Role     identifier.Role
}

// Planner decides the engines' roles. It runs on a single instance.
type Planner interface {
	// Observe processes an event of the instance and its decider's actions, and returns the resulting orders.
	Observe(event scheduler.Event, actions []scheduler.Action) []Order
	// OrderEnded notifies the planner that an order has ended and whether the engine accepted it.
	OrderEnded(now time.Time, order Order, accepted bool)
}

// Policy is a combination of starting roles, a decider for each instance and an optional planner of roles.
type Policy struct {
	Name string
	// Split holds the roles with which the engines start.
	Split      Split
	NewDecider func(instance identifier.InstanceID, dataCentre identifier.DataCentre) Decider
	// NewPlanner is nil if roles never change.
	NewPlanner func() Planner
}

// PolicyNames lists the policies in the order of the table.
var PolicyNames = []string{"ours", "static", "reactive", "round-robin"}

// bestFixedSplit returns the best fixed split for a run. Of the splits whose throughput in the fluid model is close to
// the best, it returns the one with the most mixed engines: a shared pool absorbs short-term fluctuations that the
// fluid model leaves out.
func bestFixedSplit(w *Workload, allowed func(Split) bool) Split {
	model := newFluidModel(w.Parameters, w.Parameters.stepLimit(meanOutput))
	var candidates []Split
	served := map[Split]float64{}
	most := 0.0
	for _, s := range splits(w.Parameters.Engines) {
		if !allowed(s) {
			continue
		}
		candidates = append(candidates, s)
		served[s] = meanMixWeight * model.servedFraction(s, w.Mean, math.Inf(1))
		for _, p := range w.Phases {
			served[s] += model.servedFraction(s, p.Mix, 1) * float64(p.Length) / float64(w.Length)
		}
		most = max(most, served[s])
	}
	var best Split
	for _, s := range candidates {
		isClose := served[s] >= nearBestShare*most
		if isClose && (best == Split{} || s.Mixed > best.Mixed || s.Mixed == best.Mixed && served[s] > served[best]) {
			best = s
		}
	}
	return best
}

// nearBestShare is the fraction of the best split's throughput from which a split counts as close to it.
const nearBestShare = 0.9

// meanMixWeight makes the run's mean mix break ties between splits that fully serve every phase.
const meanMixWeight = 0.01

// allMixed returns the split in which every engine does both prefill and decode.
func allMixed(p Parameters) Split { return Split{Mixed: p.Engines} }

// roles returns the role of each engine by number. Engines of one role have consecutive numbers, which spreads them
// over the data centres.
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
