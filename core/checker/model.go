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

// Sizes of the world.
const (
	scopeCount  = 3
	engineCount = 4
)

var (
	scopeNames  = [scopeCount]string{"snapshots", "model/a", "model/b"}
	engineNames = [engineCount]string{"engine-a0", "engine-a1", "engine-b0", "engine-b1"}
)

// engineScope returns the scope that orders an engine; engine 0 and 2 check tokens, 1 and 3 ignore them.
func engineScope(engine int) int { return 1 + engine/2 }

func checksTokens(engine int) bool { return engine%2 == 0 }

// view is the part of a folded state that the check compares.
type view struct {
	tokens       [scopeCount]uint64
	released     [scopeCount]bool
	unfinished   [engineCount]string
	revision     uint64
	snapshotNext uint64
}

// model is the truth about the control stream: what an ideal reader holds after each record.
type model struct {
	now      view
	latest   [scopeCount]uint64
	holders  [scopeCount]string
	closed   [engineCount]string
	engines  [engineCount]uint64
	sections map[string]string
	seen     map[string]bool
	// views[o] is the view after the record at offset o; views[0] is the empty one.
	views     []view
	revisions map[uint64]bool
}

func newModel() *model {
	return &model{sections: map[string]string{}, seen: map[string]bool{}, views: make([]view, 1), revisions: map[uint64]bool{}}
}

// append takes the next record of the log.
func (m *model) append(raw []byte) {
	offset := uint64(len(m.views))
	record := &messenger.Record{}
	if proto.Unmarshal(raw, record) == nil && record.GetId() != "" && !m.seen[record.GetId()] {
		m.seen[record.GetId()] = true
		m.take(offset, record)
	}
	m.views = append(m.views, m.now)
}

func (m *model) take(offset uint64, record *messenger.Record) {
	scope := indexOf(scopeNames[:], record.GetScope())
	current := scope >= 0 && record.GetToken() != 0 && m.now.tokens[scope] == record.GetToken() && !m.now.released[scope]
	switch record.GetKind() {
	case messenger.RecordKind_RECORD_KIND_LEASE_CLAIM:
		m.takeClaim(offset, record, current)
	case messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE:
		m.takeConfig(offset, record)
	case messenger.RecordKind_RECORD_KIND_LEASE_RELEASE:
		if current {
			m.now.released[scope] = true
		}
	case messenger.RecordKind_RECORD_KIND_ORDER_INTENT:
		if current {
			m.takeIntent(record)
		}
	case messenger.RecordKind_RECORD_KIND_ORDER_OUTCOME:
		if current {
			m.takeOutcome(record)
		}
	case messenger.RecordKind_RECORD_KIND_SNAPSHOT:
		if current {
			m.takeSnapshot(offset, record)
		}
	}
}

func (m *model) takeClaim(offset uint64, record *messenger.Record, current bool) {
	claim := &messenger.LeaseClaim{}
	scope := indexOf(scopeNames[:], record.GetScope())
	if proto.Unmarshal(record.GetPayload(), claim) != nil || scope < 0 || claim.GetLastOffset() != m.latest[scope] {
		return
	}
	if claim.GetRenewal() {
		if current && m.holders[scope] == claim.GetHolder() {
			m.latest[scope] = offset
		}
		return
	}
	m.latest[scope] = offset
	m.holders[scope] = claim.GetHolder()
	m.now.tokens[scope] = offset
	m.now.released[scope] = false
}

func (m *model) takeIntent(record *messenger.Record) {
	intent := &messenger.OrderIntent{}
	if proto.Unmarshal(record.GetPayload(), intent) != nil {
		return
	}
	e := indexOf(engineNames[:], intent.GetOrder().GetEngine())
	if e < 0 || m.now.unfinished[e] != "" || m.closed[e] == intent.GetOrder().GetOrderId() || record.GetToken() < m.engines[e] {
		return
	}
	m.engines[e] = record.GetToken()
	m.now.unfinished[e] = intent.GetOrder().GetOrderId()
}

func (m *model) takeOutcome(record *messenger.Record) {
	outcome := &messenger.OrderOutcome{}
	if proto.Unmarshal(record.GetPayload(), outcome) != nil {
		return
	}
	e := indexOf(engineNames[:], outcome.GetEngine())
	if e < 0 || m.now.unfinished[e] != outcome.GetOrderId() || scopeNames[engineScope(e)] != record.GetScope() {
		return
	}
	m.engines[e] = max(m.engines[e], record.GetToken())
	m.closed[e] = outcome.GetOrderId()
	m.now.unfinished[e] = ""
}

func (m *model) takeSnapshot(offset uint64, record *messenger.Record) {
	snapshot := &messenger.Snapshot{}
	if proto.Unmarshal(record.GetPayload(), snapshot) != nil {
		return
	}
	if next := snapshot.GetNextOffset(); next > m.now.snapshotNext && next <= offset {
		m.now.snapshotNext = next
	}
}

func (m *model) takeConfig(offset uint64, record *messenger.Record) {
	change := &messenger.ConfigChange{}
	if proto.Unmarshal(record.GetPayload(), change) != nil || change.GetBaseRevision() != m.now.revision {
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
	m.now.revision = offset
	m.revisions[offset] = true
}

// digestOf computes the documented digest on its own: SHA-256 over the SHA-256 of each of 256 buckets, a section's bucket
// being the xxHash64 of its name, and in each over name and content with their lengths, in name order.
func digestOf(sections map[string]string) string {
	const bucketCount = 256
	names := make([]string, 0, len(sections))
	for name := range sections {
		names = append(names, name)
	}
	sort.Strings(names)
	var buckets [bucketCount][]byte
	for _, name := range names {
		number := xxhash.Sum64String(name) % bucketCount
		for _, part := range []string{name, sections[name]} {
			buckets[number] = binary.BigEndian.AppendUint64(buckets[number], uint64(len(part)))
			buckets[number] = append(buckets[number], part...)
		}
	}
	var sums []byte
	for _, text := range buckets {
		sum := sha256.Sum256(text)
		sums = append(sums, sum[:]...)
	}
	whole := sha256.Sum256(sums)
	return hex.EncodeToString(whole[:])
}

func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}
