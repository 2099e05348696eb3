package deduplicator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// advance performs what is due now.
func (d *Deduplicator) advance(now time.Time) []Action {
	actions := d.expire(now)
	actions = append(actions, d.flush(now)...)
	return append(actions, d.appendWatermark(now)...)
}

// expire drops the calls whose claims were not read back in time. Their attempts are never dispatched, so "not run" is
// certain even if the claim is in the log.
func (d *Deduplicator) expire(now time.Time) []Action {
	var actions []Action
	for _, attempt := range slices.Sorted(maps.Keys(d.waiting)) {
		c := d.waiting[attempt]
		if now.Before(c.expiresAt) {
			continue
		}
		actions = append(actions, d.refuseWaiting(now, c, logRefusal("claim was not confirmed in time and is given up"))...)
	}
	return actions
}

// flush appends all waiting claims and the due outcomes together once the oldest claim or any outcome is due or a batch
// of claims is full.
func (d *Deduplicator) flush(now time.Time) []Action {
	claimsDue := len(d.batch) > 0 && !now.Before(d.batchDueAt)
	if len(d.batch) < d.settings.BatchSize && !claimsDue && !d.outcomes.due(now) {
		return nil
	}
	a := Append{Urgency: throttler.UrgencyOutcome}
	if len(d.batch) > 0 {
		a.Urgency = throttler.UrgencyClaim
		id, raw := d.takeBatch()
		a.IDs = append(a.IDs, id)
		a.Records = append(a.Records, raw)
	}
	ids, records := d.outcomes.take(now)
	a.IDs = append(a.IDs, ids...)
	a.Records = append(a.Records, records...)
	return []Action{a}
}

// takeBatch empties the batch and returns the record of its claims.
func (d *Deduplicator) takeBatch() (identifier.RecordID, []byte) {
	batch := d.newBatch()
	attempts := make([]identifier.AttemptID, 0, len(d.batch))
	for _, c := range d.batch {
		batch.Claims = append(batch.Claims, c.claim)
		attempts = append(attempts, c.attempt)
	}
	d.batch = nil
	id, raw := d.newRecord(messenger.RecordKind_RECORD_KIND_CLAIM_BATCH, batch)
	d.inFlight[id] = attempts
	return id, raw
}

func (d *Deduplicator) newBatch() *messenger.ClaimBatch {
	if d.seenAt.IsZero() {
		return &messenger.ClaimBatch{}
	}
	return &messenger.ClaimBatch{SeenOffset: uint64(d.next), SeenAtMs: d.seenAt.UnixMilli()}
}

// appendWatermark appends a watermark if none was read within WatermarkEvery. A watermark is a wall time by which
// everything before an offset had been read.
func (d *Deduplicator) appendWatermark(now time.Time) []Action {
	if d.watermarkAt.IsZero() {
		d.watermarkAt = now
	}
	if d.seenAt.IsZero() || now.Sub(d.watermarkAt) < d.settings.WatermarkEvery {
		return nil
	}
	d.watermarkAt = now
	id, raw := d.newRecord(messenger.RecordKind_RECORD_KIND_CLAIM_BATCH, d.newBatch())
	return []Action{Append{IDs: []identifier.RecordID{id}, Records: [][]byte{raw}, Urgency: throttler.UrgencyOrder}}
}

func (d *Deduplicator) removeInFlight(ids []identifier.RecordID) {
	for _, id := range ids {
		delete(d.inFlight, id)
	}
}

// handleAppendFailed refuses the calls of a batch that is certainly not in the log. After an unknown result the calls
// keep waiting.
func (d *Deduplicator) handleAppendFailed(e AppendFailed) []Action {
	d.outcomes.failed(e.Now, e.Records, e.Unknown)
	var actions []Action
	for _, id := range e.Records {
		attempts, ok := d.inFlight[id]
		delete(d.inFlight, id)
		if !ok || e.Unknown {
			continue
		}
		d.appendFailedAt = e.Now
		for _, attempt := range attempts {
			c, waiting := d.waiting[attempt]
			if !waiting {
				continue
			}
			actions = append(actions, d.refuseWaiting(e.Now, c, logRefusal("log took no claim"))...)
		}
	}
	return actions
}

func (d *Deduplicator) recordOutcome(now time.Time, outcome *messenger.DispatchOutcome) {
	id, raw := d.newRecord(messenger.RecordKind_RECORD_KIND_DISPATCH_OUTCOME, outcome)
	d.outcomes.add(id, raw, now.Add(d.settings.BatchDelay))
}

func (d *Deduplicator) newRecord(kind messenger.RecordKind, payload proto.Message) (identifier.RecordID, []byte) {
	d.sequence++
	id := identifier.RecordID(fmt.Sprintf("%s/r%d", d.settings.author(), d.sequence))
	encoded, err := proto.Marshal(payload)
	if err != nil {
		// Marshalling fails only for text that is not UTF-8. Every reader skips the record without payload.
		encoded = nil
	}
	raw, err := proto.Marshal(&messenger.Record{Id: string(id), Kind: kind, Author: d.settings.author(), Payload: encoded})
	if err != nil {
		raw = nil
	}
	return id, raw
}
