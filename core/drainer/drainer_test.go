package drainer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

var start = time.Unix(0, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func plan(id string, kind messenger.PlannedChangeKind) []*messenger.PlannedChange {
	return []*messenger.PlannedChange{{ChangeId: id, Kind: kind, Upstream: "e1"}}
}

const (
	drain   = messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_DRAIN
	restore = messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE
)

func describe(actions []Action) []string {
	described := []string{}
	for _, action := range actions {
		switch a := action.(type) {
		case CloseUpstream:
			described = append(described, "close "+string(a.Cause))
		case AppendPlannedChange:
			described = append(described, "append "+a.Change.GetKind().String()[len("PLANNED_CHANGE_KIND_"):])
		case ChangeEnded:
			described = append(described, "ended "+a.Detail)
		case MoveAttempt:
			described = append(described, "move "+string(a.Attempt))
		default:
			described = append(described, fmt.Sprintf("%T", action)[len("drainer."):])
		}
	}
	return described
}

type step struct {
	event Event
	want  []string
}

func runSteps(t *testing.T, d *Drainer, steps []step) {
	for i, s := range steps {
		require.Equal(t, s.want, describe(d.Handle(s.event)), "step %d: %T", i, s.event)
	}
}

func TestAnySourceClosesAndLeavingIsSticky(t *testing.T) {
	listed := func(now float64, leaving bool) Event {
		return ListUpdated{Now: at(now), Members: []Member{{Upstream: "e1", Leaving: leaving}}}
	}
	none := []string{}
	cases := []struct {
		name  string
		steps []step
	}{
		{"instance list", []step{{listed(0, true), []string{"close instanceList"}}, {listed(1, false), none}}},
		{"engine report", []step{
			{ReportReceived{Now: at(0), Upstream: "e1", Leaving: true}, []string{"close engineReport"}},
			{ReportReceived{Now: at(1), Upstream: "e1"}, none},
			{listed(2, false), none},
		}},
		{"planned change", []step{
			{PlansUpdated{Now: at(0), Plans: plan("c1", drain)}, []string{"close plannedChange"}},
			{PlansUpdated{Now: at(1), Plans: plan("c2", restore)}, []string{"OpenUpstream"}},
		}},
		{"leaving is reset by a long absence only", []step{
			{listed(0, true), []string{"close instanceList"}},
			{ListUpdated{Now: at(1)}, none},
			{listed(5, false), none},
			{ListUpdated{Now: at(6)}, none},
			{listed(17, false), []string{"OpenUpstream"}},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { runSteps(t, NewDrainer(NewSettings()), c.steps) })
	}
}

func TestChangeWaitsForProtectedWorkAndMovesTheRest(t *testing.T) {
	d := NewDrainer(NewSettings())
	order := &messenger.EngineOrder{OrderId: "o1", Engine: "e1"}
	busy := func(now float64, running int) Event {
		return ReportReceived{Now: at(now), Upstream: "e1", Running: running}
	}
	none := []string{}
	runSteps(t, d, []step{
		{WorkStarted{Now: at(0), Upstream: "e1", Attempt: "protected", Protected: true}, none},
		{WorkStarted{Now: at(0), Upstream: "e1", Attempt: "unprotected"}, none},
		{ChangeRequested{Now: at(0), Scope: "s", Order: order}, []string{"append DRAIN"}},
		{PlansUpdated{Now: at(1), Plans: plan("order/o1", drain)}, []string{"close plannedChange"}},
		{busy(5, 2), none},
		{Ticked{Now: at(6)}, []string{"move unprotected"}},
		{WorkEnded{Now: at(7), Attempt: "unprotected"}, none},
		{busy(60, 0), none},
		{WorkEnded{Now: at(61), Attempt: "protected"}, []string{"UpstreamDrained", "RequestOrder"}},
		{OrderClosed{Now: at(65), Order: "o1", Result: messenger.OrderResult_ORDER_RESULT_DONE}, []string{"Probe"}},
		{ProbeEnded{Now: at(66), Upstream: "e1"}, none},
		{Ticked{Now: at(67)}, []string{"Probe"}},
		{ProbeEnded{Now: at(68), Upstream: "e1", OK: true}, []string{"append RESTORE"}},
		{PlansUpdated{Now: at(69), Plans: plan("order/o1", restore)}, []string{"OpenUpstream", "ended "}},
	})
}

func TestReportsBeforePropagationDelayAreIgnored(t *testing.T) {
	d := NewDrainer(NewSettings())
	d.Handle(ChangeRequested{Now: at(0), Scope: "s", Order: &messenger.EngineOrder{OrderId: "o1", Engine: "e1"}})
	d.Handle(PlansUpdated{Now: at(1), Plans: plan("order/o1", drain)})
	runSteps(t, d, []step{
		{ReportReceived{Now: at(3.9), Upstream: "e1"}, []string{}},
		{Ticked{Now: at(10)}, []string{}},
		{ReportReceived{Now: at(11), Upstream: "e1"}, []string{"UpstreamDrained", "RequestOrder"}},
	})
}

func TestChangeIsAbortedAfterDrainTimeout(t *testing.T) {
	d := NewDrainer(NewSettings())
	d.Handle(WorkStarted{Now: at(0), Upstream: "e1", Attempt: "protected", Protected: true})
	d.Handle(ChangeRequested{Now: at(0), Scope: "s", Order: &messenger.EngineOrder{OrderId: "o1", Engine: "e1"}})
	d.Handle(PlansUpdated{Now: at(1), Plans: plan("order/o1", drain)})
	runSteps(t, d, []step{
		{Ticked{Now: at(300)}, []string{}},
		{Ticked{Now: at(301)}, []string{"append RESTORE"}},
		{
			PlansUpdated{Now: at(302), Plans: plan("order/o1", restore)},
			[]string{"OpenUpstream", "ended work did not end in time"},
		},
	})
}

func TestSuccessorRestoresDrainedEngines(t *testing.T) {
	d := NewDrainer(NewSettings())
	runSteps(t, d, []step{
		{PlansUpdated{Now: at(0), Plans: plan("order/o1", drain)}, []string{"close plannedChange"}},
		{EnginesHeld{Now: at(9), Scope: "s", Engines: []identifier.UpstreamID{"e1"}}, []string{"Probe"}},
		{ProbeEnded{Now: at(10), Upstream: "e1", OK: true}, []string{"append RESTORE"}},
		{LeaseLost{Now: at(11), Scope: "s"}, []string{"ended lease was lost"}},
	})
}

func TestStopWaitsForWork(t *testing.T) {
	d := NewDrainer(NewSettings())
	d.Handle(WorkStarted{Now: at(0), Upstream: "e1", Attempt: "a"})
	runSteps(t, d, []step{
		{ShutdownStarted{Now: at(1)}, []string{}},
		{WorkEnded{Now: at(2), Attempt: "a"}, []string{"StopReady"}},
		{Ticked{Now: at(3)}, []string{}},
	})
}
