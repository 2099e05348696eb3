// Package provisioner orders servers of the services whose number can be changed. Each service's arbiter counts the work
// that it is offered and tells the instances that may hold the lease for orders; the holder decides by core/scaler and makes
// the calls.
package provisioner

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/core/scaler"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/rosemaryspool/repeater"
	"rosemaryspool.example/rosemaryspool/steward"
	"rosemaryspool.example/wire/messenger"
)

const (
	// demandPeriod is the time over which demand is counted: a fraction of a burst.
	demandPeriod = 500 * time.Millisecond
	// maxReportAge is how long an instance's demand counts; a report may be lost.
	maxReportAge = 3 * demandPeriod / 2
	// decisionInterval is the time between two decisions. A data centre's spot servers leave within seconds.
	decisionInterval = 250 * time.Millisecond
	// callTimeout bounds a call to the platform; minCallTime is the shortest one that is worthwhile.
	callTimeout = time.Second
	minCallTime = 200 * time.Millisecond
	// callShare is the share of the calls that all duties may make together which orders may use.
	callShare = 0.5
	// planLogInterval is the time between two log lines about a decision that orders nothing.
	planLogInterval = 5 * time.Second
)

// Lease is the right to make the calls of a scope.
type Lease interface {
	// Lease returns the fence of this instance's lease and the time until which its calls have to be over.
	Lease(scope identifier.Scope) (fence platform.Fence, until time.Time, held bool)
	// Refused records that the platform has seen a higher token than this one.
	Refused(scope identifier.Scope, token identifier.Token)
}

// Cloud makes the calls.
type Cloud interface {
	OrderServers(ctx context.Context, fence platform.Fence, o platform.ServerOrder) error
}

// Sender sends datagrams to other instances.
type Sender interface {
	Send(to elector.Member, d *messenger.Datagram)
}

// Settings holds what orders depend on.
type Settings struct {
	// CallsPerSecond bounds the calls of all instances and duties together.
	CallsPerSecond float64
	Scaler         scaler.Settings
}

// service is what an instance knows of a service whose number of servers can be changed.
type service struct {
	scaler  *scaler.Scaler
	counter counter
	reports reports
	// token is that of the lease under which the last decision was made.
	token identifier.Token
	// planLoggedAt is when a decision that ordered nothing was last logged.
	planLoggedAt time.Time
}

// Provisioner orders servers while it holds the lease.
type Provisioner struct {
	settings Settings
	governor *governor.Governor
	lease    Lease
	cloud    Cloud
	sender   Sender
	log      zerolog.Logger
	done     chan struct{}

	ordered   metrics.Counter
	refused   metrics.Counter
	none      metrics.Counter
	uncertain metrics.Counter

	// allowance is the number of calls that may be made at allowedAt. Only order uses them.
	allowance float64
	allowedAt time.Time

	mu       sync.Mutex
	services map[identifier.ServiceName]*service
}

// NewProvisioner returns a provisioner of the services in g's configuration.
func NewProvisioner(
	settings Settings, g *governor.Governor, lease Lease, cloud Cloud, sender Sender, log zerolog.Logger,
	registry metrics.Registry,
) *Provisioner {
	return &Provisioner{
		settings: settings, governor: g, lease: lease, cloud: cloud, sender: sender, log: log, done: make(chan struct{}),
		ordered:   metrics.GetOrRegisterCounter("serversOrdered", registry),
		refused:   metrics.GetOrRegisterCounter("serverOrdersRefused", registry),
		none:      metrics.GetOrRegisterCounter("serverOrdersNoneAvailable", registry),
		uncertain: metrics.GetOrRegisterCounter("serverOrdersUncertain", registry),
		services:  map[identifier.ServiceName]*service{},
	}
}

// Done is closed when Run has returned.
func (p *Provisioner) Done() <-chan struct{} { return p.done }

// Run counts demand and orders servers until ctx ends.
func (p *Provisioner) Run(ctx context.Context) {
	defer close(p.done)
	var group conc.WaitGroup
	group.Go(func() { repeater.Every(ctx, demandPeriod, func() { p.count(time.Now()) }) })
	group.Go(func() { repeater.Every(ctx, decisionInterval, func() { p.order(ctx) }) })
	group.Wait()
}

// scalable returns the services whose number of servers can be changed, sorted by name.
func (p *Provisioner) scalable() []matcher.Service {
	table := p.governor.Table()
	if table == nil {
		return nil
	}
	var services []matcher.Service
	for _, s := range table.Configuration().Services {
		if s.Scaling != nil {
			services = append(services, s)
		}
	}
	slices.SortFunc(services, func(a, b matcher.Service) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return services
}

// service returns what is known of a service. The mutex must be held.
func (p *Provisioner) service(name identifier.ServiceName) *service {
	s := p.services[name]
	if s == nil {
		s = &service{scaler: scaler.NewScaler(p.settings.Scaler), reports: reports{}}
		p.services[name] = s
	}
	return s
}

// count takes the demand of the services that this instance has placed requests of, tells those that may order servers, and
// has the demand of all instances observed.
func (p *Provisioner) count(now time.Time) {
	self := p.governor.Self().Instance
	for _, s := range p.scalable() {
		total, longAnswers, mixedSpeed, arbitrates := p.governor.Demand(now, s.Name)
		entries := p.governor.Entries(s.Name)
		p.mu.Lock()
		known := p.service(s.Name)
		demand, period, counted := known.counter.next(now, total, longAnswers, mixedSpeed)
		counted = counted && (arbitrates || demand.Requests > 0)
		if counted {
			known.reports[self] = report{at: now, demand: demand}
		}
		if sum, heard := known.reports.sum(now); heard {
			known.scaler.Observe(now, sum, entries)
		}
		p.mu.Unlock()
		if !counted {
			continue
		}
		message := encodeDemand(s.Name, period, demand)
		for _, m := range p.governor.Stewards(steward.Candidates) {
			if m.Instance != self {
				p.sender.Send(m, &messenger.Datagram{Body: &messenger.Datagram_DemandReport{DemandReport: message}})
			}
		}
	}
}

// HandleDemand applies a service's demand as another instance has counted it.
func (p *Provisioner) HandleDemand(r courier.Received, m *messenger.DemandReport) {
	name := identifier.ServiceName(m.GetService())
	table := p.governor.Table()
	if table == nil || table.Configuration().Services[name].Scaling == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(name).reports[r.Sender.Instance] = report{at: r.At, demand: decodeDemand(m)}
}

// order makes the orders that are due, if this instance holds the lease.
func (p *Provisioner) order(ctx context.Context) {
	now := time.Now()
	fence, _, held := p.lease.Lease(steward.ScopeScale)
	if !held {
		return
	}
	limit := p.allow(now)
	var group conc.WaitGroup
	defer group.Wait()
	for _, s := range p.scalable() {
		entries := p.governor.Entries(s.Name)
		if len(entries) == 0 {
			// The list has not been read yet.
			continue
		}
		p.mu.Lock()
		known := p.service(s.Name)
		if fence.Token != known.token {
			known.token = fence.Token
			known.scaler.Begin(now)
			p.log.Info().Str("event", "scalingBegun").Str("service", string(s.Name)).Uint64("token", uint64(fence.Token)).
				Int("servers", len(entries)).Msg("This instance decides on the number of servers")
		}
		orders, plan := known.scaler.Decide(now, *s.Scaling, entries)
		if len(orders) == 0 && now.Sub(known.planLoggedAt) >= planLogInterval {
			known.planLoggedAt = now
			p.logPlan(p.log.Info(), s.Name, plan).Str("event", "serversUnchanged").
				Msg("Number of servers stays as it is")
		}
		p.mu.Unlock()
		orders = orders[:min(len(orders), limit)]
		for _, o := range orders {
			group.Go(func() { p.call(ctx, fence, s.Name, known.scaler, o, plan) })
		}
		limit -= len(orders)
		p.allowance -= float64(len(orders))
	}
}

// allow returns how many calls may be made now: what a second allows, less those of the last second.
func (p *Provisioner) allow(now time.Time) int {
	perSecond := callShare * p.settings.CallsPerSecond
	p.allowance = min(max(1, perSecond), p.allowance+perSecond*now.Sub(p.allowedAt).Seconds())
	p.allowedAt = now
	return int(p.allowance)
}

// call makes one order and records how it ended.
func (p *Provisioner) call(
	ctx context.Context, fence platform.Fence, name identifier.ServiceName, decider *scaler.Scaler,
	o scaler.Order, plan scaler.Plan,
) {
	sent := time.Now()
	current, until, held := p.lease.Lease(steward.ScopeScale)
	timeout := min(callTimeout, until.Sub(sent))
	if !held || current != fence || timeout < minCallTime {
		// The lease has ended, or has to be renewed first.
		return
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := p.cloud.OrderServers(limited, fence, platform.ServerOrder{
		Service: name, DataCentre: o.Pool.DataCentre, Count: o.Count, Spot: o.Pool.Spot,
	})
	outcome := p.outcome(fence, err)
	now := time.Now()
	p.mu.Lock()
	decider.Ended(now, sent, o, outcome)
	p.mu.Unlock()
	line := p.log.Info()
	if err != nil {
		line = p.log.Warn().Err(err)
	}
	p.logPlan(line, name, plan).Str("event", "serversOrdered").Str("dataCentre", string(o.Pool.DataCentre)).
		Bool("spot", o.Pool.Spot).Int("count", o.Count).Int("before", o.Before).Str("cause", string(o.Cause)).
		Stringer("outcome", outcome).Uint64("token", uint64(fence.Token)).Dur("tookMs", now.Sub(sent)).
		Msg("Ordered a number of servers")
}

// outcome classifies the end of a call and counts it.
func (p *Provisioner) outcome(fence platform.Fence, err error) scaler.Outcome {
	var refusal *platform.CloudError
	switch {
	case err == nil:
		p.ordered.Inc(1)
		return scaler.OutcomeAccepted
	case !errors.As(err, &refusal):
		p.uncertain.Inc(1)
		return scaler.OutcomeUncertain
	case refusal.NoneAvailable():
		p.none.Inc(1)
		return scaler.OutcomeNone
	case refusal.Conflicts():
		p.lease.Refused(steward.ScopeScale, fence.Token)
	}
	p.refused.Inc(1)
	return scaler.OutcomeRefused
}

// logPlan adds what a decision is based on to a log line.
func (p *Provisioner) logPlan(line *zerolog.Event, name identifier.ServiceName, plan scaler.Plan) *zerolog.Event {
	scarce := make([]string, 0, len(plan.Scarce))
	for _, d := range plan.Scarce {
		scarce = append(scarce, string(d))
	}
	return line.Str("service", string(name)).Float64("needed", plan.Needed).Float64("mean", plan.Mean).
		Int("total", plan.Total).Int("normal", plan.Normal).Int("ready", plan.Ready).Int("readySpot", plan.ReadySpot).
		Strs("scarce", scarce)
}
