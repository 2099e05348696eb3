// Package permitter requests permits to load model weights from the platform's weight store.
package permitter

import (
	"context"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Permit is the weight store's response: whether a load may start now.
type Permit struct {
	Granted bool
	// RetryAfter is the time to wait before the next request if the permit is not granted.
	RetryAfter time.Duration
}

// Store is the weight store, which limits the rate of loads.
type Store interface {
	// Permit requests a permit to load one model version now.
	Permit(ctx context.Context, model identifier.ModelName, version identifier.ModelVersion) (Permit, error)
}
