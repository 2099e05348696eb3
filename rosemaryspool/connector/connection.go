package connector

import (
	"bufio"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"rosemaryspool.example/adaptor/bounder"
	"rosemaryspool.example/adaptor/verifier"
	"rosemaryspool.example/core/identifier"
)

const (
	// readBufferBytes holds a response's header and a small body, so that one read suffices for both.
	readBufferBytes = 4 << 10
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream announces, so that no request is sent while
	// the upstream closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxCarried is the number of requests after which a connection is closed, which bounds the IDs that it holds.
	maxCarried = 1024
	// defaultIdleTimeout is the idle timeout for upstreams that announce none.
	defaultIdleTimeout = 3 * time.Second
)

// connection is an open connection to an upstream.
type connection struct {
	*verifier.Conn
	// bounds limits what the reader takes from the connection for the head of a response.
	bounds *bounder.Reader
	reader *bufio.Reader
	// number tells the connection from the others of this instance in logs.
	number uint64
	// since is a time from which on the upstream's process at the other end is known to have run.
	since time.Time
	// exchanges counts the requests that were started on the connection, carried holds the hashes of their IDs.
	exchanges   int
	carried     []uint64
	idleSince   time.Time
	idleTimeout time.Duration
}

// opener is a connection without a file descriptor. IsOpen reports whether it is open and without unread bytes.
type opener interface{ IsOpen() bool }

func newConnection(c net.Conn, number uint64) *connection {
	verified := verifier.NewConn(c)
	bounds := bounder.NewReader(verified)
	return &connection{
		Conn: verified, bounds: bounds, reader: bufio.NewReaderSize(bounds, readBufferBytes), number: number,
		since: time.Now(), idleTimeout: defaultIdleTimeout,
	}
}

// mayCarry reports whether no request with this ID has been sent over the connection. An upstream may repeat an answer, and only
// the ID tells which request an answer is for. A request without an ID needs a connection without earlier ones.
func (c *connection) mayCarry(id identifier.RequestID) bool {
	if id == "" {
		return c.exchanges == 0
	}
	return !slices.Contains(c.carried, hashID(id))
}

// begin records that a request is sent over the connection.
func (c *connection) begin(id identifier.RequestID) {
	c.exchanges++
	c.carried = append(c.carried, hashID(id))
}

var idSeed = maphash.MakeSeed()

// hashID returns a hash of a request ID. With two IDs that share one, a request takes another connection.
func hashID(id identifier.RequestID) uint64 { return maphash.String(idSeed, string(id)) }

// reusable reports whether an idle connection is within its idle timeout, still open and without unread bytes. It
// doesn't block.
func (c *connection) reusable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	if o, ok := c.NetConn().(opener); ok {
		return o.IsOpen()
	}
	raw, err := c.NetConn().(syscall.Conn).SyscallConn()
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

// applyKeepAlive sets the idle timeout from the Keep-Alive header, where an upstream announces it in whole seconds.
func (c *connection) applyKeepAlive(h http.Header) {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.idleTimeout = max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
}
