package forwarder

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/continuer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/rationer"
	"rosemaryspool.example/core/splitter"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
)

const (
	// maxStoredBytes is the size below which a response is buffered before it is forwarded, so that the request can be
	// retried when the response breaks off.
	maxStoredBytes = 256 << 10
	// relayBufferBytes is the size of a read from an event stream.
	relayBufferBytes = 8 << 10
)

// storedResponse is a complete, buffered response of an upstream.
type storedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relay forwards an answer as far as it may be written after what the caller has already.
func (e *exchange) relay(ctx context.Context, response *connector.Response) (attemptResult, allocator.Outcome) {
	switch v := e.response.Judge(continuer.Answer{
		Status: response.Status, Signed: platform.IsSigned(response.Header), Final: e.last.peer != "",
		EventStream: platform.IsEventStream(response.Header),
		Own:         e.last.peer != "" && e.last.entry.Upstream == "",
	}).(type) {
	case continuer.Relay:
		return e.relayStream(ctx, response)
	case continuer.Discard:
		response.Close(false)
		e.last.discarded = v.Cause
		metrics.GetOrRegisterCounter("answersDiscarded."+v.Cause, e.forwarder.registry).Inc(1)
		return maybeExecuted, allocator.OutcomeFailed
	case continuer.Keep:
		return e.relayBuffered(ctx, response, true)
	default:
		return e.relayBuffered(ctx, response, false)
	}
}

// relayBuffered reads a response to its end before it forwards it; a response that is too large is forwarded as it
// arrives. With keep, it is an error that is forwarded only if no other upstream gives a better answer.
func (e *exchange) relayBuffered(
	ctx context.Context, response *connector.Response, keep bool,
) (attemptResult, allocator.Outcome) {
	e.last.stopWatch()
	length, known := knownLength(response)
	if known && length >= maxStoredBytes {
		return e.relayLarge(ctx, response, nil)
	}
	var body []byte
	var err error
	if known {
		body, err = e.readKnown(response.Body, length)
	} else {
		body, err = e.readRationed(io.LimitReader(response.Body, maxStoredBytes))
	}
	if errors.Is(err, errNoMemory) || (err == nil && len(body) == maxStoredBytes) {
		// The response is forwarded as it arrives; it can't be requested again if it breaks off.
		return e.relayLarge(ctx, response, body)
	}
	response.Close(err == nil)
	if err != nil {
		e.last.err, e.last.brokenOff = err, isBrokenOff(ctx, err)
		if e.request.Context().Err() != nil {
			return canceled, allocator.OutcomeCancelled
		}
		return maybeExecuted, e.brokenOutcome()
	}
	e.meter()
	stored := &storedResponse{status: response.Status, header: response.Header, body: body}
	if keep {
		e.last.response = stored
		return upstreamError, allocator.OutcomeFailed
	}
	outcome := allocator.OutcomeCompleted
	if response.Status >= http.StatusInternalServerError {
		outcome = allocator.OutcomeFailed
	}
	if err := e.deliver(stored); err != nil {
		return canceled, outcome
	}
	return delivered, outcome
}

// knownLength returns the length of a response's body, and false if the response doesn't tell it or has no body.
func knownLength(response *connector.Response) (int64, bool) {
	if response.Body == http.NoBody {
		return 0, false
	}
	length, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
	return length, err == nil && length >= 0
}

// relayLarge forwards a response of maxStoredBytes or more while it is read.
func (e *exchange) relayLarge(
	ctx context.Context, response *connector.Response, start []byte,
) (attemptResult, allocator.Outcome) {
	e.meter()
	e.forwardHeader(response.Status, response.Header, false)
	writer := &extendingWriter{exchange: e}
	_, err := writer.Write(start)
	if err == nil {
		_, err = io.Copy(writer, response.Body)
	}
	response.Close(err == nil)
	switch {
	case err == nil:
		e.response.Complete()
		return delivered, allocator.OutcomeCompleted
	case writer.failed || e.request.Context().Err() != nil:
		e.last.err = err
		e.response.Break()
		return canceled, allocator.OutcomeCancelled
	default:
		e.last.err, e.last.brokenOff = err, isBrokenOff(ctx, err)
		return truncated, e.brokenOutcome()
	}
}

// deliver writes a buffered response to the caller. An error means that the caller has disconnected.
func (e *exchange) deliver(a *storedResponse) error {
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.forwardHeader(a.status, a.header, false)
	if _, err := (&extendingWriter{exchange: e}).Write(a.body); err != nil {
		e.last.err = err
		e.response.Break()
		return err
	}
	e.response.Complete()
	return nil
}

// forwardHeader writes the status and headers of an upstream's response to the caller; isStream is true for those of an
// event stream.
func (e *exchange) forwardHeader(status int, header http.Header, isStream bool) {
	h := e.writer.Header()
	platform.CopyResponseHeaders(h, header)
	if header.Get("Content-Type") == "" {
		// Keeps net/http from adding a content type that the upstream did not send.
		h["Content-Type"] = nil
	}
	e.nameServer()
	e.response.HeaderWritten(isStream)
	e.writeHeader(status)
}

// eventWriter splits the stream into complete events, keeps the last event ID, and flushes the caller's connection.
type eventWriter struct {
	splitter *splitter.Splitter
	flusher  *http.ResponseController
	// memory covers what is held of an incomplete event beyond relayBufferBytes.
	memory *rationer.Grant
	held   identifier.Bytes
}

// ration takes memory for an incomplete event, or returns what is no longer needed.
func (w *eventWriter) ration() error {
	needed := identifier.Bytes(max(0, w.splitter.PartialBytes()-relayBufferBytes))
	if needed > w.held && !w.memory.Grow(needed-w.held) {
		return errNoMemory
	}
	if needed < w.held {
		w.memory.Shrink(w.held - needed)
	}
	w.held = needed
	return nil
}

// relayStream forwards an event stream in complete events, so that another upstream can resume it after any of them.
func (e *exchange) relayStream(ctx context.Context, response *connector.Response) (attemptResult, allocator.Outcome) {
	if e.events == nil {
		e.events = &eventWriter{
			splitter: splitter.NewSplitter(e.caller.LastEventID), flusher: http.NewResponseController(e.writer),
			memory: e.memory,
		}
	}
	if e.response.GoesOn() {
		e.events.splitter.Resume()
	} else {
		e.events.splitter.DiscardPartial()
	}
	buffer := make([]byte, relayBufferBytes)
	ahead := newReadAhead(response.Body, e.memory)
	defer ahead.stop()
	for {
		n, err := ahead.Read(buffer)
		if n > 0 {
			if failure := e.forwardEvents(response, buffer[:n]); failure != nil {
				response.Close(false)
				e.last.err = failure
				return e.streamResult()
			}
		}
		cutShort := e.events.splitter.HasPartial() || !e.response.MayEnd(!e.last.firstEventAt.IsZero(), !response.Unframed)
		if err == io.EOF && !cutShort {
			response.Close(true)
			e.ensureHeader(response)
			e.response.Complete()
			return delivered, allocator.OutcomeCompleted
		}
		if err != nil {
			response.Close(false)
			e.last.err, e.last.brokenOff = err, isBrokenOff(ctx, err)
			return e.streamResult()
		}
	}
}

// forwardEvents adds content to the stream and writes the events that are complete.
func (e *exchange) forwardEvents(response *connector.Response, content []byte) error {
	events, orderErr := e.events.splitter.Add(content)
	for _, event := range events {
		e.ensureHeader(response)
		e.extendWrite()
		if _, err := e.writer.Write(event.Bytes); err != nil {
			e.response.Break()
			return err
		}
		e.response.EventWritten(len(event.Bytes), event.ID)
	}
	if len(events) > 0 {
		now := time.Now()
		e.last.recordActivity(now)
		e.recordProgress(now)
		e.countProgress(now, len(events))
		if e.last.firstEventAt.IsZero() {
			e.last.firstEventAt = now
			e.recordStream(now)
			e.meter()
			e.last.stopWatch()
			e.forwarder.governor.FirstEventArrived(e.last.firstEventAt, e.last.sentAt, &e.last.placement)
		}
		if err := e.events.flusher.Flush(); err != nil {
			e.response.Break()
			return err
		}
	}
	return cmp.Or(orderErr, e.events.ration())
}

// ensureHeader writes the response's headers before the first event. A resumed stream keeps those of its first
// upstream.
func (e *exchange) ensureHeader(response *connector.Response) {
	if e.response.IsUnwritten() {
		e.forwardHeader(response.Status, response.Header, true)
	}
}

// streamResult distinguishes a caller that disconnected from a stream that broke off.
func (e *exchange) streamResult() (attemptResult, allocator.Outcome) {
	e.last.recordActivity(time.Now())
	switch {
	case e.request.Context().Err() != nil || e.response.State() == continuer.Broken:
		return canceled, allocator.OutcomeCancelled
	case !e.response.IsUnwritten():
		return truncated, e.brokenOutcome()
	default:
		return maybeExecuted, e.brokenOutcome()
	}
}
