package querier

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/wire/messenger"
)

const (
	// serviceName is the net/rpc service name under which an instance registers its methods.
	serviceName = "Peer"
	dialTimeout = 2 * time.Second
)

// Client calls one peer over TCP. It reuses one connection and opens a new one after a failure. It implements Peer.
type Client struct {
	address string
	mutex   sync.Mutex
	current *rpc.Client
}

// NewClient returns a client of the peer at an address of the form HOST:PORT.
func NewClient(address string) *Client {
	return &Client{address: address}
}

// Bootstrap implements Peer.
func (c *Client) Bootstrap(ctx context.Context, request *messenger.BootstrapRequest) (*messenger.BootstrapReply, error) {
	reply := &messenger.BootstrapReply{}
	return replyOrError(reply, c.call(ctx, "Bootstrap", request, reply))
}

// Relay implements Peer.
func (c *Client) Relay(ctx context.Context, request *messenger.RelayRequest) (*messenger.RelayReply, error) {
	reply := &messenger.RelayReply{}
	return replyOrError(reply, c.call(ctx, "Relay", request, reply))
}

// Status implements Peer.
func (c *Client) Status(ctx context.Context, request *messenger.StatusRequest) (*messenger.InstanceStatus, error) {
	reply := &messenger.InstanceStatus{}
	return replyOrError(reply, c.call(ctx, "Status", request, reply))
}

// Close closes the connection; a later call opens a new one.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != nil {
		_ = c.current.Close()
		c.current = nil
	}
}

// replyOrError returns a nil reply with an error, so that no partly decoded reply is used.
func replyOrError[T any](reply *T, err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// call runs one method. If ctx ends first, the reply is discarded. After a timeout the connection is closed as well,
// since the network to the peer may be partitioned.
func (c *Client) call(ctx context.Context, method string, request, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return eris.Wrapf(err, "querier: connect to %s", c.address)
	}
	call := client.Go(serviceName+"."+method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(client, method, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.discard(client)
		}
		return eris.Wrapf(ctx.Err(), "querier: call %s at %s", method, c.address)
	}
}

// finish returns the error of a call and closes the connection unless the peer itself returned the error.
func (c *Client) finish(client *rpc.Client, method string, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		c.discard(client)
	}
	return eris.Wrapf(err, "querier: call %s at %s", method, c.address)
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != nil {
		return c.current, nil
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	c.current = rpc.NewClient(&boundedConn{Conn: conn})
	return c.current, nil
}

func (c *Client) discard(client *rpc.Client) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current == client {
		c.current = nil
	}
	_ = client.Close()
}
