package gatekeeper

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// listen opens the listeners for callers, other instances, readiness probes and metrics; on an error it closes those
// already open.
func (g *Gatekeeper) listen(network Network) error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&g.callerListener, g.settings.CallerAddress},
		{&g.peerListener, g.settings.PeerAddress.String()},
		{&g.readyListener, g.settings.ReadinessAddress},
		{&g.metricsListener, g.settings.MetricsAddress},
	} {
		listener, err := network.Listen(l.address)
		if err != nil {
			return eris.Wrap(errors.Join(err, g.closeListeners()), "gatekeeper: listen")
		}
		*l.listener = listener
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (g *Gatekeeper) closeListeners() error {
	var err error
	for _, l := range []net.Listener{g.callerListener, g.peerListener, g.readyListener, g.metricsListener} {
		if l != nil {
			err = errors.Join(err, l.Close())
		}
	}
	return err
}

// CallerAddress returns the address of the listener for callers.
func (g *Gatekeeper) CallerAddress() string { return g.callerListener.Addr().String() }

// ReadyAddress returns the address of the listener for the balancer's readiness probes.
func (g *Gatekeeper) ReadyAddress() string { return g.readyListener.Addr().String() }

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: limitBody(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// limitBody bounds the time for a body. A handler that reads the body sets a limit of its own; net/http reads what a handler
// has left of it.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// A connection without deadlines, as in tests, keeps its time.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(headerTimeout))
		}
		next.ServeHTTP(w, r)
	})
}
