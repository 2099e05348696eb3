// Package director is the adaptor for the control side of model engines: reports, cache events and orders.
package director

import (
	"context"
	"errors"
	"time"

	"rosemaryspool.example/wire/messenger"
)

// Engine is the control side of one model engine.
type Engine interface {
	// Report reads the engine's own account of its state.
	Report(ctx context.Context) (*messenger.EngineReport, error)
	// CacheEvents reads events from a sequence number on.
	CacheEvents(ctx context.Context, from uint64) (*messenger.CacheEvents, error)
	// Order sends one order exactly once over a connection of its own. Nothing is written after writeBy.
	Order(ctx context.Context, order *messenger.OrderRequest, writeBy time.Time) (*messenger.OrderReply, error)
}

// Errors of an order.
var (
	// ErrNotSent means that nothing of the order was written.
	ErrNotSent = errors.New("director: order not sent")
	// ErrOutcomeUnknown means that the engine may have taken the order.
	ErrOutcomeUnknown = errors.New("director: order outcome unknown")
)
