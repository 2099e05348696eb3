package gatekeeper

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"rosemaryspool.example/rosemaryspool/courier"
)

// separation cuts one instance off from the store and from the other instances, while callers and upstreams still reach it.
type separation struct {
	mu    sync.Mutex
	cut   bool
	store []net.Conn
}

// set begins or ends the cut.
func (s *separation) set(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
	if cut {
		for _, conn := range s.store {
			_ = conn.Close()
		}
		s.store = nil
	}
}

func (s *separation) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

func (s *separation) wrap(network Network) Network {
	listen, dial := network.ListenDatagrams, network.DialStore
	network.ListenDatagrams = func(address string) (courier.Socket, error) {
		socket, err := listen(address)
		return &separatedSocket{Socket: socket, separation: s}, err
	}
	network.DialStore = func(ctx context.Context, kind, address string) (net.Conn, error) {
		if s.isCut() {
			return nil, fmt.Errorf("separation: %w", syscall.ENETUNREACH)
		}
		conn, err := dial(ctx, kind, address)
		s.mu.Lock()
		defer s.mu.Unlock()
		if err == nil {
			s.store = append(s.store, conn)
		}
		return conn, err
	}
	return network
}

// separatedSocket loses the datagrams to and from an instance that is cut off.
type separatedSocket struct {
	courier.Socket
	separation *separation
}

// WriteToUDPAddrPort implements courier.Socket.
func (s *separatedSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if s.separation.isCut() {
		return len(b), nil
	}
	return s.Socket.WriteToUDPAddrPort(b, to)
}

// ReadFromUDPAddrPort implements courier.Socket.
func (s *separatedSocket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		n, from, err := s.Socket.ReadFromUDPAddrPort(b)
		if err != nil || !s.separation.isCut() {
			return n, from, err
		}
	}
}
