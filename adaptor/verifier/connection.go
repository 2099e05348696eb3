// Package verifier rejects HTTP responses that can't be trusted.
package verifier

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Conn is a connection whose loss is never read as the end of what the other side sent. A socket reports an error such as a reset
// once, to whichever call asks first. Once a write has got it, reads return io.EOF, as if the other side had closed the connection in
// order.
type Conn struct {
	net.Conn
	// mu is held during a write.
	mu sync.Mutex
	// failure is the error of the first write that failed.
	failure error
}

// NewConn returns a connection that reads and writes over another one.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection underneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. At the end of what the other side sent it ends a pending write and waits for its result, as the write
// may have got the error of the socket.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// An error means that the connection is closed, which ends a pending write too.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if isLost(c.failure) {
		return n, eris.Wrap(c.failure, "verifier: connection lost during a write")
	}
	return n, io.EOF
}

// isLost reports whether a write's error means that the connection is lost. EPIPE doesn't: the other side had ended what it sent
// before it closed or reset the connection.
func isLost(failure error) bool {
	var number syscall.Errno
	return errors.As(failure, &number) && number != syscall.EPIPE
}
