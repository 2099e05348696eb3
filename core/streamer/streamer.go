// Package streamer cuts an event stream into whole events and checks that none is missing or doubled.
package streamer

import (
	"bytes"
	"fmt"
	"strconv"
)

// Event is one whole event with its blank line.
type Event struct {
	Bytes []byte
	// ID is the event's id; empty when it has none.
	ID string
}

// SequenceError tells that an event does not follow the one before it.
type SequenceError struct{ Previous, Got string }

// Error names both events.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("streamer: event %q follows %q", e.Got, e.Previous)
}

// Streamer collects the bytes of one stream. It is not safe for concurrent use.
type Streamer struct {
	buffer []byte
	lastID string
}

// NewStreamer returns a streamer of a stream that goes on after an event; last is empty for a new stream.
func NewStreamer(last string) *Streamer { return &Streamer{lastID: last} }

// LastID returns the id of the last whole event.
func (s *Streamer) LastID() string { return s.lastID }

// HasPartial tells whether bytes of an unfinished event are left.
func (s *Streamer) HasPartial() bool { return len(s.buffer) > 0 }

// DiscardPartial drops the bytes of an unfinished event: another upstream goes on after the last whole one.
func (s *Streamer) DiscardPartial() { s.buffer = s.buffer[:0] }

// Add takes bytes and returns the events that are whole now. The events are valid until the next call.
func (s *Streamer) Add(content []byte) ([]Event, error) {
	s.buffer = append(s.buffer, content...)
	var events []Event
	at := 0
	for {
		end := eventLength(s.buffer[at:])
		if end < 0 {
			break
		}
		e := Event{Bytes: s.buffer[at : at+end]}
		e.ID = eventID(e.Bytes)
		if err := s.checkSequence(e.ID); err != nil {
			return events, err
		}
		events = append(events, e)
		at += end
	}
	if at > 0 {
		s.buffer = append([]byte(nil), s.buffer[at:]...)
	}
	return events, nil
}

// checkSequence checks that numbered events rise by one; ids that are no numbers are not checked.
func (s *Streamer) checkSequence(id string) error {
	if id == "" {
		return nil
	}
	got, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(s.lastID, 10, 64)
	if err == nil && lastErr == nil && got != last+1 {
		return &SequenceError{Previous: s.lastID, Got: id}
	}
	s.lastID = id
	return nil
}

// eventLength returns the length of the first event with its blank line, or -1.
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
