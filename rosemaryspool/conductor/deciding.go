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

// retryPermit is when the weight store is asked again after it could not be reached.
const permitRetryDelay = 2 * time.Second

// place carries out the placer's actions for one pool.
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

func (c *Conductor) beginChange(p *pool, a placer.DrainEngine) {
	order := c.nextOrder()
	own := change{orderID: order, changeID: drainer.ChangePrefix + string(order)}
	c.changes[a.Upstream] = own
	c.logPlacement("drain", a.Upstream, a.Reason)
	c.appendPlannedChange(p, own, a.Upstream, messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN)
}

func (c *Conductor) endChange(p *pool, a placer.RestoreEngine) {
	own, ok := c.changes[a.Upstream]
	if !ok {
		return
	}
	delete(c.changes, a.Upstream)
	c.logPlacement("restore", a.Upstream, a.Reason)
	c.appendPlannedChange(p, own, a.Upstream, messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE)
}

func (c *Conductor) appendPlannedChange(p *pool, own change, id identifier.UpstreamID, kind messenger.PlannedChangeKind) {
	plan := &messenger.PlannedChange{ChangeId: own.changeID, Kind: kind, Upstream: string(id)}
	c.notifyController(controller.PlanRequested{Now: time.Now(), Scope: p.scope, Change: plan})
}

func (c *Conductor) sendOrder(p *pool, id identifier.UpstreamID, reason string, order *messenger.EngineOrder) {
	own, ok := c.changes[id]
	if !ok {
		return
	}
	order.OrderId = string(own.orderID)
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

// askPermit asks the weight store in a goroutine of its own, as it may be slow.
func (c *Conductor) requestPermit(a placer.RequestPermit) {
	c.outputQueue <- func(ctx context.Context) {
		c.tasks.Go(func() {
			permit, err := c.store.Permit(ctx, a.Model, a.Version)
			answer := placer.PermitDecided{
				Now: time.Now(), Upstream: a.Upstream, Granted: err == nil && permit.Granted, RetryAfter: permit.RetryAfter,
			}
			if err != nil {
				answer.RetryAfter = permitRetryDelay
			}
			c.Notify(permitDecided{model: a.Model, decision: answer})
		})
	}
}

// drain carries out the drainer's actions.
func (c *Conductor) applyDrainerActions(actions []drainer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case drainer.CloseUpstream:
			c.log.Info().Str("event", "upstreamClosed").Str("upstream", string(a.Upstream)).Str("cause", string(a.Cause)).
				Msg("Closed an upstream to new work")
			c.outputQueue <- func(context.Context) { c.outputs.SetUpstreamClosed(a.Upstream, true) }
		case drainer.OpenUpstream:
			c.log.Info().Str("event", "upstreamOpened").Str("upstream", string(a.Upstream)).Msg("Opened an upstream")
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
			c.log.Info().Str("event", "upstreamDrained").Str("upstream", string(a.Upstream)).Msg("An upstream has no work left")
		}
	}
}

func (c *Conductor) probe(id identifier.UpstreamID) {
	c.outputQueue <- func(ctx context.Context) {
		c.tasks.Go(func() {
			ok := c.outputs.ProbeEngine(ctx, id)
			c.Notify(probeEnded{result: drainer.ProbeEnded{Now: time.Now(), Upstream: id, OK: ok}})
		})
	}
}

func (c *Conductor) logPlacement(step string, id identifier.UpstreamID, reason string) {
	c.log.Info().Str("event", "placement").Str("step", step).Str("upstream", string(id)).Str("reason", reason).
		Msg("Decided a placement change")
}
