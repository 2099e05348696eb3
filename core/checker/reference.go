package checker

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/wire/messenger"
)

// Numbers of lease scopes and engines.
const (
	scopeCount  = 3
	engineCount = 4
)

var (
	scopeNames  = [scopeCount]string{"snapshots", "model/a", "model/b"}
	engineNames = [engineCount]string{"engine-a0", "engine-a1", "engine-b0", "engine-b1"}
)

// engineScope returns the index of the lease scope whose holder sends an engine its orders.
func engineScope(engine int) int { return 1 + engine/2 }

// checksTokens reports whether an engine checks fencing tokens: engines 0 and 2 do, 1 and 3 ignore them.
func checksTokens(engine int) bool { return engine%2 == 0 }

// stateView is the part of a replayed state that the checker compares.
type stateView struct {
	tokens       [scopeCount]uint64
	released     [scopeCount]bool
	unfinished   [engineCount]string
	revision     uint64
	snapshotNext uint64
}

// referenceModel is an independent replay of the control stream: the state that a correct reader has after each record.
type referenceModel struct {
	current stateView
	// lastClaims holds the offset of the last granted claim or renewal of each scope.
	lastClaims [scopeCount]uint64
	holders    [scopeCount]string
	// lastClosed holds the last closed order of each engine, and engineTokens the highest token used with it.
	lastClosed   [engineCount]string
	engineTokens [engineCount]uint64
	sections     map[string]string
	seenIDs      map[string]bool
	// views[o] is the state after the record at offset o; views[0] is the empty state.
	views     []stateView
	revisions map[uint64]bool
}

func newReferenceModel() *referenceModel {
	return &referenceModel{
		sections:  map[string]string{},
		seenIDs:   map[string]bool{},
		views:     make([]stateView, 1),
		revisions: map[uint64]bool{},
	}
}

// append applies the next record of the log, unless it is malformed or repeats an id, and stores the resulting view.
func (m *referenceModel) append(raw []byte) {
	offset := uint64(len(m.views))
	record := &messenger.Record{}
	if proto.Unmarshal(raw, record) == nil && record.GetId() != "" && !m.seenIDs[record.GetId()] {
		m.seenIDs[record.GetId()] = true
		m.apply(offset, record)
	}
	m.views = append(m.views, m.current)
}

// apply applies a record. All kinds but claims and configuration changes need the current token of their scope.
func (m *referenceModel) apply(offset uint64, record *messenger.Record) {
	scope := indexOf(scopeNames[:], record.GetScope())
	tokenCurrent := scope >= 0 && record.GetToken() != 0 &&
		m.current.tokens[scope] == record.GetToken() && !m.current.released[scope]
	switch record.GetKind() {
	case messenger.RecordKind_RECORD_KIND_LEASE_CLAIM:
		m.applyClaim(offset, record, tokenCurrent)
	case messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE:
		m.applyConfig(offset, record)
	case messenger.RecordKind_RECORD_KIND_LEASE_RELEASE:
		if tokenCurrent {
			m.current.released[scope] = true
		}
	case messenger.RecordKind_RECORD_KIND_ORDER_INTENT:
		if tokenCurrent {
			m.applyIntent(record)
		}
	case messenger.RecordKind_RECORD_KIND_ORDER_OUTCOME:
		if tokenCurrent {
			m.applyOutcome(record)
		}
	case messenger.RecordKind_RECORD_KIND_SNAPSHOT:
		if tokenCurrent {
			m.applySnapshot(offset, record)
		}
	}
}

// applyClaim grants a claim or renewal that names the last granted claim of its scope (compare-and-set).
func (m *referenceModel) applyClaim(offset uint64, record *messenger.Record, tokenCurrent bool) {
	claim := &messenger.LeaseClaim{}
	scope := indexOf(scopeNames[:], record.GetScope())
	if proto.Unmarshal(record.GetPayload(), claim) != nil || scope < 0 || claim.GetLastOffset() != m.lastClaims[scope] {
		return
	}
	if claim.GetRenewal() {
		if tokenCurrent && m.holders[scope] == claim.GetHolder() {
			m.lastClaims[scope] = offset
		}
		return
	}
	m.lastClaims[scope] = offset
	m.holders[scope] = claim.GetHolder()
	m.current.tokens[scope] = offset
	m.current.released[scope] = false
}

// applyIntent opens an order unless its engine has another one open, the order repeats the one closed last or its token
// is lower than one used before.
func (m *referenceModel) applyIntent(record *messenger.Record) {
	intent := &messenger.OrderIntent{}
	if proto.Unmarshal(record.GetPayload(), intent) != nil {
		return
	}
	e := indexOf(engineNames[:], intent.GetOrder().GetEngine())
	if e < 0 || m.current.unfinished[e] != "" || m.lastClosed[e] == intent.GetOrder().GetOrderId() ||
		record.GetToken() < m.engineTokens[e] {
		return
	}
	m.engineTokens[e] = record.GetToken()
	m.current.unfinished[e] = intent.GetOrder().GetOrderId()
}

// applyOutcome closes the open order of an engine.
func (m *referenceModel) applyOutcome(record *messenger.Record) {
	outcome := &messenger.OrderOutcome{}
	if proto.Unmarshal(record.GetPayload(), outcome) != nil {
		return
	}
	e := indexOf(engineNames[:], outcome.GetEngine())
	if e < 0 || m.current.unfinished[e] != outcome.GetOrderId() || scopeNames[engineScope(e)] != record.GetScope() {
		return
	}
	m.engineTokens[e] = max(m.engineTokens[e], record.GetToken())
	m.lastClosed[e] = outcome.GetOrderId()
	m.current.unfinished[e] = ""
}

// applySnapshot advances the offset up to which the log is covered by a snapshot.
func (m *referenceModel) applySnapshot(offset uint64, record *messenger.Record) {
	snapshot := &messenger.Snapshot{}
	if proto.Unmarshal(record.GetPayload(), snapshot) != nil {
		return
	}
	if next := snapshot.GetNextOffset(); next > m.current.snapshotNext && next <= offset {
		m.current.snapshotNext = next
	}
}

// applyConfig accepts a change that is based on the current revision, has the right digest and keeps the required
// section.
func (m *referenceModel) applyConfig(offset uint64, record *messenger.Record) {
	change := &messenger.ConfigChange{}
	if proto.Unmarshal(record.GetPayload(), change) != nil || change.GetBaseRevision() != m.current.revision {
		return
	}
	next := map[string]string{}
	for name, content := range m.sections {
		next[name] = content
	}
	for _, c := range change.GetChanged() {
		next[c.GetName()] = string(c.GetContent())
	}
	for _, name := range change.GetRemoved() {
		delete(next, name)
	}
	if digestOf(next) != change.GetDigest() || next[requiredSection] == "" {
		return
	}
	m.sections = next
	m.current.revision = offset
	m.revisions[offset] = true
}

// digestOf computes the documented digest independently of the code under test: SHA-256 over the SHA-256 sums of 256
// buckets. A section's bucket is the xxHash64 of its name modulo 256; a bucket's sum covers the names and contents of
// its sections with their lengths, in name order.
func digestOf(sections map[string]string) string {
	const bucketCount = 256
	names := make([]string, 0, len(sections))
	for name := range sections {
		names = append(names, name)
	}
	sort.Strings(names)
	var buckets [bucketCount][]byte
	for _, name := range names {
		bucket := xxhash.Sum64String(name) % bucketCount
		for _, part := range []string{name, sections[name]} {
			buckets[bucket] = binary.BigEndian.AppendUint64(buckets[bucket], uint64(len(part)))
			buckets[bucket] = append(buckets[bucket], part...)
		}
	}
	var sums []byte
	for _, content := range buckets {
		sum := sha256.Sum256(content)
		sums = append(sums, sum[:]...)
	}
	digest := sha256.Sum256(sums)
	return hex.EncodeToString(digest[:])
}

// indexOf returns the index of a name, or -1 when it is missing.
func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}
