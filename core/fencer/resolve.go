package fencer

import (
	"fmt"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/wire/messenger"
)

// SendResult is the result of a send.
type SendResult int

// Results of a send.
const (
	// SendAccepted means that the engine accepted the order.
	SendAccepted SendResult = iota + 1
	// SendRefused means that the engine refused the order and did nothing.
	SendRefused
	// SendNotWritten means that no byte of the order was written.
	SendNotWritten
	// SendUnknown means that the engine may have accepted the order.
	SendUnknown
)

// SendEnded processes the result of a send. reply is nil if the engine sent none.
func (f *Fencer) SendEnded(v View, id identifier.OrderID, result SendResult, reply *messenger.OrderReply) []Step {
	for _, p := range f.pending {
		if p.fenceID != "" && p.fenceID == id {
			return f.handleFenceResult(v, p, result, reply)
		}
		if p.id() == id && p.own {
			return f.handleOrderResult(v, p, result, reply)
		}
	}
	return nil
}

func (f *Fencer) handleOrderResult(v View, p *pendingOrder, result SendResult, reply *messenger.OrderReply) []Step {
	if p.phase != phaseSent {
		return nil
	}
	switch result {
	case SendAccepted:
		p.phase = phaseExecuting
		p.conclusiveFrom = v.Now.Add(f.settings.ReportLag)
		return nil
	case SendRefused:
		if reply.GetToken() > uint64(p.token) {
			return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_FENCED, "engine is under a newer token", nil)
		}
		return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_NOT_DONE, "engine refused: "+reply.GetDetail(), nil)
	case SendNotWritten:
		return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_NOT_DONE, "order was not sent", nil)
	default:
		return f.resolveOwn(v, p)
	}
}

// resolveOwn begins to determine the result of an order that this process sent. If the engine checks tokens, a newer
// token is requested to fence the order off. Otherwise the order is resolved once it can no longer arrive.
func (f *Fencer) resolveOwn(v View, p *pendingOrder) []Step {
	p.phase = phaseResolving
	p.readID = 0
	p.conclusiveFrom = p.arrivedBy.Add(f.settings.ReportLag)
	if !v.ChecksTokens(p.engine) {
		return nil
	}
	return []Step{ReplaceToken{Scope: p.scope}}
}

func (f *Fencer) handleFenceResult(v View, p *pendingOrder, result SendResult, reply *messenger.OrderReply) []Step {
	p.fenceID = ""
	switch result {
	case SendAccepted:
		// A restarted engine may lose the newer token, so arrivedBy applies to fenced engines as well.
		p.fenced = true
		p.conclusiveFrom = later(v.Now, p.arrivedBy).Add(f.settings.ReportLag)
		p.pollAt = v.Now
		return nil
	case SendRefused:
		if reply.GetToken() > uint64(p.token) {
			return []Step{ReplaceToken{Scope: p.scope}}
		}
		return nil
	default:
		return nil
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// poll fences the engine if necessary and then requests its report.
func (f *Fencer) poll(v View, p *pendingOrder, lease leaser.HeldLease) []Step {
	if p.phase == phaseResolving && v.ChecksTokens(p.engine) && !p.fenced {
		return f.sendFence(v, p, lease)
	}
	if p.readID != 0 && v.Now.Sub(p.readAt) < f.settings.CallTimeout {
		return nil
	}
	if v.Now.Before(p.pollAt) {
		return nil
	}
	f.readSeq++
	p.readID = f.readSeq
	p.readAt = v.Now
	return []Step{Read{Engine: p.engine, ReadID: p.readID}}
}

// sendFence raises the engine's token. It waits until the lease's token is newer than the order's.
func (f *Fencer) sendFence(v View, p *pendingOrder, lease leaser.HeldLease) []Step {
	state, _ := v.State.Engine(p.engine)
	if state.Unfinished == nil || lease.Token <= state.Unfinished.Token {
		v.Leases.ReplaceToken(p.scope)
		return nil
	}
	wait := f.settings.PollEvery
	if p.fenceID != "" {
		wait = f.settings.CallTimeout
	}
	if !p.fenceSentAt.IsZero() && v.Now.Sub(p.fenceSentAt) < wait ||
		lease.ExpiresAt.Sub(v.Now) < f.settings.MinSendBudget {
		return nil
	}
	f.fenceSeq++
	p.fenceID = identifier.OrderID(fmt.Sprintf("fence/%s/%d/%d", p.engine, lease.Token, f.fenceSeq))
	p.fenceSentAt = v.Now
	order := &messenger.EngineOrder{
		OrderId: string(p.fenceID),
		Engine:  string(p.engine),
		Kind:    messenger.OrderKind_ORDER_KIND_FENCE,
	}
	return []Step{Send{Order: order, Token: lease.Token, WriteBy: lease.ExpiresAt}}
}

// ReportRead processes an engine's report, which is nil if the read failed.
func (f *Fencer) ReportRead(
	v View, engine identifier.UpstreamID, readID uint64, report *messenger.EngineReport,
) []Step {
	if readID == 0 {
		return nil
	}
	p := f.pending[engine]
	if p == nil || p.readID != readID {
		return f.compareReport(v, engine, readID, report)
	}
	p.readID = 0
	p.pollAt = v.Now.Add(f.settings.PollEvery)
	if report == nil || report.GetChanging() || (p.phase != phaseExecuting && p.phase != phaseResolving) {
		return nil
	}
	return f.closeIfProven(v, p, report)
}

// closeIfProven closes an order once a report proves its result.
func (f *Fencer) closeIfProven(v View, p *pendingOrder, report *messenger.EngineReport) []Step {
	accepted := report.GetLastOrderId() == p.order.GetOrderId()
	reached := Matches(p.order, report)
	if accepted && reached {
		return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_DONE, "", report)
	}
	checks := v.ChecksTokens(p.engine)
	if p.phase == phaseResolving && checks && report.GetToken() < uint64(p.token) {
		// The engine lost its token, for example by a restart, so the old order could still arrive.
		p.fenced = false
		return nil
	}
	if p.readAt.Before(p.conclusiveFrom) {
		return nil
	}
	if reached {
		return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_DONE, "engine is at the order's target", report)
	}
	return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_NOT_DONE, "engine is not at the order's target", report)
}

func (f *Fencer) closeOrder(
	v View, p *pendingOrder, result messenger.OrderResult, detail string, report *messenger.EngineReport,
) []Step {
	lease, held := v.Leases.Held(v.Now, p.scope)
	if !held || lease.Token != p.token {
		return nil
	}
	p.phase = phaseClosing
	outcome := &messenger.OrderOutcome{
		OrderId: p.order.GetOrderId(),
		Engine:  string(p.engine),
		Result:  result,
		Detail:  detail,
		Found:   reportToOrder(report),
	}
	return []Step{AppendOutcome{Scope: p.scope, Token: lease.Token, Outcome: outcome}}
}

// reportToOrder returns an engine's reported state as the order that would produce it.
func reportToOrder(report *messenger.EngineReport) *messenger.EngineOrder {
	if report == nil {
		return nil
	}
	return &messenger.EngineOrder{
		Engine:   report.GetEngine(),
		Kind:     messenger.OrderKind_ORDER_KIND_LOAD_MODEL,
		Role:     report.GetRole(),
		Model:    report.GetModel(),
		Version:  report.GetVersion(),
		Adapters: slices.Sorted(slices.Values(report.GetAdapters())),
	}
}

// Matches reports whether an engine's report meets the target of an order.
func Matches(order *messenger.EngineOrder, report *messenger.EngineReport) bool {
	if order.GetRole() != "" && order.GetRole() != report.GetRole() {
		return false
	}
	if order.GetKind() != messenger.OrderKind_ORDER_KIND_LOAD_MODEL {
		return true
	}
	if order.GetModel() != report.GetModel() || order.GetVersion() != report.GetVersion() {
		return false
	}
	wanted := slices.Sorted(slices.Values(order.GetAdapters()))
	return slices.Equal(wanted, slices.Sorted(slices.Values(report.GetAdapters())))
}
