// Package server runs one stand-in's HTTP handler on a TCP listener.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// headerTimeout bounds the wait for a request's header.
const headerTimeout = 10 * time.Second

// Server is a running HTTP server.
type Server struct {
	listener net.Listener
	http     *http.Server
	cancel   context.CancelFunc
	group    conc.WaitGroup
}

// Settings tells what to serve and where.
type Settings struct {
	// Address is a host with port; port 0 lets the system choose one.
	Address string
	Handler http.Handler
	// ConnContext changes the context of a new connection's requests; nil changes nothing.
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
}

// Start listens and serves until Close.
func Start(settings Settings) (*Server, error) {
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "server: listen on %s", settings.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, cancel: cancel}
	s.http = &http.Server{
		Handler:           settings.Handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       settings.ConnContext,
	}
	s.group.Go(func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			cancel()
		}
	})
	return s, nil
}

// Address returns the address with port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close ends all requests and connections at once and waits for the server's goroutine.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
	s.group.Wait()
}
