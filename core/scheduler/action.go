package scheduler

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

// Action is a side effect that the caller of Handle carries out for the scheduler.
type Action interface{ action() }

// Dispatch sends one attempt of a request. Prefill and Decode are the same engine unless the attempt is split over two.
type Dispatch struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
	Prefill identifier.UpstreamID
	Decode  identifier.UpstreamID
	// Priority is passed on to the engine.
	Priority identifier.Priority
	// SkipOutput is the number of output tokens that the caller already has; the engine resumes after them.
	SkipOutput identifier.Tokens
	// Hedge reports whether another attempt of the request is still running.
	Hedge  bool
	Reason Decision
}

// Cancel cancels an attempt whose result is no longer needed.
type Cancel struct {
	Attempt identifier.AttemptID
}

// Refuse ends a request with a refusal as its final response.
type Refuse struct {
	Request identifier.RequestID
	Refusal refuser.Refusal
}

// Complete ends a request with the response of the given attempt.
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
