package measurer

import (
	"time"

	"rosemaryspool.example/core/gauger"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/placer"
	"rosemaryspool.example/core/scheduler"
)

// ours returns the policy of the real core: a scheduler on each instance and a placer on one.
func corePolicy(w *Workload, seed uint64) Policy {
	instances := w.Parameters.Instances
	return Policy{
		Name: "ours", Split: allMixed(w.Parameters),
		NewDecider: func(instance identifier.InstanceID, dataCentre identifier.DataCentre) Decider {
			return scheduler.NewScheduler(scheduler.Settings{
				Instance: instance, DataCentre: dataCentre, Instances: instances, Seed: seed,
			})
		},
		NewPlanner: func() Planner { return newPlacement(instances) },
	}
}

// demandPeriod is how often the elected instance tells the placer what it was asked for.
const demandInterval = time.Second

// placement runs the real placer on what its instance sees, as the daemon's shell does.
type placement struct {
	placer     *placer.Placer
	started    bool
	lastDemand time.Time
	gauger     *gauger.Gauger
	attempts   map[identifier.AttemptID]identifier.RequestID
	requests   map[identifier.RequestID]scheduler.RequestArrived
}

// newPlacement returns a placer with authority over the whole fleet.
func newPlacement(instances int) *placement {
	p := &placement{
		placer:   placer.NewPlacer(placer.DefaultSettings()),
		attempts: map[identifier.AttemptID]identifier.RequestID{},
		requests: map[identifier.RequestID]scheduler.RequestArrived{},
	}
	p.placer.Handle(placer.InstanceCountChanged{Instances: instances})
	return p
}

// Observe takes one event with the actions that the scheduler answered and returns the orders that follow.
func (p *placement) Observe(event scheduler.Event, actions []scheduler.Action) []Order {
	p.trackActions(actions)
	switch e := event.(type) {
	case scheduler.RequestArrived:
		p.recordDemand(e)
	case scheduler.AttemptFinished:
		p.recordCachedPrompt(e)
	case scheduler.LoadReported:
		return p.toOrders(p.placer.Handle(toEngineObserved(e)))
	case scheduler.UpstreamRemoved:
		return p.toOrders(p.placer.Handle(placer.EngineRemoved{Now: e.Now, Upstream: e.Upstream}))
	case scheduler.Ticked:
		return p.tick(e.Now)
	}
	return nil
}

// Ended tells the placer how an order ended.
func (p *placement) OrderEnded(now time.Time, order Order, taken bool) {
	if order.Kind == OrderChangeRole {
		p.placer.Handle(placer.OrderCompleted{Now: now, Upstream: order.Upstream, Done: taken})
	}
}

// observed turns a load report into the placer's event.
func toEngineObserved(e scheduler.LoadReported) placer.EngineObserved {
	return placer.EngineObserved{
		Now: e.Now, Upstream: e.Upstream, Model: e.Load.Model, Role: e.Load.Role, Changing: e.Load.Changing,
		Leaving: e.Load.Leaving, Healthy: true, Sequences: e.Load.Running + e.Load.Waiting, MaxBatch: e.Load.MaxBatch,
		QueuedPrefill: e.Load.QueuedPrefill, PrefillPerSecond: e.Load.PrefillPerSecond, DecodeStep: e.Load.DecodeStep,
	}
}

// note remembers which request an attempt belongs to and forgets closed requests.
func (p *placement) trackActions(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Dispatch:
			p.attempts[a.Attempt] = a.Request
		case scheduler.Complete:
			delete(p.requests, a.Request)
			delete(p.attempts, a.Attempt)
		case scheduler.Refuse:
			delete(p.requests, a.Request)
		case scheduler.Cancel:
			delete(p.attempts, a.Attempt)
		}
	}
}

// ask counts a request as demand.
func (p *placement) recordDemand(e scheduler.RequestArrived) {
	p.requests[e.Request] = e
	if p.gauger == nil {
		p.gauger = gauger.NewGauger(e.Now)
	}
	p.gauger.AddRequest(modelName, e.Class, e.Prompt, e.ExpectedOutput)
}

// learn passes on how much of an answered prompt came from a cache.
func (p *placement) recordCachedPrompt(e scheduler.AttemptFinished) {
	r, ok := p.requests[p.attempts[e.Attempt]]
	delete(p.attempts, e.Attempt)
	if !ok || e.CachedPrompt < 0 {
		return
	}
	p.gauger.ObserveCached(r.Class, r.Prompt, e.CachedPrompt)
	delete(p.requests, r.Request)
}

// tick lets the placer act on time, and tells it the demand of the last period.
func (p *placement) tick(now time.Time) []Order {
	if !p.started {
		p.started, p.lastDemand = true, now
		p.placer.Handle(placer.LeaseChanged{Now: now, Held: true})
	}
	if p.gauger != nil && now.Sub(p.lastDemand) >= demandInterval {
		for _, demand := range p.gauger.Take(now) {
			p.placer.Handle(demand)
		}
		p.lastDemand = now
	}
	return p.toOrders(p.placer.Handle(placer.Ticked{Now: now}))
}

// orders turns the placer's actions into orders; the fakes run one version, so that loads and permits don't occur.
func (p *placement) toOrders(actions []placer.Action) []Order {
	var orders []Order
	for _, action := range actions {
		switch a := action.(type) {
		case placer.DrainEngine:
			orders = append(orders, Order{Kind: OrderDrain, Upstream: a.Upstream})
		case placer.RestoreEngine:
			orders = append(orders, Order{Kind: OrderRestore, Upstream: a.Upstream})
		case placer.OrderRole:
			orders = append(orders, Order{Kind: OrderChangeRole, Upstream: a.Upstream, Role: a.Role})
		}
	}
	return orders
}
