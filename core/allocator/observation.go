package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/speedometer"
)

// Outcome is how the work of a placement, or its prefill, ended.
type Outcome int

// Outcomes of a placement.
const (
	// OutcomeCompleted is a complete response.
	OutcomeCompleted Outcome = iota + 1
	// OutcomeUnreachable means that no connection could be opened.
	OutcomeUnreachable
	// OutcomeFailed is a response that failed, was truncated or never arrived.
	OutcomeFailed
	// OutcomeRejected means that the upstream refused the work.
	OutcomeRejected
	// OutcomeCancelled means that the caller cancelled the request or disconnected.
	OutcomeCancelled
)

// Event is a stage that a request has reached at an upstream.
type Event int

// Events at an upstream.
const (
	// EventPrefilled is the end of a prefill for another engine.
	EventPrefilled Event = iota + 1
	// EventFirst is the arrival of the first event of a response.
	EventFirst
	// EventEnded is the end of a request.
	EventEnded
	// EventOverdue means that nothing has arrived long after the predicted time.
	EventOverdue
	// EventProgressed is the arrival of some events of a long answer.
	EventProgressed
	// EventAnswered is the end of a long answer.
	EventAnswered
)

// Observation is what an instance has seen of a request at an upstream. Observations determine the measured times and
// the health of upstreams, at the instance itself and at the service's arbiter.
type Observation struct {
	Upstream identifier.UpstreamID
	// Incarnation is the start of the upstream that was seen; zero if unknown.
	Incarnation uint64
	Event       Event
	// Outcome is how the work ended, for EventPrefilled and EventEnded.
	Outcome Outcome
	// Took is the time since the request was sent; zero when it doesn't show the upstream's speed.
	Took time.Duration
	// Tokens is the number of tokens that had to be prefilled in that time, those of requests ahead included; for
	// EventProgressed, the number of events.
	Tokens identifier.Tokens
	// Direct is true if the upstream prefilled the prompt itself.
	Direct bool
}

// maxObservations bounds the observations that wait for the next report; the oldest ones are the least useful.
const maxObservations = 24

// record applies an observation of this instance at an upstream and keeps it for the service's arbiter.
func (a *Allocator) record(now time.Time, u *upstream, o Observation) {
	service := u.entry.Service
	o.Upstream, o.Incarnation = u.entry.Upstream, u.entry.Incarnation
	a.Observe(now, "", a.dataCentre, o)
	kept := append(a.observations[service], o)
	if len(kept) > maxObservations {
		kept = kept[len(kept)-maxObservations:]
	}
	a.observations[service] = kept
}

// TakeObservations returns the observations of this instance at a service's upstreams since the last call.
func (a *Allocator) TakeObservations(service identifier.ServiceName) []Observation {
	taken := a.observations[service]
	delete(a.observations, service)
	return taken
}

// Observe applies an observation of an instance in a data centre; the empty one is this instance. What was seen of another start
// of the upstream says nothing about this one.
func (a *Allocator) Observe(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, o Observation,
) {
	u := a.reported(o.Upstream, o.Incarnation)
	if u == nil {
		return
	}
	health := a.healthOf(dataCentre)
	health.Add(o.Upstream)
	t, speeds := a.timingsOf(u.entry.Service), a.speedsOf(u.entry.Service)
	defer a.observeTrial(now, health, t.usual(u, o), u, o)()
	if _, onTrial := a.warmer.Limit(now, o.Upstream); onTrial {
		// What a cold upstream takes shows neither its own speed nor that of the others.
		o.Took = 0
	}
	switch o.Event {
	case EventOverdue:
		health.Stalled(now, o.Upstream, instance)
	case EventFirst:
		health.Responded(now, o.Upstream, instance)
		t.observeFirstEvent(now, speeds, u, o)
	case EventPrefilled:
		if o.Outcome != OutcomeCompleted {
			a.recordFailure(now, instance, dataCentre, o)
			return
		}
		health.Succeeded(now, o.Upstream, instance, 0)
		t.observePrefill(now, speeds, speedometer.Prefill, &t.prefill, u, o)
	case EventEnded:
		if o.Outcome != OutcomeCompleted {
			a.recordFailure(now, instance, dataCentre, o)
			return
		}
		health.Succeeded(now, o.Upstream, instance, 0)
		t.observeHold(now, speeds, u, o)
	case EventProgressed:
		t.observeProgress(now, speeds, u, o)
	case EventAnswered:
		t.observeLongAnswer(speeds, u, o)
	}
}

func (a *Allocator) recordFailure(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, o Observation,
) {
	health := a.healthOf(dataCentre)
	switch o.Outcome {
	case OutcomeUnreachable:
		health.Unreachable(now, o.Upstream, instance)
	case OutcomeFailed:
		health.Failed(now, o.Upstream, instance)
	case OutcomeRejected:
		health.Rejected(now, o.Upstream)
	default:
		health.Abandoned(o.Upstream)
	}
}

// RecordOverdue records that a request of this instance has had no response long after its predicted time. That ejects
// the upstream unless it responded to another request recently. RecordOverdue reports whether the upstream is ejected.
func (a *Allocator) RecordOverdue(now time.Time, id identifier.UpstreamID) bool {
	if u := a.upstreams[id]; u != nil {
		a.record(now, u, Observation{Event: EventOverdue})
	}
	return a.EjectionCause(id) != ""
}

// PrefillEnded records the end of the prefill at Prefiller, successful or not; the request then moves to Upstream. It
// must be called exactly once for a placement with a prefiller.
func (a *Allocator) PrefillEnded(now time.Time, p *Placement, outcome Outcome) {
	p.prefillDone = true
	if u := a.runner(*p); u != nil && !p.Long {
		u.own.AwaitingPrefill = max(0, u.own.AwaitingPrefill-1)
		u.own.Short++
	}
	u := a.started(p.Prefiller, p.prefillerIncarnation)
	if u == nil {
		return
	}
	p.addPrefill(&u.own, -1)
	o := Observation{Event: EventPrefilled, Outcome: outcome}
	if !p.Deferred && !p.Reordered {
		// Requests that overtake it, or that it overtakes, would be taken for the engine's speed.
		o.Took, o.Tokens = now.Sub(p.placed), p.PrefillerAhead.QueuedPrefill+p.Tokens
	}
	a.record(now, u, o)
}

// runner returns the upstream that runs a placement, or nil if it has ended or restarted since.
func (a *Allocator) runner(p Placement) *upstream { return a.started(p.Upstream, p.incarnation) }

// started returns an upstream if it is listed with an incarnation, or nil.
func (a *Allocator) started(id identifier.UpstreamID, incarnation uint64) *upstream {
	if u := a.upstreams[id]; u != nil && u.entry.Incarnation == incarnation {
		return u
	}
	return nil
}

// reported does the same for what another instance has reported. One of the version before names no incarnation.
func (a *Allocator) reported(id identifier.UpstreamID, incarnation uint64) *upstream {
	if incarnation == 0 {
		return a.upstreams[id]
	}
	return a.started(id, incarnation)
}

// FirstEventArrived records the arrival of a placement's first event; sent is when the request was sent to Upstream. It
// must be called at most once.
func (a *Allocator) FirstEventArrived(now, sent time.Time, p *Placement) {
	u := a.runner(*p)
	if u == nil || p.started {
		return
	}
	p.started = true
	if p.Prefiller == "" {
		p.addPrefill(&u.own, -1)
	}
	o := Observation{Event: EventFirst, Direct: p.Prefiller == ""}
	if p.Ahead.Short+p.Ahead.Long < u.entry.Slots && !p.Deferred && !(o.Direct && p.Reordered) {
		o.Took = now.Sub(sent)
	}
	if o.Direct {
		o.Tokens = p.Ahead.QueuedPrefill + p.Tokens
	}
	a.record(now, u, o)
}

// Ended removes the work of a placement from the load, and updates health and timings by its outcome. sent is when the
// request was sent to Upstream, zero if it was not.
func (a *Allocator) Ended(now, sent time.Time, p Placement, outcome Outcome) {
	u := a.runner(p)
	if u == nil {
		return
	}
	if p.Prefiller == "" && !p.started {
		p.addPrefill(&u.own, -1)
	}
	switch {
	case p.Long:
		u.own.Long = max(0, u.own.Long-1)
	case p.Prefiller != "" && !p.prefillDone:
		u.own.AwaitingPrefill = max(0, u.own.AwaitingPrefill-1)
	default:
		u.own.Short = max(0, u.own.Short-1)
	}
	o := Observation{Event: EventEnded, Outcome: outcome}
	if !p.Long && !p.Deferred && !sent.IsZero() && p.Ahead.Short+p.Ahead.Long < u.entry.Slots {
		o.Took = now.Sub(sent)
	}
	a.record(now, u, o)
	if p.Long && !sent.IsZero() && outcome == OutcomeCompleted {
		a.record(now, u, Observation{Event: EventAnswered, Took: now.Sub(sent)})
	}
}
