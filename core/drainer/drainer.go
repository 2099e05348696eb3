// Package drainer takes upstreams out of service and returns them without interrupting work: it stops new work, waits
// for running work or moves it, sends the order, probes the engine and restores it. One source is enough to mark an
// upstream as leaving, and the mark is sticky.
package drainer

import (
	"maps"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Default times of a planned change.
const (
	// DefaultPropagationDelay is the time within which every instance has read a planned change and stopped sending.
	DefaultPropagationDelay = 3 * time.Second
	// DefaultMoveAfter gives most work time to finish before the rest is moved.
	DefaultMoveAfter = 5 * time.Second
	// DefaultDrainTimeout is the time after which a change is aborted: protected work is never interrupted and may take
	// longer.
	DefaultDrainTimeout = 5 * time.Minute
	// DefaultProbeInterval is the interval between probes of an engine that doesn't respond yet.
	DefaultProbeInterval = 2 * time.Second
	// DefaultResetAfter is how long an upstream must be unlisted before its leaving mark is reset when it returns.
	DefaultResetAfter = 10 * time.Second
)

// Settings holds the times of planned changes; the defaults explain them.
type Settings struct {
	PropagationDelay time.Duration
	MoveAfter        time.Duration
	DrainTimeout     time.Duration
	ProbeInterval    time.Duration
	ResetAfter       time.Duration
}

// NewSettings returns settings with the default times.
func NewSettings() Settings {
	return Settings{
		PropagationDelay: DefaultPropagationDelay,
		MoveAfter:        DefaultMoveAfter,
		DrainTimeout:     DefaultDrainTimeout,
		ProbeInterval:    DefaultProbeInterval,
		ResetAfter:       DefaultResetAfter,
	}
}

// upstream is this instance's state of one upstream.
type upstream struct {
	// plan is the latest planned change.
	plan *messenger.PlannedChange
	// leaving is sticky: once the list or the engine has reported it, a later report or list without it doesn't reset it.
	leaving    bool
	cause      Cause
	closed     bool
	closedAt   time.Time
	drained    bool
	listed     bool
	unlistedAt time.Time
	report     ReportReceived
}

// attempt is an attempt in flight that this instance has sent.
type attempt struct {
	upstream  identifier.UpstreamID
	protected bool
	moved     bool
}

// Drainer manages drains and changes for one instance. It is not safe for concurrent use.
type Drainer struct {
	settings  Settings
	upstreams map[identifier.UpstreamID]*upstream
	attempts  map[identifier.AttemptID]*attempt
	changes   map[identifier.UpstreamID]*change
	stopping  bool
	stopped   bool
}

// NewDrainer returns a drainer without upstreams.
func NewDrainer(settings Settings) *Drainer {
	return &Drainer{
		settings:  settings,
		upstreams: map[identifier.UpstreamID]*upstream{},
		attempts:  map[identifier.AttemptID]*attempt{},
		changes:   map[identifier.UpstreamID]*change{},
	}
}

// Closed reports whether an upstream is closed to new work.
func (d *Drainer) Closed(id identifier.UpstreamID) bool {
	u, ok := d.upstreams[id]
	return ok && u.closed
}

// Handle applies one event and returns the resulting actions in the order in which they must be carried out.
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
	case OrderClosed:
		d.closeOrder(e)
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

// updatePlans applies the latest planned changes. A change that restores an upstream resets its leaving mark.
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

// draining reports whether a planned change takes its upstream out of service.
func draining(plan *messenger.PlannedChange) bool {
	return plan != nil && plan.GetKind() != messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE
}

// updateList applies the instance list. An upstream that returns after at least ResetAfter counts as a new one.
func (d *Drainer) updateList(e ListUpdated) {
	listed := map[identifier.UpstreamID]bool{}
	for _, m := range e.Members {
		listed[m.Upstream] = true
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
		if u.listed && !listed[id] {
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

// advance closes and opens upstreams, moves long-running work and advances each change by one step.
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

// updateUpstream closes an upstream, opens it or reports it as drained, whichever is due.
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

// isEmpty reports whether a closed upstream has no work of any instance: this instance has none, and neither has the
// engine according to a report from after PropagationDelay, when no instance sends new work any more.
func (d *Drainer) isEmpty(now time.Time, id identifier.UpstreamID) bool {
	for _, a := range d.attempts {
		if a.upstream == id {
			return false
		}
	}
	u := d.upstreams[id]
	propagated := u.closedAt.Add(d.settings.PropagationDelay)
	if now.Before(propagated) || u.report.Now.Before(propagated) {
		return false
	}
	return u.report.Running == 0 && u.report.Waiting == 0
}

// moveLongAttempts moves the unprotected attempts of this instance off upstreams that have been closed for MoveAfter.
func (d *Drainer) moveLongAttempts(now time.Time) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(d.attempts)) {
		a := d.attempts[id]
		u := d.upstreams[a.upstream]
		if a.protected || a.moved || u == nil || !u.closed || now.Sub(u.closedAt) < d.settings.MoveAfter {
			continue
		}
		a.moved = true
		actions = append(actions, MoveAttempt{Attempt: id, Upstream: a.upstream})
	}
	return actions
}
