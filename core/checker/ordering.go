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

// sendOrder carries out the send, at times after a pause and cut off from the log, so that the lease lapses meanwhile.
func (p *process) sendOrder(a controller.SendOrder) {
	w := p.simulation
	if w.chance(12) && w.activeFaults < maxActiveFaults && !p.paused {
		w.result.Faults++
		p.logUnreachableUntil = w.now + w.beginTimedFault(8*time.Second, 14*time.Second)
		lasts := w.randomDuration(0, 16*time.Second)
		if w.chance(60) {
			// The pause ends just before the write deadline.
			lasts = max(0, a.WriteBy.Sub(p.localNow())-w.randomDuration(50*time.Millisecond, 500*time.Millisecond))
		}
		w.pause(p, lasts)
		p.backlog = append(p.backlog, func() { p.writeOrder(a, w.randomDuration(maxWriteDelay/2, maxWriteDelay)) })
		return
	}
	delay := w.networkDelay()
	if w.now < w.slowUntil && w.chance(70) || w.chance(15) {
		delay = w.randomDuration(0, maxWriteDelay)
	}
	p.writeOrder(a, delay)
}

// writeOrder writes an order unless its deadline has passed. What was written arrives within the send window.
func (p *process) writeOrder(a controller.SendOrder, delay time.Duration) {
	w := p.simulation
	id := identifier.OrderID(a.Order.GetOrderId())
	answer := func(kind fencer.Answer, reply *messenger.OrderReply) func() {
		return func() {
			p.runActions(p.controller.Handle(controller.OrderAnswered{Now: p.localNow(), Order: id, Answer: kind, Reply: reply}))
		}
	}
	if !p.localNow().Before(a.WriteBy) && w.variant != VariantNoWriteDeadline {
		p.runAfter(0, answer(fencer.AnswerNotSent, nil))
		return
	}
	w.sendCounts[id]++
	if w.sendCounts[id] > 1 {
		w.recordViolation(InvariantSingleSend, "order %s was sent %d times", id, w.sendCounts[id])
	}
	if w.now < p.upstreamsUnreachableUntil {
		if w.chance(50) {
			p.runAfter(w.networkDelay(), answer(fencer.AnswerNotSent, nil))
			return
		}
		p.runAfter(time.Second, answer(fencer.AnswerUnknown, nil))
		return
	}
	w.after(delay, func() {
		reply := w.deliverOrder(a)
		if reply == nil || w.messageLost() {
			if w.variant == VariantRetryOrder {
				w.after(w.networkDelay(), func() { p.writeOrder(a, w.networkDelay()) })
			}
			p.runAfter(w.randomDuration(0, 2*time.Second), answer(fencer.AnswerUnknown, nil))
			return
		}
		kind := fencer.AnswerRefused
		if reply.GetAccepted() {
			kind = fencer.AnswerAccepted
		}
		p.runAfter(w.networkDelay(), answer(kind, reply))
	})
}

// deliverOrder gives an order to its engine and holds what the engine takes against the log's open order.
func (w *simulation) deliverOrder(a controller.SendOrder) *messenger.OrderReply {
	index := indexOf(engineNames[:], a.Order.GetEngine())
	reply := w.engines[index].handleOrder(w.now, a.Order, uint64(a.Token), w.randomDuration(500*time.Millisecond, 4*time.Second))
	if !reply.GetAccepted() || a.Order.GetKind() == messenger.OrderKind_ORDER_KIND_FENCE {
		return reply
	}
	w.result.Orders++
	if open := w.reference.current.unfinished[index]; open != a.Order.GetOrderId() {
		promise := InvariantUncheckedOrder
		if checksTokens(index) {
			promise = InvariantCheckedOrder
		}
		w.recordViolation(promise, "%s took order %s at %s while the log has %q open", engineNames[index], a.Order.GetOrderId(), w.now, open)
	}
	return reply
}

func (p *process) readEngine(a controller.ReadEngine) {
	w := p.simulation
	p.runAfter(w.networkDelay(), func() {
		var report *messenger.EngineReport
		if w.now >= p.upstreamsUnreachableUntil && !w.messageLost() {
			report = w.engines[indexOf(engineNames[:], string(a.Engine))].readReport(w.now)
		}
		p.runActions(p.controller.Handle(controller.EngineRead{Now: p.localNow(), Engine: a.Engine, ReadID: a.ReadID, Report: report}))
	})
}

// rewrite gives every record the current token of its scope when the variant has no token check.
func (w *simulation) withCurrentTokens(entries []replayer.Entry) []replayer.Entry {
	if w.variant != VariantNoTokenCheck && w.variant != VariantNoSnapshotToken {
		return entries
	}
	rewritten := make([]replayer.Entry, 0, len(entries))
	for _, e := range entries {
		record := &messenger.Record{}
		if proto.Unmarshal(e.Record, record) == nil {
			all := w.variant == VariantNoTokenCheck || record.GetKind() == messenger.RecordKind_RECORD_KIND_SNAPSHOT
			if scope := indexOf(scopeNames[:], record.GetScope()); all && scope >= 0 && record.GetToken() != 0 {
				record.Token = w.reference.views[e.Offset-1].tokens[scope]
				if raw, err := proto.Marshal(record); err == nil {
					e.Record = raw
				}
			}
		}
		rewritten = append(rewritten, e)
	}
	return rewritten
}

func newSnapshot(state *messenger.FoldedState) *messenger.Snapshot {
	encoded, err := proto.Marshal(state)
	if err != nil {
		return nil
	}
	return &messenger.Snapshot{NextOffset: state.GetNextOffset(), State: encoded, Checksum: xxhash.Sum64(encoded)}
}
