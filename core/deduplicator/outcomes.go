package deduplicator

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// maxOutcomesPerAppend is the maximum number of outcomes in one append.
const maxOutcomesPerAppend = 64

// outcomeAppendTimeout is the time after which an append without a response is treated as one with unknown result.
const outcomeAppendTimeout = 10 * time.Second

// pendingOutcome is an outcome that has not been read back yet.
type pendingOutcome struct {
	id    identifier.RecordID
	raw   []byte
	dueAt time.Time
}

// outcomeQueue retries the appends of outcomes under the same record ids until they are read back.
type outcomeQueue struct {
	reappendAfter time.Duration
	queue         []*pendingOutcome
}

func newOutcomeQueue(reappendAfter time.Duration) *outcomeQueue {
	return &outcomeQueue{reappendAfter: reappendAfter}
}

func (o *outcomeQueue) empty() bool { return len(o.queue) == 0 }

func (o *outcomeQueue) add(id identifier.RecordID, raw []byte, dueAt time.Time) {
	o.queue = append(o.queue, &pendingOutcome{id: id, raw: raw, dueAt: dueAt})
}

func (o *outcomeQueue) readBack(id identifier.RecordID) {
	o.queue = slices.DeleteFunc(o.queue, func(q *pendingOutcome) bool { return q.id == id })
}

func (o *outcomeQueue) failed(now time.Time, ids []identifier.RecordID, unknown bool) {
	for _, q := range o.queue {
		if !slices.Contains(ids, q.id) {
			continue
		}
		q.dueAt = now.Add(o.reappendAfter / 4)
		if unknown {
			q.dueAt = now.Add(o.reappendAfter)
		}
	}
}

// due reports whether an outcome is due for its append.
func (o *outcomeQueue) due(now time.Time) bool {
	return slices.ContainsFunc(o.queue, func(q *pendingOutcome) bool { return !now.Before(q.dueAt) })
}

// take returns the outcomes to append now.
func (o *outcomeQueue) take(now time.Time) ([]identifier.RecordID, [][]byte) {
	var ids []identifier.RecordID
	var records [][]byte
	for _, q := range o.queue {
		if now.Before(q.dueAt) || len(ids) == maxOutcomesPerAppend {
			continue
		}
		q.dueAt = now.Add(outcomeAppendTimeout)
		ids = append(ids, q.id)
		records = append(records, q.raw)
	}
	return ids, records
}
