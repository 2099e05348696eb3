// Package director provides access to the control API of model engines: reports, cache events and orders.
package director

import (
	"context"
	"errors"
	"time"

	"rosemaryspool.example/wire/messenger"
)

// Engine is the control API of one model engine.
type Engine interface {
	// Report returns the engine's report of its state.
	Report(ctx context.Context) (*messenger.EngineReport, error)
	// CacheEvents returns the KV cache events from a sequence number on.
	CacheEvents(ctx context.Context, from uint64) (*messenger.CacheEvents, error)
	// Order sends one order at most once over a new connection. Nothing is written after writeBy, which is required.
	Order(ctx context.Context, order *messenger.OrderRequest, writeBy time.Time) (*messenger.OrderReply, error)
}

// Errors of an order.
var (
	// ErrNotSent means that no byte of the order was written.
	ErrNotSent = errors.New("director: order not sent")
	// ErrOutcomeUnknown means that the engine may have received the order.
	ErrOutcomeUnknown = errors.New("director: order outcome unknown")
)
