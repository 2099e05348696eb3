package controller

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// Times of an append.
const (
	// DefaultReappendAfter leaves an append with a lost answer time to be read back.
	DefaultReappendAfter = 2 * time.Second
	// appendTimeout treats an append that was never answered as one with a lost answer.
	appendTimeout = 10 * time.Second
)

// outgoing is a record that has not been read back yet.
type outboxRecord struct {
	id      identifier.RecordID
	raw     []byte
	scope   identifier.Scope
	token   identifier.Token
	urgency throttler.Urgency
	// order is set for the intent of an order.
	order    *messenger.EngineOrder
	inFlight bool
	sentAt   time.Time
	retryAt  time.Time
}

// outbox repeats appends under the same record id until the record is read back or its token is no longer current.
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

// remove returns the record that was read back, when it is one of this process.
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
			// The read follows; a repeat would only be dropped by the fold.
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

// due returns the appends to make now, one for each record.
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

// holds tells whether a record of an urgency is on its way.
func (o *outbox) contains(urgency throttler.Urgency) bool {
	for _, r := range o.records {
		if r.urgency == urgency {
			return true
		}
	}
	return false
}
