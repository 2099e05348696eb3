package resumer

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

const (
	// listSlack is how much later than usual the list of upstreams may be known.
	listSlack = 200 * time.Millisecond
	// maxRegistration is how long after it has begun to accept connections an upstream is listed.
	maxRegistration = time.Second
	// maxAbsence is how long an upstream that has ended stays listed at most while the store is available.
	maxAbsence = 10 * time.Second
	// refusalRepeats is how often a refusal is reported, as datagrams get lost, refusalInterval the time between two reports.
	refusalRepeats  = 2
	refusalInterval = 100 * time.Millisecond
	// refusalSpread is the time over which the instances that an upstream has refused report that: the others hear the first
	// one and say nothing.
	refusalSpread = 50 * time.Millisecond
)

// Refusal says that an upstream, listed with an incarnation, has refused a connection at a time: its process has ended, or
// it can't be reached.
type Refusal struct {
	Upstream    identifier.UpstreamID
	Incarnation uint64
	At          time.Time
}

// doubt is the time in which an upstream has refused connections.
type doubt struct {
	incarnation uint64
	from        time.Time
	to          time.Time
	// reports is how often it is still to be reported, next when.
	reports int
	next    time.Time
}

// SetListInterval sets the usual time between two reads of the list of upstreams.
func (r *Resumer) SetListInterval(interval time.Duration) { r.listInterval = interval }

// SetReportPhase sets a number from 0 to 1 that differs between instances, so that they don't report the same at the same
// time.
func (r *Resumer) SetReportPhase(phase float64) { r.reportPhase = phase }

// Refused records that an upstream has refused a connection of this instance, and reports whether that is to be reported.
func (r *Resumer) Refused(refusal Refusal) bool {
	d, isNew := r.doubt(refusal)
	if isNew {
		delay := time.Duration(r.reportPhase * float64(refusalSpread))
		d.reports, d.next = refusalRepeats, refusal.At.Add(delay)
	}
	return isNew
}

// LearnRefusals records that upstreams have refused connections of another instance.
func (r *Resumer) LearnRefusals(refusals ...Refusal) {
	for _, refusal := range refusals {
		if d, _ := r.doubt(refusal); d.reports == refusalRepeats {
			d.reports = 0
		}
	}
}

// doubt adds a refusal to what is known of its upstream, and reports whether nothing was.
func (r *Resumer) doubt(refusal Refusal) (d *doubt, isNew bool) {
	d = r.doubts[refusal.Upstream]
	if d == nil || d.incarnation != refusal.Incarnation || r.isSettled(d) {
		d = &doubt{incarnation: refusal.Incarnation, from: refusal.At, to: refusal.At}
		r.doubts[refusal.Upstream] = d
		return d, true
	}
	if refusal.At.Before(d.from) {
		d.from = refusal.At
	}
	if refusal.At.After(d.to) {
		d.to = refusal.At
	}
	return d, false
}

// isSettled reports whether an upstream has been listed for so long since it refused connections that it hadn't ended.
func (r *Resumer) isSettled(d *doubt) bool { return r.listedAt.Sub(d.to) >= maxAbsence }

// TakeRefusals returns the refusals that are to be reported to the other instances now.
func (r *Resumer) TakeRefusals(now time.Time) []Refusal {
	var due []Refusal
	for id, d := range r.doubts {
		if d.reports > 0 && !now.Before(d.next) && len(due) < maxReported {
			due = append(due, Refusal{Upstream: id, Incarnation: d.incarnation, At: d.from})
			d.reports, d.next = d.reports-1, now.Add(refusalInterval)
		}
	}
	return due
}

// IsOverdue reports whether the list of upstreams should have been read again.
func (r *Resumer) IsOverdue(now time.Time) bool {
	return now.Sub(r.listedAt) > r.listInterval+listSlack
}

// Knows reports whether a process that has run at an upstream's address since a time is surely the one of its entry. An
// upstream that starts again under its id has another software version at times, and the list says so only once it has
// been read. While the list is overdue, the process must have run when it was read.
func (r *Resumer) Knows(now time.Time, e tracker.Entry, since time.Time) bool {
	if r.IsOverdue(now) && since.After(r.listedAt) {
		return false
	}
	return !r.isDoubted(e.Upstream, e.Incarnation, since) || r.listedAt.Sub(since) >= maxRegistration
}

// isDoubted reports whether an upstream, listed with an incarnation, had refused connections before a process ran at its address.
func (r *Resumer) isDoubted(id identifier.UpstreamID, incarnation uint64, since time.Time) bool {
	d := r.doubts[id]
	return d != nil && d.incarnation == incarnation && !since.Before(d.from) && !r.isSettled(d)
}

// forgetDoubts drops what is known of processes that are no longer listed.
func (r *Resumer) forgetDoubts(entries []tracker.Entry) {
	if len(r.doubts) == 0 {
		return
	}
	kept := map[identifier.UpstreamID]*doubt{}
	for _, e := range entries {
		if d := r.doubts[e.Upstream]; d != nil && d.incarnation == e.Incarnation {
			kept[e.Upstream] = d
		}
	}
	r.doubts = kept
}
