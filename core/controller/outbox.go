package controller

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// Timings of appends.
const (
	// DefaultReappendAfter is the retry delay after an append with unknown result. By then a record that was appended
	// has usually been read back.
	DefaultReappendAfter = 2 * time.Second
	// appendTimeout is the time after which an append without a response is treated as one with unknown result.
	appendTimeout = 10 * time.Second
)

// outboxRecord is a record that has not been read back yet.
type outboxRecord struct {
	id      identifier.RecordID
	raw     []byte
	scope   identifier.Scope
	token   identifier.Token
	urgency throttler.Urgency
	// order is set only for the intent of an order.
	order    *messenger.EngineOrder
	inFlight bool
	sentAt   time.Time
	retryAt  time.Time
}

// outbox retries appends under the same record id until the record is read back or its token is no longer current.
type outbox struct {
	reappendAfter time.Duration
	records       map[identifier.RecordID]*outboxRecord
	sequence      []identifier.RecordID
}

func newOutbox(reappendAfter time.Duration) *outbox {
	return &outbox{reappendAfter: reappendAfter, records: map[identifier.RecordID]*outboxRecord{}}
}

func (o *outbox) add(r *outboxRecord) {
	o.records[r.id] = r
	o.sequence = append(o.sequence, r.id)
}

// remove returns and removes a record that was read back, if this process appended it.
func (o *outbox) remove(id identifier.RecordID) (*outboxRecord, bool) {
	r, ok := o.records[id]
	if !ok {
		return nil, false
	}
	delete(o.records, id)
	o.sequence = slices.DeleteFunc(o.sequence, func(other identifier.RecordID) bool { return other == id })
	return r, true
}

func (o *outbox) failed(now time.Time, ids []identifier.RecordID, unknown bool) {
	for _, id := range ids {
		r, ok := o.records[id]
		if !ok {
			continue
		}
		r.inFlight = false
		r.retryAt = now.Add(o.reappendAfter / 4)
		if unknown {
			r.retryAt = now.Add(o.reappendAfter)
		}
	}
}

func (o *outbox) succeeded(now time.Time, ids []identifier.RecordID) {
	for _, id := range ids {
		if r, ok := o.records[id]; ok {
			// The record will be read back soon; another append would be skipped as a duplicate.
			r.sentAt = now
		}
	}
}

// dropStale removes the records whose token is no longer usable.
func (o *outbox) dropStale(usable func(identifier.Scope, identifier.Token) bool) {
	for _, id := range slices.Clone(o.sequence) {
		r := o.records[id]
		if !usable(r.scope, r.token) {
			o.remove(id)
		}
	}
}

// due returns the appends to make now, one per record.
func (o *outbox) due(now time.Time) []Action {
	var actions []Action
	for _, id := range o.sequence {
		r := o.records[id]
		if r.inFlight && now.Sub(r.sentAt) < appendTimeout {
			continue
		}
		if !r.inFlight && now.Before(r.retryAt) {
			continue
		}
		r.inFlight = true
		r.sentAt = now
		actions = append(actions, Append{
			IDs:     []identifier.RecordID{r.id},
			Records: [][]byte{r.raw},
			Urgency: r.urgency,
		})
	}
	return actions
}

// contains reports whether a record of the given urgency has not been read back yet.
func (o *outbox) contains(urgency throttler.Urgency) bool {
	for _, r := range o.records {
		if r.urgency == urgency {
			return true
		}
	}
	return false
}
