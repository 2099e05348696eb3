package isolator

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
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
	// repeats is how often a crash or an answer is reported, as datagrams get lost.
	repeats = 3
	// repeatInterval is the time between two of these.
	repeatInterval = 200 * time.Millisecond
	// answerSpread is the time over which instances that have answered the same trait report that: the others hear the
	// first one and say nothing.
	answerSpread = 300 * time.Millisecond
	// maxReplies is how often a crash is replied to, replyInterval the time between two replies.
	maxReplies    = 2
	replyInterval = 250 * time.Millisecond
	// maxPartWeight bounds a part of a report, which must fit into a datagram. The weight of a trait is 1.
	maxPartWeight    = 64
	crashWeight      = 6
	quarantineWeight = 2
)

// notice is a crash or an answer that is to be reported.
type notice[T any] struct {
	about T
	// left is how often it is still to be sent, next when.
	left int
	next time.Time
}

// outbox holds what is to be reported to the other instances: what this instance itself has seen.
type outbox struct {
	crashes []notice[Process]
	answers []notice[Answer]
	// replies holds the answers that speak for traits of which accuser has reported crashes.
	replies   []Answer
	accuser   identifier.InstanceID
	repliedAt time.Time
}

// add has a crash reported. One that is being reported gets no further repeats: what has been added to it is sent with the
// next one.
func (o *outbox) add(now time.Time, p Process) {
	if slices.ContainsFunc(o.crashes, func(n notice[Process]) bool { return n.about == p }) {
		return
	}
	o.crashes = append(o.crashes, notice[Process]{about: p, left: repeats, next: now})
	o.crashes = o.crashes[max(0, len(o.crashes)-maxReported):]
}

// reports reports whether a crash is still to be reported.
func (o *outbox) reports(p Process) bool {
	return slices.ContainsFunc(o.crashes, func(n notice[Process]) bool { return n.about == p && n.left > 0 })
}

// forget drops a crash that is no longer known.
func (o *outbox) forget(p Process) {
	o.crashes = slices.DeleteFunc(o.crashes, func(n notice[Process]) bool { return n.about == p })
}

// addAnswer has an answer reported after a delay, unless another instance reports it before.
func (o *outbox) addAnswer(now time.Time, delay time.Duration, a Answer) {
	o.dropAnswer(a.Trait)
	o.answers = append(o.answers, notice[Answer]{about: a, left: repeats, next: now.Add(delay)})
	o.answers = o.answers[max(0, len(o.answers)-maxReported):]
}

func (o *outbox) dropAnswer(t Trait) {
	o.answers = slices.DeleteFunc(o.answers, func(n notice[Answer]) bool { return n.about.Trait == t })
}

// take returns what is due. Notices that have been sent often enough are kept, so that a crash is not reported anew.
func take[T any](now time.Time, notices []notice[T]) []T {
	var due []T
	for k := range notices {
		n := &notices[k]
		if n.left > 0 && !now.Before(n.next) {
			due = append(due, n.about)
			n.left, n.next = n.left-1, now.Add(repeatInterval)
		}
	}
	return due
}

// TakeReport returns the report to the other instances that is due now; it is empty if none is.
func (i *Isolator) TakeReport(now time.Time) Report {
	r := Report{Answers: take(now, i.outbox.answers)}
	i.outbox.answers = slices.DeleteFunc(i.outbox.answers, func(n notice[Answer]) bool { return n.left == 0 })
	due := take(now, i.outbox.crashes)
	for _, c := range i.crashes {
		if slices.Contains(due, c.Process) {
			accused, answers := i.split(c)
			r.Crashes = append(r.Crashes, Crash{Process: c.Process, At: c.At, Traits: accused})
			r.Answers = addAnswers(r.Answers, append(answers, c.cleared...))
			c.cleared = nil
		}
	}
	return r
}

// split returns the traits that a crash still accuses, and the answers that speak for the others.
func (i *Isolator) split(c *Crash) (accused []BrokenTrait, answers []Answer) {
	for _, b := range c.Traits {
		if answer, trusted := i.trusted(b.Trait, c); trusted {
			answers = append(answers, answer)
			continue
		}
		accused = append(accused, b)
	}
	return accused, answers
}

// addAnswers adds the answers that a list lacks, as far as there is room.
func addAnswers(list, answers []Answer) []Answer {
	for _, a := range answers {
		known := slices.ContainsFunc(list, func(other Answer) bool { return other.Trait == a.Trait })
		if !known && len(list) < maxReported {
			list = append(list, a)
		}
	}
	return list
}

// TakeReply returns the answers that the sender of a crash report lacks, and that sender. It passes them on with its next
// reports.
func (i *Isolator) TakeReply(now time.Time) (Report, identifier.InstanceID) {
	o := &i.outbox
	if len(o.replies) == 0 || now.Sub(o.repliedAt) < replyInterval {
		return Report{}, ""
	}
	r := Report{Answers: o.replies}
	o.replies, o.repliedAt = nil, now
	return r, o.accuser
}

// Parts splits a report into parts that fit into a datagram each.
func (r Report) Parts() []Report {
	var parts []Report
	var part Report
	room := maxPartWeight
	next := func() {
		parts = append(parts, part)
		part, room = Report{}, maxPartWeight
	}
	for _, q := range r.Quarantines {
		if room < quarantineWeight {
			next()
		}
		part.Quarantines = append(part.Quarantines, q)
		room -= quarantineWeight
	}
	for _, a := range r.Answers {
		if room == 0 {
			next()
		}
		part.Answers = append(part.Answers, a)
		room--
	}
	for _, c := range r.Crashes {
		for first := true; first || len(c.Traits) > 0; first = false {
			if room <= crashWeight {
				next()
			}
			n := min(len(c.Traits), room-crashWeight)
			part.Crashes = append(part.Crashes, Crash{Process: c.Process, At: c.At, Traits: c.Traits[:n]})
			c.Traits = c.Traits[n:]
			room -= crashWeight + n
		}
	}
	if !part.IsEmpty() {
		next()
	}
	return parts
}

// Digest returns a hash of what is known: two instances with the same digest have nothing to tell each other.
func (i *Isolator) Digest(now time.Time) uint64 {
	var sum uint64
	add := func(text string) {
		// The order in which instances have learned of things doesn't matter.
		sum += xxhash.Sum64String(text)
	}
	for _, c := range i.crashes {
		add(fmt.Sprintf("%s/%d", c.Process.Upstream, c.Process.Incarnation))
	}
	for _, q := range i.quarantines(now) {
		add(fmt.Sprintf("%d/%d", q.Trait, q.Term))
	}
	return sum
}

// quarantines returns the quarantines of which the beginning is known, the latest ones first.
func (i *Isolator) quarantines(now time.Time) []Quarantine {
	var held []Quarantine
	for t, s := range i.suspects {
		if s.status(now, i.settings) == Quarantined && !s.restored {
			held = append(held, Quarantine{Trait: t, Since: s.heldSince, Until: s.heldUntil, Term: s.term})
		}
	}
	slices.SortFunc(held, func(a, b Quarantine) int { return b.Since.Compare(a.Since) })
	return held[:min(len(held), maxReported)]
}

// Knowledge returns all that is known of crashes, for an instance that has started or was cut off: quarantines, and crashes
// with the latest ones first.
func (i *Isolator) Knowledge(now time.Time) Report {
	r := Report{Quarantines: i.quarantines(now)}
	for _, c := range slices.Backward(i.crashes) {
		accused, _ := i.split(c)
		r.Crashes = append(r.Crashes, Crash{Process: c.Process, At: c.At, Traits: accused})
	}
	return r
}

// Learn applies the report of another instance. Reports may be lost, late, repeated and out of order.
func (i *Isolator) Learn(now time.Time, from identifier.InstanceID, r Report) {
	for _, a := range r.Answers {
		i.answers.add(a.At, a.Trait)
		i.outbox.dropAnswer(a.Trait)
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
		i.reply(now, from, c, i.addTraits(now, c, reported.Traits))
		if i.broken[reported.Process] != nil {
			i.Ended(now, reported.Process)
		}
	}
	for _, q := range r.Quarantines {
		i.learnQuarantine(now, q)
	}
}

// reply queues the answers that the sender of a crash report lacks.
func (i *Isolator) reply(now time.Time, to identifier.InstanceID, c *Crash, answers []Answer) {
	if i.outbox.reports(c.Process) {
		c.cleared = addAnswers(c.cleared, answers)
		return
	}
	if len(answers) == 0 || c.replies >= maxReplies || now.Sub(c.repliedAt) < replyInterval {
		return
	}
	c.replies, c.repliedAt = c.replies+1, now
	i.outbox.accuser = to
	i.outbox.replies = addAnswers(i.outbox.replies, answers)
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
