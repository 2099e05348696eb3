package forwarder

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/rosemaryspool/connector"
)

const (
	// survivalTime is how long a stream must have been running for the upstream to have survived the request. One that
	// crashes does so as it begins the response.
	survivalTime = time.Second
	// probeTimeout bounds the test whether an upstream still listens.
	probeTimeout = 500 * time.Millisecond
	// endingTime is how long an upstream that ends may go on to accept connections after those that it had are closed.
	endingTime = 50 * time.Millisecond
)

// isBrokenOff reports whether an exchange failed because the upstream closed the connection.
func isBrokenOff(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// recordProgress records that events of a stream have arrived.
func (e *exchange) recordProgress(now time.Time) {
	if !e.last.answered && !e.last.firstEventAt.IsZero() && now.Sub(e.last.firstEventAt) >= survivalTime {
		e.last.answered = true
		e.forwarder.governor.RecordAnswer(now, e.last.entry, e.placementRequest().Traits())
	}
}

// recordEvidence records how the upstream came through the attempt: with a complete response, or with one that broke off
// before the upstream is known to have survived the request. In that case it may have crashed.
func (e *exchange) recordEvidence(end attemptResult) {
	traits := e.placementRequest().Traits()
	if e.last.answered || len(traits) == 0 {
		return
	}
	switch {
	case end == delivered || end == upstreamError:
		e.forwarder.governor.RecordAnswer(time.Now(), e.last.entry, traits)
	case e.last.brokenOff && e.forwarder.governor.RecordBroken(time.Now(), e.last.sentAt, e.last.entry, traits):
		go e.forwarder.checkEnd(e.last.entry)
	}
}

// checkEnd finds out whether an upstream at which a request broke off has ended: it then refuses connections.
func (f *Forwarder) checkEnd(entry tracker.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := f.probe(ctx, entry)
	if err == nil {
		select {
		case <-ctx.Done():
		case <-time.After(endingTime):
		}
		err = f.probe(ctx, entry)
	}
	switch {
	case errors.Is(err, connector.ErrRefused) && !f.reachesOthers(ctx, entry):
		f.governor.RecordUnreached(time.Now(), entry)
		f.governor.RecordRefusedConnection(time.Now(), entry)
		f.log.Info().Str("event", "crashDoubted").Str("upstream", string(entry.Upstream)).
			Msg("Upstream refuses connections, but no other one can be reached either; not counted as a crash")
	case errors.Is(err, connector.ErrRefused):
		metrics.GetOrRegisterCounter("upstreamCrashes", f.registry).Inc(1)
		f.governor.RecordEnd(time.Now(), entry)
	case err == nil:
		f.governor.RecordSurvival(entry)
	default:
		f.log.Debug().Err(err).Str("event", "endUnknown").Str("upstream", string(entry.Upstream)).
			Msg("Not known whether an upstream at which a request broke off has ended")
	}
}

// probe finds out whether an upstream accepts connections.
func (f *Forwarder) probe(ctx context.Context, entry tracker.Entry) error {
	return f.connector.Probe(ctx, entry.Address, f.governor.ConnectionLimit(entry.Service))
}

// reachesOthers reports whether this instance reaches any upstream but one, or knows of no other that runs.
func (f *Forwarder) reachesOthers(ctx context.Context, entry tracker.Entry) bool {
	others := f.governor.OtherUpstreams(entry)
	return len(others) == 0 || f.prober.Reaches(ctx, others)
}
