// Package poller polls the instance list and the engines' reports and cache events, and passes them to the scheduler
// and the conductor.
package poller

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/core/drainer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/rosemaryspool/conductor"
	"rosemaryspool.example/rosemaryspool/dispatcher"
	"rosemaryspool.example/rosemaryspool/resolver"
	"rosemaryspool.example/wire/messenger"
)

const (
	// listInterval is the interval between reads of the instance list: a leaving upstream must receive no new work after
	// a few seconds.
	listInterval = time.Second
	// reportInterval is the interval between reads of each engine's report.
	reportInterval = 500 * time.Millisecond
	// cacheEventInterval is the interval between reads of each engine's cache events. They only correct what
	// completed requests show of the cache, and arrive seconds late anyway.
	cacheEventInterval = 2 * time.Second
	// readTimeout bounds one read so that an unresponsive engine doesn't delay the others.
	readTimeout = 2 * time.Second
)

// Poller reads the instance list and the engines for the scheduler and the conductor.
type Poller struct {
	list            lister.List
	resolver        *resolver.Resolver
	notifyScheduler func(scheduler.Event)
	notifyConductor func(conductor.Event)
	log             zerolog.Logger
	done            chan struct{}

	mutex   sync.Mutex
	peers   []lister.Member
	models  map[identifier.UpstreamID][]identifier.ModelName
	closed  map[identifier.UpstreamID]bool
	cursors map[identifier.UpstreamID]uint64
	reports map[identifier.UpstreamID]receivedReport
}

// receivedReport is an engine's latest report and the time at which it was read.
type receivedReport struct {
	report     *messenger.EngineReport
	receivedAt time.Time
}

// NewPoller returns a poller; it starts when Run is called.
func NewPoller(
	list lister.List, targets *resolver.Resolver, notifyScheduler func(scheduler.Event),
	notifyConductor func(conductor.Event), log zerolog.Logger,
) *Poller {
	return &Poller{
		list: list, resolver: targets, notifyScheduler: notifyScheduler, notifyConductor: notifyConductor, log: log,
		done:    make(chan struct{}),
		models:  make(map[identifier.UpstreamID][]identifier.ModelName),
		closed:  make(map[identifier.UpstreamID]bool),
		cursors: make(map[identifier.UpstreamID]uint64),
		reports: make(map[identifier.UpstreamID]receivedReport),
	}
}

// Done is closed when Run has returned.
func (p *Poller) Done() <-chan struct{} { return p.done }

// Run polls until stop is closed.
func (p *Poller) Run(stop <-chan struct{}) {
	defer close(p.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	p.readList(ctx)
	lists := time.NewTicker(listInterval)
	defer lists.Stop()
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	cacheEvents := time.NewTicker(cacheEventInterval)
	defer cacheEvents.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-lists.C:
			p.readList(ctx)
		case <-reports.C:
			p.readEngines(ctx, p.readReport)
		case <-cacheEvents.C:
			p.readEngines(ctx, p.readCacheEvents)
		}
	}
}

// SetModels sets the models that each engine is configured to run and notifies the scheduler.
func (p *Poller) SetModels(models map[identifier.UpstreamID][]identifier.ModelName) {
	p.mutex.Lock()
	p.models = models
	p.mutex.Unlock()
	for _, u := range p.resolver.Engines() {
		p.notifyEngine(u.Member)
	}
}

// SetClosed takes an upstream out of service for new work, or returns it to service.
func (p *Poller) SetClosed(id identifier.UpstreamID, closed bool) {
	p.mutex.Lock()
	p.closed[id] = closed
	p.mutex.Unlock()
	p.notifyScheduler(scheduler.UpstreamDrained{Now: time.Now(), Upstream: id, Draining: closed})
}

// Statuses returns this instance's view of its upstreams, sorted by id.
func (p *Poller) Statuses() []*messenger.UpstreamStatus {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var statuses []*messenger.UpstreamStatus
	for _, u := range p.resolver.All() {
		status := &messenger.UpstreamStatus{Upstream: u.Member.ID, Kind: string(u.Member.Kind), State: "inService"}
		if u.Member.Leaving || p.closed[u.ID()] {
			status.State = "leaving"
		}
		if r, ok := p.reports[u.ID()]; ok {
			describeReport(status, r, now)
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b *messenger.UpstreamStatus) int {
		return strings.Compare(a.GetUpstream(), b.GetUpstream())
	})
	return statuses
}

// describeReport fills in the part of a status that comes from an engine's report.
func describeReport(status *messenger.UpstreamStatus, read receivedReport, now time.Time) {
	status.Role = read.report.GetRole()
	status.Model = read.report.GetModel()
	status.Version = read.report.GetVersion()
	status.InFlight = read.report.GetRunning() + read.report.GetWaiting()
	status.ReportAgeMs = identifier.Milliseconds(now.Sub(read.receivedAt))
	if read.report.GetChanging() {
		status.State = "changing"
	}
}

// Peers returns the instances of the last listing that are not leaving, this one included.
func (p *Poller) Peers() []lister.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]lister.Member(nil), p.peers...)
}

// readList reads the instance list and passes on the upstreams, the number of instances and the removed upstreams.
func (p *Poller) readList(ctx context.Context) {
	callContext, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	members, err := p.list.Members(callContext)
	if err != nil {
		p.log.Warn().Str("event", "listFailed").Err(err).Msg("Could not read the instance list")
		return
	}
	var peers []lister.Member
	for _, m := range members {
		if m.Kind == lister.KindInstance && !m.Leaving {
			peers = append(peers, m)
		}
	}
	p.mutex.Lock()
	p.peers = peers
	p.mutex.Unlock()
	for _, id := range p.resolver.Update(members) {
		p.notifyScheduler(scheduler.UpstreamRemoved{Now: time.Now(), Upstream: id})
	}
	p.notifyConductor(newListUpdated(members, len(peers)))
	p.notifyScheduler(scheduler.InstancesCounted{Instances: max(1, len(peers))})
	for _, m := range members {
		if m.Kind == lister.KindEngine {
			p.notifyEngine(m)
		}
	}
}

// newListUpdated returns the conductor's event for a listing.
func newListUpdated(members []lister.Member, instances int) conductor.ListUpdated {
	read := conductor.ListUpdated{Now: time.Now(), Instances: max(1, instances)}
	for _, m := range members {
		if m.Kind != lister.KindInstance {
			read.Members = append(read.Members, drainer.Member{Upstream: identifier.UpstreamID(m.ID), Leaving: m.Leaving})
		}
	}
	return read
}

// notifyEngine passes an engine to the scheduler with its configured models; without any it may serve every model.
func (p *Poller) notifyEngine(member lister.Member) {
	id := identifier.UpstreamID(member.ID)
	p.mutex.Lock()
	models := p.models[id]
	closed := p.closed[id]
	p.mutex.Unlock()
	p.notifyScheduler(scheduler.UpstreamListed{
		Now: time.Now(), Upstream: id, DataCentre: member.DataCentre, Models: models, Leaving: member.Leaving,
	})
	p.notifyScheduler(scheduler.UpstreamDrained{Now: time.Now(), Upstream: id, Draining: closed})
}

// readEngines calls read for all engines concurrently and waits for the calls.
func (p *Poller) readEngines(ctx context.Context, read func(context.Context, *resolver.Upstream)) {
	callContext, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var group conc.WaitGroup
	for _, u := range p.resolver.Engines() {
		group.Go(func() { read(callContext, u) })
	}
	group.Wait()
}

// readReport reads an engine's report and passes it to the conductor and the scheduler.
func (p *Poller) readReport(ctx context.Context, engine *resolver.Upstream) {
	report, err := engine.Director.Report(ctx)
	if err != nil {
		p.log.Debug().Str("event", "reportFailed").Str("upstream", engine.Member.ID).Err(err).
			Msg("Could not read an engine's report")
		return
	}
	now := time.Now()
	p.mutex.Lock()
	p.reports[engine.ID()] = receivedReport{report: report, receivedAt: now}
	p.mutex.Unlock()
	p.notifyConductor(conductor.ReportReceived{Now: now, Upstream: engine.ID(), Report: report})
	p.notifyScheduler(scheduler.LoadReported{Now: now, Upstream: engine.ID(), Load: *dispatcher.ConvertReport(report)})
}

// readCacheEvents passes the cache events since the last read to the scheduler. After a failure they are read again
// the next time.
func (p *Poller) readCacheEvents(ctx context.Context, engine *resolver.Upstream) {
	p.mutex.Lock()
	cursor := p.cursors[engine.ID()]
	p.mutex.Unlock()
	batch, err := engine.Director.CacheEvents(ctx, cursor)
	if err != nil {
		return
	}
	for _, e := range batch.GetEvents() {
		p.notifyScheduler(scheduler.CacheChanged{
			Now:      time.Now(),
			Upstream: engine.ID(),
			Sequence: e.GetSequence(),
			Stored:   convertHashes(e.GetStored()),
			Evicted:  convertHashes(e.GetEvicted()),
			Cleared:  e.GetCleared(),
		})
	}
	p.mutex.Lock()
	p.cursors[engine.ID()] = batch.GetNextSequence()
	p.mutex.Unlock()
}

// convertHashes converts prefix hashes from their wire type.
func convertHashes(hashes []uint64) []identifier.PrefixHash {
	converted := make([]identifier.PrefixHash, len(hashes))
	for i, h := range hashes {
		converted[i] = identifier.PrefixHash(h)
	}
	return converted
}
