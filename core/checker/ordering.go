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
	w := p.world
	if w.chance(12) && w.faults < maxFaults && !p.paused {
		w.result.Faults++
		p.logCutUntil = w.now + w.last(8*time.Second, 14*time.Second)
		lasts := w.between(0, 16*time.Second)
		if w.chance(60) {
			// The pause ends just before the write deadline.
			lasts = max(0, a.WriteBy.Sub(p.localNow())-w.between(50*time.Millisecond, 500*time.Millisecond))
		}
		w.pause(p, lasts)
		p.backlog = append(p.backlog, func() { p.writeOrder(a, w.between(slowestWrite/2, slowestWrite)) })
		return
	}
	delay := w.hop()
	if w.now < w.slowUntil && w.chance(70) || w.chance(15) {
		delay = w.between(0, slowestWrite)
	}
	p.writeOrder(a, delay)
}

// writeOrder writes an order unless its deadline has passed. What was written arrives within the send window.
func (p *process) writeOrder(a controller.SendOrder, delay time.Duration) {
	w := p.world
	id := identifier.OrderID(a.Order.GetOrderId())
	answer := func(kind fencer.Answer, reply *messenger.OrderReply) func() {
		return func() {
			p.run(p.controller.Handle(controller.OrderAnswered{Now: p.localNow(), Order: id, Answer: kind, Reply: reply}))
		}
	}
	if !p.localNow().Before(a.WriteBy) && w.variant != VariantNoWriteDeadline {
		p.later(0, answer(fencer.AnswerNotSent, nil))
		return
	}
	w.sent[id]++
	if w.sent[id] > 1 {
		w.breach(PromiseOneSend, "order %s was sent %d times", id, w.sent[id])
	}
	if w.now < p.workCutUntil {
		if w.chance(50) {
			p.later(w.hop(), answer(fencer.AnswerNotSent, nil))
			return
		}
		p.later(time.Second, answer(fencer.AnswerUnknown, nil))
		return
	}
	w.after(delay, func() {
		reply := w.deliverOrder(a)
		if reply == nil || w.lossy() {
			if w.variant == VariantRetryOrder {
				w.after(w.hop(), func() { p.writeOrder(a, w.hop()) })
			}
			p.later(w.between(0, 2*time.Second), answer(fencer.AnswerUnknown, nil))
			return
		}
		kind := fencer.AnswerRefused
		if reply.GetAccepted() {
			kind = fencer.AnswerAccepted
		}
		p.later(w.hop(), answer(kind, reply))
	})
}

// deliverOrder gives an order to its engine and holds what the engine takes against the log's open order.
func (w *world) deliverOrder(a controller.SendOrder) *messenger.OrderReply {
	index := indexOf(engineNames[:], a.Order.GetEngine())
	reply := w.engines[index].take(w.now, a.Order, uint64(a.Token), w.between(500*time.Millisecond, 4*time.Second))
	if !reply.GetAccepted() || a.Order.GetKind() == messenger.OrderKind_ORDER_KIND_FENCE {
		return reply
	}
	w.result.Orders++
	if open := w.model.now.unfinished[index]; open != a.Order.GetOrderId() {
		promise := PromiseUncheckedOrder
		if checksTokens(index) {
			promise = PromiseCheckedOrder
		}
		w.breach(promise, "%s took order %s at %s while the log has %q open", engineNames[index], a.Order.GetOrderId(), w.now, open)
	}
	return reply
}

func (p *process) readEngine(a controller.ReadEngine) {
	w := p.world
	p.later(w.hop(), func() {
		var report *messenger.EngineReport
		if w.now >= p.workCutUntil && !w.lossy() {
			report = w.engines[indexOf(engineNames[:], string(a.Engine))].read(w.now)
		}
		p.run(p.controller.Handle(controller.EngineRead{Now: p.localNow(), Engine: a.Engine, ReadID: a.ReadID, Report: report}))
	})
}

// rewrite gives every record the current token of its scope when the variant has no token check.
func (w *world) rewrite(entries []replayer.Entry) []replayer.Entry {
	if w.variant != VariantNoTokenCheck && w.variant != VariantNoSnapshotToken {
		return entries
	}
	rewritten := make([]replayer.Entry, 0, len(entries))
	for _, e := range entries {
		record := &messenger.Record{}
		if proto.Unmarshal(e.Record, record) == nil {
			all := w.variant == VariantNoTokenCheck || record.GetKind() == messenger.RecordKind_RECORD_KIND_SNAPSHOT
			if scope := indexOf(scopeNames[:], record.GetScope()); all && scope >= 0 && record.GetToken() != 0 {
				record.Token = w.model.views[e.Offset-1].tokens[scope]
				if raw, err := proto.Marshal(record); err == nil {
					e.Record = raw
				}
			}
		}
		rewritten = append(rewritten, e)
	}
	return rewritten
}

func sealSnapshot(state *messenger.FoldedState) *messenger.Snapshot {
	encoded, err := proto.Marshal(state)
	if err != nil {
		return nil
	}
	return &messenger.Snapshot{NextOffset: state.GetNextOffset(), State: encoded, Checksum: xxhash.Sum64(encoded)}
}
