package surveyor

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// answerBytes is the size of a small answer of a plain service.
const answerBytes = 200

// claimant is a deduplicator whose appends are read back at once.
type loopbackDeduplicator struct {
	core    *deduplicator.Deduplicator
	entries []replayer.Entry
	next    identifier.Offset
	bytes   int
	now     time.Time
}

func newLoopbackDeduplicator(instance identifier.InstanceID) *loopbackDeduplicator {
	return &loopbackDeduplicator{core: deduplicator.NewDeduplicator(deduplicator.NewSettings(instance, "0192f3a4b5c6d7e8", "claims")), next: 1, now: start}
}

// callBatch sends a batch of calls through claim, dispatch and outcome. It takes half a second of the fake clock, so that
// all batches of a survey lie within the key window.
func (c *loopbackDeduplicator) runBatch(first, count int) {
	for i := first; i < first+count; i++ {
		c.applyActions(c.core.Handle(newCallArrived(c.now, i)))
	}
	for range 3 {
		c.now = c.now.Add(500 * time.Millisecond / 3)
		c.applyActions(c.core.Handle(deduplicator.Ticked{Now: c.now, WallNow: c.now}))
	}
}

func newCallArrived(now time.Time, i int) deduplicator.CallArrived {
	return deduplicator.CallArrived{
		Now: now, WallNow: now, Request: identifier.RequestID(fmt.Sprintf("r%d", i)), Caller: callerID(i % 100),
		Key: identifier.IdempotencyKey(fmt.Sprintf("key-%032d", i)), IssuedAt: now, RequestHash: uint64(i), Service: "registry",
		Deadline: now.Add(10 * time.Second),
	}
}

func (c *loopbackDeduplicator) applyActions(actions []deduplicator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case deduplicator.Append:
			c.applyActions(c.append(a))
		case deduplicator.Dispatch:
			c.applyActions(c.core.Handle(newDispatchEnded(c.now, a.Attempt)))
		}
	}
}

func newDispatchEnded(now time.Time, attempt identifier.AttemptID) deduplicator.DispatchEnded {
	return deduplicator.DispatchEnded{
		Now: now, Attempt: attempt, Result: messenger.DispatchResult_DISPATCH_RESULT_DONE, Status: 200,
		ContentType: "application/json", Answer: make([]byte, answerBytes),
	}
}

func (c *loopbackDeduplicator) append(a deduplicator.Append) []deduplicator.Action {
	var entries []replayer.Entry
	for _, r := range a.Records {
		entries = append(entries, replayer.Entry{Offset: c.next, Record: r})
		c.next++
		c.bytes += len(r)
	}
	c.entries = append(c.entries, entries...)
	actions := c.core.Handle(deduplicator.AppendSucceeded{Now: c.now, Records: a.IDs})
	read := deduplicator.RecordsRead{Now: c.now, WallNow: c.now, Entries: entries, End: c.next}
	return append(actions, c.core.Handle(read)...)
}

// surveyClaims measures claims with their outcomes over the number of remembered keys.
func (s *Surveyor) measureClaims() {
	const batch = 10
	// The target's keys are those of an hour's window at 110 calls a second.
	newSeries := func(name, unit string) *series {
		return &series{name: name, unit: unit, per: "key", today: 3600, target: 396_000}
	}
	memory := newSeries("keyMemory", "B")
	own := newSeries("ownCallsCPU", "ns")
	fold := newSeries("foldClaimsCPU", "ns")
	bytes := newSeries("claimBytes", "B")
	for _, n := range []int{2000, 5000, 10_000, 20_000, 40_000} {
		writer := newLoopbackDeduplicator("instance-7")
		own.add(float64(n), measureCost(1, func(int) {
			for i := 0; i < n; i += batch {
				writer.runBatch(i, batch)
			}
		}).nanoseconds)
		bytes.add(float64(n), float64(writer.bytes))
		reader := newLoopbackDeduplicator("instance-8")
		memory.add(float64(n), measureHeap(func() any {
			fold.add(float64(n), measureCost(1, func(int) {
				reader.core.Handle(deduplicator.RecordsRead{Now: writer.now, WallNow: writer.now, Entries: writer.entries, End: writer.next})
			}).nanoseconds)
			return []*loopbackDeduplicator{reader, writer}
		}))
		if reader.core.Keys() != n {
			s.fail("fold claims", fmt.Errorf("%d keys of %d", reader.core.Keys(), n))
		}
	}
	s.writeSeries(memory, own, fold, bytes)
}
