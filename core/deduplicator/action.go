package deduplicator

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/throttler"
)

// Action is something that the shell carries out for the core.
type Action interface{ action() }

// Append adds records to the claim stream, all or none, and is answered by AppendSucceeded or AppendFailed.
type Append struct {
	IDs     []identifier.RecordID
	Records [][]byte
	Urgency throttler.Urgency
}

// Dispatch sends the request's call exactly once under the attempt's id and is answered by DispatchEnded.
type Dispatch struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
}

// Reply gives the caller the answer of the key's single run.
type Reply struct {
	Request identifier.RequestID
	// Failed is true when the call ran and the service reported a failure.
	Failed      bool
	Status      int
	ContentType string
	Answer      []byte
	// Truncated is true when the kept answer is only the beginning of the first one.
	Truncated bool
	// Repeated is true when the run was another request's.
	Repeated bool
}

// Refuse gives the caller its final refusal.
type Refuse struct {
	Request identifier.RequestID
	Refusal refuser.Refusal
}

func (Append) action()   {}
func (Dispatch) action() {}
func (Reply) action()    {}
func (Refuse) action()   {}
