package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Network carries connections and datagrams in memory, so that what uses it runs on the paused clock of a test. It is safe
// for concurrent use.
type Network struct {
	mu        sync.Mutex
	lastPort  uint16
	listeners map[string]*listener
	sockets   map[netip.AddrPort]*Socket
	delay     func() time.Duration
}

// NewNetwork returns a network on which nothing listens.
func NewNetwork() *Network {
	return &Network{
		lastPort: 10_000, listeners: map[string]*listener{}, sockets: map[netip.AddrPort]*Socket{},
		delay: func() time.Duration { return 0 },
	}
}

// SetDelay sets how long each datagram that follows is on its way.
func (n *Network) SetDelay(delay func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// resolve returns an address of the form IP:PORT, with a free port instead of port 0.
func (n *Network) resolve(address string) (netip.AddrPort, error) {
	at, err := netip.ParseAddrPort(address)
	if err == nil && at.Port() == 0 {
		n.lastPort++
		at = netip.AddrPortFrom(at.Addr(), n.lastPort)
	}
	return at, err
}

// Listen opens a listener. Port 0 stands for any free one.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, err := n.resolve(address)
	if err != nil {
		return nil, fmt.Errorf("emulator: listen: %w", err)
	}
	if n.listeners[at.String()] != nil {
		return nil, fmt.Errorf("emulator: listen at %s: %w", at, syscall.EADDRINUSE)
	}
	l := &listener{network: n, address: at, waiting: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[at.String()] = l
	return l, nil
}

// Serve starts a server with a handler at a free port.
func (n *Network) Serve(handler http.Handler) *httptest.Server {
	l, err := n.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: handler, ConnContext: withConn}}
	server.Start()
	return server
}

// Dial opens a connection to a listener.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.lastPort++
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), n.lastPort)
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("emulator: dial %s: %w", address, syscall.ECONNREFUSED)
	}
	dialled, accepted := newConns(from, l.address)
	select {
	case l.waiting <- accepted:
		return dialled, nil
	case <-l.closed:
		return nil, fmt.Errorf("emulator: dial %s: %w", address, syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener implements net.Listener.
type listener struct {
	network *Network
	address netip.AddrPort
	waiting chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address.String())
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// Conn is one end of a connection in memory. What one end writes waits until the other one reads it.
type Conn struct {
	net.Conn
	local, remote netip.AddrPort
	other         *Conn
	closed        chan struct{}
	once          sync.Once
}

func newConns(a, b netip.AddrPort) (*Conn, *Conn) {
	toB, toA := net.Pipe()
	atA := &Conn{Conn: toB, local: a, remote: b, closed: make(chan struct{})}
	atB := &Conn{Conn: toA, local: b, remote: a, closed: make(chan struct{}), other: atA}
	atA.other = atB
	return atA, atB
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// IsOpen reports whether neither end has closed the connection.
func (c *Conn) IsOpen() bool {
	select {
	case <-c.closed:
		return false
	case <-c.other.closed:
		return false
	default:
		return true
	}
}

// LocalAddr returns the address of this end.
func (c *Conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// maxQueued bounds the packets that wait in a socket; further ones are lost.
const maxQueued = 1024

// packet is a datagram with its sender.
type packet struct {
	from    netip.AddrPort
	content []byte
}

// Socket sends and receives datagrams in memory.
type Socket struct {
	network *Network
	address netip.AddrPort
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
}

// ListenDatagrams opens a socket. Port 0 stands for any free one.
func (n *Network) ListenDatagrams(address string) (*Socket, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, err := n.resolve(address)
	if err != nil {
		return nil, fmt.Errorf("emulator: listen: %w", err)
	}
	s := &Socket{network: n, address: at, queue: make(chan packet, maxQueued), closed: make(chan struct{})}
	n.sockets[at] = s
	return s, nil
}

// WriteToUDPAddrPort sends a datagram. It is lost if nothing listens there.
func (s *Socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.network.mu.Lock()
	target, delay := s.network.sockets[to], s.network.delay()
	s.network.mu.Unlock()
	if target == nil {
		return len(b), nil
	}
	p := packet{from: s.address, content: append([]byte(nil), b...)}
	if delay > 0 {
		time.AfterFunc(delay, func() { target.receive(p) })
	} else {
		target.receive(p)
	}
	return len(b), nil
}

func (s *Socket) receive(p packet) {
	select {
	case s.queue <- p:
	default:
	}
}

// ReadFromUDPAddrPort waits for a datagram.
func (s *Socket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-s.queue:
		return copy(b, p.content), p.from, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// LocalAddr returns the address of the socket.
func (s *Socket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.address) }

// Close closes the socket.
func (s *Socket) Close() error {
	s.once.Do(func() {
		s.network.mu.Lock()
		if s.network.sockets[s.address] == s {
			delete(s.network.sockets, s.address)
		}
		s.network.mu.Unlock()
		close(s.closed)
	})
	return nil
}
