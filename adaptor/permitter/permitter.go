// Package permitter is the adaptor for the platform's weight store.
package permitter

import (
	"context"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Permit says whether one load may start now.
type Permit struct {
	Granted    bool
	RetryAfter time.Duration
}

// Store is the rate-limited weight store.
type Store interface {
	Permit(ctx context.Context, model identifier.ModelName, version identifier.ModelVersion) (Permit, error)
}
