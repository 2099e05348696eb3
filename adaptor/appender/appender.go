// Package appender is the adaptor for the platform's log service.
package appender

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Stream names one log stream, such as "trial.control" or "trial.claims.0".
type Stream string

// Entry is one record with its offset.
type Entry struct {
	Offset identifier.Offset
	Record []byte
}

// Batch is what one read returns.
type Batch struct {
	Entries []Entry
	// First is the first offset that the log keeps; End is the offset of the next append.
	FirstOffset identifier.Offset
	EndOffset   identifier.Offset
}

// Log is the platform's append-only log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds the records in order, all or none, and returns the offset of the first.
	Append(ctx context.Context, stream Stream, records [][]byte) (identifier.Offset, error)
	// Read returns records from an offset on; with none there it waits up to wait for one. The first offset is 1.
	Read(ctx context.Context, stream Stream, from identifier.Offset, limit int, wait time.Duration) (Batch, error)
}

// ErrUnavailable means that the log did not take the call: nothing was appended.
var ErrUnavailable = errors.New("appender: log unavailable")

// ErrOutcomeUnknown means that the answer was lost: the records may have been appended.
var ErrOutcomeUnknown = errors.New("appender: append outcome unknown")

// TrimmedError means that the wanted offset is no longer kept.
type TrimmedError struct {
	Requested   identifier.Offset
	FirstOffset identifier.Offset
}

// Error tells which offset is missing and where the log begins.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("appender: offset %d is trimmed, log begins at %d", e.Requested, e.FirstOffset)
}
