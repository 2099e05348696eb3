package resumer

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Recipient is one process of an instance that is told where streams began.
type Recipient struct {
	Instance  identifier.InstanceID
	StartedMs int64
}

// journal holds the origins of a service's streams in the order in which this instance has learned them, for the instances that
// keep them too.
type journal struct {
	entries []journalEntry
	// first is the number of the first entry.
	first int
	// cursors holds how far each instance has been told.
	cursors map[identifier.InstanceID]cursor
	// uncertain holds the numbers of the entries whose version isn't certain. They are told also while there is one version,
	// once it is known that they are of another one.
	uncertain []int
}

type journalEntry struct {
	origin Origin
	// own is true if the stream began at this instance.
	own bool
}

// cursor is how far one process of an instance has been told.
type cursor struct {
	startedMs int64
	// next is the number of the entry that is told next.
	next int
	// all is true if the process is told of other instances' streams, too.
	all bool
}

// add appends an origin. The oldest one makes way if there are too many.
func (j *journal) add(o Origin, own bool) {
	if len(j.entries) >= maxJournal {
		j.entries = j.entries[1:]
		j.first++
	}
	if o.Process != (Process{}) || o.Version == identifier.UnknownVersion {
		j.uncertain = append(j.uncertain, j.first+len(j.entries))
	}
	j.entries = append(j.entries, journalEntry{origin: o, own: own})
}

// cursor returns how far a process has been told. One that starts anew, or is told of all streams from now on, begins with the
// oldest entry.
func (j *journal) cursor(to Recipient, all bool) cursor {
	c, known := j.cursors[to.Instance]
	if !known || c.startedMs != to.StartedMs || (all && !c.all) {
		c = cursor{startedMs: to.StartedMs, all: all}
	}
	c.next, c.all = max(c.next, j.first), all
	return c
}

func (j *journal) setCursor(to Recipient, c cursor) {
	if j.cursors == nil {
		j.cursors = map[identifier.InstanceID]cursor{}
	}
	j.cursors[to.Instance] = c
}

// skip moves a cursor to the next entry that is to be told, and reports whether there is one.
func (j *journal) skip(now time.Time, c *cursor) bool {
	for ; c.next < j.first+len(j.entries); c.next++ {
		if e := j.entries[c.next-j.first]; (e.own || c.all) && now.Before(e.origin.Until) {
			return true
		}
	}
	return false
}

// expire drops the oldest entries that are no longer resumed.
func (j *journal) expire(now time.Time) {
	expired := 0
	for expired < len(j.entries) && !now.Before(j.entries[expired].origin.Until) {
		expired++
	}
	j.entries = j.entries[expired:]
	j.first += expired
	if len(j.entries) == 0 {
		j.entries = nil
	}
	j.uncertain = slices.DeleteFunc(j.uncertain, func(number int) bool { return number < j.first })
}

// HasStreams reports whether this instance knows streams of a service that may still be resumed.
func (r *Resumer) HasStreams(name identifier.ServiceName) bool {
	return len(r.service(name).journal.entries) > 0
}

// hasUnknown reports whether a recipient is still to be told of a stream that began at an unknown version.
func (r *Resumer) hasUnknown(j *journal, c cursor) bool {
	kept := j.uncertain[:0]
	found := false
	for _, number := range j.uncertain {
		if number < j.first {
			continue
		}
		e := &j.entries[number-j.first]
		e.origin = r.settle(e.origin)
		if e.origin.Process == (Process{}) && e.origin.Version != identifier.UnknownVersion {
			continue
		}
		kept = append(kept, number)
		if e.origin.Version == identifier.UnknownVersion && number >= c.next && (e.own || c.all) {
			found = true
		}
	}
	j.uncertain = kept
	return found
}

// ReportDue reports whether there are streams of a service to tell a process of. all is true if that includes those that began at
// other instances. While the service surely has only one version, nobody is told but of streams of an unknown version.
func (r *Resumer) ReportDue(now time.Time, name identifier.ServiceName, to Recipient, all bool) bool {
	j := &r.service(name).journal
	c := j.cursor(to, all)
	pending := j.skip(now, &c)
	j.setCursor(to, c)
	if !pending {
		return false
	}
	if _, sole := r.Versions(now, name).Sole(); sole {
		return r.hasUnknown(j, c)
	}
	return true
}

// TakeReport returns the streams of a service that a process is told of now.
func (r *Resumer) TakeReport(now time.Time, name identifier.ServiceName, to Recipient, all bool) []Origin {
	if !r.ReportDue(now, name, to, all) {
		return nil
	}
	j := &r.service(name).journal
	c := j.cursor(to, all)
	var report []Origin
	for processes := 0; len(report) < maxReported && processes < maxReportedProcesses && j.skip(now, &c); c.next++ {
		o := r.settle(j.entries[c.next-j.first].origin)
		report = append(report, o)
		if o.Process != (Process{}) {
			processes++
		}
	}
	j.setCursor(to, c)
	return report
}
