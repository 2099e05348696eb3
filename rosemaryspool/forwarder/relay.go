package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"rosemaryspool.example/adaptor/bounder"
	"rosemaryspool.example/core/allocator"
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

// relayBuffered reads a response to its end before it forwards it; a response that is too large is forwarded as it
// arrives.
func (e *exchange) relayBuffered(ctx context.Context, response *connector.Response) (attemptResult, allocator.Outcome) {
	e.last.stopWatch()
	trusted := response.Status >= http.StatusMultipleChoices || platform.IsSigned(response.Header)
	length, known := knownLength(response)
	if known && length >= maxStoredBytes && trusted {
		return e.relayLarge(ctx, response, nil)
	}
	var body []byte
	var err error
	if known && length < maxStoredBytes {
		body, err = e.readKnown(response.Body, length)
	} else {
		body, err = e.readRationed(io.LimitReader(response.Body, maxStoredBytes))
	}
	if errors.Is(err, errNoMemory) && trusted {
		// The response is forwarded as it arrives; it can't be requested again if it breaks off.
		return e.relayLarge(ctx, response, body)
	}
	if err == nil && len(body) == maxStoredBytes {
		if trusted {
			return e.relayLarge(ctx, response, body)
		}
		err = bounder.ErrTooLong
	}
	response.Close(err == nil)
	if err != nil {
		e.last.err, e.last.brokenOff = err, isBrokenOff(ctx, err)
		if e.request.Context().Err() != nil {
			return canceled, allocator.OutcomeCancelled
		}
		return maybeExecuted, allocator.OutcomeFailed
	}
	if !trusted {
		// A successful response without the upstream's signature is not trusted.
		return maybeExecuted, allocator.OutcomeFailed
	}
	e.meter()
	stored := &storedResponse{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError && e.route.Idempotent && e.last.peer == "" {
		e.last.response = stored
		return upstreamError, allocator.OutcomeFailed
	}
	e.deliver(stored)
	outcome := allocator.OutcomeCompleted
	if response.Status >= http.StatusInternalServerError {
		outcome = allocator.OutcomeFailed
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
	e.forwardHeader(response.Status, response.Header)
	writer := extendingWriter{e}
	_, err := writer.Write(start)
	if err == nil {
		_, err = io.Copy(writer, response.Body)
	}
	response.Close(err == nil)
	if err != nil {
		e.last.err, e.last.brokenOff = err, isBrokenOff(ctx, err)
		return truncated, allocator.OutcomeFailed
	}
	return delivered, allocator.OutcomeCompleted
}

// deliver writes a buffered response to the caller.
func (e *exchange) deliver(a *storedResponse) {
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.forwardHeader(a.status, a.header)
	if _, err := (extendingWriter{e}).Write(a.body); err != nil {
		e.last.err = err
	}
}

// forwardHeader writes the status and headers of an upstream's response to the caller.
func (e *exchange) forwardHeader(status int, header http.Header) {
	h := e.writer.Header()
	platform.CopyResponseHeaders(h, header)
	if header.Get("Content-Type") == "" {
		// Keeps net/http from adding a content type that the upstream did not send.
		h["Content-Type"] = nil
	}
	e.nameServer()
	e.headerSent = true
	e.writeHeader(status)
}

// eventWriter splits the stream into complete events, keeps the last event ID, and flushes the caller's connection.
type eventWriter struct {
	splitter *splitter.Splitter
	flusher  *http.ResponseController
}

// lastEventID returns the ID of the event after which the next upstream resumes; empty before the first event.
func (e *exchange) lastEventID() string {
	if e.events == nil {
		return ""
	}
	return e.events.splitter.LastID()
}

// relayStream forwards an event stream in complete events, so that another upstream can resume it after any of them.
func (e *exchange) relayStream(ctx context.Context, response *connector.Response) (attemptResult, allocator.Outcome) {
	if e.events == nil {
		e.events = &eventWriter{
			splitter: splitter.NewSplitter(e.caller.LastEventID), flusher: http.NewResponseController(e.writer),
		}
	}
	e.events.splitter.DiscardPartial()
	if !e.headerSent && !platform.IsSigned(response.Header) {
		response.Close(false)
		return maybeExecuted, allocator.OutcomeFailed
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
		// Without framing, an upstream that ends before its first event looks like one that has responded.
		cutShort := e.events.splitter.HasPartial() || response.Unframed && e.last.firstEventAt.IsZero()
		if err == io.EOF && !cutShort {
			response.Close(true)
			e.ensureHeader(response)
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
			return err
		}
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
			return err
		}
	}
	return orderErr
}

// ensureHeader writes the response's headers before the first event. A resumed stream keeps those of its first
// upstream.
func (e *exchange) ensureHeader(response *connector.Response) {
	if e.headerSent {
		return
	}
	e.forwardHeader(response.Status, response.Header)
}

// streamResult distinguishes a caller that disconnected from a stream that broke off.
func (e *exchange) streamResult() (attemptResult, allocator.Outcome) {
	e.last.recordActivity(time.Now())
	switch {
	case e.request.Context().Err() != nil:
		return canceled, allocator.OutcomeCancelled
	case e.headerSent:
		return truncated, allocator.OutcomeFailed
	default:
		return maybeExecuted, allocator.OutcomeFailed
	}
}
