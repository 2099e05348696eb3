package scheduler

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// Action is something that the shell carries out for the core.
type Action interface{ action() }

// Dispatch sends one attempt of a request. Decode equals Prefill unless the attempt is split over two engines.
type Dispatch struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Prefill identifier.UpstreamID
	Decode  identifier.UpstreamID
	// Priority is passed on to the engine.
	Priority identifier.Priority
	// SkipOutput is how many output tokens the caller already has; the engine resumes after them.
	SkipOutput identifier.Tokens
	// Hedge is true when another attempt of the request is still running.
	Hedge  bool
	Reason Decision
}

// Cancel tells an engine that nobody waits for the attempt.
type Cancel struct {
	Attempt identifier.AttemptID
}

// Refuse gives the caller its final answer at once.
type Refuse struct {
	Request identifier.RequestID
	Refusal refuser.Refusal
}

// Complete tells that the named attempt's answer is the request's whole answer.
type Complete struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
}

// Candidate is one upstream's figures in a routing decision.
type Candidate struct {
	Upstream identifier.UpstreamID
	Finish   time.Duration
	Cached   identifier.Tokens
	Cost     float64
}

// Decision explains a routing decision in one log line.
type Decision struct {
	// Cause is a short camel-case word, such as "prefixAffinity" or "leastHarm".
	Cause      string
	Candidates []Candidate
	ReportAge  time.Duration
}

func (Dispatch) action() {}
func (Cancel) action()   {}
func (Refuse) action()   {}
func (Complete) action() {}
