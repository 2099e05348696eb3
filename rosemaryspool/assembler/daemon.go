// Package assembler wires the components of the daemon together and runs them from start to graceful shutdown.
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
	"rosemaryspool.example/rosemaryspool/coordinator"
	"rosemaryspool.example/rosemaryspool/dispatcher"
	"rosemaryspool.example/rosemaryspool/executor"
	"rosemaryspool.example/rosemaryspool/explainer"
	"rosemaryspool.example/rosemaryspool/finisher"
	"rosemaryspool.example/rosemaryspool/poller"
	"rosemaryspool.example/rosemaryspool/responder"
	"rosemaryspool.example/rosemaryspool/server"
)

const (
	// headerTimeout bounds the arrival of a request's headers, so that slow senders don't occupy connections.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes is the limit for a request's headers.
	maxHeaderBytes = 64 << 10
	// idleTimeout is the time after which idle connections of callers are closed.
	idleTimeout = 2 * time.Minute
	// lastResponseTimeout bounds the time for the responses to requests that still run at the limit of a planned stop.
	lastResponseTimeout = time.Second
	// releaseTimeout bounds the wait at shutdown for outcomes to be recorded and leases to be released. Leases that are
	// not released by then expire.
	releaseTimeout = 5 * time.Second
)

// Daemon is one running instance with all its components.
type Daemon struct {
	settings    Settings
	incarnation string
	log         zerolog.Logger

	dispatcher  *dispatcher.Dispatcher
	executor    *executor.Executor
	explainer   *explainer.Explainer
	committer   *committer.Committer
	conductor   *conductor.Conductor
	poller      *poller.Poller
	coordinator *coordinator.Coordinator
	server      *server.Server
	responder   *responder.Responder

	bootstrapping atomic.Bool

	callerListener net.Listener
	peerListener   net.Listener
	done           chan struct{}
}

// NewDaemon opens the daemon's listeners and creates its components; they start in Run.
func NewDaemon(settings Settings, log zerolog.Logger) (*Daemon, error) {
	callerListener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "assembler: listen for callers")
	}
	peerListener, err := net.Listen("tcp", settings.PeerListen)
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "assembler: listen for peers"), callerListener.Close())
	}
	d := &Daemon{
		settings:       settings,
		incarnation:    strconv.FormatInt(time.Now().UnixNano(), 36),
		callerListener: callerListener,
		peerListener:   peerListener,
		done:           make(chan struct{}),
	}
	d.log = log.With().Str("instance", string(settings.Instance)).Logger()
	d.assemble()
	return d, nil
}

// CallerAddress returns the address on which the daemon serves callers.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// PeerAddress returns the address on which the daemon serves other instances and operators.
func (d *Daemon) PeerAddress() string { return d.peerListener.Addr().String() }

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run serves until ctx ends and then shuts down gracefully: it turns readiness off, waits until load balancers should
// have detected that, completes the requests in flight, releases its leases and appends the queued records.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	stopComponents, stopAppends := make(chan struct{}), make(chan struct{})
	componentStopped := make(chan struct{})
	var stopOnce sync.Once
	var components, appends conc.WaitGroup
	start := func(tasks *conc.WaitGroup, run func()) {
		tasks.Go(func() {
			defer stopOnce.Do(func() { close(componentStopped) })
			run()
		})
	}
	start(&appends, func() { d.committer.Run(stopAppends) })
	start(&components, func() { d.dispatcher.Run(stopComponents) })
	start(&components, func() { d.executor.Run(stopComponents) })
	start(&components, func() { d.conductor.Run(stopComponents) })
	start(&components, func() { d.poller.Run(stopComponents) })
	start(&components, func() { d.coordinator.Run(stopComponents) })
	start(&components, func() { d.responder.Run(d.peerListener, stopComponents) })
	err := d.serveCallers(ctx, &components, componentStopped)
	close(stopComponents)
	components.Wait()
	close(stopAppends)
	appends.Wait()
	d.log.Info().Str("event", "stopped").Msg("Stopped")
	return err
}

// errComponentStopped means that a component returned before shutdown. The process stops too, since it cannot work
// without it.
var errComponentStopped = errors.New("assembler: a component stopped unexpectedly")

// serveCallers serves callers until ctx ends and the graceful shutdown is complete, or until the listener fails or a
// component stops.
func (d *Daemon) serveCallers(ctx context.Context, components *conc.WaitGroup, componentStopped <-chan struct{}) error {
	callers := newServer(d.server.Handler())
	callerFinisher := finisher.NewFinisher(callers)
	failed := make(chan error, 1)
	components.Go(func() { failed <- callers.Serve(d.callerListener) })
	d.log.Info().Str("event", "started").Str("listen", d.CallerAddress()).Str("peerListen", d.PeerAddress()).
		Str("dataCentre", string(d.settings.DataCentre)).Msg("Serving callers")
	select {
	case <-ctx.Done():
		return d.shutDownCallers(callerFinisher)
	case <-componentStopped:
		return errors.Join(errComponentStopped, callers.Close())
	case err := <-failed:
		return eris.Wrap(err, "assembler: serve callers")
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// shutDownCallers ends the callers' server: requests that the balancer still sends are served, later ones refused, and those
// that still run at the limit get a response. Then it waits for outcomes to be recorded and leases to be released.
func (d *Daemon) shutDownCallers(callers *finisher.Finisher) error {
	d.log.Info().Str("event", "stopping").Msg("Shutting down, turning readiness off")
	d.server.SetShuttingDown()
	<-time.After(d.settings.ShutdownDelay)
	d.server.RefuseNew()
	d.log.Info().Str("event", "refusingNew").Msg("Refusing new requests")
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout)
	defer cancel()
	callers.AwaitIdle(ctx)
	err := ctx.Err()
	if err != nil {
		d.log.Warn().Str("event", "stopLimitReached").Msg("Ending the requests that still run")
	}
	d.server.EndRequests()
	last, cancelLast := context.WithTimeout(context.Background(), lastResponseTimeout)
	defer cancelLast()
	err = errors.Join(err, callers.Finish(last, d.callerListener))
	releaseContext, release := context.WithTimeout(context.Background(), releaseTimeout)
	defer release()
	d.executor.Shutdown(releaseContext)
	d.coordinator.Shutdown(releaseContext)
	return eris.Wrap(err, "assembler: wait for requests in flight")
}
