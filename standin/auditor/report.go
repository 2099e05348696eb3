package auditor

import (
	"fmt"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// Report counts what callers were told, what ran, and every breach of a promise.
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
	// FalseNotRun counts keys that ran although every sending was told 'not run'.
	FalseNotRun int
	// WrongAnswers counts keys whose answers differ.
	WrongAnswers int
	// MissingRuns counts keys that were answered and never ran.
	MissingRuns int
}

// Breaches returns the number of broken promises.
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

// judge compares the replies to each key with its runs.
func evaluate(replies map[identifier.IdempotencyKey][]reply, runs map[identifier.IdempotencyKey]int) Report {
	report := Report{Keys: len(replies)}
	for key, told := range replies {
		report.evaluateKey(told, runs[key])
	}
	return report
}

func (r *Report) evaluateKey(told []reply, runs int) {
	answers := map[string]bool{}
	notRun := 0
	for _, t := range told {
		r.countReply(t)
		if t.effect == refuser.NotRun {
			notRun++
		}
		if t.effect == 0 && !t.lost {
			answers[t.answer] = true
		}
	}
	r.Runs += runs
	if runs > 1 {
		r.SecondRuns++
	}
	if runs > 0 && notRun == len(told) {
		r.FalseNotRun++
	}
	if len(answers) > 1 {
		r.WrongAnswers++
	}
	if runs == 0 && len(answers) > 0 {
		r.MissingRuns++
	}
}

// count adds one reply to the totals.
func (r *Report) countReply(told reply) {
	r.Sends++
	switch {
	case told.lost:
		r.Lost++
	case told.effect == refuser.NotRun:
		r.NotRun++
	case told.effect == refuser.OutcomeUnknown:
		r.Unknown++
	case told.effect == refuser.RanAndFailed:
		r.RanAndFailed++
	default:
		r.Answered++
	}
}
