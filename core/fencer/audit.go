package fencer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// audit is the next comparison of an engine with what its last order left.
type audit struct {
	dueAt time.Time
	read  uint64
}

// advanceAudits reads the engines whose comparison is due.
func (f *Fencer) advanceAudits(v View) []Step {
	f.addAudits(v)
	if v.Now.Before(f.auditAt) {
		return nil
	}
	var steps []Step
	f.auditAt = v.Now.Add(f.settings.AuditEvery)
	for _, engine := range slices.Sorted(maps.Keys(f.audits)) {
		a := f.audits[engine]
		if v.Now.Before(a.dueAt) {
			f.auditAt = earlier(f.auditAt, a.dueAt)
			continue
		}
		a.dueAt = v.Now.Add(f.settings.AuditEvery)
		state, _ := v.State.Engine(engine)
		if f.journeys[engine] != nil || !f.auditable(v, state) {
			continue
		}
		f.reads++
		a.read = f.reads
		steps = append(steps, Read{Engine: engine, Read: a.read})
	}
	return steps
}

// addAudits adds the engines whose orders were closed before this process read the log.
func (f *Fencer) addAudits(v View) {
	if f.auditsNext == v.State.Next() {
		return
	}
	f.auditsNext = v.State.Next()
	for _, e := range v.State.Engines() {
		if e.LastClosed != nil && f.audits[e.ID] == nil {
			f.audits[e.ID] = &audit{dueAt: v.Now.Add(f.settings.AuditEvery)}
			f.auditAt = time.Time{}
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
func (f *Fencer) auditRead(v View, engine identifier.UpstreamID, read uint64, report *messenger.EngineReport) []Step {
	a := f.audits[engine]
	if a == nil || a.read != read {
		return nil
	}
	a.read = 0
	e, _ := v.State.Engine(engine)
	if report == nil || report.GetChanging() || f.journeys[engine] != nil || !f.auditable(v, e) {
		return nil
	}
	last := e.LastClosed
	late := last.Result != messenger.OrderResult_ORDER_RESULT_DONE && report.GetLastOrderId() == last.Order.GetOrderId()
	if Matches(last.Found, report) {
		return nil
	}
	diverged := Diverged{Engine: engine, Report: report, Expected: last.Found}
	if late {
		diverged.Late = last
	}
	return append([]Step{diverged}, f.Request(v, last.Scope, f.newRepair(v, last))...)
}

// newRepair returns an order that brings an engine back to what its last order left.
func (f *Fencer) newRepair(v View, last *replayer.Order) *messenger.EngineOrder {
	f.repairs++
	repair, _ := proto.Clone(last.Found).(*messenger.EngineOrder)
	repair.OrderId = fmt.Sprintf("repair/%s/%d/%d", last.Order.GetEngine(), v.State.Next(), f.repairs)
	repair.Engine = last.Order.GetEngine()
	return repair
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
