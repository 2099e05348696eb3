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
	// storedBytes is the largest answer that is read whole before it is passed on, so that a broken one can be repeated.
	storedBytes = 1 << 20
	// relayBytes is read at once from an event stream.
	relayBytes = 8 << 10
)

// storedAnswer is an upstream's whole answer.
type storedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relayWhole reads an answer to its end and passes it on.
func (e *exchange) relayWhole(answer *connector.Answer) (ending, allocator.Outcome) {
	e.last.alive()
	body, err := io.ReadAll(io.LimitReader(answer.Body, storedBytes))
	if err == nil && len(body) == storedBytes {
		return e.relayLong(answer, body)
	}
	answer.Close(err == nil)
	if err != nil {
		e.last.err = err
		if e.request.Context().Err() != nil {
			return canceled, allocator.OutcomeCancelled
		}
		return uncertain, allocator.OutcomeFailed
	}
	if answer.Status < http.StatusMultipleChoices && !platform.IsSigned(answer.Header) {
		// Bytes that the upstream doesn't vouch for are no answer.
		return uncertain, allocator.OutcomeFailed
	}
	stored := &storedAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError && e.route.Idempotent {
		e.last.answer = stored
		return failedAnswer, allocator.OutcomeFailed
	}
	e.deliver(stored)
	outcome := allocator.OutcomeCompleted
	if answer.Status >= http.StatusInternalServerError {
		outcome = allocator.OutcomeFailed
	}
	return delivered, outcome
}

// relayLong passes a long answer on while it is read.
func (e *exchange) relayLong(answer *connector.Answer, start []byte) (ending, allocator.Outcome) {
	e.passHead(answer.Status, answer.Header)
	_, err := e.writer.Write(start)
	if err == nil {
		_, err = io.Copy(e.writer, answer.Body)
	}
	answer.Close(err == nil)
	if err != nil {
		e.last.err = err
		return broken, allocator.OutcomeFailed
	}
	return delivered, allocator.OutcomeCompleted
}

// deliver passes a whole answer on.
func (e *exchange) deliver(a *storedAnswer) {
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.passHead(a.status, a.header)
	if _, err := e.writer.Write(a.body); err != nil {
		e.last.err = err
	}
}

// passHead passes the head of an upstream's answer on.
func (e *exchange) passHead(status int, header http.Header) {
	h := e.writer.Header()
	platform.CopyResponseHeaders(h, header)
	if header.Get("Content-Type") == "" {
		// The HTTP library would add a type that the upstream did not send.
		h["Content-Type"] = nil
	}
	e.head = true
	e.writeHead(status)
}

// eventWriter passes whole events on and remembers where the stream is.
type eventWriter struct {
	streamer *streamer.Streamer
	flusher  *http.ResponseController
}

// resumeAfter returns the event after which the next upstream goes on; empty before the first one.
func (e *exchange) resumeAfter() string {
	if e.events == nil {
		return ""
	}
	return e.events.streamer.LastID()
}

// relayStream passes an event stream on, event by event.
func (e *exchange) relayStream(answer *connector.Answer) (ending, allocator.Outcome) {
	if e.events == nil {
		e.events = &eventWriter{
			streamer: streamer.NewStreamer(e.caller.LastEventID), flusher: http.NewResponseController(e.writer),
		}
	}
	e.events.streamer.DiscardPartial()
	if !e.head && !platform.IsSigned(answer.Header) {
		answer.Close(false)
		return uncertain, allocator.OutcomeFailed
	}
	buffer := make([]byte, relayBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if failure := e.pass(answer, buffer[:n]); failure != nil {
				answer.Close(false)
				e.last.err = failure
				return e.streamEnding()
			}
		}
		if err == io.EOF && !e.events.streamer.HasPartial() {
			answer.Close(true)
			e.begin(answer)
			return delivered, allocator.OutcomeCompleted
		}
		if err != nil {
			answer.Close(false)
			e.last.err = err
			return e.streamEnding()
		}
	}
}

// pass writes the events that are whole now.
func (e *exchange) pass(answer *connector.Answer, content []byte) error {
	events, orderErr := e.events.streamer.Add(content)
	for _, event := range events {
		e.begin(answer)
		if _, err := e.writer.Write(event.Bytes); err != nil {
			return err
		}
	}
	if len(events) > 0 {
		now := time.Now()
		e.last.progressed(now)
		if e.last.firstAt.IsZero() {
			e.last.firstAt = now
			e.last.alive()
			e.forwarder.governor.Progressed(e.last.firstAt, e.last.sentAt, &e.last.place)
		}
		if err := e.events.flusher.Flush(); err != nil {
			return err
		}
	}
	return orderErr
}

// begin sends the answer's head with the first event. A resumed stream keeps the head of its first upstream.
func (e *exchange) begin(answer *connector.Answer) {
	if e.head {
		return
	}
	e.passHead(answer.Status, answer.Header)
}

// streamEnding tells apart a caller that left and a stream that broke.
func (e *exchange) streamEnding() (ending, allocator.Outcome) {
	e.last.progressed(time.Now())
	switch {
	case e.request.Context().Err() != nil:
		return canceled, allocator.OutcomeCancelled
	case e.head:
		return broken, allocator.OutcomeFailed
	default:
		return uncertain, allocator.OutcomeFailed
	}
}
