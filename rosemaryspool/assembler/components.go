package assembler

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/adaptor/director"
	"rosemaryspool.example/adaptor/invoker"
	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/adaptor/permitter"
	"rosemaryspool.example/adaptor/querier"
	"rosemaryspool.example/core/classifier"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/rosemaryspool/committer"
	"rosemaryspool.example/rosemaryspool/conductor"
	"rosemaryspool.example/rosemaryspool/coordinator"
	"rosemaryspool.example/rosemaryspool/dispatcher"
	"rosemaryspool.example/rosemaryspool/executor"
	"rosemaryspool.example/rosemaryspool/explainer"
	"rosemaryspool.example/rosemaryspool/poller"
	"rosemaryspool.example/rosemaryspool/resolver"
	"rosemaryspool.example/rosemaryspool/responder"
	"rosemaryspool.example/rosemaryspool/server"
	"rosemaryspool.example/wire/messenger"
)

const (
	// bootstrapTimeout bounds the bootstrap request to one peer.
	bootstrapTimeout = 2 * time.Second
	// probeTimeout bounds one probe of an engine.
	probeTimeout = 2 * time.Second
)

// assemble creates the components and connects them; it starts none of them.
func (d *Daemon) assemble() {
	registry := metrics.NewRegistry()
	log := appender.NewClient(d.settings.LogURL)
	targets := resolver.NewResolver(resolver.Factory{
		Engine:   func(address string) completer.Engine { return completer.NewClient(baseURL(address)) },
		Director: func(address string) director.Engine { return director.NewClient(baseURL(address)) },
		Service:  func(address string) invoker.Service { return invoker.NewClient(baseURL(address)) },
	})
	d.explainer = explainer.NewExplainer()
	d.conductor = d.newConductor(targets)
	d.committer = committer.NewCommitter(log, d.log, registry)
	core := scheduler.NewScheduler(scheduler.Settings{
		Instance: d.settings.Instance, DataCentre: d.settings.DataCentre, Instances: 1, Seed: uint64(time.Now().UnixNano()),
	})
	d.dispatcher = dispatcher.NewDispatcher(core, targets, d.notifyConductor, d.explainer, d.log, registry)
	d.poller = poller.NewPoller(
		lister.NewClient(d.settings.ListURL), targets, d.notifyScheduler, d.notifyConductor, d.log)
	d.executor = executor.NewExecutor(executor.Settings{
		Deduplicator: deduplicator.NewSettings(d.settings.Instance, d.incarnation, "claims"),
		Stream:       appender.ClaimStream(d.settings.Environment, 0),
	}, targets, log, d.committer, d.log)
	d.server = server.NewServer(server.Settings{
		Instance:     d.settings.Instance,
		MaxBodyBytes: d.settings.MaxBodyBytes,
		BodyTimeout:  d.settings.BodyTimeout,
	}, d.dispatcher, d.executor, d.log, registry)
	d.coordinator = coordinator.NewCoordinator(
		controller.NewSettings(d.settings.Environment, d.settings.Instance, d.incarnation, nil),
		log, d.committer, targets, d.listeners(), d.log)
	d.responder = responder.NewResponder(responder.Settings{
		Instance: d.settings.Instance, DataCentre: d.settings.DataCentre, Environment: d.settings.Environment,
	}, d.coordinator, log, d, d.log)
}

// notifyScheduler passes the poller's events to the scheduler, and removed upstreams also to the executor.
func (d *Daemon) notifyScheduler(event scheduler.Event) {
	if removed, ok := event.(scheduler.UpstreamRemoved); ok {
		d.executor.RemoveUpstream(removed.Upstream)
	}
	d.dispatcher.Notify(event)
}

// notifyConductor queues an event for the conductor.
func (d *Daemon) notifyConductor(event conductor.Event) { d.conductor.Notify(event) }

// newConductor returns the conductor with outputs that call the other components.
func (d *Daemon) newConductor(targets *resolver.Resolver) *conductor.Conductor {
	name := string(d.settings.Instance) + "/" + d.incarnation
	outputs := conductor.Outputs{
		SetUpstreamClosed: func(id identifier.UpstreamID, closed bool) {
			d.poller.SetClosed(id, closed)
			d.executor.SetClosed(id, closed)
		},
		MoveAttempt:      func(attempt identifier.AttemptID) { d.dispatcher.Move(attempt) },
		NotifyController: func(event controller.Event) { d.coordinator.Notify(event) },
		ProbeEngine:      func(ctx context.Context, id identifier.UpstreamID) bool { return probe(ctx, targets, id) },
	}
	return conductor.NewConductor(name, permitter.NewClient(d.settings.StoreURL), outputs, d.log)
}

// probe reports whether an engine responds and has completed its change.
func probe(ctx context.Context, targets *resolver.Resolver, id identifier.UpstreamID) bool {
	u, ok := targets.Find(id)
	if !ok || u.Director == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := u.Director.Report(ctx)
	return err == nil && !report.GetChanging()
}

// listeners returns callbacks that pass the controller's decisions to the other components.
func (d *Daemon) listeners() coordinator.Listeners {
	return coordinator.Listeners{
		ConfigInForce: d.applyConfiguration,
		PlansUpdated: func(plans []*messenger.PlannedChange) {
			d.notifyConductor(conductor.PlansUpdated{Now: time.Now(), Plans: plans})
		},
		LeaseChanged: func(scope identifier.Scope, held bool, unfinished []identifier.UpstreamID) {
			d.notifyConductor(conductor.LeaseChanged{Now: time.Now(), Scope: scope, Held: held, Unfinished: unfinished})
		},
		OrderClosed: func(closed controller.OrderClosed, unfinished []identifier.UpstreamID) {
			d.notifyConductor(conductor.OrderClosed{Now: time.Now(), Outcome: closed, Unfinished: unfinished})
		},
		SnapshotNeeded: d.startBootstrap,
	}
}

// applyConfiguration passes a configuration to every component that uses it.
func (d *Daemon) applyConfiguration(configuration controller.ConfigInForce) {
	document := configuration.Document
	models := make(map[identifier.UpstreamID][]identifier.ModelName, len(document.Engines))
	for _, e := range document.Engines {
		models[e.ID] = []identifier.ModelName{e.Model}
	}
	d.poller.SetModels(models)
	d.executor.SetWindow(document.Keys.Window)
	d.updateCallerLimits(document)
	d.notifyConductor(conductor.ConfigChanged{Document: document})
	d.server.SetConfiguration(classifier.NewClassifier(configuration.Revision, document))
}

// updateCallerLimits passes the rate limits of callers that differ from the previous configuration to the scheduler.
func (d *Daemon) updateCallerLimits(document *configurer.Document) {
	before := make(map[identifier.CallerID]configurer.Caller)
	if previous := d.server.Configuration(); previous != nil {
		for _, c := range previous.Document.Callers {
			before[c.ID] = c
		}
	}
	for _, c := range document.Callers {
		if previous, ok := before[c.ID]; !ok || previous != c {
			d.dispatcher.Notify(scheduler.CallerLimitSet{Caller: c.ID, RequestsPerSecond: c.RequestsPerSecond, Burst: c.Burst})
		}
		delete(before, c.ID)
	}
	for id := range before {
		d.dispatcher.Notify(scheduler.CallerLimitRemoved{Caller: id})
	}
}

// startBootstrap starts a bootstrap unless one is running.
func (d *Daemon) startBootstrap() {
	if !d.bootstrapping.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.bootstrapping.Store(false)
		d.bootstrap()
	}()
}

// bootstrap requests the replayed state of every peer and passes the newest snapshot to the controller.
func (d *Daemon) bootstrap() {
	newest := &messenger.BootstrapReply{}
	for _, p := range d.poller.Peers() {
		if p.ID == string(d.settings.Instance) || p.PeerAddress == "" {
			continue
		}
		reply, err := d.requestBootstrap(p.PeerAddress, newest.GetNextOffset())
		if err != nil {
			d.log.Warn().Str("event", "bootstrapFailed").Str("peer", p.ID).Err(err).
				Msg("Could not get a peer's state")
			continue
		}
		if reply.GetNextOffset() > newest.GetNextOffset() {
			newest = reply
		}
	}
	if newest.GetNextOffset() == 0 {
		return
	}
	snapshot := &messenger.Snapshot{
		NextOffset: newest.GetNextOffset(), State: newest.GetState(), Checksum: newest.GetChecksum(),
	}
	d.coordinator.Notify(controller.SnapshotLoaded{Now: time.Now(), Snapshot: snapshot})
}

// requestBootstrap requests a peer's state; the peer returns it only if it is newer than the known offset.
func (d *Daemon) requestBootstrap(address string, known uint64) (*messenger.BootstrapReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), bootstrapTimeout)
	defer cancel()
	peer := querier.NewClient(address)
	defer peer.Close()
	return peer.Bootstrap(ctx, &messenger.BootstrapRequest{
		Environment: string(d.settings.Environment), Instance: string(d.settings.Instance), KnownOffset: known,
	})
}

// Leaving reports whether the instance is shutting down.
func (d *Daemon) Leaving() bool { return d.server.ShuttingDown() }

// Upstreams returns this instance's view of the state of the upstreams.
func (d *Daemon) Upstreams() []*messenger.UpstreamStatus { return d.poller.Statuses() }

// Explain returns the retained decisions about a request, one a line.
func (d *Daemon) Explain(request identifier.RequestID) []string { return d.explainer.Find(request) }

// RefusalReason returns why non-idempotent calls are refused, or an empty string while they are accepted.
func (d *Daemon) RefusalReason() string {
	if d.coordinator.LogReachable() {
		return ""
	}
	return "the log cannot be read"
}

// baseURL returns the URL of an address in the instance list, which is IP:PORT or a URL.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}
