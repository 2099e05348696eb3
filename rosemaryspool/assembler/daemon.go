// Package assembler builds the daemon from its parts and runs it from start to planned stop.
package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/rosemaryspool/committer"
	"rosemaryspool.example/rosemaryspool/conductor"
	"rosemaryspool.example/rosemaryspool/dispatcher"
	"rosemaryspool.example/rosemaryspool/executor"
	"rosemaryspool.example/rosemaryspool/explainer"
	"rosemaryspool.example/rosemaryspool/follower"
	"rosemaryspool.example/rosemaryspool/responder"
	"rosemaryspool.example/rosemaryspool/server"
	"rosemaryspool.example/rosemaryspool/watcher"
)

const (
	// headerTimeout bounds a request's headers, so that slow senders hold no connection.
	headerTimeout = 5 * time.Second
	// idleTimeout closes idle connections of callers.
	idleTimeout = 2 * time.Minute
	// releaseTimeout bounds the wait for outcomes to be recorded and leases to be given up; unreleased ones expire.
	releaseTimeout = 5 * time.Second
)

// Daemon is one instance of the system.
type Daemon struct {
	settings    Settings
	incarnation string
	log         zerolog.Logger

	dispatcher *dispatcher.Dispatcher
	executor   *executor.Executor
	explainer  *explainer.Explainer
	committer  *committer.Committer
	conductor  *conductor.Conductor
	watcher    *watcher.Watcher
	follower   *follower.Follower
	server     *server.Server
	responder  *responder.Responder

	bootstrapping atomic.Bool

	callers net.Listener
	peers   net.Listener
	done    chan struct{}
}

// NewDaemon opens the daemon's listeners and assembles its parts; nothing runs before Run.
func NewDaemon(settings Settings, log zerolog.Logger) (*Daemon, error) {
	callers, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "assembler: listen for callers")
	}
	peers, err := net.Listen("tcp", settings.PeerListen)
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "assembler: listen for peers"), callers.Close())
	}
	d := &Daemon{
		settings:    settings,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		callers:     callers,
		peers:       peers,
		done:        make(chan struct{}),
	}
	d.log = log.With().Str("instance", string(settings.Instance)).Logger()
	d.assemble()
	return d, nil
}

// CallerAddress is where callers reach the daemon.
func (d *Daemon) CallerAddress() string { return d.callers.Addr().String() }

// PeerAddress is where other instances and operators reach the daemon.
func (d *Daemon) PeerAddress() string { return d.peers.Addr().String() }

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run serves until ctx ends, then stops gracefully: readiness off, a pause for the balancer, running work to its end,
// leases given up, waiting records appended.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	stopParts, stopAppends := make(chan struct{}), make(chan struct{})
	broken := make(chan struct{})
	var breaking sync.Once
	var parts, appends conc.WaitGroup
	start := func(group *conc.WaitGroup, run func()) {
		group.Go(func() {
			defer breaking.Do(func() { close(broken) })
			run()
		})
	}
	start(&appends, func() { d.committer.Run(stopAppends) })
	start(&parts, func() { d.dispatcher.Run(stopParts) })
	start(&parts, func() { d.executor.Run(stopParts) })
	start(&parts, func() { d.conductor.Run(stopParts) })
	start(&parts, func() { d.watcher.Run(stopParts) })
	start(&parts, func() { d.follower.Run(stopParts) })
	start(&parts, func() { d.responder.Run(d.peers, stopParts) })
	err := d.serveCallers(ctx, &parts, broken)
	close(stopParts)
	parts.Wait()
	close(stopAppends)
	appends.Wait()
	d.log.Info().Str("event", "stopped").Msg("Stopped")
	return err
}

// errPartEnded means that a part ended by itself: the process must not go on without it.
var errPartEnded = errors.New("assembler: a part ended unexpectedly")

// serveCallers answers callers until ctx ends and the planned stop is over, or until the listener or a part fails.
func (d *Daemon) serveCallers(ctx context.Context, parts *conc.WaitGroup, broken <-chan struct{}) error {
	callers := &http.Server{
		Handler:           d.server.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	failed := make(chan error, 1)
	parts.Go(func() { failed <- callers.Serve(d.callers) })
	d.log.Info().Str("event", "started").Str("listen", d.CallerAddress()).Str("peerListen", d.PeerAddress()).
		Str("dataCentre", string(d.settings.DataCentre)).Msg("Serving callers")
	select {
	case <-ctx.Done():
		return d.stopServing(callers)
	case <-broken:
		return errors.Join(errPartEnded, callers.Close())
	case err := <-failed:
		return eris.Wrap(err, "assembler: serve callers")
	}
}

// stopServing is the planned stop of the callers' side.
func (d *Daemon) stopServing(callers *http.Server) error {
	d.log.Info().Str("event", "stopping").Msg("Turning readiness off")
	d.server.SetShuttingDown()
	<-time.After(d.settings.ShutdownDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout)
	defer cancel()
	err := callers.Shutdown(ctx)
	releaseContext, release := context.WithTimeout(context.Background(), releaseTimeout)
	defer release()
	d.executor.Shutdown(releaseContext)
	d.follower.Shutdown(releaseContext)
	return eris.Wrap(err, "assembler: wait for running work")
}
