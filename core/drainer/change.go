package drainer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// ChangePrefix starts the ids of planned changes that belong to the system's own orders; those of operators don't have
// it.
const ChangePrefix = replayer.SystemPlanPrefix

// phase is the current step of a change.
type phase int

const (
	// phaseDrain waits until the engine has no work left.
	phaseDrain phase = iota + 1
	// phaseOrder waits until the order is closed.
	phaseOrder
	// phaseProbe waits until the engine responds to a probe.
	phaseProbe
	// phaseRestore waits until the record that restores the engine has been read back from the log.
	phaseRestore
)

// change is the change of one engine in progress: drain, order, probe, restore.
type change struct {
	scope     identifier.Scope
	order     *messenger.EngineOrder
	phase     phase
	startedAt time.Time
	probeAt   time.Time
	// appendAgainAt is when the planned change is appended again if it has not been read back from the log.
	appendAgainAt time.Time
	result        messenger.OrderResult
	detail        string
}

// requestChange starts a change. It is rejected if the engine is in one already or is leaving, or if this instance is
// shutting down.
func (d *Drainer) requestChange(e ChangeRequested) []Action {
	id := identifier.UpstreamID(e.Order.GetEngine())
	u := d.upstream(id)
	if d.changes[id] != nil || u.leaving || draining(u.plan) || d.stopping {
		return []Action{ChangeEnded{
			Upstream: id,
			Order:    identifier.OrderID(e.Order.GetOrderId()),
			Result:   messenger.OrderResult_ORDER_RESULT_NOT_DONE,
			Detail:   "engine is in a change or leaving",
		}}
	}
	d.changes[id] = &change{scope: e.Scope, order: e.Order, phase: phaseDrain, startedAt: e.Now}
	return nil
}

// appendPlan appends the planned change of the order to the log, at most once per interval.
func (c *change) appendPlan(now time.Time, kind messenger.PlannedChangeKind, interval time.Duration) []Action {
	if now.Before(c.appendAgainAt) {
		return nil
	}
	c.appendAgainAt = now.Add(interval)
	return []Action{AppendPlannedChange{Scope: c.scope, Change: &messenger.PlannedChange{
		ChangeId: ChangePrefix + c.order.GetOrderId(),
		Kind:     kind,
		Upstream: c.order.GetEngine(),
	}}}
}

// owns reports whether a planned change belongs to this order.
func (c *change) owns(plan *messenger.PlannedChange) bool {
	return plan.GetChangeId() == ChangePrefix+c.order.GetOrderId()
}

func (d *Drainer) advanceChange(now time.Time, id identifier.UpstreamID) []Action {
	c, u := d.changes[id], d.upstreams[id]
	switch c.phase {
	case phaseDrain:
		return d.advanceDrain(now, id, c, u)
	case phaseProbe:
		if now.Before(c.probeAt) {
			return nil
		}
		c.probeAt = now.Add(d.settings.ProbeInterval)
		return []Action{Probe{Upstream: id}}
	case phaseRestore:
		if c.owns(u.plan) && draining(u.plan) {
			return c.appendPlan(now, messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE, d.settings.PropagationDelay)
		}
		return d.endChange(id, c)
	default:
		return nil
	}
}

// advanceDrain sends the order once the engine has no work left. It aborts the change if the engine is leaving or if
// the drain exceeds DrainTimeout.
func (d *Drainer) advanceDrain(now time.Time, id identifier.UpstreamID, c *change, u *upstream) []Action {
	if u.leaving || (draining(u.plan) && !c.owns(u.plan)) {
		c.result = messenger.OrderResult_ORDER_RESULT_NOT_DONE
		c.detail = "engine is leaving"
		c.phase = phaseRestore
		return nil
	}
	if now.Sub(c.startedAt) >= d.settings.DrainTimeout {
		c.result = messenger.OrderResult_ORDER_RESULT_NOT_DONE
		c.detail = "work did not end in time"
		c.phase = phaseRestore
		c.appendAgainAt = time.Time{}
		return nil
	}
	if !draining(u.plan) {
		return c.appendPlan(now, messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN, d.settings.PropagationDelay)
	}
	if !d.isEmpty(now, id) {
		return nil
	}
	c.phase = phaseOrder
	return []Action{RequestOrder{Scope: c.scope, Order: c.order}}
}

func (d *Drainer) closeOrder(e OrderClosed) {
	for _, c := range d.changes {
		if c.phase == phaseOrder && identifier.OrderID(c.order.GetOrderId()) == e.Order {
			c.phase = phaseProbe
			c.result = e.Result
			c.detail = e.Detail
		}
	}
}

func (d *Drainer) endProbe(e ProbeEnded) {
	c, ok := d.changes[e.Upstream]
	if !ok || c.phase != phaseProbe || !e.OK {
		return
	}
	c.phase = phaseRestore
	c.appendAgainAt = time.Time{}
}

func (d *Drainer) endChange(id identifier.UpstreamID, c *change) []Action {
	delete(d.changes, id)
	return []Action{ChangeEnded{
		Upstream: id,
		Order:    identifier.OrderID(c.order.GetOrderId()),
		Result:   c.result,
		Detail:   c.detail,
	}}
}

// resumeDrained completes the changes of engines that a previous lease holder left drained. Their orders have already
// been resolved, so the engines only have to respond to a probe.
func (d *Drainer) resumeDrained(e EnginesHeld) {
	for _, id := range e.Engines {
		u := d.upstream(id)
		if d.changes[id] != nil || !draining(u.plan) || !strings.HasPrefix(u.plan.GetChangeId(), ChangePrefix) {
			continue
		}
		order := &messenger.EngineOrder{
			OrderId: strings.TrimPrefix(u.plan.GetChangeId(), ChangePrefix),
			Engine:  string(id),
		}
		d.changes[id] = &change{
			scope:     e.Scope,
			order:     order,
			phase:     phaseProbe,
			startedAt: e.Now,
			result:    messenger.OrderResult_ORDER_RESULT_NOT_DONE,
			detail:    "taken over from another process",
		}
	}
}

// abandon ends the changes of a scope whose lease was lost; the next holder resumes them.
func (d *Drainer) abandon(scope identifier.Scope) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(d.changes)) {
		c := d.changes[id]
		if c.scope != scope {
			continue
		}
		c.result = messenger.OrderResult_ORDER_RESULT_NOT_DONE
		c.detail = "lease was lost"
		actions = append(actions, d.endChange(id, c)...)
	}
	return actions
}
