package benchmarker

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// responseBytes is the size of a small response of a service that is not an engine.
const responseBytes = 200

// loopbackDeduplicator is a deduplicator whose appends succeed and are read back at once.
type loopbackDeduplicator struct {
	core    *deduplicator.Deduplicator
	entries []replayer.Entry
	next    identifier.Offset
	bytes   int
	now     time.Time
}

func newLoopbackDeduplicator(instance identifier.InstanceID) *loopbackDeduplicator {
	return &loopbackDeduplicator{
		core: deduplicator.NewDeduplicator(deduplicator.NewSettings(instance, "0192f3a4b5c6d7e8", "claims")),
		next: 1, now: start,
	}
}

// runBatch takes count calls through claim, dispatch and outcome. It advances the simulated clock by half a second, so
// that all batches of a measurement lie within the key window.
func (l *loopbackDeduplicator) runBatch(first, count int) {
	for i := first; i < first+count; i++ {
		l.applyActions(l.core.Handle(newCallArrived(l.now, i)))
	}
	for range 3 {
		l.now = l.now.Add(500 * time.Millisecond / 3)
		l.applyActions(l.core.Handle(deduplicator.Ticked{Now: l.now, WallNow: l.now}))
	}
}

func newCallArrived(now time.Time, i int) deduplicator.CallArrived {
	return deduplicator.CallArrived{
		Now: now, WallNow: now, Request: identifier.RequestID(fmt.Sprintf("r%d", i)), Caller: callerID(i % 100),
		Key: identifier.IdempotencyKey(fmt.Sprintf("key-%032d", i)), IssuedAt: now, RequestHash: uint64(i),
		Service: "registry", Deadline: now.Add(10 * time.Second),
	}
}

func (l *loopbackDeduplicator) applyActions(actions []deduplicator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case deduplicator.Append:
			l.applyActions(l.append(a))
		case deduplicator.Dispatch:
			l.applyActions(l.core.Handle(newDispatchEnded(l.now, a.Attempt)))
		}
	}
}

func newDispatchEnded(now time.Time, attempt identifier.AttemptID) deduplicator.DispatchEnded {
	return deduplicator.DispatchEnded{
		Now: now, Attempt: attempt, Result: messenger.DispatchResult_DISPATCH_RESULT_DONE, Status: 200,
		ContentType: "application/json", Body: make([]byte, responseBytes),
	}
}

func (l *loopbackDeduplicator) append(a deduplicator.Append) []deduplicator.Action {
	var entries []replayer.Entry
	for _, r := range a.Records {
		entries = append(entries, replayer.Entry{Offset: l.next, Record: r})
		l.next++
		l.bytes += len(r)
	}
	l.entries = append(l.entries, entries...)
	actions := l.core.Handle(deduplicator.AppendSucceeded{Now: l.now, Records: a.IDs})
	read := deduplicator.RecordsRead{Now: l.now, WallNow: l.now, Entries: entries, End: l.next}
	return append(actions, l.core.Handle(read)...)
}

// measureClaims measures claims and their outcomes over the number of remembered keys.
func (b *Benchmarker) measureClaims() {
	const batchSize = 10
	// The target is one key window of an hour at 110 calls a second.
	newSeries := func(name, unit string) *series {
		return &series{name: name, unit: unit, per: "key", today: 3600, target: 396_000}
	}
	memory := newSeries("keyMemory", "B")
	ownCPU := newSeries("ownCallsCPU", "ns")
	applyCPU := newSeries("foldClaimsCPU", "ns")
	bytes := newSeries("claimBytes", "B")
	for _, n := range []int{2000, 5000, 10_000, 20_000, 40_000} {
		writer := newLoopbackDeduplicator("instance-7")
		ownCPU.add(float64(n), measureCost(1, func(int) {
			for i := 0; i < n; i += batchSize {
				writer.runBatch(i, batchSize)
			}
		}).nanoseconds)
		bytes.add(float64(n), float64(writer.bytes))
		reader := newLoopbackDeduplicator("instance-8")
		memory.add(float64(n), measureHeap(func() any {
			applyCPU.add(float64(n), measureCost(1, func(int) {
				reader.core.Handle(deduplicator.RecordsRead{
					Now: writer.now, WallNow: writer.now, Entries: writer.entries, End: writer.next,
				})
			}).nanoseconds)
			return []*loopbackDeduplicator{reader, writer}
		}))
		if reader.core.Keys() != n {
			b.fail("apply claims", fmt.Errorf("%d of %d keys remembered", reader.core.Keys(), n))
		}
	}
	b.writeSeries(memory, ownCPU, applyCPU, bytes)
}
