package checker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// newQuietWorld starts all processes without stimuli or faults and waits until every lease is held.
func newFaultFreeSimulation(t *testing.T, seed uint64, processes int) *simulation {
	w := newSimulation(seed, 0, VariantNone)
	w.processes = make([]*process, processes)
	// The fakes add no faults of their own while as many as allowed are counted.
	w.activeFaults = maxActiveFaults
	w.publishInitial()
	for i := range w.processes {
		w.start(i, 0)
	}
	w.runUntil(5 * time.Second)
	for _, scope := range scopeNames {
		require.NotNil(t, w.leaseHolder(scope), "scope %s", scope)
	}
	return w
}

func (w *simulation) leaseHolder(scope string) *process {
	for _, p := range w.processes {
		if _, held := p.controller.Held(p.localNow(), identifier.Scope(scope)); held && p.alive {
			return p
		}
	}
	return nil
}

func TestLeaseTakeoverWithinTenSeconds(t *testing.T) {
	const limit = 10 * time.Second
	var longest time.Duration
	for seed := uint64(1); seed <= 40; seed++ {
		w := newFaultFreeSimulation(t, seed, 7)
		w.runUntil(w.now + w.randomDuration(0, 3*time.Second))
		killed := w.now
		w.leaseHolder("model/a").alive = false
		for w.leaseHolder("model/a") == nil && w.now < killed+limit {
			w.runUntil(w.now + 50*time.Millisecond)
		}
		require.NotNil(t, w.leaseHolder("model/a"), "seed %d", seed)
		longest = max(longest, w.now-killed)
	}
	t.Logf("longestTakeover=%s histories=40", longest)
}

// TestWriteAfterQuarantine shows what remains possible: an order that its sender passed for sending and wrote only after
// the successor's quarantine reaches an engine that ignores tokens. It is found and put right; an engine that checks
// tokens refuses it.
func TestOrderWrittenAfterQuarantine(t *testing.T) {
	cases := []struct {
		name     string
		engine   int
		delay    time.Duration
		conflict bool
	}{
		{"ignores tokens, written within the quarantine", 1, 8 * time.Second, false},
		{"ignores tokens, written after it", 1, 25 * time.Second, true},
		{"checks tokens, written after the successor's fence", 0, 25 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFaultFreeSimulation(t, 7, processCount)
			sendOrder(w, c.engine, "first", "prefill")
			w.runUntil(w.now + 10*time.Second)
			require.Equal(t, "prefill", w.engines[c.engine].readReport(w.now).GetRole())
			holder := w.leaseHolder(scopeNames[engineScope(c.engine)])
			late := interceptSend(t, w, holder, c.engine)
			holder.alive = false
			w.after(c.delay, func() { w.deliverOrder(late) })
			w.runUntil(w.now + c.delay + time.Second)
			require.Equal(t, c.conflict, w.result.FirstViolation != nil, "%v", w.result.FirstViolation)
			// Work that runs on the engine is never cut by the repair.
			w.engines[c.engine].report.Running = 1
			w.runUntil(w.now + 40*time.Second)
			if c.conflict {
				require.Equal(t, "decode", w.engines[c.engine].readReport(w.now).GetRole())
				require.Equal(t, []identifier.UpstreamID{identifier.UpstreamID(engineNames[c.engine])}, w.draining())
			}
			w.engines[c.engine].report.Running = 0
			w.runUntil(w.now + 40*time.Second)
			require.Empty(t, w.draining())
			require.Empty(t, w.reference.current.unfinished[c.engine])
			if !c.conflict {
				require.Zero(t, w.result.Diverged)
				return
			}
			require.Equal(t, InvariantUncheckedOrder, w.result.FirstViolation.Invariant)
			require.Positive(t, w.result.Diverged)
			require.Equal(t, "prefill", w.engines[c.engine].readReport(w.now).GetRole())
		})
	}
}

// draining returns what planned changes keep from new work, as the last process sees it.
func (w *simulation) draining() []identifier.UpstreamID {
	return w.processes[len(w.processes)-1].controller.State().Draining()
}

func sendOrder(w *simulation, engine int, id, role string) {
	p := w.leaseHolder(scopeNames[engineScope(engine)])
	p.runActions(p.controller.Handle(newOrderEvent(p, engine, id, role)))
}

func newOrderEvent(p *process, engine int, id, role string) controller.Event {
	return controller.OrderRequested{
		Now:   p.localNow(),
		Scope: identifier.Scope(scopeNames[engineScope(engine)]),
		Order: &messenger.EngineOrder{
			OrderId: id,
			Engine:  engineNames[engine],
			Kind:    messenger.OrderKind_ORDER_KIND_CHANGE_ROLE,
			Role:    role,
		},
	}
}

// catchSend lets a holder decide upon a send and keeps the send from being carried out.
func interceptSend(t *testing.T, w *simulation, p *process, engine int) controller.SendOrder {
	p.runActions(p.controller.Handle(newOrderEvent(p, engine, "late", "decode")))
	for range 20 {
		w.runUntil(w.now + 20*time.Millisecond)
		for _, action := range p.controller.Handle(p.controlEvent()) {
			if send, ok := action.(controller.SendOrder); ok {
				require.Equal(t, "late", send.Order.GetOrderId())
				return send
			}
		}
		require.Zero(t, w.sendCounts["late"])
	}
	require.Fail(t, "order was never sent")
	return controller.SendOrder{}
}
