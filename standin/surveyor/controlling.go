package surveyor

import (
	"fmt"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// surveyControl measures the fold of leases and orders over records a second, and their sizes by kind.
func (s *Surveyor) surveyControl() {
	renewals := &series{name: "foldRenewalsCPU", unit: "nsPerSecond", per: "recordPerSecond", today: todayScopes / 2, target: targetScopes / 2}
	orders := &series{name: "foldOrdersCPU", unit: "nsPerSecond", per: "recordPerSecond", today: 1, target: 10}
	for _, rate := range []int{1000, 2000, 5000, 10_000, 20_000} {
		renewals.add(float64(rate), s.foldRenewals(rate).nanoseconds)
		orders.add(float64(rate), s.foldOrders(rate).nanoseconds)
	}
	s.writeSeries(renewals, orders)
	s.surveyEngines()
	c := s.newControlStream()
	scope := identifier.Scope("engines/prova-llm")
	c.fold(c.claim(scope))
	s.writeFigure("renewalRecordBytes", "B", float64(len(c.claim(scope))))
	order := newOrder(1)
	s.writeFigure("intentRecordBytes", "B", float64(len(c.intent(scope, order))))
	s.writeFigure("outcomeRecordBytes", "B", float64(len(c.outcome(scope, order))))
}

// foldRenewals returns the cost of folding a number of renewals of one scope.
func (s *Surveyor) foldRenewals(count int) cost {
	writer := s.newControlStream()
	records := make([][]byte, count)
	for i := range records {
		records[i] = writer.claim("engines/m")
		writer.fold(records[i])
	}
	return s.foldAll(records)
}

// foldOrders returns the cost of folding a number of intents and outcomes.
func (s *Surveyor) foldOrders(count int) cost {
	writer := s.newControlStream()
	records := [][]byte{writer.claim("engines/m")}
	writer.fold(records[0])
	for i := range count / 2 {
		order := newOrder(i)
		for _, raw := range [][]byte{writer.intent("engines/m", order), writer.outcome("engines/m", order)} {
			writer.fold(raw)
			records = append(records, raw)
		}
	}
	return s.foldAll(records)
}

// foldAll returns the cost of folding the records together.
func (s *Surveyor) foldAll(records [][]byte) cost {
	const repeats = 5
	return spend(repeats, func(int) {
		reader := s.newControlStream()
		for _, r := range records {
			reader.fold(r)
		}
	})
}

func newOrder(i int) *messenger.EngineOrder {
	return &messenger.EngineOrder{
		OrderId: fmt.Sprintf("%s/o%d", holder, i), Engine: string(upstreamID(i % targetServers)),
		Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: "decode", Model: "prova-llm", Version: "2026.11",
	}
}

// surveyEngines measures the folded state of engines that had orders.
func (s *Surveyor) surveyEngines() {
	memory := &series{name: "orderedEngineMemory", unit: "B", per: "engine", today: todayUpstreams, target: targetServers}
	snapshot := &series{name: "orderedEngineSnapshotBytes", unit: "B", per: "engine", today: todayUpstreams, target: targetServers}
	for _, n := range []int{8, 64, 183, 733, targetServers} {
		c := s.newControlStream()
		c.fold(c.claim("engines/m"))
		memory.add(float64(n), occupy(func() any {
			for i := range n {
				order := newOrder(i)
				c.fold(c.intent("engines/m", order))
				c.fold(c.outcome("engines/m", order))
			}
			return c
		}))
		taken, err := c.state.Snapshot()
		s.fail("take snapshot", err)
		snapshot.add(float64(n), float64(len(taken.GetState())))
	}
	s.writeSeries(memory, snapshot)
}
