// Package checker runs seeded histories of several processes against small fakes of the log, the engines and a plain
// service, with faults, and counts the breaches of what must always hold. Its verdicts rest on a model of the log that
// shares no code with the fold.
package checker

import (
	"fmt"
	"strings"
)

// Promise is something that must hold in every history.
type Invariant int

// Promises, in the order in which results list them.
const (
	// PromiseOneRun allows one run of a key.
	InvariantSingleRun Invariant = iota
	// PromiseNotRun forbids "not run" for a call that was or will be run.
	InvariantNotRun
	// PromiseAnswer demands that every reply carries the answer of its key's run.
	InvariantCorrectAnswer
	// PromiseCheckedOrder forbids that an engine that checks tokens takes an order other than the log's open one.
	InvariantCheckedOrder
	// PromiseUncheckedOrder is the same for engines that ignore tokens.
	InvariantUncheckedOrder
	// PromiseOneSend allows one send of an order.
	InvariantSingleSend
	// PromiseOneHolder allows one process at a time to use a lease.
	InvariantSingleHolder
	// PromiseStale forbids effects of records under an old token.
	InvariantNoStaleEffect
	// PromiseNoRevert forbids a lower revision, or none, after a higher one.
	InvariantNoRevert
	invariantCount
)

var invariantNames = [invariantCount]string{
	"secondRuns", "falseNotRun", "wrongAnswers", "checkedOrderConflicts", "uncheckedOrderConflicts", "secondSends",
	"twoHolders", "staleEffects", "reverts",
}

// String returns the promise's key in result lines.
func (p Invariant) String() string { return invariantNames[p] }

// Breach is a promise that did not hold.
type Violation struct {
	Invariant Invariant
	Seed      uint64
	Step      int
	Detail    string
}

// Result counts breaches and, so that an idle history is seen, work.
type Result struct {
	Histories  int
	Steps      int
	Violations [invariantCount]int
	// First is the first breach; nil when every promise held.
	FirstViolation *Violation
	// Work done: runs of keys, repeats answered, calls refused, orders taken, engines found other than their last order
	// left them, revisions accepted, takeovers, histories restored.
	Runs, Repeats, Refused, Orders, Diverged, Revisions, LeaseGains, Restored, Faults int
}

// Add adds another result's counts.
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
	r.Faults += other.Faults
}

// String returns the result as one line of key=value pairs.
func (r *Result) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "histories=%d steps=%d", r.Histories, r.Steps)
	for p := range invariantCount {
		fmt.Fprintf(&line, " %s=%d", p, r.Violations[p])
	}
	fmt.Fprintf(&line, " runs=%d repeats=%d refused=%d orders=%d diverged=%d revisions=%d leaseGains=%d restored=%d faults=%d",
		r.Runs, r.Repeats, r.Refused, r.Orders, r.Diverged, r.Revisions, r.LeaseGains, r.Restored, r.Faults)
	if r.FirstViolation != nil {
		fmt.Fprintf(&line, " breach=%s seed=%d step=%d detail=%q", r.FirstViolation.Invariant, r.FirstViolation.Seed, r.FirstViolation.Step, r.FirstViolation.Detail)
	}
	return line.String()
}
