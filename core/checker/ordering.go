package checker

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/fencer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// sendOrder sends an order. In 12 % of cases it first pauses the process and cuts it off from the log, so that the
// lease expires before the order is written.
func (p *process) sendOrder(a controller.SendOrder) {
	sm := p.simulation
	if sm.chance(12) && sm.activeFaults < maxActiveFaults && !p.paused {
		sm.result.Faults++
		p.logUnreachableUntil = sm.clock.Now + sm.beginTimedFault(8*time.Second, 14*time.Second)
		duration := sm.randomDuration(0, 16*time.Second)
		if sm.chance(60) {
			// The pause ends 50 to 500 ms before the write deadline.
			duration = max(0, a.WriteBy.Sub(p.localNow())-sm.randomDuration(50*time.Millisecond, 500*time.Millisecond))
		}
		sm.pause(p, duration)
		p.backlog = append(p.backlog, func() { p.writeOrder(a, sm.randomDuration(maxWriteDelay/2, maxWriteDelay)) })
		return
	}
	delay := sm.networkDelay()
	if sm.clock.Now < sm.slowUntil && sm.chance(70) || sm.chance(15) {
		delay = sm.randomDuration(0, maxWriteDelay)
	}
	p.writeOrder(a, delay)
}

// writeOrder writes an order unless its write deadline has passed. A written order is delivered within the send window,
// and the response may be lost.
func (p *process) writeOrder(a controller.SendOrder, delay time.Duration) {
	sm := p.simulation
	id := identifier.OrderID(a.Order.GetOrderId())
	endSend := func(result fencer.SendResult, reply *messenger.OrderReply) func() {
		return func() {
			p.runActions(p.controller.Handle(controller.SendEnded{
				Now: p.localNow(), Order: id, Result: result, Reply: reply,
			}))
		}
	}
	if !p.localNow().Before(a.WriteBy) && sm.variant != VariantNoWriteDeadline {
		p.runAfter(0, endSend(fencer.SendNotWritten, nil))
		return
	}
	sm.sendCounts[id]++
	if sm.sendCounts[id] > 1 {
		sm.recordViolation(InvariantSingleSend, "order %s was sent %d times", id, sm.sendCounts[id])
	}
	if sm.clock.Now < p.upstreamsUnreachableUntil {
		if sm.chance(50) {
			p.runAfter(sm.networkDelay(), endSend(fencer.SendNotWritten, nil))
			return
		}
		p.runAfter(time.Second, endSend(fencer.SendUnknown, nil))
		return
	}
	sm.clock.After(delay, func() {
		reply := sm.deliverOrder(a)
		if reply == nil || sm.messageLost() {
			if sm.variant == VariantRetryOrder {
				sm.clock.After(sm.networkDelay(), func() { p.writeOrder(a, sm.networkDelay()) })
			}
			p.runAfter(sm.randomDuration(0, 2*time.Second), endSend(fencer.SendUnknown, nil))
			return
		}
		result := fencer.SendRefused
		if reply.GetAccepted() {
			result = fencer.SendAccepted
		}
		p.runAfter(sm.networkDelay(), endSend(result, reply))
	})
}

// deliverOrder delivers an order to its engine. It is a violation when the engine accepts an order other than the one
// that is open in the log.
func (sm *simulation) deliverOrder(a controller.SendOrder) *messenger.OrderReply {
	index := indexOf(engineNames[:], a.Order.GetEngine())
	reply := sm.engines[index].handleOrder(
		sm.clock.Now, a.Order, uint64(a.Token), sm.randomDuration(500*time.Millisecond, 4*time.Second))
	if !reply.GetAccepted() || a.Order.GetKind() == messenger.OrderKind_ORDER_KIND_FENCE {
		return reply
	}
	sm.result.Orders++
	if openOrder := sm.reference.current.unfinished[index]; openOrder != a.Order.GetOrderId() {
		invariant := InvariantUncheckedOrder
		if checksTokens(index) {
			invariant = InvariantCheckedOrder
		}
		sm.recordViolation(invariant, "%s accepted order %s at %s while order %q is open in the log",
			engineNames[index], a.Order.GetOrderId(), sm.clock.Now, openOrder)
	}
	return reply
}

// readEngine reads an engine's report and handles it in the controller; the report is nil when the engine is down or
// unreachable.
func (p *process) readEngine(a controller.ReadEngine) {
	sm := p.simulation
	p.runAfter(sm.networkDelay(), func() {
		var report *messenger.EngineReport
		if sm.clock.Now >= p.upstreamsUnreachableUntil && !sm.messageLost() {
			report = sm.engines[indexOf(engineNames[:], string(a.Engine))].readReport(sm.clock.Now)
		}
		p.runActions(p.controller.Handle(controller.EngineRead{
			Now: p.localNow(), Engine: a.Engine, ReadID: a.ReadID, Report: report,
		}))
	})
}

// withCurrentTokens gives records the current token of their scope, which disables the token check of readers, in the
// variants without that check.
func (sm *simulation) withCurrentTokens(entries []replayer.Entry) []replayer.Entry {
	if sm.variant != VariantNoTokenCheck && sm.variant != VariantNoSnapshotToken {
		return entries
	}
	rewritten := make([]replayer.Entry, 0, len(entries))
	for _, e := range entries {
		record := &messenger.Record{}
		if proto.Unmarshal(e.Record, record) == nil {
			all := sm.variant == VariantNoTokenCheck || record.GetKind() == messenger.RecordKind_RECORD_KIND_SNAPSHOT
			if scope := indexOf(scopeNames[:], record.GetScope()); all && scope >= 0 && record.GetToken() != 0 {
				record.Token = sm.reference.views[e.Offset-1].tokens[scope]
				if raw, err := proto.Marshal(record); err == nil {
					e.Record = raw
				}
			}
		}
		rewritten = append(rewritten, e)
	}
	return rewritten
}

// newSnapshot encodes a state as a snapshot with its checksum; it returns nil when encoding fails.
func newSnapshot(state *messenger.FoldedState) *messenger.Snapshot {
	encoded, err := proto.Marshal(state)
	if err != nil {
		return nil
	}
	return &messenger.Snapshot{NextOffset: state.GetNextOffset(), State: encoded, Checksum: xxhash.Sum64(encoded)}
}
