// Package tracker keeps what an instance believes of the upstreams that the platform lists.
package tracker

import (
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Role is the phase of generation that an engine runs; plain services have none.
type Role int

// Roles of engines.
const (
	RoleNone Role = iota
	// RoleDecode engines make tokens, and read prompts themselves where no one else has.
	RoleDecode
	// RolePrefill engines read prompts for others.
	RolePrefill
)

// String names the role in log lines.
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

// Entry is an upstream as it was last listed.
type Entry struct {
	Upstream   identifier.UpstreamID
	Service    identifier.ServiceName
	Address    string
	DataCentre identifier.DataCentre
	Slots      int
	Role       Role
	Leaving    bool
	// Incarnation rises with each start of an upstream under the same id; zero when not told.
	Incarnation uint64
}

// RelistGracePeriod is the time in which an upstream lists itself again after the store was away.
const RelistGracePeriod = 2 * time.Second

type member struct {
	entry  Entry
	offset uint64
	// missingSince is when the entry was dropped shortly after the store was away; zero otherwise.
	missingSince time.Time
}

// Tracker folds the records of the upstreams' list. That an upstream leaves is kept until it starts anew. It is not safe
// for concurrent use.
type Tracker struct {
	members map[identifier.UpstreamID]*member
	// removed holds the last entry of upstreams that are gone.
	removed map[identifier.UpstreamID]Entry
	// lastUnavailable is the last time at which the store was known to be away.
	lastUnavailable time.Time
	unavailable     bool
}

// NewTracker returns a tracker that knows no upstream.
func NewTracker() *Tracker {
	return &Tracker{members: map[identifier.UpstreamID]*member{}, removed: map[identifier.UpstreamID]Entry{}}
}

// StoreUnavailable notes a failed read of the list.
func (t *Tracker) StoreUnavailable(now time.Time) {
	t.unavailable = true
	t.lastUnavailable = now
}

// StoreAvailable notes a successful read of the list.
func (t *Tracker) StoreAvailable(now time.Time) {
	if t.unavailable {
		t.unavailable = false
		t.lastUnavailable = now
	}
}

// Update takes an upstream's record. It returns true when the belief changed.
func (t *Tracker) Update(e Entry, offset uint64) bool {
	m := t.members[e.Upstream]
	if m == nil {
		if t.isStale(e) {
			return false
		}
		delete(t.removed, e.Upstream)
		t.members[e.Upstream] = &member{entry: e, offset: offset}
		return true
	}
	if offset < m.offset || e.Incarnation < m.entry.Incarnation {
		return false
	}
	if e.Incarnation == m.entry.Incarnation {
		e.Leaving = e.Leaving || m.entry.Leaving
	}
	changed := m.entry != e || !m.missingSince.IsZero()
	m.entry, m.offset, m.missingSince = e, offset, time.Time{}
	return changed
}

// isStale tells whether a record is a late one of an upstream that has left for good.
func (t *Tracker) isStale(e Entry) bool {
	last, known := t.removed[e.Upstream]
	if !known {
		return false
	}
	return e.Incarnation < last.Incarnation || (last.Leaving && e.Incarnation != 0 && e.Incarnation == last.Incarnation)
}

// Delete takes the end of an upstream's record. One that lapsed around the store's return has ReturnTime to come back.
func (t *Tracker) Delete(now time.Time, id identifier.UpstreamID, offset uint64) bool {
	m := t.members[id]
	if m == nil || offset < m.offset {
		return false
	}
	m.offset = offset
	if !m.entry.Leaving && t.inGracePeriod(now) {
		m.missingSince = now
		return false
	}
	t.remove(id, m)
	return true
}

// Retain drops the upstreams that a whole reading of the list does not name.
func (t *Tracker) Retain(now time.Time, listed map[identifier.UpstreamID]bool) bool {
	changed := false
	for id, m := range t.members {
		if !listed[id] && t.Delete(now, id, m.offset) {
			changed = true
		}
	}
	return changed
}

// Expire removes the upstreams whose time to come back is over.
func (t *Tracker) Expire(now time.Time) bool {
	changed := false
	for id, m := range t.members {
		if !m.missingSince.IsZero() && !t.inGracePeriod(now) {
			t.remove(id, m)
			changed = true
		}
	}
	return changed
}

// inGracePeriod tells whether missing records may still come back: the store is away, or was until a moment ago.
func (t *Tracker) inGracePeriod(now time.Time) bool {
	return t.unavailable || now.Sub(t.lastUnavailable) < RelistGracePeriod
}

func (t *Tracker) remove(id identifier.UpstreamID, m *member) {
	t.removed[id] = m.entry
	delete(t.members, id)
}

// Entries returns the listed upstreams in the order of their ids.
func (t *Tracker) Entries() []Entry {
	entries := make([]Entry, 0, len(t.members))
	for _, m := range t.members {
		entries = append(entries, m.entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return entries
}
