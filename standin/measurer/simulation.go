package measurer

import (
	"fmt"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// epoch is when every run starts on the fake clock.
var epoch = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// settleTime is how long a run goes on after the last arrival, so that late answers end.
const maxSettleTime = 100 * time.Second

// Simulation is one run of one policy.
type Simulation struct {
	parameters Parameters
	workload   *Workload
	policy     Policy
	seed       uint64
	calendar   calendar
	end        time.Duration
	engines    []*node
	nodes      map[identifier.UpstreamID]*node
	instances  []*instance
	records    []record
	result     Result
	fault      *faultPlan
	planner    Planner
	// isolated is the data centre that the others cannot reach, or -1.
	isolated int
	// logDown is true while no order can be written to the log.
	orderLogDown bool
}

// NewSimulation prepares a run.
func NewSimulation(w *Workload, policy Policy, seed uint64, fault Fault) *Simulation {
	s := &Simulation{
		parameters: w.Parameters, workload: w, policy: policy, seed: seed, end: w.Length + maxSettleTime,
		nodes: map[identifier.UpstreamID]*node{}, records: make([]record, len(w.Requests)), isolated: -1,
	}
	for number, role := range policy.Split.roles() {
		n := newNode(w.Parameters, seed, number, role)
		s.engines = append(s.engines, n)
		s.nodes[n.id] = n
	}
	for number := range w.Parameters.Instances {
		s.instances = append(s.instances, s.newInstance(number))
	}
	if policy.NewPlanner != nil {
		s.planner = policy.NewPlanner()
	}
	s.fault = newFaultPlan(w, seed, fault)
	return s
}

// newInstance returns an instance with its own decider.
func (s *Simulation) newInstance(number int) *instance {
	i := &instance{
		id: identifier.InstanceID(fmt.Sprintf("instance%d", number+1)), dataCentre: number % s.parameters.DataCentres,
		simulation: s, requests: map[identifier.RequestID]int{}, attempts: map[identifier.AttemptID]*attempt{},
	}
	i.decider = s.policy.NewDecider(i.id, dataCentreName(i.dataCentre))
	return i
}

// engineID names an engine by its number.
func engineID(number int) identifier.UpstreamID {
	return identifier.UpstreamID(fmt.Sprintf("engine%d", number+1))
}

// dataCentreName names a data centre by its number.
func dataCentreName(number int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("dataCentre%d", number+1))
}

// Run carries the run out and returns its result.
func (s *Simulation) Run() Result {
	s.recordRoles()
	for number, n := range s.engines {
		s.announceEngine(n)
		s.scheduleReports(n, number)
	}
	for number, i := range s.instances {
		offset := s.parameters.TickInterval * time.Duration(number) / time.Duration(len(s.instances))
		s.repeat(offset, s.parameters.TickInterval, func() { i.handle(scheduler.Ticked{Now: s.clock()}) })
	}
	s.scheduleFault()
	s.scheduleArrival(0)
	s.calendar.run(s.workload.Length)
	for step := time.Second; s.calendar.now < s.end && s.hasOpenRequests(); {
		s.calendar.run(min(s.calendar.now+step, s.end))
	}
	return s.summarise()
}

// anyOpen reports whether a caller still waits.
func (s *Simulation) hasOpenRequests() bool {
	return slices.ContainsFunc(s.records, func(r record) bool { return r.state == stateOpen })
}

// planArrival plans one request's arrival, which plans the next.
func (s *Simulation) scheduleArrival(number int) {
	if number >= len(s.workload.Requests) {
		return
	}
	r := s.workload.Requests[number]
	s.calendar.at(r.Arrival, func() {
		s.instances[r.Instance].arrive(number)
		s.scheduleArrival(number + 1)
	})
}

// introduce tells every instance of an engine and its present load.
func (s *Simulation) announceEngine(n *node) {
	for _, i := range s.instances {
		i.handle(scheduler.UpstreamListed{
			Now: s.clock(), Upstream: n.id, DataCentre: dataCentreName(n.dataCentre), Models: []identifier.ModelName{modelName},
		})
		i.handle(scheduler.LoadReported{Now: s.clock(), Upstream: n.id, Load: n.load(s.clock())})
	}
}

// clock returns the fake time.
func (s *Simulation) clock() time.Time { return epoch.Add(s.calendar.now) }

// cut reports whether two data centres cannot reach each other.
func (s *Simulation) partitioned(a, b int) bool {
	return s.isolated >= 0 && (a == s.isolated) != (b == s.isolated)
}

// delay returns the network time between two data centres.
func (s *Simulation) networkDelay(a, b int) time.Duration {
	if a == b {
		return s.parameters.NetworkDelay / 5
	}
	return s.parameters.NetworkDelay
}

// breach notes an answer that passed as complete without being so.
func (s *Simulation) recordBreach(kind string) {
	s.result.Breaches++
	if s.result.FirstBreach == "" {
		s.result.FirstBreach = kind
	}
}

// observe shows the planner what its instance sees and sends the orders that it decides.
func (s *Simulation) observe(i *instance, event scheduler.Event, actions []scheduler.Action) {
	if s.planner == nil || s.orderLogDown || i != s.instances[0] {
		return
	}
	for _, order := range s.planner.Observe(event, actions) {
		s.calendar.after(s.parameters.OrderDelay, func() { s.deliverOrder(i, order) })
	}
}

// order carries an order to its engine and tells the planner how it ended.
func (s *Simulation) deliverOrder(i *instance, order Order) {
	n := s.nodes[order.Upstream]
	taken := false
	if n != nil && !s.orderLogDown && !s.partitioned(i.dataCentre, n.dataCentre) {
		taken = s.applyOrder(n, order)
		s.advanceEngine(n)
	}
	s.planner.OrderEnded(s.clock(), order, taken)
}

// orderEngine carries out an order that has reached its engine.
func (s *Simulation) applyOrder(n *node, order Order) bool {
	switch order.Kind {
	case OrderDrain:
		s.announceDrain(n, true)
	case OrderRestore:
		s.announceDrain(n, false)
	case OrderChangeRole:
		absence := drawDuration(n.changeTimes, s.parameters.RoleChangeMin, s.parameters.RoleChangeMax)
		if n.engine.ChangeRole(s.clock(), order.Role, absence, s.parameters.DrainTimeout) != nil {
			return false
		}
		s.result.RoleChanges++
		s.recordRoles()
	}
	return true
}

// tellDrain lets every instance read of a drain, or of its end, in the log. The engine itself does not know of it.
func (s *Simulation) announceDrain(n *node, draining bool) {
	for _, i := range s.instances {
		i.handle(scheduler.UpstreamDrained{Now: s.clock(), Upstream: n.id, Draining: draining})
	}
}

// roleChanged notes the present division of the engines for the plot.
func (s *Simulation) recordRoles() {
	var split Split
	for _, n := range s.engines {
		if n.engine.Load(s.clock()).Changing {
			continue
		}
		switch n.engine.Role() {
		case identifier.RolePrefill:
			split.Prefill++
		case identifier.RoleDecode:
			split.Decode++
		case identifier.RoleMixed:
			split.Mixed++
		}
	}
	s.result.Roles = append(s.result.Roles, RoleSample{At: s.calendar.now, Split: split})
}
