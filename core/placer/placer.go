package placer

import (
	"fmt"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Placer plans the changes of all pools. It is not safe for concurrent use.
type Placer struct {
	settings  Settings
	pools     []*pool
	instances int
	held      bool
	actions   []Action
}

// NewPlacer returns a placer that holds no authority and knows no engines.
func NewPlacer(settings Settings) *Placer { return &Placer{settings: settings, instances: 1} }

// Handle takes one event and returns the actions that follow from it, in order.
func (p *Placer) Handle(event Event) []Action {
	p.actions = nil
	switch e := event.(type) {
	case EngineObserved:
		p.observe(e)
	case EngineGone:
		for _, pool := range p.pools {
			pool.drop(e.Upstream)
		}
	case DemandObserved:
		p.pool(e.Model).observeDemand(e, p.instances, p.settings.DemandMemory)
	case InstancesCounted:
		p.instances = max(1, e.Instances)
	case VersionWanted:
		pool := p.pool(e.Model)
		if pool.wanted != e.Version {
			pool.wanted, pool.wantedAt = e.Version, e.Now
		}
	case PermitAnswered:
		p.answerPermit(e)
	case OrderEnded:
		p.endOrder(e)
	case AuthorityChanged:
		p.changeAuthority(e)
	case Ticked:
		p.tick(e.Now)
	}
	return p.actions
}

func (p *Placer) act(a Action) { p.actions = append(p.actions, a) }

func (p *Placer) pool(model identifier.ModelName) *pool {
	for _, pool := range p.pools {
		if pool.model == model {
			return pool
		}
	}
	created := &pool{model: model}
	p.pools = append(p.pools, created)
	slices.SortFunc(p.pools, func(a, b *pool) int { return compareModels(a.model, b.model) })
	return created
}

func compareModels(a, b identifier.ModelName) int {
	if a < b {
		return -1
	}
	return 1
}

func (p *Placer) observe(e EngineObserved) {
	for _, other := range p.pools {
		if other.model != e.Model && other.find(e.Upstream) != nil {
			other.drop(e.Upstream)
		}
	}
	p.pool(e.Model).put(e)
}

// changeAuthority forgets a change that has not been ordered when authority is lost: a successor may decide otherwise,
// and the drain is lifted by it. An order that is out stays known until it ends.
func (p *Placer) changeAuthority(e AuthorityChanged) {
	p.held = e.Held
	if e.Held {
		return
	}
	for _, pool := range p.pools {
		if c := pool.change; c != nil && c.stage < stageOrder {
			pool.change = nil
		}
	}
}

func (p *Placer) tick(now time.Time) {
	if !p.held {
		return
	}
	for _, pool := range p.pools {
		if pool.change != nil {
			p.advance(now, pool)
			continue
		}
		p.decide(now, pool)
	}
}

// decide starts at most one change in a pool.
func (p *Placer) decide(now time.Time, pool *pool) {
	if !pool.lastChange.IsZero() && now.Sub(pool.lastChange) < p.settings.PoolPause {
		return
	}
	if e := pool.outdated(now, &p.settings); e != nil {
		p.begin(now, pool, e, change{stage: stagePermit, version: pool.wanted, reason: "to version " + string(pool.wanted)})
		return
	}
	if p.settings.FixedRoles {
		return
	}
	best := pool.best(now, &p.settings)
	if best.upstream == "" {
		pool.candidate = plan{}
		return
	}
	if pool.candidate.role != best.role {
		pool.candidate, pool.candidateSince = best, now
		return
	}
	if now.Sub(pool.candidateSince) >= p.settings.Persistence {
		p.begin(now, pool, pool.find(best.upstream), change{stage: stageDrain, role: best.role, reason: best.reason()})
	}
}

// begin starts a change with a permit or with the drain.
func (p *Placer) begin(now time.Time, pool *pool, e *engine, c change) {
	c.upstream, c.since = e.Upstream, now
	pool.change = &c
	pool.candidate = plan{}
	if c.stage == stagePermit {
		p.act(AskPermit{Upstream: e.Upstream, Model: pool.model, Version: c.version})
		return
	}
	p.drain(now, pool)
}

func (p *Placer) drain(now time.Time, pool *pool) {
	c := pool.change
	c.stage, c.since = stageDrain, now
	if e := pool.find(c.upstream); e != nil {
		e.changedAt = now
	}
	p.act(DrainEngine{Upstream: c.upstream, Reason: c.reason})
}

func (p *Placer) answerPermit(e PermitAnswered) {
	for _, pool := range p.pools {
		c := pool.change
		if c == nil || c.upstream != e.Upstream || c.stage != stagePermit {
			continue
		}
		if !e.Granted {
			c.retryAt = e.Now.Add(max(e.RetryAfter, time.Second))
			return
		}
		p.drain(e.Now, pool)
	}
}

// advance carries a change on: permit, drain, order, probe.
func (p *Placer) advance(now time.Time, pool *pool) {
	c := pool.change
	e := pool.find(c.upstream)
	if e == nil || e.Leaving {
		p.callOff(now, pool, "the engine leaves")
		return
	}
	switch c.stage {
	case stagePermit:
		if !c.retryAt.IsZero() && !now.Before(c.retryAt) {
			c.retryAt = time.Time{}
			p.act(AskPermit{Upstream: c.upstream, Model: pool.model, Version: c.version})
		}
	case stageDrain:
		p.advanceDrain(now, pool, e)
	case stageOrder:
		if now.Sub(c.ordered) > p.settings.AbsenceLimit {
			p.callOff(now, pool, "the order has not ended in time")
		}
	case stageProbe:
		p.advanceProbe(now, pool, e)
	}
}

// advanceDrain orders the change once the engine's own report, measured after the drain began, shows it empty.
func (p *Placer) advanceDrain(now time.Time, pool *pool, e *engine) {
	c := pool.change
	if now.Sub(c.since) > p.settings.DrainLimit {
		p.callOff(now, pool, "the engine has not emptied in time")
		return
	}
	const settle = 5 * time.Second
	if e.Sequences > 0 || e.Now.Sub(c.since) < settle {
		return
	}
	c.stage, c.ordered = stageOrder, now
	if c.version != "" {
		p.act(OrderLoad{Upstream: c.upstream, Model: pool.model, Version: c.version, Reason: c.reason})
		return
	}
	p.act(OrderRole{Upstream: c.upstream, Role: c.role, Reason: c.reason})
}

func (p *Placer) endOrder(e OrderEnded) {
	for _, pool := range p.pools {
		c := pool.change
		if c == nil || c.upstream != e.Upstream || c.stage != stageOrder {
			continue
		}
		if !e.Done {
			p.callOff(e.Now, pool, "the order was not carried out")
			return
		}
		c.stage, c.since = stageProbe, e.Now
	}
}

// advanceProbe restores the engine once its own report shows the change done.
func (p *Placer) advanceProbe(now time.Time, pool *pool, e *engine) {
	c := pool.change
	done := e.Now.After(c.since) && !e.Changing && (c.role == "" || e.Role == c.role) && (c.version == "" || e.Version == c.version)
	if done {
		pool.learnAbsence(e.Now.Sub(c.ordered).Seconds())
		p.finish(now, pool, fmt.Sprintf("done %s", c.reason))
		return
	}
	if now.Sub(c.ordered) > p.settings.AbsenceLimit {
		p.callOff(now, pool, "the engine has not come back in time")
	}
}

func (p *pool) learnAbsence(seconds float64) {
	if p.absence == 0 {
		p.absence = seconds
		return
	}
	p.absence += 0.3 * (seconds - p.absence)
}

// callOff gives a change up; the engine takes work again as it is.
func (p *Placer) callOff(now time.Time, pool *pool, reason string) {
	if pool.change.stage == stagePermit {
		pool.change = nil
		return
	}
	p.finish(now, pool, "called off: "+reason)
}

func (p *Placer) finish(now time.Time, pool *pool, reason string) {
	p.act(RestoreEngine{Upstream: pool.change.upstream, Reason: reason})
	pool.change = nil
	pool.lastChange = now
}
