package checker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// newFaultFreeSimulation starts all processes without stimuli or faults and waits until every lease is held.
func newFaultFreeSimulation(t *testing.T, seed uint64, processes int) *simulation {
	sm := newSimulation(seed, 0, VariantNone)
	sm.processes = make([]*process, processes)
	// The fakes inject no faults of their own while the maximum number is active.
	sm.activeFaults = maxActiveFaults
	sm.publishInitial()
	for i := range sm.processes {
		sm.start(i, 0)
	}
	sm.clock.RunUntil(5 * time.Second)
	for _, scope := range scopeNames {
		require.NotNil(t, sm.leaseHolder(scope), "scope %s", scope)
	}
	return sm
}

// leaseHolder returns the live process that holds the lease of a scope, or nil.
func (sm *simulation) leaseHolder(scope string) *process {
	for _, p := range sm.processes {
		if _, held := p.controller.Held(p.localNow(), identifier.Scope(scope)); held && p.alive {
			return p
		}
	}
	return nil
}

// TestLeaseTakeoverWithinTenSeconds kills the holder of a lease and measures the time until another process holds it.
func TestLeaseTakeoverWithinTenSeconds(t *testing.T) {
	const limit = 10 * time.Second
	var longest time.Duration
	for seed := uint64(1); seed <= 40; seed++ {
		sm := newFaultFreeSimulation(t, seed, 7)
		sm.clock.RunUntil(sm.clock.Now + sm.randomDuration(0, 3*time.Second))
		killed := sm.clock.Now
		sm.leaseHolder("model/a").alive = false
		for sm.leaseHolder("model/a") == nil && sm.clock.Now < killed+limit {
			sm.clock.RunUntil(sm.clock.Now + 50*time.Millisecond)
		}
		require.NotNil(t, sm.leaseHolder("model/a"), "seed %d", seed)
		longest = max(longest, sm.clock.Now-killed)
	}
	t.Logf("longestTakeover=%s histories=40", longest)
}

// TestOrderWrittenAfterSendWindow covers the remaining race: a sender decides on an order, stalls, and writes it only
// after the send window that the next lease holder waits out. An engine that checks tokens refuses the order. An engine
// that ignores them accepts it; the divergence is detected and repaired.
func TestOrderWrittenAfterSendWindow(t *testing.T) {
	cases := []struct {
		name     string
		engine   int
		delay    time.Duration
		conflict bool
	}{
		{"ignores tokens, written within the send window", 1, 8 * time.Second, false},
		{"ignores tokens, written after the send window", 1, 25 * time.Second, true},
		{"checks tokens, written after the next holder's fence order", 0, 25 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sm := newFaultFreeSimulation(t, 7, processCount)
			sendOrder(sm, c.engine, "first", "prefill")
			sm.clock.RunUntil(sm.clock.Now + 10*time.Second)
			require.Equal(t, "prefill", sm.engines[c.engine].readReport(sm.clock.Now).GetRole())
			holder := sm.leaseHolder(scopeNames[engineScope(c.engine)])
			late := interceptSend(t, sm, holder, c.engine)
			holder.alive = false
			sm.clock.After(c.delay, func() { sm.deliverOrder(late) })
			sm.clock.RunUntil(sm.clock.Now + c.delay + time.Second)
			require.Equal(t, c.conflict, sm.result.FirstViolation != nil, "%v", sm.result.FirstViolation)
			// The repair must wait for running work instead of aborting it.
			sm.engines[c.engine].report.Running = 1
			sm.clock.RunUntil(sm.clock.Now + 40*time.Second)
			if c.conflict {
				require.Equal(t, "decode", sm.engines[c.engine].readReport(sm.clock.Now).GetRole())
				require.Equal(t, []identifier.UpstreamID{identifier.UpstreamID(engineNames[c.engine])}, sm.draining())
			}
			sm.engines[c.engine].report.Running = 0
			sm.clock.RunUntil(sm.clock.Now + 40*time.Second)
			require.Empty(t, sm.draining())
			require.Empty(t, sm.reference.current.unfinished[c.engine])
			if !c.conflict {
				require.Zero(t, sm.result.Diverged)
				return
			}
			require.Equal(t, InvariantUncheckedOrder, sm.result.FirstViolation.Invariant)
			require.Positive(t, sm.result.Diverged)
			require.Equal(t, "prefill", sm.engines[c.engine].readReport(sm.clock.Now).GetRole())
		})
	}
}

// draining returns the upstreams that are draining according to the last process.
func (sm *simulation) draining() []identifier.UpstreamID {
	return sm.processes[len(sm.processes)-1].controller.State().Draining()
}

// sendOrder requests a change of role from the holder of the engine's lease.
func sendOrder(sm *simulation, engine int, id, role string) {
	p := sm.leaseHolder(scopeNames[engineScope(engine)])
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

// interceptSend makes a lease holder decide on sending an order and returns the action without carrying it out.
func interceptSend(t *testing.T, sm *simulation, p *process, engine int) controller.SendOrder {
	p.runActions(p.controller.Handle(newOrderEvent(p, engine, "late", "decode")))
	for range 20 {
		sm.clock.RunUntil(sm.clock.Now + 20*time.Millisecond)
		for _, action := range p.controller.Handle(p.controlEvent()) {
			if send, ok := action.(controller.SendOrder); ok {
				require.Equal(t, "late", send.Order.GetOrderId())
				return send
			}
		}
		require.Zero(t, sm.sendCounts["late"])
	}
	require.Fail(t, "order was never sent")
	return controller.SendOrder{}
}
