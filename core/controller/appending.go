package controller

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// newRecord returns an encoded record with the next record id of this process. The id is empty if encoding fails.
func (c *Controller) newRecord(
	kind messenger.RecordKind, scope identifier.Scope, token identifier.Token, payload proto.Message,
) (identifier.RecordID, []byte) {
	c.recordSeq++
	id := identifier.RecordID(fmt.Sprintf("%s/%d", c.settings.Holder(), c.recordSeq))
	encoded, err := proto.Marshal(payload)
	if err != nil {
		return "", nil
	}
	raw, err := proto.Marshal(&messenger.Record{
		Id:      string(id),
		Kind:    kind,
		Author:  c.settings.Holder(),
		Scope:   string(scope),
		Token:   uint64(token),
		Payload: encoded,
	})
	if err != nil {
		return "", nil
	}
	return id, raw
}

func (c *Controller) enqueue(
	kind messenger.RecordKind, scope identifier.Scope, token identifier.Token, payload proto.Message,
	urgency throttler.Urgency, order *messenger.EngineOrder,
) {
	id, raw := c.newRecord(kind, scope, token, payload)
	if id == "" {
		return
	}
	c.outbox.add(&outboxRecord{id: id, raw: raw, scope: scope, token: token, urgency: urgency, order: order})
}

// appendClaim appends a claim at once. A claim is never retried, because a later one refers to a newer grant.
func (c *Controller) appendClaim(now time.Time, claim leaser.Claim) []Action {
	id, raw := c.newRecord(
		messenger.RecordKind_RECORD_KIND_LEASE_CLAIM, claim.Scope, claim.Token, c.leases.Payload(claim),
	)
	if id == "" {
		return nil
	}
	c.leases.ClaimSent(now, claim.Scope, claim.Renewal, id)
	return []Action{Append{IDs: []identifier.RecordID{id}, Records: [][]byte{raw}, Urgency: throttler.UrgencyLease}}
}

func (c *Controller) appendRelease(release leaser.Release) []Action {
	payload := &messenger.LeaseRelease{Scope: string(release.Scope), Holder: c.settings.Holder()}
	id, raw := c.newRecord(messenger.RecordKind_RECORD_KIND_LEASE_RELEASE, release.Scope, release.Token, payload)
	if id == "" {
		return nil
	}
	return []Action{Append{IDs: []identifier.RecordID{id}, Records: [][]byte{raw}, Urgency: throttler.UrgencyLease}}
}

func (c *Controller) enqueueSnapshot(now time.Time) []Action {
	lease, held := c.leases.Held(now, c.settings.SnapshotScope)
	if !held || !c.snapshotDue(now) || c.outbox.contains(throttler.UrgencySnapshot) {
		return nil
	}
	snapshot, err := c.state.Snapshot()
	if err != nil {
		return nil
	}
	kind := messenger.RecordKind_RECORD_KIND_SNAPSHOT
	c.enqueue(kind, c.settings.SnapshotScope, lease.Token, snapshot, throttler.UrgencySnapshot, nil)
	return nil
}

func (c *Controller) snapshotDue(now time.Time) bool {
	since := int(c.state.Next()) - int(max(c.state.SnapshotNext(), 1))
	if c.settings.SnapshotEvery <= 0 {
		return false
	}
	return since >= c.settings.SnapshotEvery || now.Sub(c.snapshotAt) >= c.settings.SnapshotMaxAge
}
