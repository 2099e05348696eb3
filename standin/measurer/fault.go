package measurer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rosemaryspool.example/core/scheduler"
)

// Fault names what goes wrong during a run.
type Fault string

// Faults of a run.
const (
	FaultNone          Fault = "none"
	FaultCrash         Fault = "crash"
	FaultSlow          Fault = "slow"
	FaultFrozenReports Fault = "frozen-reports"
	FaultLogOutage     Fault = "log-outage"
	FaultDataCentre    Fault = "data-centre"
)

// Faults lists every fault.
var Faults = []Fault{FaultNone, FaultCrash, FaultSlow, FaultFrozenReports, FaultLogOutage, FaultDataCentre}

// ParseFault returns the fault of a name.
func ParseFault(name string) (Fault, error) {
	for _, f := range Faults {
		if string(f) == name {
			return f, nil
		}
	}
	return "", fmt.Errorf("measurer: unknown fault %q", name)
}

// frozenEngines is the number of engines whose reports freeze at once.
const frozenEngines = 2

// faultPlan says when and where a run's fault happens.
type faultPlan struct {
	fault      Fault
	start      time.Duration
	end        time.Duration
	engine     int
	dataCentre int
}

// newFaultPlan draws the fault of a run; it starts between 30 % and 60 % of the run.
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

// startFault plans the run's fault.
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

// crash ends an engine's process; the instance list shows it later.
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

// restart starts a crashed engine again; the instance list shows it later.
func (s *Simulation) restartEngine(n *node) {
	n.engine.Restart(s.clock())
	s.advanceEngine(n)
	s.recordRoles()
	s.calendar.after(s.parameters.DiscoveryDelay, func() { s.announceEngine(n) })
}

// freeze makes the reports of some engines repeat their last content, or sets them right.
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

// isolate cuts one data centre off; streams across the cut break once they have been silent for too long.
func (s *Simulation) isolate(dataCentre int) {
	s.isolated = dataCentre
	s.calendar.after(s.parameters.SilenceTimeout, func() {
		for _, i := range s.instances {
			s.breakStreams(i)
		}
	})
}

// breakStreams ends the attempts whose engine the instance cannot reach any more, in the order of their ids.
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
