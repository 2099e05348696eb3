package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rosemaryspool.example/core/scheduler"
)

// Fault is the failure that is injected into a run.
type Fault string

// Faults that can be injected into a run.
const (
	FaultNone          Fault = "none"
	FaultCrash         Fault = "crash"
	FaultSlow          Fault = "slow"
	FaultFrozenReports Fault = "frozen-reports"
	FaultLogOutage     Fault = "log-outage"
	FaultDataCentre    Fault = "data-centre"
)

// Faults lists every fault, including FaultNone.
var Faults = []Fault{FaultNone, FaultCrash, FaultSlow, FaultFrozenReports, FaultLogOutage, FaultDataCentre}

// ParseFault returns the named fault, or an error if there is none of that name.
func ParseFault(name string) (Fault, error) {
	for _, f := range Faults {
		if string(f) == name {
			return f, nil
		}
	}
	return "", fmt.Errorf("simulator: unknown fault %q", name)
}

// frozenEngines is the number of engines whose load reports freeze at the same time.
const frozenEngines = 2

// faultPlan defines when a run's fault starts and ends and which engine or data centre it affects.
type faultPlan struct {
	fault      Fault
	start      time.Duration
	end        time.Duration
	engine     int
	dataCentre int
}

// newFaultPlan draws the time and place of the fault. The fault starts between 30 % and 60 % of the run.
func newFaultPlan(w *Workload, seed uint64, fault Fault) *faultPlan {
	random := newRandom(seed, "fault")
	p := &faultPlan{fault: fault}
	p.start = drawDuration(random, w.Length*3/10, w.Length*6/10)
	p.end = p.start + w.Parameters.FaultDuration
	if fault == FaultSlow || fault == FaultFrozenReports || fault == FaultLogOutage {
		p.end = p.start + w.Parameters.LongFaultDuration
	}
	p.engine = random.IntN(w.Parameters.Engines)
	p.dataCentre = random.IntN(w.Parameters.DataCentres)
	return p
}

// scheduleFault schedules the start and the end of the run's fault.
func (s *Simulation) scheduleFault() {
	p := s.fault
	n := s.engines[p.engine]
	switch p.fault {
	case FaultCrash:
		s.calendar.at(p.start, func() { s.crashEngine(n) })
		s.calendar.at(p.end, func() { s.restartEngine(n) })
	case FaultSlow:
		s.calendar.at(p.start, func() { n.engine.SetSlowness(s.clock(), s.parameters.SlowdownFactor) })
		s.calendar.at(p.end, func() { n.engine.SetSlowness(s.clock(), 1) })
	case FaultFrozenReports:
		s.calendar.at(p.start, func() { s.setReportsFrozen(true) })
		s.calendar.at(p.end, func() { s.setReportsFrozen(false) })
	case FaultLogOutage:
		s.calendar.at(p.start, func() { s.orderLogDown = true })
		s.calendar.at(p.end, func() { s.orderLogDown = false })
	case FaultDataCentre:
		s.calendar.at(p.start, func() { s.isolate(p.dataCentre) })
		s.calendar.at(p.end, func() { s.isolated = -1 })
	case FaultNone:
	}
}

// crashEngine stops an engine's process. Instances are notified of the removal only after the discovery delay.
func (s *Simulation) crashEngine(n *node) {
	n.engine.Crash(s.clock())
	s.advanceEngine(n)
	s.recordRoles()
	s.calendar.after(s.parameters.DiscoveryDelay, func() {
		for _, i := range s.instances {
			i.handle(scheduler.UpstreamRemoved{Now: s.clock(), Upstream: n.id})
		}
	})
}

// restartEngine restarts a crashed engine. Instances are notified of it only after the discovery delay.
func (s *Simulation) restartEngine(n *node) {
	n.engine.Restart(s.clock())
	s.advanceEngine(n)
	s.recordRoles()
	s.calendar.after(s.parameters.DiscoveryDelay, func() { s.announceEngine(n) })
}

// setReportsFrozen makes some engines repeat their current load in every report, or ends that.
func (s *Simulation) setReportsFrozen(on bool) {
	for k := range frozenEngines {
		n := s.engines[(s.fault.engine+k)%len(s.engines)]
		n.frozenLoad = nil
		if on {
			load := n.engine.Load(s.clock())
			n.frozenLoad = &load
		}
	}
}

// isolate partitions one data centre from the others. Streams across the partition break after the silence timeout.
func (s *Simulation) isolate(dataCentre int) {
	s.isolated = dataCentre
	s.calendar.after(s.parameters.SilenceTimeout, func() {
		for _, i := range s.instances {
			s.breakStreams(i)
		}
	})
}

// breakStreams fails the instance's attempts on engines across the partition. It iterates over sorted IDs so that runs
// are reproducible.
func (s *Simulation) breakStreams(i *instance) {
	for _, id := range slices.Sorted(maps.Keys(i.attempts)) {
		a := i.attempts[id]
		if a.ended || a.target == nil || !s.partitioned(a.target.dataCentre, i.dataCentre) {
			continue
		}
		s.cancelAt(a, a.target)
		s.failNow(a, scheduler.FailureTruncated, nil)
	}
}
