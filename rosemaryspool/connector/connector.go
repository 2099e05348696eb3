// Package connector exchanges HTTP/1.1 requests with upstreams over kept connections. It sends each request once: what may
// be repeated is its callers' decision.
package connector

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout is far above the few milliseconds of a healthy upstream; a lost opening packet is repeated only after
	// a second, which is too late for a request that waits for it.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends connections whose peer acknowledges nothing: a silent peer sends no reset.
	userTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find a silent peer of a connection on which nothing is sent.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 18
)

// Errors of an exchange that certainly did not reach the upstream.
var (
	// ErrUnreachable means that no connection could be opened.
	ErrUnreachable = errors.New("connector: upstream is unreachable")
	// ErrNoConnection means that this instance's share of the upstream's connections is in use.
	ErrNoConnection = errors.New("connector: no free connection")
)

// pool holds the connections to one address.
type pool struct {
	idle []*connection
	open int
}

// Connector keeps connections to upstreams. It is safe for concurrent use.
type Connector struct {
	mu     sync.Mutex
	pools  map[string]*pool
	dialer net.Dialer
	onOpen func()
}

// NewConnector returns a connector without connections; opened is called for each one that is opened.
func NewConnector(opened func()) *Connector {
	return &Connector{
		pools:  map[string]*pool{},
		onOpen: opened,
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
			Control: func(_, _ string, raw syscall.RawConn) error {
				var failure error
				err := raw.Control(func(fd uintptr) {
					failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
				})
				return errors.Join(err, failure)
			},
		},
	}
}

// acquire returns an idle connection, or opens one while fewer than limit are open. fresh asks for one that was idle
// for no longer than maxIdle, so that the upstream has hardly closed it meanwhile.
func (c *Connector) acquire(ctx context.Context, address string, limit int, maxIdle time.Duration) (*connection, error) {
	if kept := c.reuse(address, maxIdle); kept != nil {
		return kept, nil
	}
	c.mu.Lock()
	p := c.pool(address)
	if p.open >= limit {
		c.mu.Unlock()
		return nil, ErrNoConnection
	}
	p.open++
	c.mu.Unlock()
	opened, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.mu.Lock()
		c.uncount(address, p)
		c.mu.Unlock()
		if ctx.Err() != nil {
			return nil, eris.Wrap(ctx.Err(), "connector: dial")
		}
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	c.onOpen()
	return newConnection(opened), nil
}

func (c *Connector) reuse(address string, maxIdle time.Duration) *connection {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	for p != nil && len(p.idle) > 0 {
		last := len(p.idle) - 1
		kept := p.idle[last]
		if now.Sub(kept.idleSince) > maxIdle && kept.reusable(now) {
			// The others have been idle for longer.
			return nil
		}
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if kept.reusable(now) {
			return kept
		}
		c.discard(address, p, kept)
	}
	return nil
}

// release keeps a connection for the next request, or closes it.
func (c *Connector) release(address string, used *connection, keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(address)
	if !keep || used.reader.Buffered() > 0 {
		c.discard(address, p, used)
		return
	}
	used.idleSince = time.Now()
	p.idle = append(p.idle, used)
}

func (c *Connector) discard(address string, p *pool, used *connection) {
	// An error of Close leaves nothing to do: the connection is not used again.
	_ = used.Close()
	c.uncount(address, p)
}

// forget uncounts a connection, and the pool with its last one.
func (c *Connector) uncount(address string, p *pool) {
	p.open--
	if p.open <= 0 && len(p.idle) == 0 && c.pools[address] == p {
		delete(c.pools, address)
	}
}

func (c *Connector) pool(address string) *pool {
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// Sweep closes the idle connections that upstreams have closed or are about to close.
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
