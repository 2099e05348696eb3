package replayer

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Snapshot returns the encoded state with its checksum. Equal states have equal encodings.
func (s *State) Snapshot() (*messenger.Snapshot, error) {
	encoded, err := s.Encode()
	if err != nil {
		return nil, err
	}
	return &messenger.Snapshot{NextOffset: uint64(s.next), State: encoded, Checksum: checksum(encoded)}, nil
}

// checksum is the xxHash64 of an encoded state.
func checksum(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

// Encode returns the state as a deterministically marshalled messenger.FoldedState.
func (s *State) Encode() ([]byte, error) {
	message := &messenger.FoldedState{
		Environment:    string(s.environment),
		NextOffset:     uint64(s.next),
		Incomplete:     s.incomplete,
		Leases:         encodeLeases(s.Leases()),
		Engines:        encodeEngines(s.Engines()),
		Plans:          encodePlans(sortedValues(s.plans)),
		Config:         s.config.encode(),
		Seen:           s.seen.hashes(),
		Kept:           s.unknownRecords,
		Counters:       s.counters.encode(),
		SnapshotOffset: uint64(s.snapshotOffset),
		SnapshotNext:   uint64(s.snapshotNext),
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

func encodeLeases(leases []Lease) []*messenger.FoldedLease {
	var encoded []*messenger.FoldedLease
	for _, l := range leases {
		encoded = append(encoded, &messenger.FoldedLease{
			Scope:      string(l.Scope),
			Holder:     l.Holder,
			Token:      uint64(l.Token),
			Latest:     uint64(l.Latest),
			DurationMs: identifier.Milliseconds(l.Duration),
			Released:   l.Released,
		})
	}
	return encoded
}

func encodeEngines(engines []Engine) []*messenger.FoldedEngine {
	var encoded []*messenger.FoldedEngine
	for _, e := range engines {
		encoded = append(encoded, &messenger.FoldedEngine{
			Engine:     string(e.ID),
			Token:      uint64(e.Token),
			Unfinished: encodeOrder(e.Unfinished),
			LastClosed: encodeOrder(e.LastClosed),
			LastDone:   encodeOrder(e.LastDone),
		})
	}
	return encoded
}

func encodeOrder(order *Order) *messenger.FoldedOrder {
	if order == nil {
		return nil
	}
	return &messenger.FoldedOrder{
		Order:  order.Order,
		Scope:  string(order.Scope),
		Token:  uint64(order.Token),
		Offset: uint64(order.Offset),
		Result: order.Result,
		Detail: order.Detail,
		Found:  order.Found,
	}
}

func encodePlans(plans []Plan) []*messenger.FoldedPlan {
	var encoded []*messenger.FoldedPlan
	for _, p := range plans {
		encoded = append(encoded, &messenger.FoldedPlan{
			Upstream: p.Change.GetUpstream(), Change: p.Change, Offset: uint64(p.Offset),
		})
	}
	return encoded
}

func (c *configState) encode() *messenger.FoldedConfig {
	encoded := &messenger.FoldedConfig{Revision: uint64(c.revision), Digest: c.current.Digest()}
	sections := c.current.Sections()
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		encoded.Sections = append(encoded.Sections, &messenger.ConfigSection{Name: name, Content: sections[name]})
	}
	for _, r := range c.history {
		encoded.History = append(encoded.History, r.encode())
	}
	for _, r := range c.refused {
		encoded.Refused = append(encoded.Refused, r.encode())
	}
	return encoded
}

func (r Revision) encode() *messenger.FoldedRevision {
	return &messenger.FoldedRevision{
		Revision:         uint64(r.Revision),
		Base:             uint64(r.Base),
		Digest:           r.Digest,
		Operator:         string(r.Operator),
		Message:          r.Message,
		PromotedFrom:     string(r.PromotedFrom),
		PromotedRevision: uint64(r.PromotedRevision),
		Changed:          r.Changed,
		Removed:          r.Removed,
	}
}

func (r ConfigRefusal) encode() *messenger.FoldedRefusal {
	return &messenger.FoldedRefusal{
		RecordId:         string(r.Record),
		Offset:           uint64(r.Offset),
		Base:             uint64(r.Base),
		Digest:           r.Digest,
		Operator:         string(r.Operator),
		Reason:           r.Reason,
		BeatenBy:         uint64(r.BeatenBy),
		BeatenByOperator: string(r.BeatenByOperator),
	}
}

func (c Counters) encode() *messenger.FoldedCounters {
	return &messenger.FoldedCounters{
		Malformed: c.Malformed,
		Duplicate: c.Duplicate,
		Stale:     c.Stale,
		Unknown:   c.Unknown,
		Refused:   c.Refused,
	}
}
