package conductor

import (
	"context"
	"slices"
	"time"

	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/drainer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/placer"
	"rosemaryspool.example/wire/messenger"
)

// HandleEvent implements driver.Machine: it passes an event to the placers, the drainer or the gauger and executes the
// resulting actions.
func (c *Conductor) HandleEvent(_ context.Context, event Event) {
	switch e := event.(type) {
	case ConfigChanged:
		c.configure(e)
	case ReportReceived:
		c.handleReport(e)
	case ListUpdated:
		c.handleList(e)
	case PlansUpdated:
		c.applyDrainerActions(c.drainer.Handle(drainer.PlansUpdated{Now: e.Now, Plans: e.Plans}))
	case LeaseChanged:
		c.handleLeaseChange(e)
	case OrderClosed:
		c.handleOrderClosed(e)
	case RequestReceived:
		c.gauger.AddRequest(e.Model, e.Class, e.Prompt, e.Output)
	case RequestAnswered:
		c.gauger.ObserveCached(e.Class, e.Prompt, e.Cached)
	case WorkStarted:
		c.applyDrainerActions(c.drainer.Handle(drainer.WorkStarted(e)))
	case WorkEnded:
		c.applyDrainerActions(c.drainer.Handle(drainer.WorkEnded(e)))
	case permitDecided:
		if p, ok := c.pools[e.model]; ok {
			c.applyPlacerActions(p, p.placer.Handle(e.decision))
		}
	case probeEnded:
		c.applyDrainerActions(c.drainer.Handle(e.result))
	}
}

// configure makes this process a candidate for the leases of all configured models and sets their target versions.
func (c *Conductor) configure(e ConfigChanged) {
	now := time.Now()
	c.document = e.Document
	for _, m := range e.Document.Models {
		p, ok := c.pools[m.Name]
		if !ok {
			settings := placer.DefaultSettings()
			settings.FixedRoles = e.Document.Placement.FixedRoles
			if e.Document.Placement.MinimumDwell > 0 {
				settings.MinimumDwell = e.Document.Placement.MinimumDwell
			}
			p = &pool{scope: ScopeOf(m.Name), placer: placer.NewPlacer(settings)}
			c.pools[m.Name] = p
			c.notifyController(controller.ScopeWanted{Now: now, Scope: p.scope})
		}
		c.applyPlacerActions(p, p.placer.Handle(placer.TargetVersionSet{Now: now, Model: m.Name, Version: m.Version}))
	}
}

// handleReport passes an engine's report to the drainer and to the placer of its model.
func (c *Conductor) handleReport(e ReportReceived) {
	r := e.Report
	c.applyDrainerActions(c.drainer.Handle(drainer.ReportReceived{
		Now: e.Now, Upstream: e.Upstream, Leaving: r.GetLeaving(), Changing: r.GetChanging(),
		Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()),
	}))
	p, ok := c.pools[identifier.ModelName(r.GetModel())]
	if !ok {
		return
	}
	c.applyPlacerActions(p, p.placer.Handle(placer.EngineObserved{
		Now:              e.Now,
		Upstream:         e.Upstream,
		Model:            identifier.ModelName(r.GetModel()),
		Version:          identifier.ModelVersion(r.GetVersion()),
		Role:             identifier.Role(r.GetRole()),
		Changing:         r.GetChanging(),
		Leaving:          r.GetLeaving(),
		Healthy:          true,
		Sequences:        int(r.GetRunning() + r.GetWaiting()),
		MaxBatch:         int(r.GetMaxBatch()),
		QueuedPrefill:    identifier.Tokens(r.GetQueuedPrefillTokens()),
		PrefillPerSecond: r.GetPrefillTokensPerSecond(),
		DecodeStep:       time.Duration(r.GetDecodeStepMs() * float64(time.Millisecond)),
	}))
}

// handleList passes the instance list to the drainer and the number of instances to the placers.
func (c *Conductor) handleList(e ListUpdated) {
	c.applyDrainerActions(c.drainer.Handle(drainer.ListUpdated{Now: e.Now, Members: e.Members}))
	for _, p := range c.pools {
		c.applyPlacerActions(p, p.placer.Handle(placer.InstanceCountChanged{Now: e.Now, Instances: e.Instances}))
	}
}

// handleLeaseChange passes a gained or lost lease to the placer of its pool and to the drainer.
func (c *Conductor) handleLeaseChange(e LeaseChanged) {
	for model, p := range c.pools {
		if p.scope != e.Scope {
			continue
		}
		p.leaseHeld = e.Held
		c.applyPlacerActions(p, p.placer.Handle(placer.LeaseChanged{Now: e.Now, Held: e.Held}))
		if !e.Held {
			c.dropChanges(model)
			c.applyDrainerActions(c.drainer.Handle(drainer.LeaseLost{Now: e.Now, Scope: e.Scope}))
			continue
		}
		c.reportHeldEngines(e.Now, model, p, e.Unfinished)
	}
}

// handleOrderClosed passes the outcome of an order to the drainer, and to the placers if this process sent it.
func (c *Conductor) handleOrderClosed(e OrderClosed) {
	id := e.Outcome.Engine
	if current, ok := c.changes[id]; ok && current.orderID == e.Outcome.Order {
		done := e.Outcome.Result == messenger.OrderResult_ORDER_RESULT_DONE
		for _, p := range c.pools {
			c.applyPlacerActions(p, p.placer.Handle(placer.OrderClosed{Now: e.Now, Upstream: id, Done: done}))
		}
	}
	c.applyDrainerActions(c.drainer.Handle(drainer.OrderClosed{
		Now: e.Now, Order: e.Outcome.Order, Result: e.Outcome.Result, Detail: e.Outcome.Detail,
	}))
	for model, p := range c.pools {
		if p.leaseHeld {
			c.reportHeldEngines(e.Now, model, p, e.Unfinished)
		}
	}
}

// reportHeldEngines passes to the drainer the engines that it may return to service: those without an open order and
// without a placement change by this process.
func (c *Conductor) reportHeldEngines(
	now time.Time, model identifier.ModelName, p *pool, unfinished []identifier.UpstreamID,
) {
	held := drainer.EnginesHeld{Now: now, Scope: p.scope}
	for _, e := range c.document.Engines {
		_, changing := c.changes[e.ID]
		if e.Model == model && !changing && !slices.Contains(unfinished, e.ID) {
			held.Engines = append(held.Engines, e.ID)
		}
	}
	c.applyDrainerActions(c.drainer.Handle(held))
}

// dropChanges drops the changes of a model's engines; the next holder of the lease takes them over.
func (c *Conductor) dropChanges(model identifier.ModelName) {
	for _, e := range c.document.Engines {
		if e.Model == model {
			delete(c.changes, e.ID)
		}
	}
}
