package placer

import (
	"fmt"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Placer plans and supervises the engine changes of all pools. It is not safe for concurrent use.
type Placer struct {
	settings  Settings
	pools     []*pool
	instances int
	leaseHeld bool
	actions   []Action
}

// NewPlacer returns a placer without a lease and without engines, for one instance.
func NewPlacer(settings Settings) *Placer { return &Placer{settings: settings, instances: 1} }

// Handle applies one event and returns the resulting actions in the order in which they must be carried out.
func (p *Placer) Handle(event Event) []Action {
	p.actions = nil
	switch e := event.(type) {
	case EngineObserved:
		p.updateEngine(e)
	case EngineRemoved:
		for _, pool := range p.pools {
			pool.remove(e.Upstream)
		}
	case DemandObserved:
		p.pool(e.Model).observeDemand(e, p.instances, p.settings.DemandTimeConstant)
	case InstanceCountChanged:
		p.instances = max(1, e.Instances)
	case TargetVersionSet:
		pool := p.pool(e.Model)
		if pool.targetVersion != e.Version {
			pool.targetVersion, pool.targetSetAt = e.Version, e.Now
		}
	case PermitDecided:
		p.handlePermit(e)
	case OrderClosed:
		p.closeOrder(e)
	case LeaseChanged:
		p.changeLease(e)
	case Ticked:
		p.tick(e.Now)
	}
	return p.actions
}

func (p *Placer) emit(a Action) { p.actions = append(p.actions, a) }

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

func (p *Placer) updateEngine(e EngineObserved) {
	for _, other := range p.pools {
		if other.model != e.Model && other.find(e.Upstream) != nil {
			other.remove(e.Upstream)
		}
	}
	p.pool(e.Model).upsert(e)
}

// changeLease records whether the lease is held. When it is lost, changes whose order has not been sent are dropped:
// the next holder restores the drained engines and may decide differently. A change whose order was sent is kept until
// the order ends.
func (p *Placer) changeLease(e LeaseChanged) {
	p.leaseHeld = e.Held
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
	if !p.leaseHeld {
		return
	}
	for _, pool := range p.pools {
		if pool.change != nil {
			p.advanceChange(now, pool)
			continue
		}
		p.planChange(now, pool)
	}
}

// planChange starts at most one change in a pool. Version updates take precedence over role changes.
func (p *Placer) planChange(now time.Time, pool *pool) {
	if !pool.lastChangedAt.IsZero() && now.Sub(pool.lastChangedAt) < p.settings.PoolCooldown {
		return
	}
	if e := pool.nextVersionUpdate(now, &p.settings); e != nil {
		p.startChange(now, pool, e, change{
			stage: stagePermit, version: pool.targetVersion, reason: "to version " + string(pool.targetVersion),
		})
		return
	}
	if p.settings.FixedRoles {
		return
	}
	best := pool.bestRoleChange(now, &p.settings)
	if best.upstream == "" {
		pool.candidate = candidate{}
		return
	}
	if pool.candidate.role != best.role {
		pool.candidate, pool.candidateSince = best, now
		return
	}
	if now.Sub(pool.candidateSince) >= p.settings.Persistence {
		p.startChange(now, pool, pool.find(best.upstream), change{stage: stageDrain, role: best.role, reason: best.reason()})
	}
}

// startChange starts a change with the permit request or with the drain, depending on its stage.
func (p *Placer) startChange(now time.Time, pool *pool, e *engine, c change) {
	c.upstream, c.stageStartedAt = e.Upstream, now
	pool.change = &c
	pool.candidate = candidate{}
	if c.stage == stagePermit {
		p.emit(RequestPermit{Upstream: e.Upstream, Model: pool.model, Version: c.version})
		return
	}
	p.startDrain(now, pool)
}

func (p *Placer) startDrain(now time.Time, pool *pool) {
	c := pool.change
	c.stage, c.stageStartedAt = stageDrain, now
	if e := pool.find(c.upstream); e != nil {
		e.changeStartedAt = now
	}
	p.emit(DrainEngine{Upstream: c.upstream, Reason: c.reason})
}

func (p *Placer) handlePermit(e PermitDecided) {
	for _, pool := range p.pools {
		c := pool.change
		if c == nil || c.upstream != e.Upstream || c.stage != stagePermit {
			continue
		}
		if !e.Granted {
			c.retryAt = e.Now.Add(max(e.RetryAfter, time.Second))
			return
		}
		p.startDrain(e.Now, pool)
	}
}

// advanceChange advances a change through its stages: permit, drain, order, probe.
func (p *Placer) advanceChange(now time.Time, pool *pool) {
	c := pool.change
	e := pool.find(c.upstream)
	if e == nil || e.Leaving {
		p.abort(now, pool, "the engine is leaving")
		return
	}
	switch c.stage {
	case stagePermit:
		if !c.retryAt.IsZero() && !now.Before(c.retryAt) {
			c.retryAt = time.Time{}
			p.emit(RequestPermit{Upstream: c.upstream, Model: pool.model, Version: c.version})
		}
	case stageDrain:
		p.advanceDrain(now, pool, e)
	case stageOrder:
		if now.Sub(c.orderedAt) > p.settings.MaxDowntime {
			p.abort(now, pool, "the order did not complete in time")
		}
	case stageProbe:
		p.advanceProbe(now, pool, e)
	}
}

// advanceDrain sends the order once the engine reports no sequences, in a report from at least settlingTime after the
// start of the drain.
func (p *Placer) advanceDrain(now time.Time, pool *pool, e *engine) {
	c := pool.change
	if now.Sub(c.stageStartedAt) > p.settings.DrainTimeout {
		p.abort(now, pool, "the engine still had work at the drain timeout")
		return
	}
	const settlingTime = 5 * time.Second
	if e.Sequences > 0 || e.Now.Sub(c.stageStartedAt) < settlingTime {
		return
	}
	c.stage, c.orderedAt = stageOrder, now
	if c.version != "" {
		p.emit(OrderLoad{Upstream: c.upstream, Model: pool.model, Version: c.version, Reason: c.reason})
		return
	}
	p.emit(OrderRole{Upstream: c.upstream, Role: c.role, Reason: c.reason})
}

func (p *Placer) closeOrder(e OrderClosed) {
	for _, pool := range p.pools {
		c := pool.change
		if c == nil || c.upstream != e.Upstream || c.stage != stageOrder {
			continue
		}
		if !e.Done {
			p.abort(e.Now, pool, "the order was not carried out")
			return
		}
		c.stage, c.stageStartedAt = stageProbe, e.Now
	}
}

// advanceProbe restores the engine once a report from after the order was closed shows the change.
func (p *Placer) advanceProbe(now time.Time, pool *pool, e *engine) {
	c := pool.change
	done := e.Now.After(c.stageStartedAt) && !e.Changing &&
		(c.role == "" || e.Role == c.role) && (c.version == "" || e.Version == c.version)
	if done {
		pool.observeDowntime(e.Now.Sub(c.orderedAt).Seconds())
		p.finish(now, pool, fmt.Sprintf("done %s", c.reason))
		return
	}
	if now.Sub(c.orderedAt) > p.settings.MaxDowntime {
		p.abort(now, pool, "the engine did not return in time")
	}
}

func (p *pool) observeDowntime(seconds float64) {
	if p.downtime == 0 {
		p.downtime = seconds
		return
	}
	p.downtime += 0.3 * (seconds - p.downtime)
}

// abort cancels a change. A drained engine is restored with its current role and version.
func (p *Placer) abort(now time.Time, pool *pool, reason string) {
	if pool.change.stage == stagePermit {
		pool.change = nil
		return
	}
	p.finish(now, pool, "aborted: "+reason)
}

func (p *Placer) finish(now time.Time, pool *pool, reason string) {
	p.emit(RestoreEngine{Upstream: pool.change.upstream, Reason: reason})
	pool.change = nil
	pool.lastChangedAt = now
}
