package isolator

import (
	"slices"
	"time"
)

// Report is what an instance sends to the others about crashes.
type Report struct {
	Crashes     []Crash
	Answers     []Answer
	Quarantines []Quarantine
}

// IsEmpty reports whether a report says nothing.
func (r Report) IsEmpty() bool {
	return len(r.Crashes) == 0 && len(r.Answers) == 0 && len(r.Quarantines) == 0
}

// Answer says that a request with a trait was answered.
type Answer struct {
	Trait Trait
	At    time.Time
}

// Quarantine says that requests with a trait are sent to no upstream.
type Quarantine struct {
	Trait Trait
	Since time.Time
	Until time.Time
	// Term is the length of the quarantine.
	Term time.Duration
}

const (
	// maxReported bounds each list of a report of changes.
	maxReported = 64
	// repeats is how often a report is sent, as datagrams get lost.
	repeats = 3
	// repeatInterval is the time between two of these.
	repeatInterval = 200 * time.Millisecond
)

// outbox holds what is to be reported to the other instances: what this instance itself has seen.
type outbox struct {
	processes []Process
	answers   []Answer
	// left is how often the contents are still to be sent, next when.
	left int
	next time.Time
}

func (o *outbox) add(now time.Time, p Process) {
	if !slices.Contains(o.processes, p) {
		o.processes = append(o.processes, p)
		o.processes = o.processes[max(0, len(o.processes)-maxReported):]
	}
	o.left, o.next = repeats, now
}

func (o *outbox) addAnswer(now time.Time, a Answer) {
	o.answers = slices.DeleteFunc(o.answers, func(other Answer) bool { return other.Trait == a.Trait })
	o.answers = append(o.answers, a)
	o.answers = o.answers[max(0, len(o.answers)-maxReported):]
	o.left, o.next = repeats, now
}

// TakeReport returns the report to the other instances that is due now; it is empty if none is.
func (i *Isolator) TakeReport(now time.Time) Report {
	o := &i.outbox
	if o.left == 0 || now.Before(o.next) {
		return Report{}
	}
	o.left--
	o.next = now.Add(repeatInterval)
	r := Report{Answers: slices.Clone(o.answers)}
	for _, c := range i.crashes {
		if slices.Contains(o.processes, c.Process) {
			r.Crashes = append(r.Crashes, c.clone())
		}
	}
	if o.left == 0 {
		o.processes, o.answers = nil, nil
	}
	return r
}

// Knowledge returns all that is known of crashes, for an instance that has started or was cut off.
func (i *Isolator) Knowledge(now time.Time) Report {
	var r Report
	for _, c := range i.crashes {
		r.Crashes = append(r.Crashes, c.clone())
	}
	for t, s := range i.suspects {
		if s.status(now, i.settings) == Quarantined && !s.restored {
			r.Quarantines = append(r.Quarantines, Quarantine{Trait: t, Since: s.heldSince, Until: s.heldUntil, Term: s.term})
		}
	}
	slices.SortFunc(r.Quarantines, func(a, b Quarantine) int { return b.Since.Compare(a.Since) })
	r.Quarantines = r.Quarantines[:min(len(r.Quarantines), maxReported)]
	return r
}

// Learn applies the report of another instance. Reports may be lost, late, repeated and out of order.
func (i *Isolator) Learn(now time.Time, r Report) {
	for _, a := range r.Answers {
		i.answers.add(a.At, a.Trait)
		if s := i.suspects[a.Trait]; s != nil && a.At.After(s.latest.Add(-i.settings.TrustPeriod)) {
			i.release(now, a.Trait)
		}
	}
	for _, reported := range r.Crashes {
		c := i.crash(reported.Process)
		switch {
		case c == nil && now.Sub(reported.At) > i.settings.CrashMemory:
			continue
		case c == nil:
			c = i.addCrash(reported.Process, reported.At)
		case reported.At.Before(c.At):
			c.At = reported.At
		}
		for _, a := range i.addTraits(now, c, reported.Traits) {
			// The instance that reported the crash does not know of these answers.
			i.outbox.addAnswer(now, a)
		}
		if i.broken[reported.Process] != nil {
			i.Ended(now, reported.Process)
		}
	}
	for _, q := range r.Quarantines {
		i.learnQuarantine(now, q)
	}
}

// Restore applies quarantines of which only the term is known, unless the traits are known already. Other instances that
// know when they began correct them; they are not reported.
func (i *Isolator) Restore(now time.Time, quarantines []Quarantine) {
	for _, q := range quarantines {
		if _, answered := i.answers.last(q.Trait); answered || i.suspects[q.Trait] != nil {
			continue
		}
		i.learnQuarantine(now, q)
		if s := i.suspects[q.Trait]; s != nil {
			s.restored = true
		}
	}
}

func (i *Isolator) learnQuarantine(now time.Time, q Quarantine) {
	if answered, known := i.answers.last(q.Trait); known && answered.After(q.Since) || !now.Before(q.Until) {
		return
	}
	s := i.suspect(q.Trait)
	before := s.status(now, i.settings)
	if s.restored || q.Until.After(s.heldUntil) {
		s.heldSince, s.heldUntil, s.term, s.restored = q.Since, q.Until, max(s.term, q.Term), false
	}
	if after := s.status(now, i.settings); after != before {
		i.changes = append(i.changes, s.describe(q.Trait, after))
	}
}
