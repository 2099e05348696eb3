// Package bounder reads HTTP responses whose sender may never stop sending.
package bounder

import (
	"errors"
	"io"
)

// ErrTooLong means that a head or a body has no end within its limit.
var ErrTooLong = errors.New("bounder: response is too long")

const (
	// maxHeadBytes and maxHeadLines bound the head of a response, with informational responses before it. Servers send a few
	// hundred bytes. net/http takes many times the size of a short header line for it.
	maxHeadBytes = 16 << 10
	maxHeadLines = 128
)

// Reader reads from a connection. While it is bounded, it ends with ErrTooLong after a number of bytes or lines, so that
// net/http, which reads the head of a response to its end, keeps no more than that in memory.
type Reader struct {
	source  io.Reader
	bounded bool
	left    int
	// lines counts the lines of the head. lineBytes is the size of the last one, without its end.
	lines     int
	lineBytes int
	headEnded bool
}

// NewReader returns a reader that is not bounded.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Bound ends the reader after a number of bytes, until Unbound is called.
func (r *Reader) Bound(limit int) { r.bounded, r.left, r.headEnded = true, limit, true }

// BoundHead ends the reader where the head of a response is too long, until Unbound is called.
func (r *Reader) BoundHead() {
	r.Bound(maxHeadBytes)
	r.NextHead()
}

// NextHead bounds the lines of a further head. It leaves the bound for bytes as it is.
func (r *Reader) NextHead() { r.lines, r.lineBytes, r.headEnded = 0, 0, false }

// Unbound removes the bound.
func (r *Reader) Unbound() { r.bounded = false }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.bounded {
		return r.source.Read(p)
	}
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.countLines(p[:n])
	if r.lines > maxHeadLines {
		return 0, ErrTooLong
	}
	return n, err
}

// countLines counts lines until an empty one, which ends the head.
func (r *Reader) countLines(content []byte) {
	for _, b := range content {
		switch {
		case r.headEnded:
			return
		case b == '\n':
			r.headEnded = r.lines > 0 && r.lineBytes == 0
			r.lines++
			r.lineBytes = 0
		case b != '\r':
			r.lineBytes++
		}
	}
}

// ReadAll reads a body to its end; one of more than limit bytes is ErrTooLong.
func ReadAll(body io.Reader, limit int) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err == nil && len(content) > limit {
		return nil, ErrTooLong
	}
	return content, err
}
