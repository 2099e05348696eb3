package replayer

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// applyIntent accepts an order of the current lease holder for an engine that has no unfinished order.
func (s *State) applyIntent(offset identifier.Offset, record *messenger.Record, intent *messenger.OrderIntent) Effect {
	order := intent.GetOrder()
	id := identifier.UpstreamID(order.GetEngine())
	if id == "" || order.GetOrderId() == "" {
		return skip(record, CauseMalformed, "intent")
	}
	scope, token := identifier.Scope(record.GetScope()), identifier.Token(record.GetToken())
	if !s.Holds(scope, token) {
		return skip(record, CauseStaleToken, "intent")
	}
	e := s.engines[id]
	if e == nil {
		e = &Engine{ID: id}
	}
	if detail := intentRefusal(e, order, token); detail != "" {
		return skip(record, CauseRefused, detail)
	}
	e.Token = token
	e.Unfinished = &Order{Order: order, Scope: scope, Token: token, Offset: offset}
	s.engines[id] = e
	return IntentAccepted{Order: e.Unfinished}
}

// intentRefusal returns the reason why an order is refused; empty if it is accepted.
func intentRefusal(e *Engine, order *messenger.EngineOrder, token identifier.Token) string {
	if e.Unfinished != nil {
		return "engine has an unfinished order"
	}
	if token < e.Token {
		return "engine is under a newer token"
	}
	if e.LastClosed != nil && e.LastClosed.Order.GetOrderId() == order.GetOrderId() {
		return "order is closed"
	}
	return ""
}

// applyOutcome closes an unfinished order if the record carries the current token of the order's scope.
func (s *State) applyOutcome(record *messenger.Record, outcome *messenger.OrderOutcome) Effect {
	scope, token := identifier.Scope(record.GetScope()), identifier.Token(record.GetToken())
	if !s.Holds(scope, token) {
		return skip(record, CauseStaleToken, "outcome")
	}
	if outcome.GetResult() == messenger.OrderResult_ORDER_RESULT_UNSPECIFIED {
		return skip(record, CauseMalformed, "outcome")
	}
	e := s.engines[identifier.UpstreamID(outcome.GetEngine())]
	if e == nil || e.Unfinished == nil || e.Unfinished.Order.GetOrderId() != outcome.GetOrderId() || e.Unfinished.Scope != scope {
		return skip(record, CauseRefused, "order is not open")
	}
	closed := *e.Unfinished
	closed.Result = outcome.GetResult()
	closed.Detail = outcome.GetDetail()
	closed.Found = outcome.GetFound()
	e.Unfinished = nil
	e.Token = max(e.Token, token)
	e.LastClosed = &closed
	if closed.Result == messenger.OrderResult_ORDER_RESULT_DONE {
		e.LastDone = &closed
	}
	return OrderClosed{Engine: e.ID, Order: &closed}
}

// applyPlan applies a planned change. Changes by operators carry no token; changes by the system carry the token of
// their scope.
func (s *State) applyPlan(offset identifier.Offset, record *messenger.Record, change *messenger.PlannedChange) Effect {
	id := identifier.UpstreamID(change.GetUpstream())
	kind := change.GetKind()
	if id == "" || change.GetChangeId() == "" || kind == messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_UNSPECIFIED {
		return skip(record, CauseMalformed, "planned change")
	}
	if kind > messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE {
		return skip(record, CauseUnknownKind, "planned change")
	}
	token := identifier.Token(record.GetToken())
	if token != 0 && !s.Holds(identifier.Scope(record.GetScope()), token) {
		return skip(record, CauseStaleToken, "planned change")
	}
	if detail := planRefusal(s.plans[id].Change, change, token != 0); detail != "" {
		return skip(record, CauseRefused, detail)
	}
	plan := Plan{Change: change, Offset: offset}
	s.plans[id] = plan
	s.dropOldestEndedPlan()
	return PlanChanged{Plan: plan}
}

// SystemPlanPrefix is the prefix of the ids of planned changes that the system makes for its own orders; it
// distinguishes them from those of operators.
const SystemPlanPrefix = "order/"

// MaxPlans is the number of upstreams whose planned changes the state keeps, far more than a fleet has at one time.
const MaxPlans = 4096

// dropOldestEndedPlan drops the oldest ended change when there are more than MaxPlans. The change of a draining
// upstream is never dropped.
func (s *State) dropOldestEndedPlan() {
	if len(s.plans) <= MaxPlans {
		return
	}
	var oldest identifier.UpstreamID
	for id, p := range s.plans {
		if !p.Draining() && (oldest == "" || p.Offset < s.plans[oldest].Offset) {
			oldest = id
		}
	}
	delete(s.plans, oldest)
}

// planRefusal returns the reason why a planned change is refused; empty if it is accepted. It refuses late retries of a
// change that has ended, and system changes on an upstream with another change in progress, such as an operator's.
func planRefusal(current, change *messenger.PlannedChange, bySystem bool) string {
	if current == nil {
		return ""
	}
	restored := current.GetKind() == messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE
	same := current.GetChangeId() == change.GetChangeId()
	if restored && same {
		return "change has ended"
	}
	if bySystem && !restored && !same {
		return "upstream is in another change"
	}
	return ""
}
