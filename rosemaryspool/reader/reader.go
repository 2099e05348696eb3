// Package reader reads one log stream for an owner goroutine, which tells it from where to go on.
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
	// readWait is how long an idle read waits at the log.
	readWait = 2 * time.Second
	// readTimeout bounds a read; it is longer than readWait by the time of a slow answer.
	readTimeout = 5 * time.Second
	// retryDelay is the pause after a failed read, so that an outage's end is noticed within seconds and without a rush.
	retryDelay = 500 * time.Millisecond
)

// Result is the outcome of one read.
type Result struct {
	Now     time.Time
	Entries []replayer.Entry
	End     identifier.Offset
	// FirstAvailable is the first offset that the log keeps when the wanted one is gone; zero otherwise.
	FirstAvailable identifier.Offset
	// Err is set when the log could not be read.
	Err error
}

// Reader reads a stream from the offsets that its owner names.
type Reader struct {
	log     appender.Log
	stream  appender.Stream
	logger  zerolog.Logger
	next    chan identifier.Offset
	results chan Result
}

// NewReader returns a reader of a stream.
func NewReader(log appender.Log, stream appender.Stream, events zerolog.Logger) *Reader {
	return &Reader{
		log: log, stream: stream, logger: events,
		next: make(chan identifier.Offset, 1), results: make(chan Result, 1),
	}
}

// Results delivers one result for each ReadFrom.
func (r *Reader) Results() <-chan Result { return r.results }

// ReadFrom starts the next read. The owner calls it once at the start and once after each result.
func (r *Reader) ReadFrom(offset identifier.Offset) { r.next <- offset }

// Run reads until ctx ends.
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

func (r *Reader) read(ctx context.Context, offset identifier.Offset) Result {
	callContext, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := r.log.Read(callContext, r.stream, offset, maxReadRecords, readWait)
	now := time.Now()
	var trimmed *appender.TrimmedError
	if errors.As(err, &trimmed) {
		return Result{Now: now, FirstAvailable: trimmed.First}
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
	return Result{Now: now, Entries: entries, End: batch.End}
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
