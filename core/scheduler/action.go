package scheduler

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// Action is a side effect that the caller of Handle carries out for the scheduler.
type Action interface{ action() }

// Dispatch sends one attempt of a request. Prefill and Decode differ only if the attempt is split over two engines.
type Dispatch struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Prefill identifier.UpstreamID
	Decode  identifier.UpstreamID
	// Priority is passed on to the engine.
	Priority identifier.Priority
	// SkipOutput is the number of output tokens the caller already has; the engine resumes after them.
	SkipOutput identifier.Tokens
	// Hedge reports whether another attempt of the request is still running.
	Hedge  bool
	Reason Decision
}

// Cancel cancels an attempt whose answer is no longer needed.
type Cancel struct {
	Attempt identifier.AttemptID
}

// Refuse answers the request with a refusal, which is its final answer.
type Refuse struct {
	Request identifier.RequestID
	Refusal refuser.Refusal
}

// Complete ends a request with the answer of the given attempt.
type Complete struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
}

// Candidate holds the forecast and cost of one upstream in a routing decision.
type Candidate struct {
	Upstream identifier.UpstreamID
	// Finish is the predicted time until the last token.
	Finish time.Duration
	// Cached is the number of prompt tokens expected in the engine's prefix cache.
	Cached identifier.Tokens
	Cost   float64
}

// Decision holds the explanation of a routing decision that is logged with it.
type Decision struct {
	// Cause is a short camel-case reason, such as "prefixAffinity" or "leastHarm".
	Cause      string
	Candidates []Candidate
	ReportAge  time.Duration
}

func (Dispatch) action() {}
func (Cancel) action()   {}
func (Refuse) action()   {}
func (Complete) action() {}
