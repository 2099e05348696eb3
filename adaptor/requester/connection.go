package requester

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/rotisserie/eris"
)

// countedConn counts the writes to a connection. None begins after Close.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	closed bool
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, eris.Wrap(err, "requester: dial")
	}
	return &countedConn{Conn: conn}, nil
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *countedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.writes++
	return true
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *countedConn) countWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// connectionUse is a request's use of a connection.
type connectionUse struct {
	conn net.Conn
	// reused reports whether the connection has carried other requests.
	reused bool
	// writesBefore counts the writes of the requests before this one.
	writesBefore int
}

func newConnectionUse(info httptrace.GotConnInfo) connectionUse {
	return connectionUse{conn: info.Conn, reused: info.Reused, writesBefore: findCounted(info.Conn).countWrites()}
}

// abandon closes the connection and reports whether the request can be sent on another one: this one is a kept connection, on
// which no write of the request began.
func (u connectionUse) abandon() bool {
	if u.conn == nil {
		return false
	}
	// An error of Close is ignored, since the connection is not used again.
	_ = u.conn.Close()
	return u.reused && findCounted(u.conn).countWrites() == u.writesBefore
}

// findCounted returns the connection that a request's connection wraps, with TLS or without.
func findCounted(conn net.Conn) *countedConn {
	for {
		if counted, ok := conn.(*countedConn); ok {
			return counted
		}
		conn = conn.(interface{ NetConn() net.Conn }).NetConn()
	}
}
