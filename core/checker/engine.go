package checker

import (
	"time"

	"rosemaryspool.example/wire/messenger"
)

// engine is a fake of a model engine. It carries out one order at a time.
type engine struct {
	index        int
	checksTokens bool
	report       messenger.EngineReport
	pendingOrder *messenger.EngineOrder
	changeDoneAt time.Duration
	downUntil    time.Duration
}

func newEngine(index int, checksTokens bool) *engine {
	e := &engine{index: index, checksTokens: checksTokens}
	e.report.Engine = engineNames[index]
	e.report.Role = "mixed"
	e.report.Model = "model"
	return e
}

// completeDueChange applies the pending order once its time has come.
func (e *engine) completeDueChange(now time.Duration) {
	if e.pendingOrder == nil || now < e.changeDoneAt {
		return
	}
	if e.pendingOrder.GetRole() != "" {
		e.report.Role = e.pendingOrder.GetRole()
	}
	if e.pendingOrder.GetKind() == messenger.OrderKind_ORDER_KIND_LOAD_MODEL {
		e.report.Model = e.pendingOrder.GetModel()
		e.report.Version = e.pendingOrder.GetVersion()
		e.report.Adapters = e.pendingOrder.GetAdapters()
	}
	e.pendingOrder = nil
	e.report.Changing = false
}

// handleOrder handles an order that takes the given duration and returns the reply, or nil when the engine is down. An
// engine that checks tokens refuses a token lower than the highest it has received.
func (e *engine) handleOrder(
	now time.Duration, order *messenger.EngineOrder, token uint64, duration time.Duration,
) *messenger.OrderReply {
	e.completeDueChange(now)
	if now < e.downUntil {
		return nil
	}
	if e.checksTokens && token < e.report.Token {
		return &messenger.OrderReply{Token: e.report.Token, Detail: "token is old"}
	}
	e.report.Token = max(e.report.Token, token)
	if order.GetKind() == messenger.OrderKind_ORDER_KIND_FENCE {
		return &messenger.OrderReply{Accepted: true, Token: e.report.Token}
	}
	if e.pendingOrder != nil {
		return &messenger.OrderReply{Token: e.report.Token, Detail: "changing"}
	}
	e.pendingOrder = order
	e.changeDoneAt = now + duration
	e.report.Changing = true
	e.report.LastOrderId = order.GetOrderId()
	return &messenger.OrderReply{Accepted: true, Token: e.report.Token}
}

// readReport returns a copy of the engine's report, or nil when the engine is down.
func (e *engine) readReport(now time.Duration) *messenger.EngineReport {
	e.completeDueChange(now)
	if now < e.downUntil {
		return nil
	}
	return &messenger.EngineReport{
		Engine:      e.report.Engine,
		Role:        e.report.Role,
		Model:       e.report.Model,
		Version:     e.report.Version,
		Adapters:    e.report.Adapters,
		Changing:    e.report.Changing,
		Running:     e.report.Running,
		Token:       e.report.Token,
		LastOrderId: e.report.LastOrderId,
	}
}

// crash aborts the pending order and takes the engine down for a while; with losesState the engine also loses its token
// and the id of its last order.
func (e *engine) crash(now, down time.Duration, losesState bool) {
	e.completeDueChange(now)
	e.pendingOrder = nil
	e.report.Changing = false
	e.downUntil = now + down
	if losesState {
		e.report.Token = 0
		e.report.LastOrderId = ""
	}
}
