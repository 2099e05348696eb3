package connector

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// bufferBytes holds an upstream's headers and small answers in one read.
	readBufferBytes = 4 << 10
	// idleMargin is subtracted from an upstream's announced idle time, so that a request doesn't cross its close.
	idleTimeoutMargin = 500 * time.Millisecond
	// idleDefault is the idle time for upstreams that announce none.
	defaultIdleTimeout = 3 * time.Second
)

// connection is one open connection to an upstream.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// used counts the exchanges that were started.
	exchanges   int
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConnection(c net.Conn) *connection {
	return &connection{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), idleTimeout: defaultIdleTimeout}
}

// quiet tells whether an idle connection is still open and has no stray bytes, without waiting.
func (c *connection) reusable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// keepAlive takes the idle time that an upstream announces in whole seconds.
func (c *connection) applyKeepAlive(h http.Header) {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.idleTimeout = max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
}
