// Package appender provides access to the platform's log service: appending to and reading from its streams.
package appender

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Stream is the name of a log stream, such as "trial.control" or "trial.claims.0".
type Stream string

// Entry is one record with its offset.
type Entry struct {
	Offset identifier.Offset
	Record []byte
}

// Batch is the result of one read.
type Batch struct {
	Entries []Entry
	// FirstOffset is the first offset that the log retains; EndOffset is the offset of the next append.
	FirstOffset identifier.Offset
	EndOffset   identifier.Offset
}

// Log is the platform's append-only log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds the records in order, all or none, and returns the offset of the first.
	Append(ctx context.Context, stream Stream, records [][]byte) (identifier.Offset, error)
	// Read returns at most limit records from an offset on. If there are none yet, it waits up to wait for one.
	// Offsets start at 1.
	Read(ctx context.Context, stream Stream, from identifier.Offset, limit int, wait time.Duration) (Batch, error)
}

// ErrUnavailable means that the log did not execute the call: nothing was appended.
var ErrUnavailable = errors.New("appender: log unavailable")

// ErrOutcomeUnknown means that no valid response arrived: the records may have been appended.
var ErrOutcomeUnknown = errors.New("appender: append outcome unknown")

// TrimmedError means that the requested offset is no longer retained.
type TrimmedError struct {
	Requested   identifier.Offset
	FirstOffset identifier.Offset
}

// Error includes the requested offset and the first one that the log retains.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("appender: offset %d is trimmed, log starts at %d", e.Requested, e.FirstOffset)
}
