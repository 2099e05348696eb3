// Package splitter splits a stream of server-sent events into complete events and checks that none is missing or
// duplicated.
package splitter

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Event is one complete event.
type Event struct {
	// Bytes is the text of the event with the blank line that ends it.
	Bytes []byte
	// ID is the id of the event; empty when it has none.
	ID string
}

// SequenceError reports that the id of an event is not the one after the previous event's.
type SequenceError struct{ Previous, Got string }

// Error returns a message with both ids.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("splitter: event %q follows %q", e.Got, e.Previous)
}

// maxEventBytes bounds an event. Engines send a few tokens in each.
const maxEventBytes = 256 << 10

// ErrEventTooLong reports an event without an end.
var ErrEventTooLong = errors.New("splitter: event is too long")

// Splitter buffers the bytes of one stream until an event is complete. It is not safe for concurrent use.
type Splitter struct {
	buffer []byte
	lastID string
	// resumed is true if all events must have the number after the one before.
	resumed bool
}

// NewSplitter returns a splitter for a stream that resumes after the event with id lastID; empty for a new stream.
func NewSplitter(lastID string) *Splitter { return &Splitter{lastID: lastID} }

// LastID returns the id of the last complete event that had one.
func (s *Splitter) LastID() string { return s.lastID }

// HasPartial reports whether the buffer holds part of an incomplete event.
func (s *Splitter) HasPartial() bool { return len(s.buffer) > 0 }

// PartialBytes returns how much of an incomplete event the buffer holds.
func (s *Splitter) PartialBytes() int { return len(s.buffer) }

// DiscardPartial discards the bytes of an incomplete event, before another upstream begins the stream again.
func (s *Splitter) DiscardPartial() { s.buffer = nil }

// Resume discards the bytes of an incomplete event, before another upstream resumes the stream after the last complete one.
// From then on each event must have the number after the one before, as nothing else shows that it belongs to the stream.
func (s *Splitter) Resume() {
	s.DiscardPartial()
	s.resumed = true
}

// Add appends bytes and returns the events that they complete. The events are valid until the next call.
func (s *Splitter) Add(content []byte) ([]Event, error) {
	s.buffer = append(s.buffer, content...)
	var events []Event
	start := 0
	for {
		length := eventLength(s.buffer[start:])
		if length < 0 {
			break
		}
		e := Event{Bytes: s.buffer[start : start+length]}
		e.ID = eventID(e.Bytes)
		if err := s.checkSequence(e.ID); err != nil {
			return events, err
		}
		events = append(events, e)
		start += length
	}
	if start > 0 {
		s.buffer = append([]byte(nil), s.buffer[start:]...)
	}
	if len(s.buffer) > maxEventBytes {
		return events, ErrEventTooLong
	}
	return events, nil
}

// checkSequence checks that numeric ids increase by one; other ids are checked only in a stream that was resumed.
func (s *Splitter) checkSequence(id string) error {
	if id == "" && !s.resumed {
		return nil
	}
	got, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(s.lastID, 10, 64)
	areNumbers := err == nil && lastErr == nil
	if (areNumbers && got != last+1) || (!areNumbers && s.resumed) {
		return &SequenceError{Previous: s.lastID, Got: id}
	}
	s.lastID = id
	return nil
}

// eventLength returns the length of the first event with its blank line, or -1 when no event is complete.
func eventLength(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + len("\n\n")
	default:
		return crlf + len("\r\n\r\n")
	}
}

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
