package querier

import (
	"net"
	"sync/atomic"

	"rosemaryspool.example/adaptor/bounder"
)

// maxMessageBytes bounds a request or a reply; net/rpc alone keeps up to a gigabyte of one that has no end.
const maxMessageBytes = 16 << 20

// boundedConn ends the connection once the other side has sent more than one message may have since this side has last
// written one.
type boundedConn struct {
	net.Conn
	received atomic.Int64
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.received.Load() >= maxMessageBytes {
		return 0, bounder.ErrTooLong
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.received.Store(0)
	return c.Conn.Write(p)
}
