// Package drainer takes upstreams out of service and back without cutting work: nothing new, wait or move, order,
// probe, in service. That an upstream leaves is believed from the first source that says so, and kept.
package drainer

import (
	"maps"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Times of a planned change.
const (
	// DefaultPropagationDelay is by when every instance has read a planned change and sends nothing new.
	DefaultPropagationDelay = 3 * time.Second
	// DefaultMoveAfter lets most work end by itself before long work is moved.
	DefaultMoveAfter = 5 * time.Second
	// DefaultDrainTimeout gives a change up when protected work does not end; it is never cut.
	DefaultDrainTimeout = 5 * time.Minute
	// DefaultProbeInterval spaces the probes of an engine that does not answer yet.
	DefaultProbeInterval = 2 * time.Second
	// DefaultResetAfter is how long an upstream must be off the list to come back as a new one.
	DefaultResetAfter = 10 * time.Second
)

// Settings holds the times of planned changes.
type Settings struct {
	PropagationDelay time.Duration
	MoveAfter        time.Duration
	DrainTimeout     time.Duration
	ProbeInterval    time.Duration
	ResetAfter       time.Duration
}

// NewSettings returns the default times.
func NewSettings() Settings {
	return Settings{
		PropagationDelay: DefaultPropagationDelay,
		MoveAfter:        DefaultMoveAfter,
		DrainTimeout:     DefaultDrainTimeout,
		ProbeInterval:    DefaultProbeInterval,
		ResetAfter:       DefaultResetAfter,
	}
}

// upstream is what this instance knows of one upstream.
type upstream struct {
	plan *messenger.PlannedChange
	// leaving is sticky: once the list or the engine said that it leaves, a silent source does not bring it back.
	leaving    bool
	cause      Cause
	closed     bool
	closedAt   time.Time
	drained    bool
	listed     bool
	unlistedAt time.Time
	report     ReportReceived
}

// attempts is one attempt of this instance.
type attempt struct {
	upstream  identifier.UpstreamID
	protected bool
	moved     bool
}

// Drainer decides for one instance. It is not safe for concurrent use.
type Drainer struct {
	settings  Settings
	upstreams map[identifier.UpstreamID]*upstream
	attempts  map[identifier.AttemptID]*attempt
	changes   map[identifier.UpstreamID]*change
	stopping  bool
	stopped   bool
}

// NewDrainer returns a drainer that knows no upstream.
func NewDrainer(settings Settings) *Drainer {
	return &Drainer{
		settings:  settings,
		upstreams: map[identifier.UpstreamID]*upstream{},
		attempts:  map[identifier.AttemptID]*attempt{},
		changes:   map[identifier.UpstreamID]*change{},
	}
}

// Closed tells whether an upstream must get no new work.
func (d *Drainer) Closed(id identifier.UpstreamID) bool {
	u, ok := d.upstreams[id]
	return ok && u.closed
}

// Handle takes one event and returns the actions to carry out, in order.
func (d *Drainer) Handle(event Event) []Action {
	switch e := event.(type) {
	case PlansUpdated:
		return append(d.updatePlans(e), d.advance(e.Now)...)
	case ListUpdated:
		d.updateList(e)
		return d.advance(e.Now)
	case ReportReceived:
		d.updateReport(e)
		return d.advance(e.Now)
	case WorkStarted:
		d.attempts[e.Attempt] = &attempt{upstream: e.Upstream, protected: e.Protected}
		return nil
	case WorkEnded:
		delete(d.attempts, e.Attempt)
		return d.advance(e.Now)
	case ChangeRequested:
		return append(d.requestChange(e), d.advance(e.Now)...)
	case OrderCompleted:
		d.completeOrder(e)
		return d.advance(e.Now)
	case ProbeEnded:
		d.endProbe(e)
		return d.advance(e.Now)
	case EnginesHeld:
		d.resumeDrained(e)
		return d.advance(e.Now)
	case LeaseLost:
		return d.abandon(e.Scope)
	case ShutdownStarted:
		d.stopping = true
		return d.advance(e.Now)
	case Ticked:
		return d.advance(e.Now)
	default:
		return nil
	}
}

func (d *Drainer) upstream(id identifier.UpstreamID) *upstream {
	u, ok := d.upstreams[id]
	if !ok {
		u = &upstream{}
		d.upstreams[id] = u
	}
	return u
}

// updatePlans takes the latest planned changes; one that restores an upstream ends its leaving.
func (d *Drainer) updatePlans(e PlansUpdated) []Action {
	for _, plan := range e.Plans {
		u := d.upstream(identifier.UpstreamID(plan.GetUpstream()))
		if u.plan.GetChangeId() == plan.GetChangeId() && u.plan.GetKind() == plan.GetKind() {
			continue
		}
		u.plan = plan
		if !draining(plan) {
			u.leaving = false
		}
	}
	return nil
}

func draining(plan *messenger.PlannedChange) bool {
	return plan != nil && plan.GetKind() != messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE
}

// updateList takes the instance list. Only an upstream that was off the list for long counts as a new one.
func (d *Drainer) updateList(e ListUpdated) {
	present := map[identifier.UpstreamID]bool{}
	for _, m := range e.Members {
		present[m.Upstream] = true
		u := d.upstream(m.Upstream)
		returned := !u.listed && !u.unlistedAt.IsZero() && e.Now.Sub(u.unlistedAt) >= d.settings.ResetAfter
		u.listed = true
		if m.Leaving {
			u.markLeaving(CauseList)
			continue
		}
		if returned {
			u.leaving = false
		}
	}
	for id, u := range d.upstreams {
		if u.listed && !present[id] {
			u.listed = false
			u.unlistedAt = e.Now
		}
	}
}

func (d *Drainer) updateReport(e ReportReceived) {
	u := d.upstream(e.Upstream)
	u.report = e
	if e.Leaving {
		u.markLeaving(CauseReport)
	}
}

func (u *upstream) markLeaving(cause Cause) {
	if !u.leaving {
		u.leaving = true
		u.cause = cause
	}
}

// advance closes and opens upstreams, moves long work and takes each change a step on.
func (d *Drainer) advance(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		actions = append(actions, d.updateUpstream(now, id)...)
	}
	actions = append(actions, d.moveLongAttempts(now)...)
	for _, id := range slices.Sorted(maps.Keys(d.changes)) {
		actions = append(actions, d.advanceChange(now, id)...)
	}
	if d.stopping && !d.stopped && len(d.attempts) == 0 {
		d.stopped = true
		actions = append(actions, StopReady{})
	}
	return actions
}

func (d *Drainer) updateUpstream(now time.Time, id identifier.UpstreamID) []Action {
	u := d.upstreams[id]
	leaving := u.leaving || draining(u.plan)
	if leaving && !u.closed {
		u.closed = true
		u.closedAt = now
		u.drained = false
		if !u.leaving {
			u.cause = CausePlan
		}
		return []Action{CloseUpstream{Upstream: id, Cause: u.cause}}
	}
	if !leaving && u.closed {
		u.closed = false
		return []Action{OpenUpstream{Upstream: id}}
	}
	if u.closed && !u.drained && d.isEmpty(now, id) {
		u.drained = true
		return []Action{UpstreamDrained{Upstream: id}}
	}
	return nil
}

// isEmpty tells whether a closed upstream has no work of any instance: this instance has none, and the engine's report
// from after the time by which all instances stopped sending says so too.
func (d *Drainer) isEmpty(now time.Time, id identifier.UpstreamID) bool {
	for _, w := range d.attempts {
		if w.upstream == id {
			return false
		}
	}
	u := d.upstreams[id]
	noticed := u.closedAt.Add(d.settings.PropagationDelay)
	if now.Before(noticed) || u.report.Now.Before(noticed) {
		return false
	}
	return u.report.Running == 0 && u.report.Waiting == 0
}

// moveLongAttempts moves the unprotected work of this instance off upstreams that were closed a while ago.
func (d *Drainer) moveLongAttempts(now time.Time) []Action {
	var actions []Action
	for _, attempt := range slices.Sorted(maps.Keys(d.attempts)) {
		w := d.attempts[attempt]
		u := d.upstreams[w.upstream]
		if w.protected || w.moved || u == nil || !u.closed || now.Sub(u.closedAt) < d.settings.MoveAfter {
			continue
		}
		w.moved = true
		actions = append(actions, MoveAttempt{Attempt: attempt, Upstream: w.upstream})
	}
	return actions
}
