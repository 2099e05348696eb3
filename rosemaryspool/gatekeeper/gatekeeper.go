// Package gatekeeper assembles the gateway instance that serves the platform's routes, and runs it until its planned
// stop.
package gatekeeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/rationer"
	"rosemaryspool.example/core/scaler"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/archiver"
	"rosemaryspool.example/rosemaryspool/connector"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/delegator"
	"rosemaryspool.example/rosemaryspool/finisher"
	"rosemaryspool.example/rosemaryspool/forwarder"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/rosemaryspool/inspector"
	"rosemaryspool.example/rosemaryspool/prober"
	"rosemaryspool.example/rosemaryspool/provisioner"
	"rosemaryspool.example/rosemaryspool/repeater"
	"rosemaryspool.example/rosemaryspool/steward"
	"rosemaryspool.example/rosemaryspool/subscriber"
	"rosemaryspool.example/wire/messenger"
)

const (
	// headerTimeout is the limit for reading a request's headers, so that slow clients don't keep connections
	// occupied.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers. It is longer than the idle timeout that the platform's callers use.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the limit for a request's headers.
	maxHeaderBytes = 64 << 10
	// balancerDelay is how long the balancer takes to detect that the instance is not ready: it probes every second
	// and acts on the second failure.
	balancerDelay = 3 * time.Second
	// stopMargin is reserved for the last responses before the platform kills the process, and half of the grace period if
	// that is shorter.
	stopMargin = 400 * time.Millisecond
	// idleCheckInterval is how often idle connections to upstreams are checked and closed.
	idleCheckInterval = time.Second
)

// Gatekeeper is one gateway instance in front of the platform's upstreams.
type Gatekeeper struct {
	settings   platform.Settings
	stopLimit  atomic.Int64
	log        zerolog.Logger
	registry   metrics.Registry
	governor   *governor.Governor
	connector  *connector.Connector
	forwarder  *forwarder.Forwarder
	courier    *courier.Courier
	gossiper   *gossiper.Gossiper
	delegator  *delegator.Delegator
	inspector  *inspector.Inspector
	prober     *prober.Prober
	subscriber *subscriber.Subscriber
	archiver   *archiver.Archiver
	store      *platform.Store
	memory     *rationer.Rationer
	// provisioner is nil where no servers are ordered.
	provisioner *provisioner.Provisioner
	// steward is nil if the instance has no duties.
	steward *steward.Steward
	status  *statusHandler
	// unreadableNotices counts the responses in which an upstream says of itself what can't be read.
	unreadableNotices metrics.Counter
	// noticeWarnedAt is the Unix second of the last log line about one.
	noticeWarnedAt  atomic.Int64
	callerListener  net.Listener
	peerListener    net.Listener
	readyListener   net.Listener
	metricsListener net.Listener
	done            chan struct{}
}

// NewGatekeeper assembles an instance on a network and opens its listeners; it serves nothing before Run.
func NewGatekeeper(
	settings platform.Settings, network Network, log zerolog.Logger, registry metrics.Registry,
) (*Gatekeeper, error) {
	startedMs := time.Now().UnixMilli()
	log = log.With().Str("instance", string(settings.Instance)).Logger()
	g := &Gatekeeper{
		settings: settings, log: log, registry: registry, done: make(chan struct{}),
		unreadableNotices: metrics.GetOrRegisterCounter("noticesUnreadable", registry),
	}
	g.stopLimit.Store(int64(settings.TerminationGracePeriod))
	if err := g.listen(network); err != nil {
		return nil, err
	}
	// Datagrams and requests of other instances arrive at the same port.
	self := elector.Member{
		Instance: settings.Instance, DataCentre: settings.DataCentre, Address: g.peerListener.Addr().String(),
		Capacity: settings.Capacity, StartedMs: startedMs,
	}
	placing := allocator.DefaultSettings()
	placing.LimiterPhase = rand.Float64()
	g.governor = governor.NewGovernor(governor.Settings{
		Self: self, Retry: retrySettings(settings), Allocator: placing, ReportPhase: rand.Float64(),
		KeyLimit: keyLimit(settings), FirstStart: settings.FirstStart,
	}, log)
	opened := metrics.GetOrRegisterCounter("connectionsOpened", registry)
	g.connector = connector.NewConnector(network.Dial, platform.ResponseID, func() { opened.Inc(1) }, g.handleResponse)
	socket, err := network.ListenDatagrams(self.Address)
	if err != nil {
		return nil, errors.Join(err, g.closeListeners())
	}
	g.courier = courier.NewCourier(self, socket, log, registry)
	seeds := strings.FieldsFunc(settings.Seeds, func(r rune) bool { return r == ',' })
	g.gossiper = gossiper.NewGossiper(
		g.governor, g.courier, seeds, settings.LinkRate, g.handleView, log, registry,
	)
	g.delegator = delegator.NewDelegator(g.governor, g.courier, log, registry)
	g.memory = rationer.NewRationer(heldLimit(settings.Memory))
	g.prober = prober.NewProber(g.governor, g.connector, log)
	g.forwarder = forwarder.NewForwarder(g.governor, g.delegator, g.connector, g.prober, g.memory, log, registry)
	g.inspector = inspector.NewInspector(g.governor, g.connector, log)
	g.store = platform.NewStore(settings.StoreAddress, network.DialStore)
	g.archiver = archiver.NewArchiver(g.store, g.governor, settings.FirstStart, log)
	g.subscriber = subscriber.NewSubscriber(
		g.store, g.governor, g.gossiper, subscriber.Settings{
			DrainLimit: settings.MaxDrainDelay, ApplyLimit: settings.MaxApplyDelay, KeyLimit: keyLimit(settings),
			FirstStart: settings.FirstStart,
		}, log,
	)
	g.gossiper.RestoreFrom(g.subscriber.Newest)
	if d := settings.Duties; d.Address != "" && (d.ReportsUsage || d.OrdersServers) {
		g.steward = steward.NewSteward(
			d, g.store, platform.NewCloud(d.Address), g.governor, g.courier, log, registry,
		)
		g.forwarder.MeterWith(g.steward)
		if d.OrdersServers {
			g.provisioner = provisioner.NewProvisioner(
				provisioner.Settings{CallsPerSecond: d.CallsPerSecond, Scaler: scaler.DefaultSettings()},
				g.governor, g.steward, platform.NewCloud(d.Address), g.courier, log, registry,
			)
		}
	}
	// At the first start of the whole system nobody knows more than this instance.
	g.setWarming(!settings.FirstStart)
	g.status = newStatusHandler(g.governor, g.memory, g.forwarder.HandleExplain, registry)
	return g, nil
}

// heldShare is the share of the process's memory that may be held for requests and responses in flight. The rest is for
// connections, state and what the garbage collector has not collected yet.
const heldShare = 0.25

// heldLimit returns how much may be held for requests and responses; zero, for no limit, if the memory is unknown.
func heldLimit(memory identifier.Bytes) identifier.Bytes {
	return identifier.Bytes(heldShare * float64(memory))
}

func retrySettings(settings platform.Settings) budgeter.Settings {
	return budgeter.Settings{
		Ratio: settings.RetryBudgetRatio, Extra: settings.RetryBudgetExtra, Window: settings.RetryWindow,
	}
}

// keyLimit returns how old an instance's knowledge of removed keys may be; zero means any age.
func keyLimit(settings platform.Settings) time.Duration {
	if !settings.StrictRevocation {
		return 0
	}
	return settings.RevokeLimit
}

// handleResponse passes on what an upstream says of itself in a response.
func (g *Gatekeeper) handleResponse(from tracker.Entry, response *connector.Response) {
	if from.Upstream == "" {
		// The response is another instance's.
		return
	}
	notice, own, err := platform.DecodeNotice(time.Now(), response.Status, response.Header)
	if err != nil {
		g.unreadableNotices.Inc(1)
		if second := time.Now().Unix(); g.noticeWarnedAt.Swap(second) != second {
			g.log.Warn().Err(err).Str("event", "noticeUnreadable").Str("upstream", string(from.Upstream)).
				Msg("Ignoring what an upstream says of itself")
		}
	}
	if own {
		g.governor.Notify(from, notice)
	}
}

func (g *Gatekeeper) handleView(topic string, v gossiper.View) { g.subscriber.HandleView(topic, v) }

// handleDatagram passes a datagram of another instance to the part that it is for.
func (g *Gatekeeper) handleDatagram(r courier.Received) {
	g.governor.Heard(r.At, r.Sender, r.Leaving, r.Warming)
	g.subscriber.HandleVersion(r.Sender, r.Configuration)
	switch body := r.Datagram.GetBody().(type) {
	case *messenger.Datagram_WorkReport:
		g.gossiper.HandleReport(r, body.WorkReport)
	case *messenger.Datagram_PlacementRequest:
		g.gossiper.HandleReport(r, body.PlacementRequest.GetWorkReport())
		g.delegator.HandleRequest(r, body.PlacementRequest)
	case *messenger.Datagram_PlacementReply:
		g.delegator.HandleReply(r, body.PlacementReply)
	case *messenger.Datagram_StreamQuery:
		g.delegator.HandleStreamQuery(r, body.StreamQuery)
	case *messenger.Datagram_StreamReply:
		g.delegator.HandleStreamReply(r, body.StreamReply)
	case *messenger.Datagram_StoreUpdate:
		g.gossiper.HandleStoreUpdate(r, body.StoreUpdate)
	case *messenger.Datagram_StoreRequest:
		g.gossiper.HandleRemoved(r, body.StoreRequest)
		if len(body.StoreRequest.GetTopics()) == 0 {
			return
		}
		g.subscriber.HandleViewRequest(r.Sender, body.StoreRequest.GetTopics(), r.Datagram.GetReadsPacked())
		// The instance that asks has just started.
		g.gossiper.SendCrashKnowledge(r.Sender)
	case *messenger.Datagram_StreamReport:
		g.gossiper.HandleStreamReport(r, body.StreamReport)
	case *messenger.Datagram_SpeedReport:
		g.gossiper.HandleSpeedReport(r, body.SpeedReport)
	case *messenger.Datagram_CrashReport:
		g.gossiper.HandleCrashReport(r, body.CrashReport)
	case *messenger.Datagram_DemandReport:
		if g.provisioner != nil {
			g.provisioner.HandleDemand(r, body.DemandReport)
		}
	case *messenger.Datagram_UsageReport:
		if g.steward != nil {
			g.steward.HandleUsageReport(r, body.UsageReport)
		}
	case *messenger.Datagram_UsageReceipt:
		if g.steward != nil {
			g.steward.HandleUsageReceipt(r, body.UsageReceipt)
		}
	}
}

// Reload applies changed limits. It returns false if other settings differ as well, such as addresses or the instance
// ID: these need a restart.
func (g *Gatekeeper) Reload(settings platform.Settings) bool {
	g.governor.SetRetryBudget(time.Now(), retrySettings(settings))
	g.governor.SetKeyLimit(keyLimit(settings))
	g.subscriber.SetLimits(settings.MaxDrainDelay, settings.MaxApplyDelay, keyLimit(settings))
	g.stopLimit.Store(int64(settings.TerminationGracePeriod))
	g.memory.SetLimit(heldLimit(settings.Memory))
	kept := g.settings
	kept.Memory, kept.LinkRate = settings.Memory, settings.LinkRate
	kept.FirstStart, kept.Seeds = settings.FirstStart, settings.Seeds
	kept.MaxDrainDelay, kept.MaxApplyDelay, kept.TerminationGracePeriod =
		settings.MaxDrainDelay, settings.MaxApplyDelay, settings.TerminationGracePeriod
	kept.RevokeLimit, kept.StrictRevocation = settings.RevokeLimit, settings.StrictRevocation
	kept.RetryBudgetRatio, kept.RetryBudgetExtra, kept.RetryWindow =
		settings.RetryBudgetRatio, settings.RetryBudgetExtra, settings.RetryWindow
	return kept == settings
}

// Done is closed when Run has returned.
func (g *Gatekeeper) Done() <-chan struct{} { return g.done }

// Run serves until ctx ends, then stops gracefully: it reports not ready, waits for the balancer and drains the
// requests in flight.
func (g *Gatekeeper) Run(ctx context.Context) error {
	defer close(g.done)
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group conc.WaitGroup
	group.Go(func() { g.courier.Run(backgroundCtx, g.handleDatagram) })
	group.Go(func() { g.gossiper.Run(backgroundCtx) })
	group.Go(func() { g.subscriber.Run(backgroundCtx) })
	group.Go(func() { g.inspector.Run(backgroundCtx) })
	group.Go(func() { g.prober.Run(backgroundCtx) })
	group.Go(func() { g.archiver.Run(backgroundCtx) })
	group.Go(func() { repeater.Every(backgroundCtx, idleCheckInterval, g.connector.Sweep) })
	group.Go(func() { g.warmUp(backgroundCtx) })
	if g.provisioner != nil {
		group.Go(func() { g.provisioner.Run(backgroundCtx) })
	}
	if g.steward != nil {
		group.Go(func() { g.steward.Run(backgroundCtx) })
	}
	err := g.serve(ctx, &group)
	stopBackground()
	group.Wait()
	g.connector.Close()
	g.store.Close()
	g.log.Info().Str("event", "stopped").Err(err).Msg("Stopped")
	return err
}

// setWarming sets whether this instance counts as recently started.
func (g *Gatekeeper) setWarming(warming bool) {
	g.governor.SetWarming(time.Now(), warming)
	g.courier.SetWarming(warming)
}

// warmUp ends the time in which this instance counts as recently started.
func (g *Gatekeeper) warmUp(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(elector.WarmUpTime):
		g.setWarming(false)
	}
}

func (g *Gatekeeper) serve(ctx context.Context, group *conc.WaitGroup) error {
	callers, peers := newServer(g.forwarder), newServer(g.forwarder.PeerHandler())
	callerFinisher, peerFinisher := finisher.NewFinisher(callers), finisher.NewFinisher(peers)
	ready, metricsServer := newServer(g.status.readiness()), newServer(g.status.metrics())
	failed := make(chan error, 4)
	group.Go(func() { failed <- callers.Serve(g.callerListener) })
	group.Go(func() { failed <- peers.Serve(g.peerListener) })
	group.Go(func() { failed <- ready.Serve(g.readyListener) })
	group.Go(func() { failed <- metricsServer.Serve(g.metricsListener) })
	g.log.Info().Str("event", "started").Str("listen", g.CallerAddress()).Str("dataCentre", string(g.settings.DataCentre)).
		Str("store", g.settings.StoreAddress).Msg("Serving callers")
	var err error
	select {
	case <-ctx.Done():
		err = g.stop(callerFinisher, peerFinisher)
	case err = <-failed:
		err = errors.Join(eris.Wrap(err, "gatekeeper: serve"), callers.Close(), peers.Close())
	}
	return errors.Join(err, ready.Close(), metricsServer.Close())
}

// stop is the graceful shutdown. Requests are served until the balancer no longer routes to this instance, but each further
// response closes its connection; later requests are refused. Requests in flight have until the margin before the platform
// kills the process, and get a response then.
func (g *Gatekeeper) stop(callers, peers *finisher.Finisher) error {
	started := time.Now()
	g.log.Info().Str("event", "stopping").Int64("active", g.forwarder.Active()).Msg("Planned stop: reporting not ready")
	g.status.setNotReady()
	g.forwarder.DisableKeepAlives()
	if g.steward != nil {
		g.steward.Leave()
	}
	g.gossiper.Leave()
	grace := time.Duration(g.stopLimit.Load())
	margin := min(stopMargin, grace/2)
	limit := grace - margin
	<-time.After(min(balancerDelay, limit/2))
	g.forwarder.RefuseNew()
	g.log.Info().Str("event", "refusingNew").Int64("active", g.forwarder.Active()).Msg("Planned stop: refusing new requests")
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(limit))
	defer cancel()
	callers.AwaitIdle(ctx)
	peers.AwaitIdle(ctx)
	if ctx.Err() != nil {
		g.log.Warn().Str("event", "stopLimitReached").Int64("active", g.forwarder.Active()).
			Msg("Ending the requests that still run")
	}
	g.forwarder.EndRequests()
	last, release := context.WithDeadline(context.Background(), started.Add(limit+margin/2))
	defer release()
	// A caller that reads slowly must not take the time of the other instances' requests.
	var group conc.WaitGroup
	var callersErr, peersErr error
	group.Go(func() { callersErr = callers.Finish(last, g.callerListener) })
	group.Go(func() { peersErr = peers.Finish(last, g.peerListener) })
	group.Wait()
	err := errors.Join(callersErr, peersErr)
	if active := g.forwarder.Active(); active > 0 {
		err = errors.Join(err, eris.Errorf("gatekeeper: %d requests were cut off", active))
	}
	if g.steward != nil {
		g.steward.Flush()
	}
	return err
}
