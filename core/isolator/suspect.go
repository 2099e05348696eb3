package isolator

import (
	"slices"
	"time"
)

// suspect is what is known against a trait that has not been answered since the crashes.
type suspect struct {
	// crashes holds when requests with the trait were sent and broke off, by the process that crashed.
	crashes map[Process]loss
	// count is the number of crashes that count, latest the time of the last one.
	count  int
	latest time.Time
	// trialAt is when a request with the trait was last sent although it is suspected.
	trialAt time.Time
	// heldSince and heldUntil bound the quarantine, term is its length.
	heldSince time.Time
	heldUntil time.Time
	term      time.Duration
	// restored is true if the quarantine comes from a record of which the age isn't known.
	restored bool
}

// loss is when a request was sent and when it broke off in a crash.
type loss struct{ sentAt, brokenAt time.Time }

func (s *suspect) status(now time.Time, settings Settings) Status {
	switch {
	case now.Before(s.heldUntil):
		return Quarantined
	case s.count >= settings.SuspectCrashes || !s.heldUntil.IsZero():
		return Suspected
	default:
		return Free
	}
}

// trialWait returns how long no trial is to be sent; it is negative since one may be. After a quarantine the evidence is
// stronger: trials are rarer, and only an instance that decides for all sends them.
func (s *suspect) trialWait(now time.Time, deciders int, settings Settings) time.Duration {
	interval := settings.TrialInterval
	wasHeld := !s.heldUntil.IsZero()
	if wasHeld && deciders > 1 {
		return interval
	}
	interval *= time.Duration(deciders)
	if wasHeld {
		interval *= probationFactor
	}
	return max(s.trialAt.Add(interval).Sub(now), s.latest.Add(settings.ReportTime).Sub(now))
}

// recount counts the crashes that follow one from the other: those of requests that were sent after the crash before. A
// cause outside of requests may end several upstreams together, and takes all that had been sent to them. Once the trait is
// suspected, only trials count: until all instances know, sound requests are sent on as before, and lost with fatal ones.
func (s *suspect) recount(now time.Time, settings Settings) {
	losses := make([]loss, 0, len(s.crashes))
	for p, l := range s.crashes {
		if now.Sub(l.brokenAt) > settings.CrashMemory {
			delete(s.crashes, p)
			continue
		}
		losses = append(losses, l)
	}
	slices.SortFunc(losses, func(a, b loss) int { return a.brokenAt.Compare(b.brokenAt) })
	s.count, s.latest = 0, time.Time{}
	for _, l := range losses {
		isTrial := !l.sentAt.Before(s.latest.Add(settings.ReportTime))
		if s.count == 0 || isTrial || s.count < settings.SuspectCrashes && !l.sentAt.Before(s.latest) {
			s.count++
			s.latest = l.brokenAt
		}
	}
}

func (s *suspect) describe(t Trait, status Status) Change {
	c := Change{Trait: t, Status: status, Crashes: s.count, Until: s.heldUntil, Term: s.term}
	for p := range s.crashes {
		c.Processes = append(c.Processes, p)
	}
	slices.SortFunc(c.Processes, func(a, b Process) int { return s.crashes[a].brokenAt.Compare(s.crashes[b].brokenAt) })
	return c
}
