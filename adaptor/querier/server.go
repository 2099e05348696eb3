package querier

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/wire/messenger"
)

// handler adapts a Peer to the method signatures that net/rpc requires.
type handler struct {
	ctx  context.Context
	peer Peer
}

// Bootstrap handles Peer.Bootstrap calls.
func (h *handler) Bootstrap(request *messenger.BootstrapRequest, reply *messenger.BootstrapReply) error {
	result, err := h.peer.Bootstrap(h.ctx, request)
	return copyReply(reply, result, err)
}

// Relay handles Peer.Relay calls.
func (h *handler) Relay(request *messenger.RelayRequest, reply *messenger.RelayReply) error {
	result, err := h.peer.Relay(h.ctx, request)
	return copyReply(reply, result, err)
}

// Status handles Peer.Status calls.
func (h *handler) Status(request *messenger.StatusRequest, reply *messenger.InstanceStatus) error {
	result, err := h.peer.Status(h.ctx, request)
	return copyReply(reply, result, err)
}

func copyReply(reply, result proto.Message, err error) error {
	if err != nil {
		return err
	}
	proto.Merge(reply, result)
	return nil
}

// connections tracks a server's open connections, so that they can be closed on shutdown.
type connections struct {
	mutex  sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// Serve handles calls to peer on the listener until done is closed, then closes the listener and all connections and
// waits for them to end.
func Serve(listener net.Listener, peer Peer, done <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &handler{ctx: ctx, peer: peer}); err != nil {
		cancel()
		return eris.Wrap(err, "querier: register")
	}
	conns := &connections{open: map[net.Conn]struct{}{}}
	var group conc.WaitGroup
	group.Go(func() {
		select {
		case <-done:
		case <-ctx.Done():
		}
		cancel()
		_ = listener.Close()
		conns.closeAll()
	})
	err := accept(listener, server, conns, &group)
	cancel()
	group.Wait()
	return err
}

func accept(listener net.Listener, server *rpc.Server, conns *connections, group *conc.WaitGroup) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "querier: accept")
		}
		if !conns.add(conn) {
			continue
		}
		group.Go(func() {
			defer conns.remove(conn)
			server.ServeConn(&boundedConn{Conn: conn})
		})
	}
}

// add registers a connection and reports whether it did; after closeAll it closes the connection instead.
func (c *connections) add(conn net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.open[conn] = struct{}{}
	return true
}

func (c *connections) remove(conn net.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, conn)
}

func (c *connections) closeAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for conn := range c.open {
		_ = conn.Close()
	}
}
