package deduplicator

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/wire/messenger"
)

// readRecords applies a batch of records of the claim stream.
func (d *Deduplicator) readRecords(e RecordsRead) []Action {
	var actions []Action
	for _, entry := range e.Entries {
		if entry.Offset < d.next {
			continue
		}
		if entry.Offset > d.next {
			d.recordGap(LogTrimmed{Now: e.Now, WallNow: e.WallNow, First: entry.Offset})
		}
		d.next = entry.Offset + 1
		d.seenAt = e.WallNow
		actions = append(actions, d.readRecord(e, entry.Record)...)
	}
	return actions
}

func (d *Deduplicator) readRecord(e RecordsRead, raw []byte) []Action {
	record := &messenger.Record{}
	if proto.Unmarshal(raw, record) != nil {
		d.malformed++
		return nil
	}
	d.outcomes.readBack(identifier.RecordID(record.GetId()))
	switch record.GetKind() {
	case messenger.RecordKind_RECORD_KIND_CLAIM_BATCH:
		batch := &messenger.ClaimBatch{}
		if proto.Unmarshal(record.GetPayload(), batch) != nil {
			d.malformed++
			return nil
		}
		return d.readBatch(e, record.GetAuthor(), batch)
	case messenger.RecordKind_RECORD_KIND_DISPATCH_OUTCOME:
		outcome := &messenger.DispatchOutcome{}
		if proto.Unmarshal(record.GetPayload(), outcome) != nil || !owns(record.GetAuthor(), outcome.GetAttemptId()) {
			d.malformed++
			return nil
		}
		d.keys.applyOutcome(outcome)
		return nil
	default:
		return nil
	}
}

// owns reports whether an attempt belongs to the author of a record. A process may close only its own attempts.
func owns(author, attempt string) bool {
	return author != "" && strings.HasPrefix(attempt, author+"/")
}

func (d *Deduplicator) readBatch(e RecordsRead, author string, batch *messenger.ClaimBatch) []Action {
	d.readWatermark(e.Now, batch)
	var actions []Action
	for _, claim := range batch.GetClaims() {
		if !owns(author, claim.GetAttemptId()) {
			d.malformed++
			continue
		}
		won := d.keys.applyClaim(e.Now, claim)
		if author == d.settings.author() {
			actions = append(actions, d.readOwnClaim(e.Now, claim, won)...)
		}
	}
	return actions
}

// readOwnClaim dispatches a winning claim if its call still waits. A winning claim without a waiting call is released,
// because it will never be dispatched.
func (d *Deduplicator) readOwnClaim(now time.Time, claim *messenger.DispatchClaim, won bool) []Action {
	attempt := identifier.AttemptID(claim.GetAttemptId())
	c, waiting := d.waiting[attempt]
	if !waiting {
		if won {
			d.releaseClaim(now, claim)
		}
		return nil
	}
	if !won {
		return d.refuseWaiting(now, c, logRefusal("claim was beaten by one that was released; repeat the call"))
	}
	d.dropCall(c)
	if refusal := d.checkDispatch(now, c); refusal != nil {
		d.releaseClaim(now, claim)
		return refuse(c.request, refusal)
	}
	d.runs[attempt] = &run{request: c.request, id: c.id}
	return []Action{Dispatch{Request: c.request, Attempt: attempt}}
}

// checkDispatch makes the checks again whose result may have changed since the call arrived.
func (d *Deduplicator) checkDispatch(now time.Time, c *call) *refuser.Refusal {
	if !now.Before(c.deadline) {
		return refuser.NewRefusal(refuser.DeadlineExceeded, refuser.NotRun, "deadline passed before the claim was confirmed")
	}
	return d.checkKey(c.issuedAt)
}

func (d *Deduplicator) releaseClaim(now time.Time, claim *messenger.DispatchClaim) {
	attempt := identifier.AttemptID(claim.GetAttemptId())
	if _, running := d.runs[attempt]; running {
		return
	}
	d.recordOutcome(now, &messenger.DispatchOutcome{
		Caller:    claim.GetCaller(),
		Key:       claim.GetKey(),
		AttemptId: claim.GetAttemptId(),
		Result:    messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN,
	})
}

// recordGap records a gap. Every claim in it was appended before now, so only keys issued before now can be missing.
func (d *Deduplicator) recordGap(e LogTrimmed) {
	if e.First <= d.next {
		return
	}
	d.next = e.First
	d.gapEnd = e.First
	d.seenAt = e.WallNow
	d.completeSince = d.completeFrom(e.WallNow)
}

// completeFrom returns the issue time from which no key can have been claimed before the given wall time. It adds the
// clock skew twice: an instance accepts keys issued up to one skew in its future, and its own clock may be ahead of the
// one that read the wall time by another.
func (d *Deduplicator) completeFrom(wall time.Time) time.Time {
	return wall.Add(2 * d.settings.ClockSkew)
}

// readWatermark processes a watermark. If it covers the gap, only keys issued before the watermark can be missing.
func (d *Deduplicator) readWatermark(now time.Time, batch *messenger.ClaimBatch) {
	if batch.GetSeenOffset() == 0 {
		return
	}
	d.watermarkAt = now
	if d.gapEnd == 0 || identifier.Offset(batch.GetSeenOffset()) < d.gapEnd {
		return
	}
	since := d.completeFrom(time.UnixMilli(batch.GetSeenAtMs()))
	if since.Before(d.completeSince) {
		d.completeSince = since
	}
}
