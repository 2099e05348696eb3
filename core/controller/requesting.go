package controller

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

func (c *Controller) requestOrder(e OrderRequested) []Action {
	if c.stopping || !c.state.Complete() {
		return refuseOrder(e.Order, "process is stopping or its history is incomplete")
	}
	if c.settings.PropagationDelay > 0 && !c.drainPropagated(e.Now, e.Order) {
		return refuseOrder(e.Order, "engine's drain for the order has not been read for long enough")
	}
	return c.applySteps(e.Now, c.orders.Request(c.view(e.Now), e.Scope, e.Order))
}

func refuseOrder(order *messenger.EngineOrder, detail string) []Action {
	return []Action{OrderClosed{
		Engine: identifier.UpstreamID(order.GetEngine()),
		Order:  identifier.OrderID(order.GetOrderId()),
		Result: messenger.OrderResult_ORDER_RESULT_NOT_DONE,
		Detail: detail,
	}}
}

// drainPropagated reports whether the drain belonging to an order was read long enough ago that no instance sends the
// engine new requests.
func (c *Controller) drainPropagated(now time.Time, order *messenger.EngineOrder) bool {
	engine := identifier.UpstreamID(order.GetEngine())
	plan, planned := c.state.Plan(engine)
	if !planned || !plan.Draining() || plan.Change.GetChangeId() != replayer.SystemPlanPrefix+order.GetOrderId() {
		return false
	}
	readAt, seen := c.plansReadAt[engine]
	return seen && now.Sub(readAt) >= c.settings.PropagationDelay
}

func (c *Controller) requestPlan(e PlanRequested) {
	lease, held := c.leases.Held(e.Now, e.Scope)
	if !held || !c.state.Complete() || c.restoresTooEarly(e.Change) {
		return
	}
	kind := messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE
	c.enqueue(kind, e.Scope, lease.Token, e.Change, throttler.UrgencyOrder, nil)
}

// restoresTooEarly reports whether a change would restore an engine with an unfinished order that may still take it out
// of service. The engine can be restored once the order is closed.
func (c *Controller) restoresTooEarly(change *messenger.PlannedChange) bool {
	engine, _ := c.state.Engine(identifier.UpstreamID(change.GetUpstream()))
	return change.GetKind() == messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE && engine.Unfinished != nil
}
