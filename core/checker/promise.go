// Package checker runs seeded histories of several processes against small fakes of the log, the engines and a plain
// service, with faults, and counts the breaches of what must always hold. Its verdicts rest on a model of the log that
// shares no code with the fold.
package checker

import (
	"fmt"
	"strings"
)

// Promise is something that must hold in every history.
type Promise int

// Promises, in the order in which results list them.
const (
	// PromiseOneRun allows one run of a key.
	PromiseOneRun Promise = iota
	// PromiseNotRun forbids "not run" for a call that was or will be run.
	PromiseNotRun
	// PromiseAnswer demands that every reply carries the answer of its key's run.
	PromiseAnswer
	// PromiseCheckedOrder forbids that an engine that checks tokens takes an order other than the log's open one.
	PromiseCheckedOrder
	// PromiseUncheckedOrder is the same for engines that ignore tokens.
	PromiseUncheckedOrder
	// PromiseOneSend allows one send of an order.
	PromiseOneSend
	// PromiseOneHolder allows one process at a time to use a lease.
	PromiseOneHolder
	// PromiseStale forbids effects of records under an old token.
	PromiseStale
	// PromiseNoRevert forbids a lower revision, or none, after a higher one.
	PromiseNoRevert
	promiseCount
)

var promiseNames = [promiseCount]string{
	"secondRuns", "falseNotRun", "wrongAnswers", "checkedOrderConflicts", "uncheckedOrderConflicts", "secondSends",
	"twoHolders", "staleEffects", "reverts",
}

// String returns the promise's key in result lines.
func (p Promise) String() string { return promiseNames[p] }

// Breach is a promise that did not hold.
type Breach struct {
	Promise Promise
	Seed    uint64
	Step    int
	Detail  string
}

// Result counts breaches and, so that an idle history is seen, work.
type Result struct {
	Histories int
	Steps     int
	Breaches  [promiseCount]int
	// First is the first breach; nil when every promise held.
	First *Breach
	// Work done: runs of keys, repeats answered, calls refused, orders taken, engines found other than their last order
	// left them, revisions accepted, takeovers, histories restored.
	Runs, Repeats, Refused, Orders, Diverged, Revisions, Gains, Restored, Faults int
}

// Add adds another result's counts.
func (r *Result) Add(other Result) {
	r.Histories += other.Histories
	r.Steps += other.Steps
	for i := range r.Breaches {
		r.Breaches[i] += other.Breaches[i]
	}
	if r.First == nil {
		r.First = other.First
	}
	r.Runs += other.Runs
	r.Repeats += other.Repeats
	r.Refused += other.Refused
	r.Orders += other.Orders
	r.Diverged += other.Diverged
	r.Revisions += other.Revisions
	r.Gains += other.Gains
	r.Restored += other.Restored
	r.Faults += other.Faults
}

// String returns the result as one line of key=value pairs.
func (r *Result) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "histories=%d steps=%d", r.Histories, r.Steps)
	for p := range promiseCount {
		fmt.Fprintf(&line, " %s=%d", p, r.Breaches[p])
	}
	fmt.Fprintf(&line, " runs=%d repeats=%d refused=%d orders=%d diverged=%d revisions=%d leaseGains=%d restored=%d faults=%d",
		r.Runs, r.Repeats, r.Refused, r.Orders, r.Diverged, r.Revisions, r.Gains, r.Restored, r.Faults)
	if r.First != nil {
		fmt.Fprintf(&line, " breach=%s seed=%d step=%d detail=%q", r.First.Promise, r.First.Seed, r.First.Step, r.First.Detail)
	}
	return line.String()
}
