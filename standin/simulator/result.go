package simulator

import (
	"cmp"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// RoleSample is the split of the engines in service from a time on.
type RoleSample struct {
	At    time.Duration
	Split Split
}

// ClassResult counts the requests of one class by outcome.
type ClassResult struct {
	Class    identifier.ClassName
	Arrived  int
	InTime   int
	Urgent   bool
	Priority identifier.Priority
	// Losses counts the requests without a response in time, by cause.
	Losses map[string]int
}

// Goodput returns the fraction of requests with a response in time, or 1 if there were none.
func (c ClassResult) Goodput() float64 { return share(c.InTime, c.Arrived) }

// Result holds the metrics of one run of one policy.
type Result struct {
	Arrived     int
	Classes     []ClassResult
	P99Lateness time.Duration
	Refused     int
	Retried     int
	Hedged      int
	Rejected    int
	RoleChanges int
	// Violations counts violations of the response guarantees, such as truncated or duplicate responses.
	// FirstViolation describes the first.
	Violations     int
	FirstViolation string
	// CutUrgent counts the urgent attempts that a role change dropped.
	CutUrgent int
	Roles     []RoleSample
	// Buckets holds the goodput by time of arrival, one value for each BucketLength.
	Buckets []float64
	// UrgentNearFault is the goodput of urgent requests that arrive within 5 s of the start of the fault.
	UrgentNearFault float64
	// UrgentWhereFits is the goodput of urgent requests in phases where the urgent work alone fits the fleet.
	UrgentWhereFits float64
}

// BucketLength is the time resolution of Result.Buckets.
const BucketLength = 30 * time.Second

// Goodput returns the fraction of requests with a response in time.
func (r Result) Goodput() float64 {
	inTime := 0
	for _, c := range r.Classes {
		inTime += c.InTime
	}
	return share(inTime, r.Arrived)
}

// UrgentGoodput returns the fraction of urgent requests with a response in time.
func (r Result) UrgentGoodput() float64 {
	inTime, arrived := 0, 0
	for _, c := range r.Classes {
		if c.Urgent {
			inTime += c.InTime
			arrived += c.Arrived
		}
	}
	return share(inTime, arrived)
}

// WeightedGoodput returns the fraction of requests with a response in time, weighted by the priority of their class.
func (r Result) WeightedGoodput() float64 {
	inTime, arrived := 0, 0
	for _, c := range r.Classes {
		inTime += c.InTime * int(c.Priority)
		arrived += c.Arrived * int(c.Priority)
	}
	return share(inTime, arrived)
}

// share returns part divided by total, or 1 if total is zero.
func share(part, total int) float64 {
	if total == 0 {
		return 1
	}
	return float64(part) / float64(total)
}

// summarise computes the result from the records of all requests.
func (s *Simulation) summarise() Result {
	r := s.result
	r.Arrived = len(s.records)
	for _, c := range s.parameters.Classes {
		r.Classes = append(r.Classes, ClassResult{
			Class: c.Name, Urgent: c.Urgent, Priority: c.Priority, Losses: map[string]int{},
		})
	}
	var lateness []time.Duration
	for i := range s.records {
		record, request := &s.records[i], s.workload.Requests[i]
		class := &r.Classes[request.Class]
		class.Arrived++
		if record.inTime(request) {
			class.InTime++
		} else {
			class.Losses[record.lossCause()]++
		}
		if record.state == stateRefused {
			r.Refused++
		}
		if record.state == stateComplete {
			lateness = append(lateness, max(record.ended-request.Deadline, 0))
		}
		r.Hedged += record.hedges
		r.Retried += max(len(record.attempts)-record.hedges-1, 0)
		r.Rejected += record.rejected
	}
	r.P99Lateness = percentile(lateness, 0.99)
	r.Buckets = s.buckets()
	r.UrgentNearFault = s.urgentNearFault()
	r.UrgentWhereFits = s.urgentWhereFits()
	return r
}

// buckets returns the goodput of each bucket of arrival time.
func (s *Simulation) buckets() []float64 {
	count := int((s.workload.Length + BucketLength - 1) / BucketLength)
	arrived, inTime := make([]int, count), make([]int, count)
	for i := range s.records {
		request := s.workload.Requests[i]
		bucket := min(int(request.Arrival/BucketLength), count-1)
		arrived[bucket]++
		if s.records[i].inTime(request) {
			inTime[bucket]++
		}
	}
	goodput := make([]float64, count)
	for i := range goodput {
		goodput[i] = share(inTime[i], arrived[i])
	}
	return goodput
}

// nearFaultWindow is the window centred on the start of a fault for which urgent goodput is reported on its own.
const nearFaultWindow = 10 * time.Second

// urgentNearFault returns the goodput of urgent requests that arrive around the start of the fault.
func (s *Simulation) urgentNearFault() float64 {
	from, to := s.fault.start-nearFaultWindow/2, s.fault.start+nearFaultWindow/2
	return s.urgentGoodputOf(func(r Request) bool { return r.Arrival >= from && r.Arrival < to })
}

// urgentWhereFits returns the goodput of urgent requests in phases where the urgent work alone fits the fleet.
func (s *Simulation) urgentWhereFits() float64 {
	return s.urgentGoodputOf(func(r Request) bool {
		phase := 0
		for phase+1 < len(s.workload.Phases) && r.Arrival >= s.workload.Phases[phase+1].Start {
			phase++
		}
		return s.workload.Phases[phase].UrgentFits
	})
}

// urgentGoodputOf returns the goodput of the urgent requests that the filter selects.
func (s *Simulation) urgentGoodputOf(selects func(Request) bool) float64 {
	arrived, inTime := 0, 0
	for i := range s.records {
		request := s.workload.Requests[i]
		if !s.parameters.Classes[request.Class].Urgent || !selects(request) {
			continue
		}
		arrived++
		if s.records[i].inTime(request) {
			inTime++
		}
	}
	return share(inTime, arrived)
}

// percentile returns the value below which the given fraction of the values lies. It sorts values in place.
func percentile[T cmp.Ordered](values []T, part float64) T {
	var zero T
	if len(values) == 0 {
		return zero
	}
	slices.Sort(values)
	return values[min(int(part*float64(len(values))), len(values)-1)]
}
