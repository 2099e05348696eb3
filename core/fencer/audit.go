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

// repairPrefix is the prefix of the change ids of drains made for repairs.
const repairPrefix = replayer.SystemPlanPrefix + "repair/"

// audit schedules the comparison of an engine's report with the state in which its last order left it.
type audit struct {
	dueAt  time.Time
	readID uint64
	// drainID is the change id of the drain that was in effect at the previous comparison.
	drainID string
}

// advanceAudits requests the reports of the engines whose comparison is due.
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

// addAudits schedules audits for engines whose orders were closed before this process started to read the log.
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

// auditable reports whether this process holds the lease for the engine and its last order recorded the resulting
// state.
func (f *Fencer) auditable(v View, e replayer.Engine) bool {
	if e.Unfinished != nil || e.LastClosed == nil || e.LastClosed.Found == nil {
		return false
	}
	_, held := v.Leases.Held(v.Now, e.LastClosed.Scope)
	return held
}

// compareReport compares a report with the state in which the last order left the engine. On a mismatch caused by a
// stale order it starts a repair.
func (f *Fencer) compareReport(
	v View, engine identifier.UpstreamID, readID uint64, report *messenger.EngineReport,
) []Step {
	a := f.audits[engine]
	if a == nil || a.readID != readID {
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

// acceptedStaleOrder reports whether the mismatch stems from an order that is not the last one recorded as done. An
// engine that was restarted or replaced has accepted no order; what it should run is up to the placement.
func acceptedStaleOrder(last *replayer.Order, report *messenger.EngineReport) bool {
	if report.GetLastOrderId() == "" {
		return false
	}
	return report.GetLastOrderId() != last.Order.GetOrderId() || last.Result != messenger.OrderResult_ORDER_RESULT_DONE
}

// repair returns an engine to the state in which its last order left it without interrupting requests in flight: the
// engine is drained first and ordered once every instance has read the drain and the engine is empty.
func (f *Fencer) repair(v View, a *audit, last *replayer.Order, report *messenger.EngineReport) []Step {
	lease, held := v.Leases.Held(v.Now, last.Scope)
	if !held {
		return nil
	}
	engine := identifier.UpstreamID(last.Order.GetEngine())
	a.dueAt = v.Now.Add(f.settings.PropagationDelay)
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
		// The drain is new since the previous comparison: wait one more interval so that the other instances read it.
		a.drainID = plan.Change.GetChangeId()
		return nil
	}
	if report.GetRunning()+report.GetWaiting() > 0 {
		return nil
	}
	return f.Request(v, last.Scope, f.newRepair(v, last, report))
}

// endRepair restores an engine that was drained for a repair and now matches its last order.
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

// newRepair returns an order that moves an engine towards the state in which its last order left it: first the role,
// then the model.
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
