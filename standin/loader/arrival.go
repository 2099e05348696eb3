// Package loader sends a mix of work to daemons over time and counts what comes back.
package loader

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Arrival is one request of the mix.
type Arrival struct {
	// At is when the request is due, from the start of the run.
	At     time.Duration
	Class  identifier.ClassName
	Caller identifier.CallerID
	Model  identifier.ModelName
	Prompt string
	// MaxOutput is the caller's limit in tokens.
	MaxOutput identifier.Tokens
	// Deadline is how long after At the whole answer must be there.
	Deadline time.Duration
}
