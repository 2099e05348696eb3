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
	for _, j := range f.pending {
		if j.fenceID != "" && j.fenceID == id {
			return f.fenceAnswered(v, j, answer, reply)
		}
		if j.id() == id && j.own {
			return f.orderAnswered(v, j, answer, reply)
		}
	}
	return nil
}

func (f *Fencer) orderAnswered(v View, j *pendingOrder, answer Answer, reply *messenger.OrderReply) []Step {
	if j.phase != phaseSent {
		return nil
	}
	switch answer {
	case AnswerAccepted:
		j.phase = phaseExecuting
		j.conclusiveFrom = v.Now.Add(f.settings.ReportLag)
		return nil
	case AnswerRefused:
		if reply.GetToken() > uint64(j.token) {
			return f.closeOrder(v, j, messenger.OrderResult_ORDER_RESULT_FENCED, "engine is under a newer token", nil)
		}
		return f.closeOrder(v, j, messenger.OrderResult_ORDER_RESULT_NOT_DONE, "engine refused: "+reply.GetDetail(), nil)
	case AnswerNotSent:
		return f.closeOrder(v, j, messenger.OrderResult_ORDER_RESULT_NOT_DONE, "order was not sent", nil)
	default:
		return f.resolveOwn(v, j)
	}
}

// doubt begins to find out what became of this process's own order. An engine that checks tokens is asked under a newer
// one, so that the order can no longer arrive; of another engine the time after which it cannot arrive is waited out.
func (f *Fencer) resolveOwn(v View, j *pendingOrder) []Step {
	j.phase = phaseResolving
	j.readID = 0
	j.conclusiveFrom = j.arrivedBy.Add(f.settings.ReportLag)
	if !v.ChecksTokens(j.engine) {
		return nil
	}
	return []Step{ReplaceToken{Scope: j.scope}}
}

func (f *Fencer) fenceAnswered(v View, j *pendingOrder, answer Answer, reply *messenger.OrderReply) []Step {
	j.fenceID = ""
	switch answer {
	case AnswerAccepted:
		// An engine that restarts may forget the newer token, so that the quiet time counts here too.
		j.fenced = true
		j.conclusiveFrom = later(v.Now, j.arrivedBy).Add(f.settings.ReportLag)
		j.pollAt = v.Now
		return nil
	case AnswerRefused:
		if reply.GetToken() > uint64(j.token) {
			return []Step{ReplaceToken{Scope: j.scope}}
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
func (f *Fencer) poll(v View, j *pendingOrder, hold leaser.HeldLease) []Step {
	if j.phase == phaseResolving && v.ChecksTokens(j.engine) && !j.fenced {
		return f.sendFence(v, j, hold)
	}
	if j.readID != 0 && v.Now.Sub(j.readAt) < f.settings.CallTimeout {
		return nil
	}
	if v.Now.Before(j.pollAt) {
		return nil
	}
	f.readSeq++
	j.readID = f.readSeq
	j.readAt = v.Now
	return []Step{Read{Engine: j.engine, ReadID: j.readID}}
}

// sendFence raises the engine's token. An own order in doubt waits for the newer token first.
func (f *Fencer) sendFence(v View, j *pendingOrder, hold leaser.HeldLease) []Step {
	open, _ := v.State.Engine(j.engine)
	if open.Unfinished == nil || hold.Token <= open.Unfinished.Token {
		v.Leases.ReplaceToken(j.scope)
		return nil
	}
	wait := f.settings.PollEvery
	if j.fenceID != "" {
		wait = f.settings.CallTimeout
	}
	if !j.fenceSentAt.IsZero() && v.Now.Sub(j.fenceSentAt) < wait || hold.ExpiresAt.Sub(v.Now) < f.settings.MinSendBudget {
		return nil
	}
	f.fenceSeq++
	j.fenceID = identifier.OrderID(fmt.Sprintf("fence/%s/%d/%d", j.engine, hold.Token, f.fenceSeq))
	j.fenceSentAt = v.Now
	order := &messenger.EngineOrder{
		OrderId: string(j.fenceID),
		Engine:  string(j.engine),
		Kind:    messenger.OrderKind_ORDER_KIND_FENCE,
	}
	return []Step{Send{Order: order, Token: hold.Token, WriteBy: hold.ExpiresAt}}
}

// ReportRead takes an engine's own report, or nil when the read failed.
func (f *Fencer) ReportRead(v View, engine identifier.UpstreamID, read uint64, report *messenger.EngineReport) []Step {
	if read == 0 {
		return nil
	}
	j := f.pending[engine]
	if j == nil || j.readID != read {
		return f.compareReport(v, engine, read, report)
	}
	j.readID = 0
	j.pollAt = v.Now.Add(f.settings.PollEvery)
	if report == nil || report.GetChanging() || (j.phase != phaseExecuting && j.phase != phaseResolving) {
		return nil
	}
	return f.closeIfProven(v, j, report)
}

// judge closes an order once a report proves what became of it.
func (f *Fencer) closeIfProven(v View, j *pendingOrder, report *messenger.EngineReport) []Step {
	taken := report.GetLastOrderId() == j.order.GetOrderId()
	reached := Matches(j.order, report)
	if taken && reached {
		return f.closeOrder(v, j, messenger.OrderResult_ORDER_RESULT_DONE, "", report)
	}
	checks := v.ChecksTokens(j.engine)
	if j.phase == phaseResolving && checks && report.GetToken() < uint64(j.token) {
		// The engine lost its token, as by a restart: the old order could still arrive.
		j.fenced = false
		return nil
	}
	if j.readAt.Before(j.conclusiveFrom) {
		return nil
	}
	if reached {
		return f.closeOrder(v, j, messenger.OrderResult_ORDER_RESULT_DONE, "engine is at the order's target", report)
	}
	return f.closeOrder(v, j, messenger.OrderResult_ORDER_RESULT_NOT_DONE, "engine is not at the order's target", report)
}

func (f *Fencer) closeOrder(v View, j *pendingOrder, result messenger.OrderResult, detail string, report *messenger.EngineReport) []Step {
	hold, held := v.Leases.Held(v.Now, j.scope)
	if !held || hold.Token != j.token {
		return nil
	}
	j.phase = phaseClosing
	outcome := &messenger.OrderOutcome{
		OrderId: j.order.GetOrderId(),
		Engine:  string(j.engine),
		Result:  result,
		Detail:  detail,
		Found:   reportToOrder(report),
	}
	return []Step{AppendOutcome{Scope: j.scope, Token: hold.Token, Outcome: outcome}}
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
