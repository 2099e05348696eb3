// Package tracker keeps an instance's list of upstreams, built from the records that the platform's store publishes. It
// tolerates late records and gaps after an outage of the store.
package tracker

import (
	"math"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Role is the phase of generation that an engine runs; upstreams of plain services have none.
type Role int

// Roles of engines.
const (
	RoleNone Role = iota
	// RoleDecode engines generate tokens. They prefill prompts themselves if no prefill engine has done so.
	RoleDecode
	// RolePrefill engines prefill prompts for decode engines.
	RolePrefill
)

// String returns the name of the role as written in logs.
func (r Role) String() string {
	switch r {
	case RoleDecode:
		return "decode"
	case RolePrefill:
		return "prefill"
	default:
		return "none"
	}
}

// Entry is the latest accepted record of an upstream.
type Entry struct {
	Upstream   identifier.UpstreamID
	Service    identifier.ServiceName
	Address    string
	DataCentre identifier.DataCentre
	Slots      int
	Role       Role
	Leaving    bool
	// Version is that of the upstream's software; empty when unknown.
	Version identifier.SoftwareVersion
	// Incarnation increases with each start of an upstream under the same id; zero when unknown.
	Incarnation uint64
	// Sequence counts the reports of this incarnation; zero when unknown. Lists leave it out.
	Sequence uint64
	// Spot is true for an upstream that the platform may take away at short notice.
	Spot bool
}

// Changes reports whether a record that follows another one of the same upstream says anything new.
func (e Entry) Changes(previous Entry) bool {
	e.Sequence, previous.Sequence = 0, 0
	merged, current := e.after(previous)
	return current && merged != previous
}

// after returns what is known after a record that follows another one of the same upstream: an incarnation that leaves
// keeps leaving. It returns false if the record is of an earlier incarnation.
func (e Entry) after(previous Entry) (merged Entry, current bool) {
	if e.Incarnation == previous.Incarnation {
		e.Leaving = e.Leaving || previous.Leaving
	}
	return e, e.Incarnation >= previous.Incarnation
}

const (
	// RelistGracePeriod is the time that upstreams have to register again after an outage of the store.
	RelistGracePeriod = 2 * time.Second
	// maxReturnDelay bounds how long after the start of the last failed read the store is taken to have returned. Reads
	// that get no response, and the waits between them, last longer.
	maxReturnDelay = 600 * time.Millisecond
	// maxMissing bounds how long a deleted upstream stays listed. Requests must not reach one that is gone later than the
	// shortest drain limit after the deletion was read; the rest of that limit is for Expire and the way to the upstream.
	maxMissing = 1600 * time.Millisecond
)

type member struct {
	entry Entry
	// offset is the position of the last accepted record in the store.
	offset uint64
	// sequence is the highest one of the entry's incarnation.
	sequence uint64
	// missingSince is when the record was deleted during the grace period after an outage; zero if it wasn't.
	missingSince time.Time
}

// removal is what is known of a removed upstream.
type removal struct {
	// entry is its last entry, sequence the highest one of its incarnation.
	entry    Entry
	sequence uint64
	// lost is true if the store has returned from an older copy since, which may not contain the removal.
	lost bool
	// copied is true if that copy still lists the upstream.
	copied bool
}

// isExpired reports whether a deleted upstream has had its time to register again, which ends at graceEnd at the latest.
func (m *member) isExpired(now, graceEnd time.Time) bool {
	return !m.missingSince.IsZero() && (!now.Before(graceEnd) || now.Sub(m.missingSince) >= maxMissing)
}

// Tracker applies the records of the upstream list. Leaving is sticky: once set, it is kept until a record of a newer
// incarnation. It is not safe for concurrent use.
type Tracker struct {
	members map[identifier.UpstreamID]*member
	// removed holds the removed upstreams, so that late records can be recognised.
	removed map[identifier.UpstreamID]*removal
	// copyEnd is an offset from which on no record is of the older copy from which the store has returned; zero if it hasn't.
	copyEnd uint64
	// noticed holds the listed upstreams that have said in a response that they leave, here or at another instance.
	noticed map[identifier.UpstreamID]bool
	// lastUnavailable is the latest time at which the store is known to have been unavailable, returnedAt when it is taken
	// to have returned from its latest outage; zero if there was none.
	lastUnavailable time.Time
	returnedAt      time.Time
}

// NewTracker returns a tracker with an empty list.
func NewTracker() *Tracker {
	return &Tracker{
		members: map[identifier.UpstreamID]*member{}, removed: map[identifier.UpstreamID]*removal{},
		noticed: map[identifier.UpstreamID]bool{},
	}
}

// StoreUnavailable records that the store was unavailable at a time.
func (t *Tracker) StoreUnavailable(at time.Time) {
	if at.After(t.lastUnavailable) {
		t.lastUnavailable = at
	}
}

// StoreAvailable records that a read at a time is the first one to succeed after an outage of the store, which is longer
// than single reads take that fail.
func (t *Tracker) StoreAvailable(at time.Time) {
	if limit := t.lastUnavailable.Add(maxReturnDelay); limit.Before(at) {
		at = limit
	}
	t.OutageReported(at)
}

// OutageAge returns the time since the store has returned from its latest outage, zero if there was none.
func (t *Tracker) OutageAge(now time.Time) time.Duration {
	if t.returnedAt.IsZero() {
		return 0
	}
	return now.Sub(t.returnedAt)
}

// OutageReported records that the store has returned from an outage at a time, as another instance has found.
func (t *Tracker) OutageReported(returnedAt time.Time) {
	if returnedAt.After(t.returnedAt) {
		t.returnedAt = returnedAt
	}
}

// StoreReturned records that the store has returned from an older copy: offsets start anew, and upstreams that the copy
// lacks have RelistGracePeriod to register again. Those that were removed before stay removed, though the copy lists them,
// until they write again.
func (t *Tracker) StoreReturned(now time.Time) {
	t.copyEnd = math.MaxUint64
	for _, r := range t.removed {
		r.lost, r.copied = true, false
	}
	for _, m := range t.members {
		m.offset = 0
	}
	t.OutageReported(now)
}

// CopyEndsBefore records that the older copy from which the store has returned ends before an offset.
func (t *Tracker) CopyEndsBefore(offset uint64) { t.copyEnd = min(t.copyEnd, offset) }

// Update applies an upstream's record at an offset and reports whether the list changed. Records with a lower offset or
// of an earlier incarnation are ignored, and so are late reports.
func (t *Tracker) Update(e Entry, offset uint64) bool {
	sequence := e.Sequence
	m := t.members[e.Upstream]
	if m == nil {
		if t.IsStale(e, offset) {
			r := t.removed[e.Upstream]
			r.copied = r.lost && offset < t.copyEnd
			return false
		}
		e.Sequence = 0
		delete(t.removed, e.Upstream)
		t.members[e.Upstream] = &member{entry: e, offset: offset, sequence: sequence}
		return true
	}
	isLate := e.Incarnation == m.entry.Incarnation && e.Incarnation != 0 && sequence != 0 && sequence < m.sequence
	e.Sequence = 0
	e, current := e.after(m.entry)
	if offset < m.offset || !current || isLate {
		return false
	}
	if e.Incarnation > m.entry.Incarnation {
		delete(t.noticed, e.Upstream)
		m.sequence = 0
	}
	m.sequence = max(m.sequence, sequence)
	changed := m.entry != e || !m.missingSince.IsZero()
	m.entry, m.offset, m.missingSince = e, offset, time.Time{}
	return changed
}

// Heard records that an incarnation of an upstream has sent a report that says nothing new.
func (t *Tracker) Heard(e Entry) {
	if m := t.members[e.Upstream]; m != nil && m.entry.Incarnation == e.Incarnation {
		m.sequence = max(m.sequence, e.Sequence)
	}
}

// LastBefore returns the sequence of the last report of an upstream before the deletion of its record at an offset, zero if it is
// unknown or the upstream has registered again since. sequence is what another instance has read; zero if unknown.
func (t *Tracker) LastBefore(id identifier.UpstreamID, offset, sequence uint64) uint64 {
	m, r := t.members[id], t.removed[id]
	switch {
	case m != nil && offset >= m.offset:
		m.sequence = max(m.sequence, sequence)
		return m.sequence
	case m == nil && r != nil:
		r.sequence = max(r.sequence, sequence)
		return r.sequence
	default:
		return 0
	}
}

// Sequence returns the highest sequence of an upstream's reports, and false if the upstream is neither listed nor removed.
func (t *Tracker) Sequence(id identifier.UpstreamID) (sequence uint64, known bool) {
	if m := t.members[id]; m != nil {
		return m.sequence, true
	}
	if r := t.removed[id]; r != nil {
		return r.sequence, true
	}
	return 0, false
}

// MarkLeaving records that an incarnation of an upstream has said itself that it leaves. It reports whether that is new.
func (t *Tracker) MarkLeaving(id identifier.UpstreamID, incarnation uint64) bool {
	m := t.members[id]
	if m == nil || m.entry.Incarnation != incarnation || m.entry.Leaving {
		return false
	}
	m.entry.Leaving, t.noticed[id] = true, true
	return true
}

// MarkRemoved records that another instance knows the removal of an incarnation of an upstream, which an older copy of the
// store may not contain, or behind which a late report was written, and the highest sequence before the removal; zero if
// unknown. It reports whether that is new; an upstream that has written since is not removed.
func (t *Tracker) MarkRemoved(id identifier.UpstreamID, incarnation, sequence uint64) bool {
	m := t.members[id]
	if m == nil || m.entry.Incarnation != incarnation {
		return false
	}
	isCopied, isLate := m.offset < t.copyEnd, m.sequence != 0 && m.sequence <= sequence
	if !isCopied && !isLate {
		return false
	}
	t.remove(id, m)
	r := t.removed[id]
	r.sequence = max(r.sequence, sequence)
	if isCopied {
		r.lost, r.copied = true, true
	}
	return true
}

// NoticedLeaving returns the listed upstreams that have said themselves that they leave.
func (t *Tracker) NoticedLeaving() []Entry {
	noticed := make([]Entry, 0, len(t.noticed))
	for id := range t.noticed {
		noticed = append(noticed, t.members[id].entry)
	}
	return noticed
}

// CopiedRemoved returns the removed upstreams that an older copy of the store lists.
func (t *Tracker) CopiedRemoved() []Entry {
	if t.copyEnd == 0 {
		return nil
	}
	var copied []Entry
	for _, r := range t.removed {
		if r.copied {
			copied = append(copied, r.entry)
		}
	}
	return copied
}

// IsStale reports whether a record is a late one of a removed upstream: of an earlier incarnation, of the same one after
// it left or with a report that was sent before the removal, or of an older copy of the store that may not contain the
// removal.
func (t *Tracker) IsStale(e Entry, offset uint64) bool {
	r, removed := t.removed[e.Upstream]
	switch {
	case !removed:
		return false
	case e.Incarnation != r.entry.Incarnation:
		return e.Incarnation < r.entry.Incarnation
	default:
		return r.entry.Leaving && e.Incarnation != 0 || r.isLate(e) || r.lost && offset < t.copyEnd
	}
}

// isLate reports whether a record of the removed incarnation is a report from before the removal.
func (r *removal) isLate(e Entry) bool {
	return e.Incarnation != 0 && e.Sequence != 0 && e.Sequence <= r.sequence
}

// Delete applies the deletion of an upstream's record and reports whether the list changed. For RelistGracePeriod after
// an outage of the store, the upstream stays listed until Expire, unless it was leaving.
func (t *Tracker) Delete(now time.Time, id identifier.UpstreamID, offset uint64) bool {
	m := t.members[id]
	if m == nil {
		t.forgetCopy(id)
		return false
	}
	if offset < m.offset {
		return false
	}
	m.offset = offset
	if !m.entry.Leaving && now.Before(t.graceEnd()) {
		if m.missingSince.IsZero() {
			m.missingSince = now
		}
		return false
	}
	t.remove(id, m)
	return true
}

// Retain deletes the upstreams that a full read of the records before an offset does not contain, and those of an earlier
// era of the store. It reports whether the list changed.
func (t *Tracker) Retain(now time.Time, listed map[identifier.UpstreamID]bool, before uint64) bool {
	t.CopyEndsBefore(before)
	for id := range t.removed {
		if !listed[id] {
			t.forgetCopy(id)
		}
	}
	changed := false
	for id, m := range t.members {
		if !listed[id] && (m.offset < before || m.offset == 0) && t.Delete(now, id, m.offset) {
			changed = true
		}
	}
	return changed
}

// Expire removes the upstreams that are still missing after the grace period. It reports whether the list changed.
func (t *Tracker) Expire(now time.Time) bool {
	changed := false
	for id, m := range t.members {
		if m.isExpired(now, t.graceEnd()) {
			t.remove(id, m)
			changed = true
		}
	}
	return changed
}

// graceEnd returns when the upstreams that were missing after the latest outage have had the time to register again.
func (t *Tracker) graceEnd() time.Time { return t.returnedAt.Add(RelistGracePeriod) }

func (t *Tracker) remove(id identifier.UpstreamID, m *member) {
	// Until the copy has been read, a removal is one that was read before.
	t.removed[id] = &removal{entry: m.entry, sequence: m.sequence, lost: t.copyEnd == math.MaxUint64}
	delete(t.members, id)
	delete(t.noticed, id)
}

// forgetCopy records that the store doesn't list a removed upstream.
func (t *Tracker) forgetCopy(id identifier.UpstreamID) {
	if r, removed := t.removed[id]; removed {
		r.copied = false
	}
}

// Entries returns the listed upstreams, sorted by id.
func (t *Tracker) Entries() []Entry {
	entries := make([]Entry, 0, len(t.members))
	for _, m := range t.members {
		entries = append(entries, m.entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return entries
}
