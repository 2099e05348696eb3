// Package reader reads a log stream in the background for one consumer, which requests each read by its offset.
package reader

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
)

const (
	// maxReadRecords bounds the records of one read.
	maxReadRecords = 1024
	// readWait is how long the log holds a read open while there are no new records.
	readWait = 2 * time.Second
	// readTimeout bounds a read; it exceeds readWait by enough time for a slow response.
	readTimeout = 5 * time.Second
	// retryDelay is the delay after a failed read: the end of an outage is detected within seconds and the log is not
	// flooded with retries.
	retryDelay = 500 * time.Millisecond
)

// Result is the outcome of one read: entries, a trimmed offset or an error. End is the offset of the next append.
type Result struct {
	Now     time.Time
	Entries []replayer.Entry
	End     identifier.Offset
	// FirstAvailable is the first retained offset if the requested one was trimmed; otherwise it is zero.
	FirstAvailable identifier.Offset
	// Err is set when the log could not be read.
	Err error
}

// Reader reads a stream from the offsets that its consumer requests.
type Reader struct {
	log     appender.Log
	stream  appender.Stream
	logger  zerolog.Logger
	next    chan identifier.Offset
	results chan Result
}

// NewReader returns a reader of a stream.
func NewReader(log appender.Log, stream appender.Stream, logger zerolog.Logger) *Reader {
	return &Reader{
		log: log, stream: stream, logger: logger,
		next: make(chan identifier.Offset, 1), results: make(chan Result, 1),
	}
}

// Results returns the channel that delivers one result for each ReadFrom.
func (r *Reader) Results() <-chan Result { return r.results }

// ReadFrom requests the next read. The consumer calls it once at the start and once after each result; a second request
// before the result could block.
func (r *Reader) ReadFrom(offset identifier.Offset) { r.next <- offset }

// Run serves read requests until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case offset := <-r.next:
			r.results <- r.read(ctx, offset)
		}
	}
}

// read reads once; after a failure it logs the error and waits before it returns.
func (r *Reader) read(ctx context.Context, offset identifier.Offset) Result {
	callContext, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := r.log.Read(callContext, r.stream, offset, maxReadRecords, readWait)
	now := time.Now()
	var trimmed *appender.TrimmedError
	if errors.As(err, &trimmed) {
		return Result{Now: now, FirstAvailable: trimmed.FirstOffset}
	}
	if err != nil {
		r.logger.Warn().Str("event", "readFailed").Str("stream", string(r.stream)).Err(err).Msg("Could not read the log")
		sleep(ctx, retryDelay)
		return Result{Now: now, Err: err}
	}
	entries := make([]replayer.Entry, len(batch.Entries))
	for i, e := range batch.Entries {
		entries[i] = replayer.Entry{Offset: e.Offset, Record: e.Record}
	}
	return Result{Now: now, Entries: entries, End: batch.EndOffset}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
