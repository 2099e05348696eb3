// Package connector sends HTTP/1.1 requests to upstreams over pooled persistent connections. It sends each request
// once; retries are the forwarder's decision.
package connector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

const (
	// dialTimeout is far above the few milliseconds that a healthy upstream takes. A lost SYN is retransmitted only after
	// a second, which is too late for the waiting request.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose sent data remains unacknowledged: an unresponsive peer sends no reset.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive peer while nothing is sent.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall doesn't define.
	tcpUserTimeout = 18
)

// Errors of an exchange whose request was certainly not sent.
var (
	// ErrUnreachable means that no connection could be opened.
	ErrUnreachable = errors.New("connector: upstream is unreachable")
	// ErrRefused is an ErrUnreachable: nothing listens at the address.
	ErrRefused = fmt.Errorf("%w: connection refused", ErrUnreachable)
	// ErrDialAborted means that the context ended before a connection was open.
	ErrDialAborted = errors.New("connector: dial aborted")
	// ErrNoConnection means that this instance's share of the upstream's connections is in use.
	ErrNoConnection = errors.New("connector: no free connection")
	// ErrUnknownProcess means that another process than the listed one may have taken over the upstream's address.
	ErrUnknownProcess = errors.New("connector: process of the upstream is unknown")
)

// pool holds the idle connections to one address and counts all open ones.
type pool struct {
	idle []*connection
	open int
}

// Connector pools connections to upstreams. It is safe for concurrent use.
type Connector struct {
	mu         sync.Mutex
	pools      map[string]*pool
	dial       Dial
	identify   Identify
	onOpen     func()
	onResponse func(tracker.Entry, *Response)
	// opened counts the connections that were opened.
	opened atomic.Uint64
}

// Identify returns the ID of the request that a response is for, from the response's header; empty if it names none.
type Identify func(http.Header) identifier.RequestID

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a TCP connection that notices an unresponsive peer.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, failure)
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// NewConnector returns a connector with no open connections. onOpen is called for each connection that is opened,
// onResponse for each response once its header is read, whatever the request was.
func NewConnector(
	dial Dial, identify Identify, onOpen func(), onResponse func(tracker.Entry, *Response),
) *Connector {
	return &Connector{
		pools: map[string]*pool{}, dial: dial, identify: identify, onOpen: onOpen, onResponse: onResponse,
	}
}

// NotSent reports whether an error means that the request was certainly not sent.
func NotSent(err error) bool {
	for _, cause := range []error{ErrUnreachable, ErrDialAborted, ErrNoConnection, ErrUnknownProcess} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// acquire returns a connection that may carry the request, and whether the upstream's process at its other end is known. One
// that isn't known gets no request that needs that.
func (c *Connector) acquire(ctx context.Context, r Request) (conn *connection, known bool, err error) {
	conn, err = c.take(ctx, r)
	if err != nil || r.Knows == nil {
		return conn, false, err
	}
	if conn.exchanges == 0 {
		c.extend(r.Upstream.Address, conn)
	}
	known = r.Knows(conn.since) || r.Knows(c.extend(r.Upstream.Address, conn))
	known = known && (r.Confirm == nil || r.Confirm(conn.since))
	if !known && r.KnownOnly {
		c.release(r.Upstream.Address, conn, true)
		return nil, false, ErrUnknownProcess
	}
	return conn, known, nil
}

// extend returns since when the process at the other end of a connection is known to have run, by the idle connections that
// were open before and still are.
func (c *Connector) extend(address string, conn *connection) time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.pool(address).idle {
		if idle.since.Before(conn.since) && idle.reusable(now) {
			conn.since = idle.since
		}
	}
	return conn.since
}

// take returns an idle connection that may carry the request, or opens one. A connection is reused only if it was idle for
// at most the request's MaxIdle, since the upstream is then unlikely to have closed it.
func (c *Connector) take(ctx context.Context, r Request) (*connection, error) {
	idle, p, err := c.reuseOrReserve(r)
	if idle != nil || err != nil {
		return idle, err
	}
	return c.dialReserved(ctx, r.Upstream.Address, p)
}

// reuseOrReserve returns an idle connection that may carry the request, or counts one that is to be opened. Between the two
// decisions no connection may become idle, or the request would be refused for one that it can replace.
func (c *Connector) reuseOrReserve(r Request) (idle *connection, p *pool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle, carried := c.reuse(r.Upstream.Address, r.ID, r.MaxIdle)
	if idle != nil {
		return idle, nil, nil
	}
	p, err = c.reserve(r.Upstream.Address, r.Limit, carried)
	return nil, p, err
}

// Probe opens a connection and keeps it for later requests. It returns ErrRefused if nothing listens at the address.
func (c *Connector) Probe(ctx context.Context, address string, limit int) error {
	c.mu.Lock()
	p, err := c.reserve(address, limit, false)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	conn, err := c.dialReserved(ctx, address, p)
	if err != nil {
		return err
	}
	c.release(address, conn, true)
	return nil
}

// reserve counts a connection that is to be opened while fewer than limit are open. With replace, the one that was idle longest
// makes way. The caller holds the mutex.
func (c *Connector) reserve(address string, limit int, replace bool) (*pool, error) {
	p := c.pool(address)
	if p.open >= max(1, limit) {
		if !replace || len(p.idle) == 0 {
			return nil, ErrNoConnection
		}
		// An error of Close is ignored, since the connection is not used again.
		_ = p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
	p.open++
	return p, nil
}

// dialReserved opens a connection that is counted in a pool.
func (c *Connector) dialReserved(ctx context.Context, address string, p *pool) (*connection, error) {
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(dialContext, address)
	if err != nil {
		c.mu.Lock()
		c.uncount(address, p)
		c.mu.Unlock()
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrDialAborted, ctx.Err())
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, eris.Wrap(ErrRefused, err.Error())
		}
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	c.onOpen()
	return newConnection(conn, c.opened.Add(1)), nil
}

// reuse returns the idle connection that was used last of those that may carry a request, or nil if it was idle for too
// long; closed ones are discarded. carried reports whether there is one that may not, as it has carried the request before.
// The caller holds the mutex.
func (c *Connector) reuse(
	address string, id identifier.RequestID, maxIdle time.Duration,
) (idle *connection, carried bool) {
	now := time.Now()
	p := c.pools[address]
	if p == nil {
		return nil, false
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		conn := p.idle[i]
		switch reusable := conn.reusable(now); {
		case reusable && now.Sub(conn.idleSince) > maxIdle:
			// The remaining connections have been idle for longer.
			return nil, carried
		case reusable && conn.mayCarry(id):
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn, carried
		case reusable:
			carried = true
		default:
			p.idle = slices.Delete(p.idle, i, i+1)
			c.discard(address, p, conn)
		}
	}
	return nil, carried
}

// release returns a connection to its pool, or closes it if keep is false or unread bytes are left.
func (c *Connector) release(address string, conn *connection, keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(address)
	if !keep || conn.reader.Buffered() > 0 || len(conn.carried) >= maxCarried {
		c.discard(address, p, conn)
		return
	}
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
}

// discard closes a connection and uncounts it.
func (c *Connector) discard(address string, p *pool, conn *connection) {
	// An error of Close is ignored, since the connection is not used again.
	_ = conn.Close()
	c.uncount(address, p)
}

// uncount removes a closed connection from the pool's count, and the pool with its last connection.
func (c *Connector) uncount(address string, p *pool) {
	p.open--
	if p.open <= 0 && len(p.idle) == 0 && c.pools[address] == p {
		delete(c.pools, address)
	}
}

// pool returns the pool of an address and creates it if needed. The caller holds the mutex.
func (c *Connector) pool(address string) *pool {
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// Sweep closes the idle connections that upstreams have closed or are about to close for idleness.
func (c *Connector) Sweep() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		kept := p.idle[:0]
		for _, idle := range p.idle {
			if idle.reusable(now) {
				kept = append(kept, idle)
				continue
			}
			_ = idle.Close()
			p.open--
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		if p.open <= 0 && len(p.idle) == 0 {
			delete(c.pools, address)
		}
	}
}

// Close closes all idle connections.
func (c *Connector) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		for _, idle := range p.idle {
			_ = idle.Close()
		}
		p.idle = nil
	}
}
