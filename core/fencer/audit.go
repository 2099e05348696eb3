package fencer

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// repairPrefix marks the planned changes of repairs.
const repairPrefix = replayer.SystemPlanPrefix + "repair/"

// audit is the next comparison of an engine with what its last order left.
type audit struct {
	dueAt  time.Time
	readID uint64
	// plan is the planned change under which the engine was found draining at the last comparison.
	drainID string
}

// advanceAudits reads the engines whose comparison is due.
func (f *Fencer) advanceAudits(v View) []Step {
	f.addAudits(v)
	if v.Now.Before(f.nextAuditAt) {
		return nil
	}
	var steps []Step
	f.nextAuditAt = v.Now.Add(f.settings.AuditEvery)
	for _, engine := range slices.Sorted(maps.Keys(f.audits)) {
		a := f.audits[engine]
		if v.Now.Before(a.dueAt) {
			f.nextAuditAt = earlier(f.nextAuditAt, a.dueAt)
			continue
		}
		a.dueAt = v.Now.Add(f.settings.AuditEvery)
		state, _ := v.State.Engine(engine)
		if f.pending[engine] != nil || !f.auditable(v, state) {
			continue
		}
		f.readSeq++
		a.readID = f.readSeq
		steps = append(steps, Read{Engine: engine, ReadID: a.readID})
	}
	return steps
}

// addAudits adds the engines whose orders were closed before this process read the log.
func (f *Fencer) addAudits(v View) {
	if f.auditedUpTo == v.State.Next() {
		return
	}
	f.auditedUpTo = v.State.Next()
	for _, e := range v.State.Engines() {
		if e.LastClosed != nil && f.audits[e.ID] == nil {
			f.audits[e.ID] = &audit{dueAt: v.Now.Add(f.settings.AuditEvery)}
			f.nextAuditAt = time.Time{}
		}
	}
}

// auditable tells whether this process is responsible for the engine and knows how its last order left it.
func (f *Fencer) auditable(v View, e replayer.Engine) bool {
	if e.Unfinished != nil || e.LastClosed == nil || e.LastClosed.Found == nil {
		return false
	}
	_, held := v.Leases.Held(v.Now, e.LastClosed.Scope)
	return held
}

// auditRead compares a report with what the last order left, and orders the engine back when it differs.
func (f *Fencer) compareReport(v View, engine identifier.UpstreamID, read uint64, report *messenger.EngineReport) []Step {
	a := f.audits[engine]
	if a == nil || a.readID != read {
		return nil
	}
	a.readID = 0
	e, _ := v.State.Engine(engine)
	if report == nil || report.GetChanging() || f.pending[engine] != nil || !f.auditable(v, e) {
		return nil
	}
	last := e.LastClosed
	if Matches(last.Found, report) {
		return f.endRepair(v, last)
	}
	diverged := Diverged{Engine: engine, Report: report, Expected: last.Found}
	if last.Result != messenger.OrderResult_ORDER_RESULT_DONE && report.GetLastOrderId() == last.Order.GetOrderId() {
		diverged.Late = last
	}
	if !acceptedStaleOrder(last, report) {
		return []Step{diverged}
	}
	return append([]Step{diverged}, f.repair(v, a, last, report)...)
}

// tookStaleOrder tells whether an engine differs because of an order that the log does not have as its last done one. An
// engine that was restarted or replaced has taken none; what it should run is for the placement to decide.
func acceptedStaleOrder(last *replayer.Order, report *messenger.EngineReport) bool {
	if report.GetLastOrderId() == "" {
		return false
	}
	return report.GetLastOrderId() != last.Order.GetOrderId() || last.Result != messenger.OrderResult_ORDER_RESULT_DONE
}

// repair brings an engine back to what its last order left, without cutting its work: it is drained first and ordered once
// every instance has read that and the engine is empty.
func (f *Fencer) repair(v View, a *audit, last *replayer.Order, report *messenger.EngineReport) []Step {
	lease, held := v.Leases.Held(v.Now, last.Scope)
	if !held {
		return nil
	}
	engine := identifier.UpstreamID(last.Order.GetEngine())
	a.dueAt = v.Now.Add(f.settings.DrainPropagation)
	f.nextAuditAt = earlier(f.nextAuditAt, a.dueAt)
	plan, planned := v.State.Plan(engine)
	if !planned || !plan.Draining() {
		f.repairSeq++
		id := fmt.Sprintf("%s%s/%d/%d", repairPrefix, engine, v.State.Next(), f.repairSeq)
		return []Step{AppendPlan{Scope: last.Scope, Token: lease.Token, Change: &messenger.PlannedChange{
			ChangeId: id,
			Kind:     messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN,
			Upstream: string(engine),
		}}}
	}
	if a.drainID != plan.Change.GetChangeId() {
		// The plan was read since the last comparison: the other instances get as long to read it.
		a.drainID = plan.Change.GetChangeId()
		return nil
	}
	if report.GetRunning()+report.GetWaiting() > 0 {
		return nil
	}
	return f.Request(v, last.Scope, f.newRepair(v, last, report))
}

// endRepair returns an engine to service that was drained for a repair and is as its last order left it.
func (f *Fencer) endRepair(v View, last *replayer.Order) []Step {
	plan, planned := v.State.Plan(identifier.UpstreamID(last.Order.GetEngine()))
	lease, held := v.Leases.Held(v.Now, last.Scope)
	if !held || !planned || !plan.Draining() || !strings.HasPrefix(plan.Change.GetChangeId(), repairPrefix) {
		return nil
	}
	return []Step{AppendPlan{Scope: last.Scope, Token: lease.Token, Change: &messenger.PlannedChange{
		ChangeId: plan.Change.GetChangeId(),
		Kind:     messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE,
		Upstream: last.Order.GetEngine(),
	}}}
}

// newRepair returns an order that brings an engine back to what its last order left: first to its role, and when that is
// right, to its model.
func (f *Fencer) newRepair(v View, last *replayer.Order, report *messenger.EngineReport) *messenger.EngineOrder {
	f.repairSeq++
	engine := last.Order.GetEngine()
	repair := &messenger.EngineOrder{
		OrderId: fmt.Sprintf("repair/%s/%d/%d", engine, v.State.Next(), f.repairSeq),
		Engine:  engine,
	}
	if last.Found.GetRole() != report.GetRole() {
		repair.Kind = messenger.OrderKind_ORDER_KIND_CHANGE_ROLE
		repair.Role = last.Found.GetRole()
		return repair
	}
	repair.Kind = messenger.OrderKind_ORDER_KIND_LOAD_MODEL
	repair.Model = last.Found.GetModel()
	repair.Version = last.Found.GetVersion()
	repair.Adapters = last.Found.GetAdapters()
	return repair
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
