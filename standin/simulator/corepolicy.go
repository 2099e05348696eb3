package simulator

import (
	"time"

	"rosemaryspool.example/core/gauger"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/placer"
	"rosemaryspool.example/core/scheduler"
)

// corePolicy returns the production policy: the core's scheduler on each instance and its placer on one of them.
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

// demandInterval is how often the instance with the planner reports the measured demand to the placer.
const demandInterval = time.Second

// placement runs the core's placer on the events of one instance, as the daemon does.
type placement struct {
	placer     *placer.Placer
	started    bool
	lastDemand time.Time
	gauger     *gauger.Gauger
	attempts   map[identifier.AttemptID]identifier.RequestID
	requests   map[identifier.RequestID]scheduler.RequestArrived
}

// newPlacement returns a placement that plans the roles of the complete fleet.
func newPlacement(instances int) *placement {
	p := &placement{
		placer:   placer.NewPlacer(placer.DefaultSettings()),
		attempts: map[identifier.AttemptID]identifier.RequestID{},
		requests: map[identifier.RequestID]scheduler.RequestArrived{},
	}
	p.placer.Handle(placer.InstanceCountChanged{Instances: instances})
	return p
}

// Observe passes an event and the scheduler's actions for it to the placer and returns the resulting orders.
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

// OrderEnded reports the outcome of a role change to the placer.
func (p *placement) OrderEnded(now time.Time, order Order, accepted bool) {
	if order.Kind == OrderChangeRole {
		p.placer.Handle(placer.OrderClosed{Now: now, Upstream: order.Upstream, Done: accepted})
	}
}

// toEngineObserved converts a load report to the placer's event.
func toEngineObserved(e scheduler.LoadReported) placer.EngineObserved {
	return placer.EngineObserved{
		Now: e.Now, Upstream: e.Upstream, Model: e.Load.Model, Role: e.Load.Role, Changing: e.Load.Changing,
		Leaving: e.Load.Leaving, Healthy: true, Sequences: e.Load.Running + e.Load.Waiting, MaxBatch: e.Load.MaxBatch,
		QueuedPrefill: e.Load.QueuedPrefill, PrefillPerSecond: e.Load.PrefillPerSecond, DecodeStep: e.Load.DecodeStep,
	}
}

// trackActions maps dispatched attempts to their requests and deletes requests that have ended.
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

// recordDemand counts an arrived request as demand.
func (p *placement) recordDemand(e scheduler.RequestArrived) {
	p.requests[e.Request] = e
	if p.gauger == nil {
		p.gauger = gauger.NewGauger(e.Now)
	}
	p.gauger.AddRequest(modelName, e.Class, e.Prompt, e.ExpectedOutput)
}

// recordCachedPrompt records how much of a finished request's prompt was served from a cache.
func (p *placement) recordCachedPrompt(e scheduler.AttemptFinished) {
	r, ok := p.requests[p.attempts[e.Attempt]]
	delete(p.attempts, e.Attempt)
	if !ok || e.CachedPrompt < 0 {
		return
	}
	p.gauger.ObserveCached(r.Class, r.Prompt, e.CachedPrompt)
	delete(p.requests, r.Request)
}

// tick passes the time and, once per interval, the measured demand to the placer. The first tick grants it the lease.
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

// toOrders converts the placer's actions to orders. Simulated engines run a single version, so model loads and permits
// do not occur.
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
