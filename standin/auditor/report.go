package auditor

import (
	"fmt"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// Report counts the submissions by outcome, the runs, and the violations of the at-most-once guarantee.
type Report struct {
	Keys         int
	Sends        int
	Answered     int
	NotRun       int
	Unknown      int
	RanAndFailed int
	Lost         int
	Runs         int
	// SecondRuns counts keys that ran more than once.
	SecondRuns int
	// FalseNotRun counts keys that ran although every response was 'not run'.
	FalseNotRun int
	// WrongAnswers counts keys with responses of the service that differ.
	WrongAnswers int
	// MissingRuns counts keys with a response of the service although they never ran.
	MissingRuns int
}

// Violations returns the sum of SecondRuns, FalseNotRun, WrongAnswers and MissingRuns.
func (r Report) Violations() int {
	return r.SecondRuns + r.FalseNotRun + r.WrongAnswers + r.MissingRuns
}

// String returns the report as one line of key=value pairs.
func (r Report) String() string {
	return fmt.Sprintf("keys=%d sends=%d answered=%d notRun=%d outcomeUnknown=%d ranAndFailed=%d lost=%d runs=%d"+
		" secondRuns=%d falseNotRun=%d wrongAnswers=%d missingRuns=%d",
		r.Keys, r.Sends, r.Answered, r.NotRun, r.Unknown, r.RanAndFailed, r.Lost, r.Runs,
		r.SecondRuns, r.FalseNotRun, r.WrongAnswers, r.MissingRuns)
}

// evaluate compares the outcomes for each key with its runs.
func evaluate(outcomes map[identifier.IdempotencyKey][]outcome, runs map[identifier.IdempotencyKey]int) Report {
	report := Report{Keys: len(outcomes)}
	for key, keyOutcomes := range outcomes {
		report.evaluateKey(keyOutcomes, runs[key])
	}
	return report
}

// evaluateKey counts the outcomes and runs of one key and detects violations.
func (r *Report) evaluateKey(outcomes []outcome, runs int) {
	responses := map[string]bool{}
	notRun := 0
	for _, o := range outcomes {
		r.countOutcome(o)
		if o.effect == refuser.NotRun {
			notRun++
		}
		if o.effect == 0 && !o.lost {
			responses[o.response] = true
		}
	}
	r.Runs += runs
	if runs > 1 {
		r.SecondRuns++
	}
	if runs > 0 && notRun == len(outcomes) {
		r.FalseNotRun++
	}
	if len(responses) > 1 {
		r.WrongAnswers++
	}
	if runs == 0 && len(responses) > 0 {
		r.MissingRuns++
	}
}

// countOutcome adds one outcome to the totals.
func (r *Report) countOutcome(o outcome) {
	r.Sends++
	switch {
	case o.lost:
		r.Lost++
	case o.effect == refuser.NotRun:
		r.NotRun++
	case o.effect == refuser.OutcomeUnknown:
		r.Unknown++
	case o.effect == refuser.RanAndFailed:
		r.RanAndFailed++
	default:
		r.Answered++
	}
}
