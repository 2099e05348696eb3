// Package checker simulates seeded histories of several processes with fault injection, against in-memory fakes of the
// log, the engines and a service, and counts invariant violations. It compares the processes with a reference model of
// the log that shares no code with the replay under test.
package checker

import (
	"fmt"
	"strings"
)

// Invariant is a property that must hold in every history.
type Invariant int

// Invariants, in the order in which results list them.
const (
	// InvariantSingleRun requires that the call of an idempotency key runs at most once.
	InvariantSingleRun Invariant = iota
	// InvariantNotRun requires that a call refused as not run has not run and never runs.
	InvariantNotRun
	// InvariantCorrectResponse requires that every reply carries the response of the run of its key.
	InvariantCorrectResponse
	// InvariantCheckedOrder requires that an engine that checks tokens accepts only the order that is open in the log.
	InvariantCheckedOrder
	// InvariantUncheckedOrder requires that an engine that ignores tokens accepts only the order that is open in the log.
	InvariantUncheckedOrder
	// InvariantSingleSend requires that an order is sent at most once.
	InvariantSingleSend
	// InvariantSingleHolder requires that at most one process at a time holds a lease.
	InvariantSingleHolder
	// InvariantNoStaleEffect requires that records with a stale fencing token have no effect.
	InvariantNoStaleEffect
	// InvariantNoRevert requires that the revision of a process neither decreases nor is lost.
	InvariantNoRevert
	// InvariantDutyToken requires that the platform carries out no duty's call with a lower token after a higher one, and
	// none with a token that another machine has used.
	InvariantDutyToken
	// InvariantDutyTurns requires that no machine makes a duty's call within a lease of its earlier one if another machine's
	// was carried out in between.
	InvariantDutyTurns
	// InvariantSingleReport requires that all reports of one window are equal.
	InvariantSingleReport
	// InvariantRefusedToken requires that a token refused for a higher one is not used longer than a lease.
	InvariantRefusedToken
	invariantCount
)

var invariantNames = [invariantCount]string{
	"secondRuns", "falseNotRun", "wrongAnswers", "checkedOrderConflicts", "uncheckedOrderConflicts", "secondSends",
	"twoHolders", "staleEffects", "reverts", "dutyTokens", "dutyTurns", "differentReports", "refusedTokens",
}

// String returns the invariant's key in result lines.
func (i Invariant) String() string { return invariantNames[i] }

// Violation describes where an invariant did not hold.
type Violation struct {
	Invariant Invariant
	Seed      uint64
	Step      int
	Detail    string
}

// Result counts violations and the work done, which shows that a history was not idle.
type Result struct {
	Histories  int
	Steps      int
	Violations [invariantCount]int
	// FirstViolation is nil when every invariant held.
	FirstViolation *Violation
	// Work done: calls run, repeated calls replied to, calls refused, orders accepted, engines whose state differs from
	// their last order, revisions accepted, leases gained, incomplete states restored, duties' calls carried out, windows
	// of usage reported, and faults injected.
	Runs, Repeats, Refused, Orders, Diverged, Revisions, LeaseGains, Restored, DutyCalls, Reports, Faults int
}

// Add adds the counts of another result and keeps the first violation.
func (r *Result) Add(other Result) {
	r.Histories += other.Histories
	r.Steps += other.Steps
	for i := range r.Violations {
		r.Violations[i] += other.Violations[i]
	}
	if r.FirstViolation == nil {
		r.FirstViolation = other.FirstViolation
	}
	r.Runs += other.Runs
	r.Repeats += other.Repeats
	r.Refused += other.Refused
	r.Orders += other.Orders
	r.Diverged += other.Diverged
	r.Revisions += other.Revisions
	r.LeaseGains += other.LeaseGains
	r.Restored += other.Restored
	r.DutyCalls += other.DutyCalls
	r.Reports += other.Reports
	r.Faults += other.Faults
}

// String returns the result as one line of key=value pairs.
func (r *Result) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "histories=%d steps=%d", r.Histories, r.Steps)
	for i := range invariantCount {
		fmt.Fprintf(&line, " %s=%d", i, r.Violations[i])
	}
	fmt.Fprintf(&line, " runs=%d repeats=%d refused=%d orders=%d diverged=%d revisions=%d leaseGains=%d restored=%d"+
		" dutyCalls=%d reports=%d faults=%d",
		r.Runs, r.Repeats, r.Refused, r.Orders, r.Diverged, r.Revisions, r.LeaseGains, r.Restored,
		r.DutyCalls, r.Reports, r.Faults)
	if r.FirstViolation != nil {
		fmt.Fprintf(&line, " breach=%s seed=%d step=%d detail=%q",
			r.FirstViolation.Invariant, r.FirstViolation.Seed, r.FirstViolation.Step, r.FirstViolation.Detail)
	}
	return line.String()
}
