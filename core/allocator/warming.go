package allocator

import (
	"slices"
	"time"

	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/core/warmer"
)

const (
	// readerCapacity is how many prompts of the usual length may wait at an engine that only prefills before its trial ends.
	readerCapacity = 8
	// leastCapacity is how many requests any upstream has to answer well before its trial ends.
	leastCapacity = 3
	// maxIdleTrial is how long an upstream on trial waits for a request that may be repeated and isn't urgent; after that, it
	// gets any request.
	maxIdleTrial = 300 * time.Millisecond
	// firstRank is the rank of the most urgent requests.
	firstRank = 0
	// openLoadAge is how long a measurement of the load of a service's upstreams counts.
	openLoadAge = 50 * time.Millisecond
	// maxTrialChanges bounds the changes that wait to be logged.
	maxTrialChanges = 64
)

// TrialChange is a change of how much an upstream may hold that has started or recovered.
type TrialChange struct {
	Upstream identifier.UpstreamID
	warmer.Result
}

// BeginTrials puts the upstreams on trial that have been listed for the first time since the last call.
func (a *Allocator) BeginTrials(now time.Time) {
	for _, id := range a.fresh {
		a.beginTrial(now, id, warmer.CauseStarted)
	}
	a.fresh = nil
}

func (a *Allocator) beginTrial(now time.Time, id identifier.UpstreamID, cause warmer.Cause) {
	u := a.upstreams[id]
	if u == nil {
		return
	}
	a.warmer.Begin(now, id, cause, u.entry.Slots)
	limit, _ := a.warmer.Limit(now, id)
	a.noteTrial(id, warmer.Result{Cause: cause, Limit: limit})
}

func (a *Allocator) noteTrial(id identifier.UpstreamID, r warmer.Result) {
	if len(a.trialChanges) < maxTrialChanges {
		a.trialChanges = append(a.trialChanges, TrialChange{Upstream: id, Result: r})
	}
}

// TakeTrialChanges returns the beginnings, ends and setbacks of trials since the last call.
func (a *Allocator) TakeTrialChanges() []TrialChange {
	taken := a.trialChanges
	a.trialChanges = nil
	return taken
}

// usual returns how long the work of an observation usually takes at an upstream of the service; zero if it doesn't show
// that. It must be called before the observation changes the measurements.
func (t *timings) usual(u *upstream, o Observation) time.Duration {
	switch {
	case o.Took <= 0:
		return 0
	case o.Event == EventPrefilled:
		return t.prefill.at(o.Tokens)
	case o.Event == EventFirst && o.Direct:
		return t.mixedPrefill.at(o.Tokens) + t.firstEventDelay.value
	case o.Event == EventEnded && u.entry.Role == tracker.RoleNone:
		return t.slotHoldTime.value
	default:
		return 0
	}
}

// observeTrial returns a function that applies an observation to the upstream's trial, after the upstream's health has
// been updated: a good answer to a probe begins one.
func (a *Allocator) observeTrial(
	now time.Time, health *ejector.Ejector, usual time.Duration, u *upstream, o Observation,
) func() {
	probing := health.Probing(now, o.Upstream)
	return func() {
		sent := now.Add(-o.Took)
		switch {
		case probing && health.Cause(o.Upstream) == "":
			a.beginTrial(now, o.Upstream, warmer.CauseRestored)
		case o.Event == EventOverdue, o.Outcome == OutcomeFailed, o.Outcome == OutcomeRejected, o.Outcome == OutcomeUnreachable:
			if r, changed := a.warmer.Failed(now, sent, o.Upstream); changed {
				a.noteTrial(o.Upstream, r)
			}
		case usual > 0:
			before, _ := a.warmer.Limit(now, o.Upstream)
			r, changed := a.warmer.Answered(now, sent, o.Upstream, float64(o.Took)/float64(usual), a.trialCapacity(now, u))
			if changed && (r.Open || r.Limit < before) {
				a.noteTrial(o.Upstream, r)
			}
		}
	}
}

// trialCapacity returns how many requests an upstream has to be able to hold for its trial to end: as many as the others of
// its service hold, at most one for each slot.
func (a *Allocator) trialCapacity(now time.Time, u *upstream) int {
	if u.entry.Role == tracker.RolePrefill {
		return readerCapacity
	}
	return min(u.entry.Slots, max(leastCapacity, a.openLoadOf(now, u.entry.Service)))
}

// openLoad is the average number of requests that upstreams hold which are not on trial.
type openLoad struct {
	measured time.Time
	requests int
}

// openLoadOf returns the average number of requests at a service's upstreams that are not on trial. It is measured at most
// once in openLoadAge, as a service may have thousands of upstreams.
func (a *Allocator) openLoadOf(now time.Time, service identifier.ServiceName) int {
	last := a.openLoads[service]
	if !last.measured.IsZero() && now.Sub(last.measured) < openLoadAge {
		return last.requests
	}
	held, open := 0, 0
	for _, u := range a.services[service] {
		if _, onTrial := a.warmer.Limit(now, u.entry.Upstream); onTrial || u.entry.Role == tracker.RolePrefill {
			continue
		}
		held += u.load().Requests()
		open++
	}
	last = openLoad{measured: now, requests: held / max(1, open)}
	a.openLoads[service] = last
	return last.requests
}

// withoutFull removes the upstreams on trial that hold as much as they may. Where most are on trial, none is removed: there
// is nothing better, and together they have to carry the load.
func (d *decision) withoutFull(us []*upstream) []*upstream {
	trials := 0
	for _, u := range us {
		if _, onTrial := d.allocator.warmer.Limit(d.now, u.entry.Upstream); onTrial {
			trials++
		}
	}
	if trials == 0 || 2*trials >= len(us) {
		return us
	}
	return slices.DeleteFunc(us, d.isFull)
}

// isFull reports whether an upstream is on trial and should not get the request.
func (d *decision) isFull(u *upstream) bool {
	id := u.entry.Upstream
	limit, onTrial := d.allocator.warmer.Limit(d.now, id)
	if !onTrial {
		return false
	}
	if share := d.req.RateShare; share > 0 && share < 1 {
		// Others decide too and don't know of each other.
		limit = int(share * float64(limit))
	}
	if waited, unproven := d.allocator.warmer.Unproven(d.now, id); unproven && waited < maxIdleTrial &&
		(!d.req.Repeatable || d.req.Rank == firstRank) {
		return true
	}
	load := u.load()
	if u.entry.Role == tracker.RolePrefill {
		return load.QueuedPrefill > 0 && load.QueuedPrefill >= identifier.Tokens(limit)*d.req.promptTokens()
	}
	return load.Requests() >= limit
}
