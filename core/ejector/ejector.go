package ejector

import (
	"maps"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Status is the state of an upstream, which determines the work it may get.
type Status int

// States of an upstream, as in a circuit breaker.
const (
	// Healthy upstreams get any work.
	Healthy Status = iota
	// Probed upstreams are at the end of an ejection and get one attempt at a time as a probe.
	Probed
	// Paused upstreams refused work within the last RejectBackoff.
	Paused
	// Ejected upstreams get no work.
	Ejected
)

// Cause is the reason for an ejection.
type Cause string

// Causes of an ejection.
const (
	CauseUnreachable Cause = "unreachable"
	CauseErrors      Cause = "errors"
	CauseSlow        Cause = "slow"
	CauseStalled     Cause = "silent"
)

// health holds the statistics and the ejection state of one upstream.
type health struct {
	// failureRate is the moving average of the share of failed attempts.
	failureRate float64
	samples     int
	// latencyRatio is the moving average of the ratio of actual to predicted time.
	latencyRatio   float64
	latencySamples int
	ejected        bool
	cause          Cause
	ejectedUntil   time.Time
	ejectionTime   time.Duration
	pausedUntil    time.Time
	probes         int
	respondedAt    time.Time
	ejectedAt      time.Time
	// accusers are the instances at which the upstream has been unreachable or silent since it was ejected for that.
	accusers map[identifier.InstanceID]bool
	// paths holds the instances that can't reach the upstream although others do.
	paths map[identifier.InstanceID]path
}

const (
	// failureSmoothing is the weight of a new outcome in the moving average of the failure rate.
	failureSmoothing = 0.15
	// latencySmoothing is the weight of a new response in the moving average of the latency ratio.
	latencySmoothing = 0.2
)

// Ejector tracks the health of the upstreams and ejects faulty ones. It is not safe for concurrent use.
type Ejector struct {
	settings  Settings
	upstreams map[identifier.UpstreamID]*health
	// servedAt is when instances last had a response from any upstream.
	servedAt map[identifier.InstanceID]time.Time
}

// NewEjector returns an ejector that tracks no upstreams.
func NewEjector(settings Settings) *Ejector {
	return &Ejector{
		settings: settings, upstreams: make(map[identifier.UpstreamID]*health),
		servedAt: make(map[identifier.InstanceID]time.Time),
	}
}

// Add starts to track an upstream.
func (e *Ejector) Add(id identifier.UpstreamID) {
	if e.upstreams[id] == nil {
		e.upstreams[id] = &health{latencyRatio: 1}
	}
}

// Remove stops tracking an upstream.
func (e *Ejector) Remove(id identifier.UpstreamID) { delete(e.upstreams, id) }

// Sent records that an attempt was sent to the upstream; an attempt to an ejected upstream counts as its probe.
func (e *Ejector) Sent(id identifier.UpstreamID) {
	if h := e.upstreams[id]; h != nil && h.ejected {
		h.probes++
	}
}

// Succeeded records a complete response at an instance and the ratio of its actual to its predicted time, zero if unknown.
func (e *Ejector) Succeeded(now time.Time, id identifier.UpstreamID, by identifier.InstanceID, ratio float64) {
	h := e.upstreams[id]
	if h == nil {
		return
	}
	e.reached(now, h, by)
	h.samples++
	h.failureRate -= failureSmoothing * h.failureRate
	if ratio > 0 {
		h.latencySamples++
		h.latencyRatio += latencySmoothing * (ratio - h.latencyRatio)
	}
	switch {
	case h.ejected && now.Before(h.ejectedUntil):
	case e.isSlow(h) && h.latencySamples >= e.settings.MinSamples:
		e.eject(now, h, CauseSlow)
	case h.ejected:
		e.restore(h)
	}
}

// Responded records that an attempt of an instance makes progress, so that a stalled one says nothing about the upstream.
func (e *Ejector) Responded(now time.Time, id identifier.UpstreamID, by identifier.InstanceID) {
	if h := e.upstreams[id]; h != nil {
		e.reached(now, h, by)
	}
}

// restore ends an ejection after a successful probe. Half of the ejection time and part of the failure rate are kept,
// so that an upstream that soon fails again is ejected for longer.
func (e *Ejector) restore(h *health) {
	h.ejected = false
	h.probes = 0
	h.ejectionTime /= 2
	h.failureRate = min(h.failureRate, e.settings.FailureRateLimit/2)
}

// Abandoned records that an attempt ended with neither a response nor a failure.
func (e *Ejector) Abandoned(id identifier.UpstreamID) {
	if h := e.upstreams[id]; h != nil {
		h.probes = max(0, h.probes-1)
	}
}

// Unreachable records a failed connection of an instance and ejects the upstream at once, unless others reach it.
func (e *Ejector) Unreachable(now time.Time, id identifier.UpstreamID, by identifier.InstanceID) {
	if h := e.upstreams[id]; h != nil {
		e.accuse(now, h, by, CauseUnreachable)
	}
}

// Stalled records an attempt of an instance without progress long after its predicted time, and ejects the upstream unless
// it completed another attempt within the last BaseEjectionTime.
func (e *Ejector) Stalled(now time.Time, id identifier.UpstreamID, by identifier.InstanceID) {
	h := e.upstreams[id]
	if h == nil || now.Sub(h.respondedAt) < e.settings.BaseEjectionTime {
		return
	}
	e.accuse(now, h, by, CauseStalled)
}

// Failed records a response at an instance that failed, was truncated, never arrived or belonged to another attempt.
func (e *Ejector) Failed(now time.Time, id identifier.UpstreamID, by identifier.InstanceID) {
	h := e.upstreams[id]
	if h == nil || now.Before(h.paths[by].doubtedUntil) {
		return
	}
	h.samples++
	h.failureRate += failureSmoothing * (1 - h.failureRate)
	if h.ejected || h.samples >= e.settings.MinSamples && h.failureRate >= e.settings.FailureRateLimit {
		e.eject(now, h, CauseErrors)
	}
}

// Rejected records that the upstream refused work. It pauses the upstream and doesn't count as a failure.
func (e *Ejector) Rejected(now time.Time, id identifier.UpstreamID) {
	h := e.upstreams[id]
	if h == nil {
		return
	}
	h.probes = 0
	h.pausedUntil = now.Add(e.settings.RejectBackoff)
}

// eject starts an ejection, or a longer one after a failed probe. During an ejection it does nothing.
func (e *Ejector) eject(now time.Time, h *health, cause Cause) {
	if h.ejected && now.Before(h.ejectedUntil) {
		return
	}
	h.ejectionTime = min(max(e.settings.BaseEjectionTime, 2*h.ejectionTime), e.settings.MaxEjectionTime)
	h.ejected, h.ejectedAt = true, now
	h.cause = cause
	h.accusers = map[identifier.InstanceID]bool{}
	maps.DeleteFunc(e.servedAt, func(_ identifier.InstanceID, at time.Time) bool { return now.Sub(at) >= doubtTime })
	h.probes = 0
	h.ejectedUntil = now.Add(h.ejectionTime)
}

// isSlow reports whether an upstream's latency ratio is an outlier against the median, so that nothing is ejected when
// the whole fleet is slow.
func (e *Ejector) isSlow(h *health) bool {
	return h.latencyRatio > e.settings.SlowFactor*max(1, e.medianLatencyRatio())
}

func (e *Ejector) medianLatencyRatio() float64 {
	ratios := make([]float64, 0, len(e.upstreams))
	for _, h := range e.upstreams {
		if h.latencySamples > 0 {
			ratios = append(ratios, h.latencyRatio)
		}
	}
	if len(ratios) == 0 {
		return 1
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// Status returns the current state of an upstream; an untracked one counts as healthy.
func (e *Ejector) Status(now time.Time, id identifier.UpstreamID) Status {
	h := e.upstreams[id]
	switch {
	case h == nil:
		return Healthy
	case h.ejected && now.Before(h.ejectedUntil):
		return Ejected
	case h.ejected && h.probes > 0:
		return Ejected
	case now.Before(h.pausedUntil):
		return Paused
	case h.ejected:
		return Probed
	default:
		return Healthy
	}
}

// Probing reports whether the ejection of an upstream is over but for a good answer to a probe.
func (e *Ejector) Probing(now time.Time, id identifier.UpstreamID) bool {
	h := e.upstreams[id]
	return h != nil && h.ejected && !now.Before(h.ejectedUntil)
}

// Cause returns why an upstream is ejected, or the empty cause if it isn't.
func (e *Ejector) Cause(id identifier.UpstreamID) Cause {
	h := e.upstreams[id]
	if h == nil || !h.ejected {
		return ""
	}
	return h.cause
}

// EjectedCount returns the number of ejected upstreams, without unreachable ones. If it is a large share of the pool,
// the fault is probably at this instance, and using engines that look unhealthy is better than using none.
func (e *Ejector) EjectedCount(now time.Time) int {
	count := 0
	for _, h := range e.upstreams {
		if h.ejected && now.Before(h.ejectedUntil) && h.cause != CauseUnreachable {
			count++
		}
	}
	return count
}
