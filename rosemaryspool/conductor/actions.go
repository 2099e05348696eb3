package conductor

import (
	"context"
	"time"

	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/drainer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/placer"
	"rosemaryspool.example/wire/messenger"
)

// permitRetryDelay is the delay before a failed permit request to the weight store is retried.
const permitRetryDelay = 2 * time.Second

// applyPlacerActions executes the placer's actions for one pool.
func (c *Conductor) applyPlacerActions(p *pool, actions []placer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case placer.DrainEngine:
			c.beginChange(p, a)
		case placer.RestoreEngine:
			c.endChange(p, a)
		case placer.OrderRole:
			c.sendOrder(p, a.Upstream, a.Reason, &messenger.EngineOrder{
				Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: string(a.Role),
			})
		case placer.OrderLoad:
			c.sendOrder(p, a.Upstream, a.Reason, &messenger.EngineOrder{
				Kind: messenger.OrderKind_ORDER_KIND_LOAD_MODEL, Model: string(a.Model), Version: string(a.Version),
				Adapters: c.adaptersOf(a.Model),
			})
		case placer.RequestPermit:
			c.requestPermit(a)
		}
	}
}

// beginChange starts a placement change by draining the engine.
func (c *Conductor) beginChange(p *pool, a placer.DrainEngine) {
	orderID := c.nextOrder()
	current := change{orderID: orderID, changeID: drainer.ChangePrefix + string(orderID)}
	c.changes[a.Upstream] = current
	c.logPlacement("drain", a.Upstream, a.Reason)
	c.appendPlannedChange(p, current, a.Upstream, messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN)
}

// endChange returns an engine to service after its placement change.
func (c *Conductor) endChange(p *pool, a placer.RestoreEngine) {
	current, ok := c.changes[a.Upstream]
	if !ok {
		return
	}
	delete(c.changes, a.Upstream)
	c.logPlacement("restore", a.Upstream, a.Reason)
	c.appendPlannedChange(p, current, a.Upstream, messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE)
}

// appendPlannedChange requests a record of a planned change in the log.
func (c *Conductor) appendPlannedChange(
	p *pool, current change, id identifier.UpstreamID, kind messenger.PlannedChangeKind,
) {
	plan := &messenger.PlannedChange{ChangeId: current.changeID, Kind: kind, Upstream: string(id)}
	c.notifyController(controller.PlanRequested{Now: time.Now(), Scope: p.scope, Change: plan})
}

// sendOrder requests an order for an engine; without a change in progress it does nothing.
func (c *Conductor) sendOrder(p *pool, id identifier.UpstreamID, reason string, order *messenger.EngineOrder) {
	current, ok := c.changes[id]
	if !ok {
		return
	}
	order.OrderId = string(current.orderID)
	order.Engine = string(id)
	c.logPlacement("order", id, reason)
	c.notifyController(controller.OrderRequested{Now: time.Now(), Scope: p.scope, Order: order})
}

func (c *Conductor) adaptersOf(model identifier.ModelName) []string {
	for _, m := range c.document.Models {
		if m.Name == model {
			return m.Adapters
		}
	}
	return nil
}

// requestPermit calls the weight store in a separate goroutine, since a slow response would block the decisions after
// it.
func (c *Conductor) requestPermit(a placer.RequestPermit) {
	c.outputQueue <- func(ctx context.Context) {
		c.driver.Go(func() {
			permit, err := c.store.Permit(ctx, a.Model, a.Version)
			decision := placer.PermitDecided{
				Now: time.Now(), Upstream: a.Upstream, Granted: err == nil && permit.Granted, RetryAfter: permit.RetryAfter,
			}
			if err != nil {
				decision.RetryAfter = permitRetryDelay
			}
			c.Notify(permitDecided{model: a.Model, decision: decision})
		})
	}
}

// applyDrainerActions executes the drainer's actions.
func (c *Conductor) applyDrainerActions(actions []drainer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case drainer.CloseUpstream:
			c.log.Info().Str("event", "upstreamClosed").Str("upstream", string(a.Upstream)).Str("cause", string(a.Cause)).
				Msg("Took an upstream out of service")
			c.outputQueue <- func(context.Context) { c.outputs.SetUpstreamClosed(a.Upstream, true) }
		case drainer.OpenUpstream:
			c.log.Info().Str("event", "upstreamOpened").Str("upstream", string(a.Upstream)).
				Msg("Returned an upstream to service")
			c.outputQueue <- func(context.Context) { c.outputs.SetUpstreamClosed(a.Upstream, false) }
		case drainer.MoveAttempt:
			c.outputQueue <- func(context.Context) { c.outputs.MoveAttempt(a.Attempt) }
		case drainer.AppendPlannedChange:
			c.notifyController(controller.PlanRequested{Now: time.Now(), Scope: a.Scope, Change: a.Change})
		case drainer.RequestOrder:
			c.notifyController(controller.OrderRequested{Now: time.Now(), Scope: a.Scope, Order: a.Order})
		case drainer.Probe:
			c.probe(a.Upstream)
		case drainer.UpstreamDrained:
			c.log.Info().Str("event", "upstreamDrained").Str("upstream", string(a.Upstream)).Msg("Drained an upstream")
		}
	}
}

func (c *Conductor) probe(id identifier.UpstreamID) {
	c.outputQueue <- func(ctx context.Context) {
		c.driver.Go(func() {
			ok := c.outputs.ProbeEngine(ctx, id)
			c.Notify(probeEnded{result: drainer.ProbeEnded{Now: time.Now(), Upstream: id, OK: ok}})
		})
	}
}

func (c *Conductor) logPlacement(step string, id identifier.UpstreamID, reason string) {
	c.log.Info().Str("event", "placement").Str("step", step).Str("upstream", string(id)).Str("reason", reason).
		Msg("Placement change")
}
