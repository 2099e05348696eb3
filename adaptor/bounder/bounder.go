// Package bounder reads HTTP responses whose sender may never stop sending.
package bounder

import (
	"errors"
	"io"
)

// ErrTooLong means that a head or a body has no end within its limit.
var ErrTooLong = errors.New("bounder: response is too long")

// Reader reads from a connection. While it is bounded, it ends with ErrTooLong after a number of bytes, so that net/http,
// which reads the head of a response to its end, keeps no more than that in memory.
type Reader struct {
	source  io.Reader
	bounded bool
	left    int
}

// NewReader returns a reader that is not bounded.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Bound ends the reader after a number of bytes, until Unbound is called.
func (r *Reader) Bound(limit int) { r.bounded, r.left = true, limit }

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
	return n, err
}

// ReadAll reads a body to its end; one of more than limit bytes is ErrTooLong.
func ReadAll(body io.Reader, limit int) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err == nil && len(content) > limit {
		return nil, ErrTooLong
	}
	return content, err
}
