package forwarder

import (
	"errors"
	"io"
	"sync"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/rationer"
)

const (
	// rationStep is the granularity in which memory is taken for a body of unknown length.
	rationStep = 32 * identifier.BytesPerKiB
	// maxReadAhead bounds what is read of a stream before the caller has taken it, so that the upstream isn't kept waiting
	// by a caller that reads slowly. It covers most whole streams.
	maxReadAhead = 64 * identifier.BytesPerKiB
	// maxUnreadTime is how long a caller may leave what is written to it unread.
	maxUnreadTime = 15 * time.Second
	// writeDeadlineStep limits how often the deadline for writes is moved.
	writeDeadlineStep = time.Second
	// memoryRetryAfter is the Retry-After of a request for whose body there is no memory: slow callers hold theirs for
	// seconds.
	memoryRetryAfter = time.Second
)

// errNoMemory means that the instance holds as much for requests and responses as it may.
var errNoMemory = errors.New("forwarder: no memory for the body")

// readRationed reads a body to its end within the instance's memory. With errNoMemory it returns what it has read.
func (e *exchange) readRationed(body io.Reader) ([]byte, error) {
	return io.ReadAll(&rationedReader{source: body, memory: e.memory})
}

// readKnown reads a body whose length is known. Its memory is taken before, so that one for which there is none is refused
// at once, and is not copied while it grows.
func (e *exchange) readKnown(body io.Reader, length int64) ([]byte, error) {
	if !e.memory.Grow(identifier.Bytes(length)) {
		return nil, errNoMemory
	}
	content := make([]byte, length)
	_, err := io.ReadFull(body, content)
	return content, err
}

// rationedReader takes memory for what it reads. It reads nothing for which there is none.
type rationedReader struct {
	source io.Reader
	memory *rationer.Grant
	left   identifier.Bytes
}

// Read implements io.Reader.
func (r *rationedReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		if !r.memory.Grow(rationStep) {
			return 0, errNoMemory
		}
		r.left = rationStep
	}
	n, err := r.source.Read(p[:min(len(p), int(r.left))])
	r.left -= identifier.Bytes(n)
	if err != nil {
		r.memory.Shrink(r.left)
		r.left = 0
	}
	return n, err
}

// extendWrite gives the caller time to read what is written next. A caller that reads nothing for that long loses its
// connection, and the instance the memory that it holds for it.
func (e *exchange) extendWrite() {
	now := time.Now()
	if now.Add(maxUnreadTime).Sub(e.writeBy) < writeDeadlineStep {
		return
	}
	e.writeBy = now.Add(maxUnreadTime)
	// A connection without deadlines, as in tests, keeps its memory until its request ends.
	_ = e.controller.SetWriteDeadline(e.writeBy)
}

// extendingWriter writes the body of a response to the caller in pieces, for each of which the caller has time.
type extendingWriter struct {
	exchange *exchange
	// failed is true once a write has failed.
	failed bool
}

// Write implements io.Writer.
func (w *extendingWriter) Write(p []byte) (int, error) {
	written := 0
	for piece := range pieces(p) {
		w.exchange.extendWrite()
		n, err := w.exchange.writer.Write(piece)
		written += n
		w.exchange.response.BodyWritten(n)
		if err != nil {
			w.failed = true
			return written, err
		}
	}
	return written, nil
}

// pieces returns consecutive parts of at most rationStep bytes.
func pieces(p []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(p) > 0 {
			n := min(len(p), int(rationStep))
			if !yield(p[:n]) {
				return
			}
			p = p[n:]
		}
	}
}

// readAhead reads a stream before the caller takes it, up to maxReadAhead and as far as there is memory; then it waits for
// the caller.
type readAhead struct {
	memory *rationer.Grant

	mu      sync.Mutex
	changed *sync.Cond
	buffer  []byte
	// held is how much of the buffer the grant covers. What an empty buffer gets isn't covered: the caller waits for it.
	held    identifier.Bytes
	err     error
	stopped bool
}

// newReadAhead begins to read a stream. Closing the stream's connection ends it.
func newReadAhead(source io.Reader, memory *rationer.Grant) *readAhead {
	a := &readAhead{memory: memory}
	a.changed = sync.NewCond(&a.mu)
	go a.fill(source)
	return a
}

func (a *readAhead) fill(source io.Reader) {
	chunk := make([]byte, relayBufferBytes)
	for {
		n, err := source.Read(chunk)
		a.mu.Lock()
		if size := identifier.Bytes(n); len(a.buffer) > 0 && a.memory.Grow(size) {
			a.held += size
		} else {
			for len(a.buffer) > 0 && !a.stopped {
				a.changed.Wait()
			}
		}
		a.buffer = append(a.buffer, chunk[:n]...)
		a.err = err
		a.changed.Broadcast()
		for len(a.buffer) >= int(maxReadAhead) && !a.stopped {
			a.changed.Wait()
		}
		ended := err != nil || a.stopped
		a.mu.Unlock()
		if ended {
			return
		}
	}
}

// Read implements io.Reader. The error of the stream follows the last of its bytes.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buffer) == 0 && a.err == nil {
		a.changed.Wait()
	}
	n := copy(p, a.buffer)
	a.buffer = append(a.buffer[:0], a.buffer[n:]...)
	if len(a.buffer) == 0 && cap(a.buffer) > relayBufferBytes {
		a.buffer = nil
	}
	returned := min(a.held, identifier.Bytes(n))
	a.held -= returned
	a.memory.Shrink(returned)
	a.changed.Broadcast()
	if n == 0 {
		return 0, a.err
	}
	return n, nil
}

// stop ends the reading as soon as the source's connection is closed or the next bytes have arrived.
func (a *readAhead) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.changed.Broadcast()
}
