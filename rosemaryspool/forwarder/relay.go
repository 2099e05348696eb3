package forwarder

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/streamer"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
)

const (
	// maxStoredBytes is the largest answer that is buffered before it is forwarded, so that the request can be retried
	// when the answer breaks off.
	maxStoredBytes = 1 << 20
	// relayBufferBytes is the size of a read from an event stream.
	relayBufferBytes = 8 << 10
)

// storedAnswer is a complete, buffered answer of an upstream.
type storedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered reads an answer to its end before it forwards it; an answer that is too large is forwarded as it
// arrives.
func (e *exchange) relayBuffered(answer *connector.Response) (attemptResult, allocator.Outcome) {
	e.last.stopWatch()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxStoredBytes))
	if err == nil && len(body) == maxStoredBytes {
		return e.relayLarge(answer, body)
	}
	answer.Close(err == nil)
	if err != nil {
		e.last.err = err
		if e.request.Context().Err() != nil {
			return canceled, allocator.OutcomeCancelled
		}
		return maybeExecuted, allocator.OutcomeFailed
	}
	if answer.Status < http.StatusMultipleChoices && !platform.IsSigned(answer.Header) {
		// A successful answer without the upstream's signature is not trusted.
		return maybeExecuted, allocator.OutcomeFailed
	}
	stored := &storedResponse{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError && e.route.Idempotent {
		e.last.response = stored
		return upstreamError, allocator.OutcomeFailed
	}
	e.deliver(stored)
	outcome := allocator.OutcomeCompleted
	if answer.Status >= http.StatusInternalServerError {
		outcome = allocator.OutcomeFailed
	}
	return delivered, outcome
}

// relayLarge forwards an answer of more than maxStoredBytes while it is read.
func (e *exchange) relayLarge(answer *connector.Response, start []byte) (attemptResult, allocator.Outcome) {
	e.forwardHeader(answer.Status, answer.Header)
	_, err := e.writer.Write(start)
	if err == nil {
		_, err = io.Copy(e.writer, answer.Body)
	}
	answer.Close(err == nil)
	if err != nil {
		e.last.err = err
		return truncated, allocator.OutcomeFailed
	}
	return delivered, allocator.OutcomeCompleted
}

// deliver writes a buffered answer to the caller.
func (e *exchange) deliver(a *storedResponse) {
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.forwardHeader(a.status, a.header)
	if _, err := e.writer.Write(a.body); err != nil {
		e.last.err = err
	}
}

// forwardHeader writes the status and headers of an upstream's answer to the caller.
func (e *exchange) forwardHeader(status int, header http.Header) {
	h := e.writer.Header()
	platform.CopyResponseHeaders(h, header)
	if header.Get("Content-Type") == "" {
		// Keeps net/http from adding a content type that the upstream did not send.
		h["Content-Type"] = nil
	}
	e.headerSent = true
	e.writeHeader(status)
}

// eventWriter splits the stream into whole events, keeps the last event ID, and flushes the caller's connection.
type eventWriter struct {
	splitter *streamer.Streamer
	flusher  *http.ResponseController
}

// lastEventID returns the ID of the event after which the next upstream resumes; empty before the first event.
func (e *exchange) lastEventID() string {
	if e.events == nil {
		return ""
	}
	return e.events.splitter.LastID()
}

// relayStream forwards an event stream in whole events, so that another upstream can resume it after any of them.
func (e *exchange) relayStream(answer *connector.Response) (attemptResult, allocator.Outcome) {
	if e.events == nil {
		e.events = &eventWriter{
			splitter: streamer.NewStreamer(e.caller.LastEventID), flusher: http.NewResponseController(e.writer),
		}
	}
	e.events.splitter.DiscardPartial()
	if !e.headerSent && !platform.IsSigned(answer.Header) {
		answer.Close(false)
		return maybeExecuted, allocator.OutcomeFailed
	}
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if failure := e.forwardEvents(answer, buffer[:n]); failure != nil {
				answer.Close(false)
				e.last.err = failure
				return e.streamResult()
			}
		}
		if err == io.EOF && !e.events.splitter.HasPartial() {
			answer.Close(true)
			e.ensureHeader(answer)
			return delivered, allocator.OutcomeCompleted
		}
		if err != nil {
			answer.Close(false)
			e.last.err = err
			return e.streamResult()
		}
	}
}

// forwardEvents adds content to the stream and writes the events that are complete.
func (e *exchange) forwardEvents(answer *connector.Response, content []byte) error {
	events, orderErr := e.events.splitter.Add(content)
	for _, event := range events {
		e.ensureHeader(answer)
		if _, err := e.writer.Write(event.Bytes); err != nil {
			return err
		}
	}
	if len(events) > 0 {
		now := time.Now()
		e.last.recordActivity(now)
		if e.last.firstEventAt.IsZero() {
			e.last.firstEventAt = now
			e.last.stopWatch()
			e.forwarder.governor.FirstEventArrived(e.last.firstEventAt, e.last.sentAt, &e.last.placement)
		}
		if err := e.events.flusher.Flush(); err != nil {
			return err
		}
	}
	return orderErr
}

// ensureHeader writes the answer's headers before the first event. A resumed stream keeps those of its first upstream.
func (e *exchange) ensureHeader(answer *connector.Response) {
	if e.headerSent {
		return
	}
	e.forwardHeader(answer.Status, answer.Header)
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
