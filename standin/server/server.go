// Package server serves the HTTP handler of one stand-in on a TCP listener.
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

// headerTimeout limits the time to read a request's header.
const headerTimeout = 10 * time.Second

// Server is a running HTTP server.
type Server struct {
	listener net.Listener
	http     *http.Server
	cancel   context.CancelFunc
	group    conc.WaitGroup
}

// Settings configures a server.
type Settings struct {
	// Address is the listen address as HOST:PORT. With port 0 the system chooses a free port.
	Address string
	Handler http.Handler
	// ConnContext, if not nil, derives the context of a new connection's requests, as in http.Server.
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
}

// Start listens on the address of the settings and serves until Close.
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

// Address returns the listen address as HOST:PORT, with the port that the system chose.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Close cancels all requests, closes all connections at once and waits until the server has stopped.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
	s.group.Wait()
}
