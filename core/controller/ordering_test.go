package controller

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/fencer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// orderCase scripts the result of sending one order and the engine's later reports.
type orderCase struct {
	name   string
	checks bool
	result fencer.SendResult
	reply  *messenger.OrderReply
	// acceptedAt and doneAt are the times from which reports show the order as accepted and as done, in seconds after the
	// send; zero means never. finalRole is the role reported from doneAt on.
	acceptedAt, doneAt float64
	finalRole          string
	want               messenger.OrderResult
	// notBefore and notAfter bound the time of the outcome, in seconds after the send.
	notBefore, notAfter float64
	fences              int
}

const (
	resultDone    = messenger.OrderResult_ORDER_RESULT_DONE
	resultNotDone = messenger.OrderResult_ORDER_RESULT_NOT_DONE
	resultFenced  = messenger.OrderResult_ORDER_RESULT_FENCED
)

func TestOrderOutcomeNeedsEvidence(t *testing.T) {
	accepted := &messenger.OrderReply{Accepted: true}
	cases := []orderCase{
		{"refused", false, fencer.SendRefused, &messenger.OrderReply{Detail: "full"}, 0, 0, "", resultNotDone, 0, 1, 0},
		{
			"refused under a newer token", true, fencer.SendRefused, &messenger.OrderReply{Token: 99}, 0, 0, "",
			resultFenced, 0, 1, 0,
		},
		{"not sent", false, fencer.SendNotWritten, nil, 0, 0, "", resultNotDone, 0, 1, 0},
		{"accepted and done", false, fencer.SendAccepted, accepted, 0.1, 4, "decode", resultDone, 4, 6, 0},
		{
			"accepted, then the engine crashed", false, fencer.SendAccepted, accepted, 0.1, 4, "mixed",
			resultNotDone, 4, 6, 0,
		},
		{"accepted, report delayed", false, fencer.SendAccepted, accepted, 0.9, 3, "decode", resultDone, 3, 5, 0},
		{"lost response, not accepted", false, fencer.SendUnknown, nil, 0, 0, "", resultNotDone, 8, 12, 0},
		{"lost response, arrived late", false, fencer.SendUnknown, nil, 6, 9, "decode", resultDone, 9, 11, 0},
		{"lost response, fenced and not accepted", true, fencer.SendUnknown, nil, 0, 0, "", resultNotDone, 8, 14, 1},
		{"lost response, fenced and done", true, fencer.SendUnknown, nil, 0.1, 3, "decode", resultDone, 3, 6, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { runOrderCase(t, c) })
	}
}

func runOrderCase(t *testing.T, c orderCase) {
	var log [][]byte
	p := newProcess("a", &log)
	p.Controller = NewController(withEngine(p.settings, c.checks))
	p.Handle(ScopeWanted{Now: at(0), Scope: "s"})
	publish(&log, 0, "one")
	p.read(at(0))
	p.read(at(0.1))
	order := &messenger.EngineOrder{
		OrderId: "o", Engine: "e", Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: "decode",
	}
	e := &scriptedEngine{orderCase: c, process: p}
	e.execute(0, p.Handle(OrderRequested{Now: at(1), Scope: "s", Order: order}))
	for i := range 80 {
		after := float64(i) * 0.25
		e.readLog(after)
		e.execute(after, p.Handle(Ticked{Now: at(1 + after)}))
		closed, _ := p.State().Engine("e")
		if closed.LastClosed == nil {
			continue
		}
		require.Equal(t, c.want, closed.LastClosed.Result, closed.LastClosed.Detail)
		require.GreaterOrEqual(t, after, c.notBefore)
		require.LessOrEqual(t, after, c.notAfter)
		require.Equal(t, 1, e.sends)
		require.Equal(t, c.fences, e.fences)
		return
	}
	require.Fail(t, "order was never closed")
}

// withEngine returns settings whose documents all contain engine e.
func withEngine(settings Settings, checks bool) Settings {
	settings.Compile = func(configurer.Sections) (*configurer.Document, error) {
		return &configurer.Document{Engines: []configurer.Engine{{ID: "e", ChecksTokens: checks}}}, nil
	}
	return settings
}

// scriptedEngine is a process with a fake of the engine that behaves as an order case specifies.
type scriptedEngine struct {
	orderCase
	*process
	sends, fences int
	token         identifier.Token
}

func (e *scriptedEngine) readLog(after float64) {
	for int(e.NextOffset()) <= len(*e.log) {
		o := e.NextOffset()
		entries := []replayer.Entry{{Offset: o, Record: (*e.log)[o-1]}}
		e.execute(after, e.Handle(RecordsRead{Now: at(1 + after), Entries: entries, End: identifier.Offset(len(*e.log) + 1)}))
	}
}

func (e *scriptedEngine) execute(after float64, actions []Action) {
	now := at(1 + after)
	for _, action := range actions {
		switch a := action.(type) {
		case Append:
			*e.log = append(*e.log, a.Records...)
		case SendOrder:
			ended := SendEnded{
				Now: now, Order: identifier.OrderID(a.Order.GetOrderId()), Result: e.result, Reply: e.reply,
			}
			if a.Order.GetKind() == messenger.OrderKind_ORDER_KIND_FENCE {
				e.fences++
				e.token = a.Token
				ended.Result = fencer.SendAccepted
				ended.Reply = &messenger.OrderReply{Accepted: true, Token: uint64(a.Token)}
			} else {
				e.sends++
			}
			e.execute(after, e.Handle(ended))
		case ReadEngine:
			e.execute(after, e.Handle(EngineRead{Now: now, Engine: a.Engine, ReadID: a.ReadID, Report: e.report(after)}))
		}
	}
}

func (e *scriptedEngine) report(after float64) *messenger.EngineReport {
	report := &messenger.EngineReport{Engine: "e", Role: "mixed", Token: uint64(e.token)}
	if e.acceptedAt > 0 && after >= e.acceptedAt {
		report.LastOrderId = "o"
		report.Changing = true
	}
	if e.doneAt > 0 && after >= e.doneAt {
		report.Changing = false
		report.Role = e.finalRole
	}
	return report
}

func TestPredecessorOrderIsResolvedBeforeNewOrder(t *testing.T) {
	var log [][]byte
	a := newProcess("a", &log)
	a.Handle(ScopeWanted{Now: at(0), Scope: "s"})
	a.read(at(0))
	a.read(at(0.1))
	order := &messenger.EngineOrder{
		OrderId: "first", Engine: "e", Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: "decode",
	}
	a.perform(a.Handle(OrderRequested{Now: at(0.2), Scope: "s", Order: order}))
	require.Contains(t, a.read(at(0.3)), "SendOrder")
	b := &scriptedEngine{
		process:   newProcess("b", &log),
		orderCase: orderCase{acceptedAt: 0.1, doneAt: 0.2, finalRole: "prefill"},
	}
	b.readLog(0)
	second, _ := proto.Clone(order).(*messenger.EngineOrder)
	second.OrderId = "second"
	for i := range 120 {
		after := float64(i) * 0.25
		b.execute(after, b.Handle(Ticked{Now: at(1 + after)}))
		b.readLog(after)
		_, held := b.Held(at(1+after), "s")
		engine, _ := b.State().Engine("e")
		if held && engine.Unfinished != nil {
			refused := b.perform(b.Handle(OrderRequested{Now: at(1 + after), Scope: "s", Order: second}))
			require.Contains(t, refused, "closed engine has an unfinished order")
		}
		if engine.LastClosed != nil {
			require.Equal(t, resultNotDone, engine.LastClosed.Result)
			require.Zero(t, b.sends)
			return
		}
	}
	require.Fail(t, "order was never resolved")
}
