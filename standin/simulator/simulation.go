package simulator

import (
	"fmt"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// epoch is the time on the fake clock at which every run starts.
var epoch = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// maxSettleTime limits how long a run continues after the last arrival, so that requests in flight can end.
const maxSettleTime = 100 * time.Second

// Simulation is one run of one policy on one workload.
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
	// isolated is the number of the data centre partitioned from the others, or -1.
	isolated int
	// orderLogDown is true while no order can be written to the log.
	orderLogDown bool
}

// NewSimulation returns a run of the policy on the workload with the fault injected. The run starts with Run.
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

// newInstance returns an instance with its own decider. Instances are spread over the data centres by number.
func (s *Simulation) newInstance(number int) *instance {
	i := &instance{
		id: identifier.InstanceID(fmt.Sprintf("instance%d", number+1)), dataCentre: number % s.parameters.DataCentres,
		simulation: s, requests: map[identifier.RequestID]int{}, attempts: map[identifier.AttemptID]*attempt{},
	}
	i.decider = s.policy.NewDecider(i.id, dataCentreName(i.dataCentre))
	return i
}

// engineID returns the ID of an engine; IDs count from 1.
func engineID(number int) identifier.UpstreamID {
	return identifier.UpstreamID(fmt.Sprintf("engine%d", number+1))
}

// dataCentreName returns the name of a data centre; names count from 1.
func dataCentreName(number int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("dataCentre%d", number+1))
}

// Run executes the run until every request has ended or the settle time is over, and returns its result.
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

// hasOpenRequests reports whether any request has not ended yet.
func (s *Simulation) hasOpenRequests() bool {
	return slices.ContainsFunc(s.records, func(r record) bool { return r.state == stateOpen })
}

// scheduleArrival schedules one request's arrival, which schedules the next.
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

// announceEngine sends every instance an engine's entry in the instance list and its current load.
func (s *Simulation) announceEngine(n *node) {
	for _, i := range s.instances {
		i.handle(scheduler.UpstreamListed{
			Now: s.clock(), Upstream: n.id, DataCentre: dataCentreName(n.dataCentre),
			Models: []identifier.ModelName{modelName},
		})
		i.handle(scheduler.LoadReported{Now: s.clock(), Upstream: n.id, Load: n.load(s.clock())})
	}
}

// clock returns the current time on the fake clock.
func (s *Simulation) clock() time.Time { return epoch.Add(s.calendar.now) }

// partitioned reports whether two data centres cannot reach each other.
func (s *Simulation) partitioned(a, b int) bool {
	return s.isolated >= 0 && (a == s.isolated) != (b == s.isolated)
}

// networkDelay returns the one-way network delay between two data centres, or a fifth of it within one.
func (s *Simulation) networkDelay(a, b int) time.Duration {
	if a == b {
		return s.parameters.NetworkDelay / 5
	}
	return s.parameters.NetworkDelay
}

// recordViolation counts a violation of the response guarantees, such as a truncated or duplicate response.
func (s *Simulation) recordViolation(kind string) {
	s.result.Violations++
	if s.result.FirstViolation == "" {
		s.result.FirstViolation = kind
	}
}

// observe passes the first instance's events and actions to the planner and schedules the resulting orders.
func (s *Simulation) observe(i *instance, event scheduler.Event, actions []scheduler.Action) {
	if s.planner == nil || s.orderLogDown || i != s.instances[0] {
		return
	}
	for _, order := range s.planner.Observe(event, actions) {
		s.calendar.after(s.parameters.OrderDelay, func() { s.deliverOrder(i, order) })
	}
}

// deliverOrder applies an order to its engine if that is reachable, and reports the outcome to the planner.
func (s *Simulation) deliverOrder(i *instance, order Order) {
	n := s.nodes[order.Upstream]
	accepted := false
	if n != nil && !s.orderLogDown && !s.partitioned(i.dataCentre, n.dataCentre) {
		accepted = s.applyOrder(n, order)
		s.advanceEngine(n)
	}
	s.planner.OrderEnded(s.clock(), order, accepted)
}

// applyOrder executes an order that has reached its engine and reports whether the engine accepted it.
func (s *Simulation) applyOrder(n *node, order Order) bool {
	switch order.Kind {
	case OrderDrain:
		s.announceDrain(n, true)
	case OrderRestore:
		s.announceDrain(n, false)
	case OrderChangeRole:
		changeTime := drawDuration(n.changeTimes, s.parameters.RoleChangeMin, s.parameters.RoleChangeMax)
		if n.engine.ChangeRole(s.clock(), order.Role, changeTime, s.parameters.DrainTimeout) != nil {
			return false
		}
		s.result.RoleChanges++
		s.recordRoles()
	}
	return true
}

// announceDrain passes the start or end of a drain to every instance, as if read from the log. The engine is not
// informed.
func (s *Simulation) announceDrain(n *node, draining bool) {
	for _, i := range s.instances {
		i.handle(scheduler.UpstreamDrained{Now: s.clock(), Upstream: n.id, Draining: draining})
	}
}

// recordRoles records the current split of the engines for the plot. Engines that are changing role count for none.
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
