// Package finisher ends an HTTP server so that each request that the server has read gets its response. After the call of
// http.Server.Shutdown, the server closes connections on which it has just read a request.
package finisher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// firstRequestTime is how long the first request on a connection is waited for.
	firstRequestTime = 5 * time.Second
	// checkInterval is how often the connections are checked while the server is being finished.
	checkInterval = 5 * time.Millisecond
)

// Finisher tracks the connections of a server. It is safe for concurrent use.
type Finisher struct {
	server *http.Server
	// connections maps each open net.Conn to its *connection.
	connections sync.Map
}

// connection is the state of one open connection.
type connection struct {
	state  atomic.Int32
	opened time.Time
}

func (c *connection) current() http.ConnState { return http.ConnState(c.state.Load()) }

// NewFinisher returns a finisher for a server that serves nothing yet.
func NewFinisher(server *http.Server) *Finisher {
	f := &Finisher{server: server}
	server.ConnState = f.track
	return f
}

func (f *Finisher) track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.connections.Store(conn, &connection{opened: time.Now()})
	case http.StateClosed, http.StateHijacked:
		f.connections.Delete(conn)
	default:
		if c, found := f.connections.Load(conn); found {
			c.(*connection).state.Store(int32(state))
		}
	}
}

// IsIdle reports whether no request is being served, and none is expected soon on a new connection.
func (f *Finisher) IsIdle() bool {
	now, idle := time.Now(), true
	f.connections.Range(func(_, value any) bool {
		c := value.(*connection)
		switch c.current() {
		case http.StateActive:
			idle = false
		case http.StateNew:
			idle = now.Sub(c.opened) >= firstRequestTime
		default:
		}
		return idle
	})
	return idle
}

// AwaitIdle returns once IsIdle holds, or when ctx ends.
func (f *Finisher) AwaitIdle(ctx context.Context) {
	await(ctx, f.IsIdle)
}

// Finish closes the listener, has each request that has been read end, and closes all connections. When ctx ends, it cuts
// off the requests that still run.
func (f *Finisher) Finish(ctx context.Context, listener net.Listener) error {
	err := ignoreClosed(listener.Close())
	await(ctx, func() bool {
		f.interruptReads()
		return f.isEmpty()
	})
	return eris.Wrap(errors.Join(err, ignoreClosed(f.server.Close())), "finisher: close")
}

// ignoreClosed ignores the error of a listener that is closed already.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// interruptReads has the server close the connections without a request, by ending its reads from them: a connection on
// which a request has just been read is served.
func (f *Finisher) interruptReads() {
	f.connections.Range(func(key, value any) bool {
		if value.(*connection).current() != http.StateActive {
			// An error means that the connection is closed already.
			_ = key.(net.Conn).SetReadDeadline(time.Unix(1, 0))
		}
		return true
	})
}

func (f *Finisher) isEmpty() bool {
	empty := true
	f.connections.Range(func(any, any) bool {
		empty = false
		return false
	})
	return empty
}

// await checks a condition until it holds or ctx ends.
func await(ctx context.Context, holds func() bool) {
	for !holds() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkInterval):
		}
	}
}
