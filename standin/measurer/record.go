package measurer

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// state tells how a request stands with its caller.
type state int

const (
	stateOpen state = iota
	stateComplete
	stateRefused
	// stateLeft means that the caller went without an answer.
	stateAbandoned
)

// stage tells how far a request has come.
type stage int

const (
	// stageHeld means that the instance has sent it nowhere.
	stageQueued stage = iota
	// stageSent means that an engine has it and has produced nothing yet.
	stageSent
	// stageStreaming means that the first token has arrived.
	stageStreaming
)

// record is what became of one request.
type record struct {
	state     state
	stage     stage
	code      refuser.Code
	ended     time.Duration
	delivered identifier.Tokens
	attempts  []*attempt
	hedges    int
	failures  int
	rejected  int
	// atDeadline is the stage in which an unanswered request met its deadline.
	atDeadline     stage
	missedDeadline bool
}

// passDeadline notes how far an unanswered request had come.
func (r *record) recordDeadline() {
	if r.state == stateOpen {
		r.missedDeadline = true
		r.atDeadline = r.stage
	}
}

// mayHaveRun reports whether an engine took the request or may still take it.
func (r *record) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// inTime reports whether the whole answer reached the caller by the deadline.
func (r *record) inTime(request Request) bool {
	return r.state == stateComplete && r.ended <= request.Deadline
}

// loss names why an answer does not count.
func (r *record) lossCause() string {
	switch {
	case r.state == stateRefused && len(r.attempts) == 0:
		return "refused"
	case r.state == stateRefused && r.failures > 0:
		return "givenUpAfterFailure"
	case r.state == stateRefused && r.stage == stageStreaming:
		return "givenUpInDecode"
	case r.state == stateRefused:
		return "givenUpInQueue"
	case r.failures > 0:
		return "lateAfterFailure"
	case r.atDeadline == stageQueued:
		return "lateInInstance"
	case r.atDeadline == stageSent:
		return "lateInQueue"
	default:
		return "lateInDecode"
	}
}
