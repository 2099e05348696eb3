// Package loader sends a mix of requests to daemons at their due times and counts the outcomes and latencies.
package loader

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Arrival is one request of the mix with its due time.
type Arrival struct {
	// At is the due time of the request, counted from the start of the run.
	At     time.Duration
	Class  identifier.ClassName
	Caller identifier.CallerID
	Model  identifier.ModelName
	Prompt string
	// MaxOutput is the caller's limit of output tokens.
	MaxOutput identifier.Tokens
	// Deadline is the time after At within which the complete answer must arrive.
	Deadline time.Duration
}
