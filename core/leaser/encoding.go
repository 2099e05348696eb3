package leaser

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Payload returns the content of the record of a claim.
func (l *Leaser) Payload(c Claim) *messenger.LeaseClaim {
	return &messenger.LeaseClaim{
		Scope: string(c.Scope), Holder: l.settings.Holder, LastOffset: uint64(c.LastOffset),
		DurationMs: identifier.Milliseconds(l.settings.Duration), Renewal: c.Renewal,
	}
}

// Encode returns the record of a claim under an id.
func (l *Leaser) Encode(id identifier.RecordID, c Claim) ([]byte, error) {
	payload, err := proto.Marshal(l.Payload(c))
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&messenger.Record{
		Id: string(id), Kind: messenger.RecordKind_RECORD_KIND_LEASE_CLAIM, Author: l.settings.Holder,
		Scope: string(c.Scope), Token: uint64(c.Token), Payload: payload,
	})
}

// RecordFailed is ClaimFailed for the encoded record of a claim. Other records are passed over.
func (l *Leaser) RecordFailed(now time.Time, raw []byte) {
	record := &messenger.Record{}
	if proto.Unmarshal(raw, record) == nil {
		l.ClaimFailed(now, identifier.RecordID(record.GetId()))
	}
}
