package simulator

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// state is how a request ended for its caller, if it has.
type state int

const (
	stateOpen state = iota
	stateComplete
	stateRefused
	// stateAbandoned means that the caller disconnected before a response.
	stateAbandoned
)

// stage is how far the latest attempt of a request has progressed.
type stage int

const (
	// stageQueued means that the instance has not dispatched the request yet.
	stageQueued stage = iota
	// stageSent means that no token of the attempt has reached the instance.
	stageSent
	// stageStreaming means that the first token has reached the instance.
	stageStreaming
)

// record holds the outcome of one request.
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
	// atDeadline is the stage that a request without a response had reached at its deadline.
	atDeadline     stage
	missedDeadline bool
}

// recordDeadline records the stage of a request that is still open at its deadline.
func (r *record) recordDeadline() {
	if r.state == stateOpen {
		r.missedDeadline = true
		r.atDeadline = r.stage
	}
}

// mayHaveRun reports whether an engine accepted the request or may still accept it.
func (r *record) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// inTime reports whether the complete response reached the caller by the deadline.
func (r *record) inTime(request Request) bool {
	return r.state == stateComplete && r.ended <= request.Deadline
}

// lossCause returns why a request has no response in time: refused, given up or late, and at which point.
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
