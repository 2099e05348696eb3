package simulator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// Thresholds of the reactive planner. A pool is overused or underused when its utilisation is above the high or below
// the low threshold; the need must last for the hold time, and changes keep a minimum interval.
const (
	reactiveHighUtilisation = 0.85
	reactiveLowUtilisation  = 0.60
	reactiveHoldTime        = 10 * time.Second
	reactiveMinInterval     = 30 * time.Second
	// reactiveFullBacklog is the queued prefill, in seconds of work, at which a prefill engine counts as fully used.
	reactiveFullBacklog = 0.5
	// reactiveSmoothing is the weight of a new report in an engine's smoothed utilisation.
	reactiveSmoothing = 0.2
)

// reactive is a planner that changes an engine's role when one pool has been overused and the other underused for the
// hold time.
type reactive struct {
	engines     map[identifier.UpstreamID]*reactiveEngine
	order       []identifier.UpstreamID
	wantedSince time.Time
	wanted      identifier.Role
	lastChange  time.Time
}

// reactiveEngine holds one engine's latest load and smoothed utilisation. changing is true from the order of a role
// change until a report shows its end.
type reactiveEngine struct {
	load        scheduler.Load
	utilisation float64
	changing    bool
}

// newReactive returns a planner without engines.
func newReactive() *reactive {
	return &reactive{engines: map[identifier.UpstreamID]*reactiveEngine{}}
}

// Observe processes one event and returns the role changes to order.
func (p *reactive) Observe(event scheduler.Event, _ []scheduler.Action) []Order {
	switch e := event.(type) {
	case scheduler.UpstreamListed:
		if p.engines[e.Upstream] == nil {
			p.engines[e.Upstream] = &reactiveEngine{}
			p.order = append(p.order, e.Upstream)
		}
	case scheduler.UpstreamRemoved:
		if engine := p.engines[e.Upstream]; engine != nil {
			engine.load.Leaving = true
		}
	case scheduler.LoadReported:
		p.recordLoad(e)
	case scheduler.Ticked:
		return p.decide(e.Now)
	}
	return nil
}

// OrderEnded makes an engine whose order failed eligible again.
func (p *reactive) OrderEnded(_ time.Time, order Order, accepted bool) {
	if e := p.engines[order.Upstream]; e != nil && !accepted {
		e.changing = false
	}
}

// recordLoad updates the engine's load and smoothed utilisation from a report.
func (p *reactive) recordLoad(e scheduler.LoadReported) {
	engine := p.engines[e.Upstream]
	if engine == nil {
		return
	}
	if engine.load.Role != e.Load.Role || engine.load.Changing && !e.Load.Changing {
		engine.changing = false
		engine.utilisation = 0
	}
	engine.load = e.Load
	used := float64(e.Load.Running) / float64(max(e.Load.MaxBatch, 1))
	if e.Load.Role == identifier.RolePrefill {
		used = float64(e.Load.QueuedPrefill) / max(e.Load.PrefillPerSecond*reactiveFullBacklog, 1)
	}
	engine.utilisation += reactiveSmoothing * (min(used, 1) - engine.utilisation)
}

// decide orders a role change once the same need has lasted for the hold time, if the minimum interval since the last
// change has passed.
func (p *reactive) decide(now time.Time) []Order {
	role := p.neededRole()
	if role != p.wanted {
		p.wanted, p.wantedSince = role, now
	}
	if role == "" || now.Sub(p.wantedSince) < reactiveHoldTime ||
		!p.lastChange.IsZero() && now.Sub(p.lastChange) < reactiveMinInterval {
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

// neededRole returns the role whose pool is overused while the other is underused, or an empty role.
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

// poolUtilisation returns the mean utilisation of a role's engines, or zero if there are none.
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

// donor returns the least used engine of the other role. It returns none if that role has only one engine left.
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

// serves reports whether the engine has the role and is neither changing it nor leaving.
func (e *reactiveEngine) serves(role identifier.Role) bool {
	return e.load.Role == role && !e.changing && !e.load.Changing && !e.load.Leaving
}
