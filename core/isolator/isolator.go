// Package isolator recognises requests that crash the upstreams that run them, and keeps them away from the others. What
// such requests have in common is a trait. A crash takes all requests that run at the upstream, most of them sound, so
// only several crashes show which trait causes them: a trait is suspected if requests with it broke off in several crashes
// and none with it has been answered since.
package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Status says how requests with a trait are handled.
type Status int

// Statuses of a trait.
const (
	// Free requests are sent to any upstream.
	Free Status = iota
	// Suspected requests are sent one after the other, as trials.
	Suspected
	// Quarantined requests are sent to no upstream.
	Quarantined
)

// String returns the name of the status as written in logs.
func (s Status) String() string {
	switch s {
	case Suspected:
		return "suspected"
	case Quarantined:
		return "quarantined"
	default:
		return "free"
	}
}

// Verdict is how a request is handled because of its traits.
type Verdict struct {
	Status Status
	// Trait is the one that decided, Crashes the number of crashes that it is suspected of.
	Trait   Trait
	Crashes int
	// Wait is how long no request with the trait is to be sent; zero if one may be sent now.
	Wait time.Duration
}

// Change is a change of the status of a trait.
type Change struct {
	Trait     Trait
	Status    Status
	Crashes   int
	Processes []Process
	// Until is when a quarantine ends, Term its length.
	Until time.Time
	Term  time.Duration
	// WasHeld is true for a trait that is no longer quarantined because of new evidence.
	WasHeld bool
}

// Isolator keeps the evidence against traits. It is not safe for concurrent use.
type Isolator struct {
	settings Settings
	answers  answerLog
	suspects map[Trait]*suspect
	// trials holds when a trial was last sent to an upstream.
	trials map[identifier.UpstreamID]time.Time
	// broken holds the processes at which requests broke off and that are not known to have crashed.
	broken map[Process]*Crash
	// crashes holds the latest crashes, the oldest one first.
	crashes []*Crash
	outbox  outbox
	changes []Change
}

// NewIsolator returns an isolator that knows of no crashes.
func NewIsolator(settings Settings) *Isolator {
	return &Isolator{
		settings: settings, answers: newAnswerLog(settings.TrustPeriod), suspects: map[Trait]*suspect{},
		trials: map[identifier.UpstreamID]time.Time{}, broken: map[Process]*Crash{},
	}
}

// Broken records that a request with these traits, sent at a time, broke off at a process before it was answered. It
// returns true if the caller should find out whether the process has ended.
func (i *Isolator) Broken(now, sentAt time.Time, p Process, traits []Trait) bool {
	i.expireBroken(now)
	broken := make([]BrokenTrait, 0, len(traits))
	for _, t := range traits {
		broken = append(broken, BrokenTrait{Trait: t, SentAt: sentAt})
	}
	if c := i.crash(p); c != nil {
		i.addTraits(now, c, broken)
		i.outbox.add(now, p)
		return false
	}
	b, known := i.broken[p]
	if !known {
		if len(i.broken) >= maxBroken {
			return false
		}
		b = &Crash{Process: p, At: now}
		i.broken[p] = b
	}
	for _, t := range broken {
		b.add(t)
	}
	return !known
}

// Crashed reports whether a process is known to have crashed.
func (i *Isolator) Crashed(p Process) bool { return i.crash(p) != nil }

// Survived records that a process has not ended: what broke off there is no evidence.
func (i *Isolator) Survived(p Process) {
	delete(i.broken, p)
	i.refute(p)
}

// Ended records that a process has ended without notice.
func (i *Isolator) Ended(now time.Time, p Process) {
	b := i.broken[p]
	if b == nil {
		return
	}
	delete(i.broken, p)
	c := i.crash(p)
	if c == nil {
		c = i.addCrash(p, b.At)
	}
	i.addTraits(now, c, b.Traits)
	i.outbox.add(now, p)
}

// Answered records that a process has answered a request with these traits.
func (i *Isolator) Answered(now time.Time, p Process, traits []Trait) {
	if c := i.crash(p); c != nil && now.Sub(c.At) > i.settings.SurvivalTime {
		i.refute(p)
	}
	for _, t := range traits {
		if !i.Release(now, t) {
			i.answers.add(now, t)
		}
	}
}

// Release drops all evidence against a trait, here and at the other instances, as if a request with it had just been
// answered. It returns false if there is none.
func (i *Isolator) Release(now time.Time, t Trait) bool {
	if i.suspects[t] == nil {
		return false
	}
	i.answers.add(now, t)
	if i.suspects[t].status(now, i.settings) != Free {
		// Each instance that answers the trait would tell all others.
		delay := time.Duration(i.settings.ReportPhase * float64(answerSpread))
		i.outbox.addAnswer(now, delay, Answer{Trait: t, At: now})
	}
	i.release(now, t)
	return true
}

// release drops all evidence against a trait.
func (i *Isolator) release(now time.Time, t Trait) {
	s := i.suspects[t]
	delete(i.suspects, t)
	if s.status(now, i.settings) != Free {
		i.changes = append(i.changes, Change{Trait: t, Status: Free, WasHeld: !s.heldUntil.IsZero()})
	}
}

// Check returns how a request is handled. deciders is the number of instances that send trials without knowing of each
// other's: one if this instance decides for all.
func (i *Isolator) Check(now time.Time, traits []Trait, deciders int) Verdict {
	var worst Verdict
	if len(i.suspects) == 0 {
		return worst
	}
	suspected := 0
	for _, t := range traits {
		s := i.suspects[t]
		if s == nil {
			continue
		}
		v := Verdict{Status: s.status(now, i.settings), Trait: t, Crashes: s.count}
		switch v.Status {
		case Quarantined:
			v.Wait = s.heldUntil.Sub(now)
		case Suspected:
			suspected++
			v.Wait = s.trialWait(now, deciders, i.settings)
		default:
		}
		if v.Status > worst.Status || v.Status == worst.Status && v.Wait > worst.Wait {
			worst = v
		}
	}
	if worst.Status == Suspected {
		// The trial of a request with fewer suspected traits is better evidence about each of them.
		worst.Wait += time.Duration(min(suspected-1, maxTrialDelays)) * i.settings.TrialInterval
	}
	worst.Wait = max(0, worst.Wait)
	return worst
}

// Tried records that a request with these traits is sent to an upstream as a trial of the suspected ones.
func (i *Isolator) Tried(now time.Time, u identifier.UpstreamID, traits []Trait) {
	i.trials[u] = now
	for _, t := range traits {
		if s := i.suspects[t]; s != nil {
			s.trialAt = now
		}
	}
}

// Trials returns the upstreams that may still be running a trial. Another one there would be blamed for the same crash.
func (i *Isolator) Trials(now time.Time) []identifier.UpstreamID {
	maps.DeleteFunc(i.trials, func(_ identifier.UpstreamID, at time.Time) bool {
		return now.Sub(at) >= i.settings.SurvivalTime
	})
	return slices.Collect(maps.Keys(i.trials))
}

// TakeChanges returns the changes of statuses since the last call.
func (i *Isolator) TakeChanges() []Change {
	taken := i.changes
	i.changes = nil
	return taken
}

// List returns the traits that are suspected or quarantined, sorted.
func (i *Isolator) List(now time.Time) []Change {
	var listed []Change
	for t, s := range i.suspects {
		if status := s.status(now, i.settings); status != Free {
			listed = append(listed, s.describe(t, status))
		}
	}
	slices.SortFunc(listed, func(a, b Change) int { return cmp.Compare(a.Trait, b.Trait) })
	return listed
}

func (i *Isolator) crash(p Process) *Crash {
	for _, c := range i.crashes {
		if c.Process == p {
			return c
		}
	}
	return nil
}

// addCrash adds a crash and drops those that are too old or too many.
func (i *Isolator) addCrash(p Process, at time.Time) *Crash {
	c := &Crash{Process: p, At: at}
	i.crashes = append(i.crashes, c)
	slices.SortStableFunc(i.crashes, func(a, b *Crash) int { return a.At.Compare(b.At) })
	for len(i.crashes) > maxCrashes || at.Sub(i.crashes[0].At) > i.settings.CrashMemory {
		i.outbox.forget(i.crashes[0].Process)
		i.crashes = i.crashes[1:]
	}
	return c
}

// addTraits adds traits of requests that broke off in a crash. It returns the answers that speak for some of them.
func (i *Isolator) addTraits(now time.Time, c *Crash, traits []BrokenTrait) []Answer {
	var answers []Answer
	for _, b := range traits {
		if answer, trusted := i.trusted(b.Trait, c); trusted {
			answers = append(answers, answer)
			continue
		}
		c.add(b)
		i.accuse(now, b, c)
	}
	return answers
}

// trusted returns the answer that speaks for a trait in a crash, and false if there is none.
func (i *Isolator) trusted(t Trait, c *Crash) (Answer, bool) {
	at, known := i.answers.last(t)
	return Answer{Trait: t, At: at}, known && at.After(c.At.Add(-i.settings.TrustPeriod))
}

// accuse counts a crash against a trait.
func (i *Isolator) accuse(now time.Time, b BrokenTrait, c *Crash) {
	t := b.Trait
	s := i.suspect(t)
	l := loss{sentAt: b.SentAt, brokenAt: c.At}
	known, found := s.crashes[c.Process]
	if found && known.sentAt.After(l.sentAt) {
		l.sentAt = known.sentAt
	}
	if l.sentAt.After(l.brokenAt) {
		// The process lived on after what another instance took for its crash.
		l.brokenAt = l.sentAt
	}
	if found && l == known {
		return
	}
	before := s.status(now, i.settings)
	s.crashes[c.Process] = l
	s.recount(now, i.settings)
	if s.count >= i.settings.quarantineCrashes(t) && s.latest.After(s.heldUntil) {
		s.term = min(max(i.settings.QuarantineTime, quarantineGrowth*s.term), i.settings.MaxQuarantineTime)
		// The time of the crash is the same at all instances.
		s.heldSince, s.heldUntil, s.restored = s.latest, s.latest.Add(s.term), false
	}
	if after := s.status(now, i.settings); after != before {
		i.changes = append(i.changes, s.describe(t, after))
	}
}

// suspect returns what is known against a trait, and begins a record if there is none.
func (i *Isolator) suspect(t Trait) *suspect {
	s := i.suspects[t]
	if s == nil {
		i.makeRoom()
		s = &suspect{crashes: map[Process]loss{}}
		i.suspects[t] = s
	}
	return s
}

// makeRoom drops the quarter of the traits with the least evidence if there are too many. Quarantined ones are dropped last.
func (i *Isolator) makeRoom() {
	if len(i.suspects) < maxSuspects {
		return
	}
	type evidence struct {
		trait       Trait
		held        int64
		count       int
		latestNanos int64
	}
	all := make([]evidence, 0, len(i.suspects))
	for t, s := range i.suspects {
		e := evidence{trait: t, count: s.count, latestNanos: s.latest.UnixNano()}
		if !s.heldUntil.IsZero() {
			e.held = s.heldUntil.UnixNano()
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b evidence) int {
		return cmp.Or(
			cmp.Compare(a.held, b.held), cmp.Compare(a.count, b.count), cmp.Compare(a.latestNanos, b.latestNanos),
			cmp.Compare(a.trait, b.trait),
		)
	})
	for _, e := range all[:len(all)/4] {
		delete(i.suspects, e.trait)
	}
}

// refute drops a crash that was none.
func (i *Isolator) refute(p Process) {
	i.crashes = slices.DeleteFunc(i.crashes, func(c *Crash) bool { return c.Process == p })
	i.outbox.forget(p)
	for t, s := range i.suspects {
		if _, accused := s.crashes[p]; !accused {
			continue
		}
		before := s.status(s.latest, i.settings)
		delete(s.crashes, p)
		s.recount(s.latest, i.settings)
		if s.count < i.settings.quarantineCrashes(t) {
			s.heldSince, s.heldUntil, s.term = time.Time{}, time.Time{}, 0
		}
		after := s.status(s.latest, i.settings)
		if s.count == 0 {
			delete(i.suspects, t)
		}
		if after != before {
			change := s.describe(t, after)
			change.WasHeld = before == Quarantined
			i.changes = append(i.changes, change)
		}
	}
}

// Expire forgets what is too old to count.
func (i *Isolator) Expire(now time.Time) {
	i.expireBroken(now)
	for t, s := range i.suspects {
		if now.Sub(s.latest) > i.settings.CrashMemory && now.Sub(s.heldUntil) > i.settings.CrashMemory {
			i.release(now, t)
		}
	}
}

// expireBroken forgets requests that broke off at processes whose end was not confirmed.
func (i *Isolator) expireBroken(now time.Time) {
	for p, b := range i.broken {
		if now.Sub(b.At) > i.settings.ConfirmTime {
			delete(i.broken, p)
		}
	}
}
