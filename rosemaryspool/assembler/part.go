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
	"rosemaryspool.example/rosemaryspool/dispatcher"
	"rosemaryspool.example/rosemaryspool/executor"
	"rosemaryspool.example/rosemaryspool/explainer"
	"rosemaryspool.example/rosemaryspool/follower"
	"rosemaryspool.example/rosemaryspool/resolver"
	"rosemaryspool.example/rosemaryspool/responder"
	"rosemaryspool.example/rosemaryspool/server"
	"rosemaryspool.example/rosemaryspool/watcher"
	"rosemaryspool.example/wire/messenger"
)

const (
	// bootstrapTimeout bounds the question to one peer.
	bootstrapTimeout = 2 * time.Second
	// probeTimeout bounds one probe of an engine.
	probeTimeout = 2 * time.Second
)

// assemble makes the parts; nothing runs yet.
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
	d.dispatcher = dispatcher.NewDispatcher(core, targets, d.learn, d.explainer, d.log, registry)
	d.watcher = watcher.NewWatcher(lister.NewClient(d.settings.ListURL), targets, d.notify, d.learn, d.log)
	d.executor = executor.NewExecutor(executor.Settings{
		Deduplicator: deduplicator.NewSettings(d.settings.Instance, d.incarnation, "claims"),
		Stream:       appender.ClaimStream(d.settings.Environment, 0),
	}, targets, log, d.committer, d.log)
	d.server = server.NewServer(server.Settings{
		Instance:     d.settings.Instance,
		MaxBodyBytes: d.settings.MaxBodyBytes,
		BodyTimeout:  d.settings.BodyTimeout,
	}, d.dispatcher, d.executor, d.log, registry)
	d.follower = follower.NewFollower(
		controller.NewSettings(d.settings.Environment, d.settings.Instance, d.incarnation, nil),
		log, d.committer, targets, d.listeners(), d.log)
	d.responder = responder.NewResponder(responder.Settings{
		Instance: d.settings.Instance, DataCentre: d.settings.DataCentre, Environment: d.settings.Environment,
	}, d.follower, log, d, d.log)
}

// notify hands the watcher's findings to the scheduler, and lets the executor forget upstreams that are gone.
func (d *Daemon) notify(event scheduler.Event) {
	if gone, ok := event.(scheduler.UpstreamRemoved); ok {
		d.executor.Forget(gone.Upstream)
	}
	d.dispatcher.Notify(event)
}

// learn hands an event to the conductor.
func (d *Daemon) learn(event conductor.Event) { d.conductor.Notify(event) }

func (d *Daemon) newConductor(targets *resolver.Resolver) *conductor.Conductor {
	name := string(d.settings.Instance) + "/" + d.incarnation
	outputs := conductor.Outputs{
		Closed: func(id identifier.UpstreamID, closed bool) {
			d.watcher.SetClosed(id, closed)
			d.executor.SetClosed(id, closed)
		},
		Move:  func(attempt identifier.AttemptID) { d.dispatcher.Move(attempt) },
		Event: func(event controller.Event) { d.follower.Notify(event) },
		Probe: func(ctx context.Context, id identifier.UpstreamID) bool { return probe(ctx, targets, id) },
	}
	return conductor.NewConductor(name, permitter.NewClient(d.settings.StoreURL), outputs, d.log)
}

// probe tells whether an engine answers and takes work again.
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

func (d *Daemon) listeners() follower.Listeners {
	return follower.Listeners{
		InForce: d.putInForce,
		Plans: func(plans []*messenger.PlannedChange) {
			d.learn(conductor.PlansChanged{Now: time.Now(), Plans: plans})
		},
		Lease: func(scope identifier.Scope, held bool, unfinished []identifier.UpstreamID) {
			d.learn(conductor.LeaseChanged{Now: time.Now(), Scope: scope, Held: held, Unfinished: unfinished})
		},
		Order: func(closed controller.OrderClosed, unfinished []identifier.UpstreamID) {
			d.learn(conductor.OrderClosed{Now: time.Now(), Closed: closed, Unfinished: unfinished})
		},
		Incomplete: d.startBootstrap,
	}
}

// putInForce hands a configuration to every part that reads it.
func (d *Daemon) putInForce(configuration controller.ConfigInForce) {
	document := configuration.Document
	models := make(map[identifier.UpstreamID][]identifier.ModelName, len(document.Engines))
	for _, e := range document.Engines {
		models[e.ID] = []identifier.ModelName{e.Model}
	}
	d.watcher.SetModels(models)
	d.executor.SetWindow(document.Keys.Window)
	d.limitCallers(document)
	d.learn(conductor.ConfigChanged{Document: document})
	d.server.SetConfiguration(classifier.NewClassifier(configuration.Revision, document))
}

// limitCallers tells the scheduler which callers' limits changed since the configuration before.
func (d *Daemon) limitCallers(document *configurer.Document) {
	before := make(map[identifier.CallerID]configurer.Caller)
	if previous := d.server.Configuration(); previous != nil {
		for _, c := range previous.Document.Callers {
			before[c.ID] = c
		}
	}
	for _, c := range document.Callers {
		if known, ok := before[c.ID]; !ok || known != c {
			d.dispatcher.Notify(scheduler.CallerLimitSet{Caller: c.ID, RequestsPerSecond: c.RequestsPerSecond, Burst: c.Burst})
		}
		delete(before, c.ID)
	}
	for id := range before {
		d.dispatcher.Notify(scheduler.CallerLimitRemoved{Caller: id})
	}
}

// startBootstrap asks the peers unless they are being asked already.
func (d *Daemon) startBootstrap() {
	if !d.bootstrapping.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.bootstrapping.Store(false)
		d.bootstrap()
	}()
}

// bootstrap asks the peers for their folded state and hands the newest one to the controller.
func (d *Daemon) bootstrap() {
	newest := &messenger.BootstrapReply{}
	for _, p := range d.watcher.Peers() {
		if p.ID == string(d.settings.Instance) || p.PeerAddress == "" {
			continue
		}
		reply, err := d.askPeer(p.PeerAddress, newest.GetNextOffset())
		if err != nil {
			d.log.Warn().Str("event", "bootstrapFailed").Str("peer", p.ID).Err(err).Msg("Could not ask a peer for its state")
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
	d.follower.Notify(controller.SnapshotLoaded{Now: time.Now(), Snapshot: snapshot})
}

func (d *Daemon) askPeer(address string, known uint64) (*messenger.BootstrapReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), bootstrapTimeout)
	defer cancel()
	peer := querier.NewClient(address)
	defer peer.Close()
	return peer.Bootstrap(ctx, &messenger.BootstrapRequest{
		Environment: string(d.settings.Environment), Instance: string(d.settings.Instance), KnownOffset: known,
	})
}

// Leaving tells whether the instance is in a planned stop.
func (d *Daemon) Leaving() bool { return d.server.ShuttingDown() }

// Upstreams returns this instance's view of its upstreams.
func (d *Daemon) Upstreams() []*messenger.UpstreamStatus { return d.watcher.Statuses() }

// Explain returns the kept decision lines of a request.
func (d *Daemon) Explain(request identifier.RequestID) []string { return d.explainer.Find(request) }

// Refusing tells why non-idempotent work is refused; it is empty when it is not.
func (d *Daemon) Refusing() string {
	if d.follower.LogReachable() {
		return ""
	}
	return "the log cannot be read"
}

// baseURL completes an address of the instance list, which is IP:PORT or a URL.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}
