package fencer

import (
	"fmt"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/wire/messenger"
)

// Answer tells how a send ended.
type Answer int

// Answers to a send.
const (
	// AnswerAccepted means that the engine took the order.
	AnswerAccepted Answer = iota + 1
	// AnswerRefused means that the engine refused the order and did nothing.
	AnswerRefused
	// AnswerNotSent means that nothing of the order was written.
	AnswerNotSent
	// AnswerUnknown means that the engine may have taken the order.
	AnswerUnknown
)

// Answered takes the answer to a send. reply is nil when there was none.
func (f *Fencer) Answered(v View, id identifier.OrderID, answer Answer, reply *messenger.OrderReply) []Step {
	for _, p := range f.pending {
		if p.fenceID != "" && p.fenceID == id {
			return f.fenceAnswered(v, p, answer, reply)
		}
		if p.id() == id && p.own {
			return f.orderAnswered(v, p, answer, reply)
		}
	}
	return nil
}

func (f *Fencer) orderAnswered(v View, p *pendingOrder, answer Answer, reply *messenger.OrderReply) []Step {
	if p.phase != phaseSent {
		return nil
	}
	switch answer {
	case AnswerAccepted:
		p.phase = phaseExecuting
		p.conclusiveFrom = v.Now.Add(f.settings.ReportLag)
		return nil
	case AnswerRefused:
		if reply.GetToken() > uint64(p.token) {
			return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_FENCED, "engine is under a newer token", nil)
		}
		return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_NOT_DONE, "engine refused: "+reply.GetDetail(), nil)
	case AnswerNotSent:
		return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_NOT_DONE, "order was not sent", nil)
	default:
		return f.resolveOwn(v, p)
	}
}

// doubt begins to find out what became of this process's own order. An engine that checks tokens is asked under a newer
// one, so that the order can no longer arrive; of another engine the time after which it cannot arrive is waited out.
func (f *Fencer) resolveOwn(v View, p *pendingOrder) []Step {
	p.phase = phaseResolving
	p.readID = 0
	p.conclusiveFrom = p.arrivedBy.Add(f.settings.ReportLag)
	if !v.ChecksTokens(p.engine) {
		return nil
	}
	return []Step{ReplaceToken{Scope: p.scope}}
}

func (f *Fencer) fenceAnswered(v View, p *pendingOrder, answer Answer, reply *messenger.OrderReply) []Step {
	p.fenceID = ""
	switch answer {
	case AnswerAccepted:
		// An engine that restarts may forget the newer token, so that the quiet time counts here too.
		p.fenced = true
		p.conclusiveFrom = later(v.Now, p.arrivedBy).Add(f.settings.ReportLag)
		p.pollAt = v.Now
		return nil
	case AnswerRefused:
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

// poll fences the engine where that is needed and reads its report.
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

// sendFence raises the engine's token. An own order in doubt waits for the newer token first.
func (f *Fencer) sendFence(v View, p *pendingOrder, lease leaser.HeldLease) []Step {
	open, _ := v.State.Engine(p.engine)
	if open.Unfinished == nil || lease.Token <= open.Unfinished.Token {
		v.Leases.ReplaceToken(p.scope)
		return nil
	}
	wait := f.settings.PollEvery
	if p.fenceID != "" {
		wait = f.settings.CallTimeout
	}
	if !p.fenceSentAt.IsZero() && v.Now.Sub(p.fenceSentAt) < wait || lease.ExpiresAt.Sub(v.Now) < f.settings.MinSendBudget {
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

// ReportRead takes an engine's own report, or nil when the read failed.
func (f *Fencer) ReportRead(v View, engine identifier.UpstreamID, read uint64, report *messenger.EngineReport) []Step {
	if read == 0 {
		return nil
	}
	p := f.pending[engine]
	if p == nil || p.readID != read {
		return f.compareReport(v, engine, read, report)
	}
	p.readID = 0
	p.pollAt = v.Now.Add(f.settings.PollEvery)
	if report == nil || report.GetChanging() || (p.phase != phaseExecuting && p.phase != phaseResolving) {
		return nil
	}
	return f.closeIfProven(v, p, report)
}

// judge closes an order once a report proves what became of it.
func (f *Fencer) closeIfProven(v View, p *pendingOrder, report *messenger.EngineReport) []Step {
	taken := report.GetLastOrderId() == p.order.GetOrderId()
	reached := Matches(p.order, report)
	if taken && reached {
		return f.closeOrder(v, p, messenger.OrderResult_ORDER_RESULT_DONE, "", report)
	}
	checks := v.ChecksTokens(p.engine)
	if p.phase == phaseResolving && checks && report.GetToken() < uint64(p.token) {
		// The engine lost its token, as by a restart: the old order could still arrive.
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

func (f *Fencer) closeOrder(v View, p *pendingOrder, result messenger.OrderResult, detail string, report *messenger.EngineReport) []Step {
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

// describe returns what an engine runs, in the form of the order that would bring it there.
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

// Matches tells whether an engine is where an order would bring it.
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
