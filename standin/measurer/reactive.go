package measurer

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// Thresholds of the reactive planner.
const (
	reactiveHighUtilisation = 0.85
	reactiveLowUtilisation  = 0.60
	reactiveHoldTime        = 10 * time.Second
	reactiveMinInterval     = 30 * time.Second
	// reactiveBacklog is the queued prefill, in seconds of work, that counts as a fully used engine.
	reactiveFullBacklog = 0.5
	// reactiveShare is the weight of a new report in an engine's utilisation.
	reactiveSmoothing = 0.2
)

// reactive changes a role when one pool's utilisation is high and the other's low for a while.
type reactive struct {
	engines     map[identifier.UpstreamID]*reactiveEngine
	order       []identifier.UpstreamID
	wantedSince time.Time
	wanted      identifier.Role
	lastChange  time.Time
}

// reactiveEngine is one engine's latest load and smoothed utilisation.
type reactiveEngine struct {
	load        scheduler.Load
	utilisation float64
	changing    bool
}

// newReactive returns the planner of the reactive baseline.
func newReactive() *reactive {
	return &reactive{engines: map[identifier.UpstreamID]*reactiveEngine{}}
}

// Observe takes one event and returns the role changes to order.
func (p *reactive) Observe(event scheduler.Event, _ []scheduler.Action) []Order {
	switch e := event.(type) {
	case scheduler.UpstreamListed:
		if p.engines[e.Upstream] == nil {
			p.engines[e.Upstream] = &reactiveEngine{}
			p.order = append(p.order, e.Upstream)
		}
	case scheduler.UpstreamRemoved:
		if known := p.engines[e.Upstream]; known != nil {
			known.load.Leaving = true
		}
	case scheduler.LoadReported:
		p.recordLoad(e)
	case scheduler.Ticked:
		return p.decide(e.Now)
	}
	return nil
}

// Ended lets an engine whose order failed be chosen again.
func (p *reactive) OrderEnded(_ time.Time, order Order, taken bool) {
	if e := p.engines[order.Upstream]; e != nil && !taken {
		e.changing = false
	}
}

// learn folds a report into the engine's utilisation.
func (p *reactive) recordLoad(e scheduler.LoadReported) {
	known := p.engines[e.Upstream]
	if known == nil {
		return
	}
	if known.load.Role != e.Load.Role || known.load.Changing && !e.Load.Changing {
		known.changing = false
		known.utilisation = 0
	}
	known.load = e.Load
	used := float64(e.Load.Running) / float64(max(e.Load.MaxBatch, 1))
	if e.Load.Role == identifier.RolePrefill {
		used = float64(e.Load.QueuedPrefill) / max(e.Load.PrefillPerSecond*reactiveFullBacklog, 1)
	}
	known.utilisation += reactiveSmoothing * (min(used, 1) - known.utilisation)
}

// decide orders a change once the same need has lasted and the last change is long enough ago.
func (p *reactive) decide(now time.Time) []Order {
	role := p.neededRole()
	if role != p.wanted {
		p.wanted, p.wantedSince = role, now
	}
	if role == "" || now.Sub(p.wantedSince) < reactiveHoldTime || !p.lastChange.IsZero() && now.Sub(p.lastChange) < reactiveMinInterval {
		return nil
	}
	id := p.donor(role)
	if id == "" {
		return nil
	}
	p.lastChange = now
	p.engines[id].changing = true
	return []Order{{Upstream: id, Role: role}}
}

// need returns the role whose pool is overused while the other is underused, or nothing.
func (p *reactive) neededRole() identifier.Role {
	prefill, decode := p.poolUtilisation(identifier.RolePrefill), p.poolUtilisation(identifier.RoleDecode)
	switch {
	case prefill > reactiveHighUtilisation && decode < reactiveLowUtilisation:
		return identifier.RolePrefill
	case decode > reactiveHighUtilisation && prefill < reactiveLowUtilisation:
		return identifier.RoleDecode
	default:
		return ""
	}
}

// pool returns the mean utilisation of a role's engines.
func (p *reactive) poolUtilisation(role identifier.Role) float64 {
	sum, count := 0.0, 0
	for _, id := range p.order {
		if e := p.engines[id]; e.serves(role) {
			sum += e.utilisation
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// donor returns the least used engine of the other role, never its last one.
func (p *reactive) donor(wanted identifier.Role) identifier.UpstreamID {
	from := identifier.RolePrefill
	if wanted == identifier.RolePrefill {
		from = identifier.RoleDecode
	}
	var best identifier.UpstreamID
	count := 0
	for _, id := range p.order {
		e := p.engines[id]
		if !e.serves(from) {
			continue
		}
		count++
		if best == "" || e.utilisation < p.engines[best].utilisation {
			best = id
		}
	}
	if count < 2 {
		return ""
	}
	return best
}

// serves reports whether the engine serves in a role.
func (e *reactiveEngine) serves(role identifier.Role) bool {
	return e.load.Role == role && !e.changing && !e.load.Changing && !e.load.Leaving
}
