package resumer

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// registrationTime is how long after it has begun to accept connections an upstream is usually listed.
const registrationTime = 100 * time.Millisecond

// Process is a process at an upstream's address that was taken for the one of an entry of the list. The list may not have shown
// yet that it is another one.
type Process struct {
	Upstream    identifier.UpstreamID
	Incarnation uint64
	Version     identifier.SoftwareVersion
	// Since is a time from which on the process is known to have run; the zero time if it is surely the entry's.
	Since time.Time
}

// NewProcess returns the process that has run at the address of an entry since a time.
func NewProcess(e tracker.Entry, since time.Time) Process {
	return Process{Upstream: e.Upstream, Incarnation: e.Incarnation, Version: e.Version, Since: since}
}

// Confirmation is whether a process is the one of its entry.
type Confirmation int

const (
	// Pending means that the list that is known can't tell.
	Pending Confirmation = iota + 1
	// Confirmed means that it is.
	Confirmed
	// Refuted means that it is another one, or that the list will never tell.
	Refuted
)

// listing names an entry of the list, without what may change in the life of a process.
type listing struct {
	upstream    identifier.UpstreamID
	incarnation uint64
	version     identifier.SoftwareVersion
}

// setListings records which entries the list has, and up to when those were known that it no longer has.
func (r *Resumer) setListings(entries []tracker.Entry) {
	r.lists++
	for _, e := range entries {
		l := listing{e.Upstream, e.Incarnation, e.Version}
		r.listings[l] = r.lists
		delete(r.unlisted, l)
	}
	for l, list := range r.listings {
		if list != r.lists {
			delete(r.listings, l)
			r.unlisted[l] = r.listedAt
		}
	}
}

// Confirm reports whether a process is the one of its entry: the list was read after the process would have replaced the entry,
// and still had it.
func (r *Resumer) Confirm(p Process) Confirmation {
	if p.Since.IsZero() {
		return Confirmed
	}
	l := listing{p.Upstream, p.Incarnation, p.Version}
	mayBeListed, seenAt := true, r.listedAt
	if _, isListed := r.listings[l]; !isListed {
		at, wasListed := r.unlisted[l]
		// An entry that was never listed here may be newer than this list.
		mayBeListed = !wasListed && r.listedAt.Before(r.ConfirmableAt(p))
		seenAt = at
	}
	switch {
	case !seenAt.Before(r.ConfirmableAt(p)):
		return Confirmed
	case mayBeListed:
		return Pending
	default:
		return Refuted
	}
}

// ConfirmableAt returns from when on a list tells whether a process is the one of its entry.
func (r *Resumer) ConfirmableAt(p Process) time.Time {
	if r.isDoubted(p.Upstream, p.Incarnation, p.Since) {
		return p.Since.Add(maxRegistration)
	}
	return p.Since.Add(registrationTime)
}

// settle returns an origin with what the list says of the process at which the stream began.
func (r *Resumer) settle(o Origin) Origin {
	switch r.Confirm(o.Process) {
	case Pending:
		return o
	case Refuted:
		o.Version = identifier.UnknownVersion
	}
	o.Process = Process{}
	return o
}
