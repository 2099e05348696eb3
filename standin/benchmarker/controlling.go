package benchmarker

import (
	"fmt"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// measureControl measures the cost of applying leases and orders over records a second, and the record sizes by kind.
func (b *Benchmarker) measureControl() {
	renewals := &series{
		name: "foldRenewalsCPU", unit: "nsPerSecond", per: "recordPerSecond",
		today: todayScopes / 2, target: targetScopes / 2,
	}
	orders := &series{name: "foldOrdersCPU", unit: "nsPerSecond", per: "recordPerSecond", today: 1, target: 10}
	for _, rate := range []int{1000, 2000, 5000, 10_000, 20_000} {
		renewals.add(float64(rate), b.measureRenewals(rate).nanoseconds)
		orders.add(float64(rate), b.measureOrders(rate).nanoseconds)
	}
	b.writeSeries(renewals, orders)
	b.measureOrderedEngines()
	c := b.newControlStream()
	scope := identifier.Scope("engines/prova-llm")
	c.apply(c.claim(scope))
	b.writeFigure("renewalRecordBytes", "B", float64(len(c.claim(scope))))
	order := newOrder(1)
	b.writeFigure("intentRecordBytes", "B", float64(len(c.intent(scope, order))))
	b.writeFigure("outcomeRecordBytes", "B", float64(len(c.outcome(scope, order))))
}

// measureRenewals returns the cost of applying count records of one scope: a claim and its renewals.
func (b *Benchmarker) measureRenewals(count int) cost {
	writer := b.newControlStream()
	records := make([][]byte, count)
	for i := range records {
		records[i] = writer.claim("engines/m")
		writer.apply(records[i])
	}
	return b.measureApply(records)
}

// measureOrders returns the cost of applying one claim and count/2 orders, each an intent and an outcome.
func (b *Benchmarker) measureOrders(count int) cost {
	writer := b.newControlStream()
	records := [][]byte{writer.claim("engines/m")}
	writer.apply(records[0])
	for i := range count / 2 {
		order := newOrder(i)
		for _, raw := range [][]byte{writer.intent("engines/m", order), writer.outcome("engines/m", order)} {
			writer.apply(raw)
			records = append(records, raw)
		}
	}
	return b.measureApply(records)
}

// measureApply returns the mean cost of applying all records to an empty state.
func (b *Benchmarker) measureApply(records [][]byte) cost {
	const rounds = 5
	return measureCost(rounds, func(int) {
		reader := b.newControlStream()
		for _, r := range records {
			reader.apply(r)
		}
	})
}

func newOrder(i int) *messenger.EngineOrder {
	return &messenger.EngineOrder{
		OrderId: fmt.Sprintf("%s/o%d", recordAuthor, i), Engine: string(upstreamID(i % targetServers)),
		Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: "decode", Model: "prova-llm", Version: "2026.11",
	}
}

// measureOrderedEngines measures the memory and snapshot size of the state kept for engines that have had an order.
func (b *Benchmarker) measureOrderedEngines() {
	memory := &series{name: "orderedEngineMemory", unit: "B", per: "engine", today: todayUpstreams, target: targetServers}
	snapshot := &series{
		name: "orderedEngineSnapshotBytes", unit: "B", per: "engine", today: todayUpstreams, target: targetServers,
	}
	for _, n := range []int{8, 64, 183, 733, targetServers} {
		c := b.newControlStream()
		c.apply(c.claim("engines/m"))
		memory.add(float64(n), measureHeap(func() any {
			for i := range n {
				order := newOrder(i)
				c.apply(c.intent("engines/m", order))
				c.apply(c.outcome("engines/m", order))
			}
			return c
		}))
		snapshotRecord, err := c.state.Snapshot()
		b.fail("take snapshot", err)
		snapshot.add(float64(n), float64(len(snapshotRecord.GetState())))
	}
	b.writeSeries(memory, snapshot)
}
