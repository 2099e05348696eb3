package deduplicator

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/throttler"
)

// Action is a side effect for the adaptor to carry out.
type Action interface{ action() }

// Append adds records to the claim stream atomically. The adaptor replies with AppendSucceeded or AppendFailed.
type Append struct {
	IDs     []identifier.RecordID
	Records [][]byte
	Urgency throttler.Urgency
}

// Dispatch sends the request's call exactly once under the attempt id. The adaptor replies with DispatchEnded.
type Dispatch struct {
	Request identifier.RequestID
	Attempt identifier.AttemptID
}

// Reply returns the response of the key's single run to the caller.
type Reply struct {
	Request identifier.RequestID
	// Failed is true if the call ran and the service reported a failure.
	Failed      bool
	Status      int
	ContentType string
	Body        []byte
	// Truncated is true if only the beginning of the original response body was kept.
	Truncated bool
	// Repeated is true if the response comes from the run of another request.
	Repeated bool
}

// Refuse returns the final refusal to the caller.
type Refuse struct {
	Request identifier.RequestID
	Refusal refuser.Refusal
}

func (Append) action()   {}
func (Dispatch) action() {}
func (Reply) action()    {}
func (Refuse) action()   {}
