package ejector

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Standing tells how an upstream may be used.
type Status int

// Standings of an upstream.
const (
	// Healthy upstreams take any work.
	Healthy Status = iota
	// Probed upstreams come back from an ejection and take one attempt at a time.
	Probed
	// Paused upstreams refused work a moment ago.
	Paused
	// Ejected upstreams take nothing.
	Ejected
)

// Cause tells why an upstream was ejected.
type Cause string

// Causes of an ejection.
const (
	CauseUnreachable Cause = "unreachable"
	CauseErrors      Cause = "errors"
	CauseSlow        Cause = "slow"
	CauseStalled     Cause = "silent"
)

// health is what is known of one upstream.
type health struct {
	// failures is the smoothed share of failed attempts.
	failureRate float64
	samples     int
	// delay is the smoothed ratio of actual to predicted time.
	latencyRatio   float64
	latencySamples int
	ejected        bool
	cause          Cause
	ejectedUntil   time.Time
	ejectionTime   time.Duration
	pausedUntil    time.Time
	probes         int
	answeredAt     time.Time
}

const (
	// failureMemory is the share by which one outcome moves the smoothed share of failures.
	failureSmoothing = 0.15
	// delayMemory is the share by which one answer moves the smoothed delay.
	latencySmoothing = 0.2
)

// Ejector keeps the health of the upstreams. It is not safe for concurrent use.
type Ejector struct {
	settings  Settings
	upstreams map[identifier.UpstreamID]*health
}

// NewEjector returns an ejector that knows no upstreams.
func NewEjector(settings Settings) *Ejector {
	return &Ejector{settings: settings, upstreams: make(map[identifier.UpstreamID]*health)}
}

// Add starts to watch an upstream.
func (j *Ejector) Add(id identifier.UpstreamID) {
	if j.upstreams[id] == nil {
		j.upstreams[id] = &health{latencyRatio: 1}
	}
}

// Remove forgets an upstream.
func (j *Ejector) Remove(id identifier.UpstreamID) { delete(j.upstreams, id) }

// Sent tells that an attempt went to the upstream; one to a probed upstream is its probe.
func (j *Ejector) Sent(id identifier.UpstreamID) {
	if h := j.upstreams[id]; h != nil && h.ejected {
		h.probes++
	}
}

// Succeeded takes a whole answer and the ratio of its actual to its predicted time, zero when unknown.
func (j *Ejector) Succeeded(now time.Time, id identifier.UpstreamID, ratio float64) {
	h := j.upstreams[id]
	if h == nil {
		return
	}
	h.answeredAt = now
	h.samples++
	h.failureRate -= failureSmoothing * h.failureRate
	if ratio > 0 {
		h.latencySamples++
		h.latencyRatio += latencySmoothing * (ratio - h.latencyRatio)
	}
	switch {
	case h.ejected && now.Before(h.ejectedUntil):
	case j.isSlow(h) && h.latencySamples >= j.settings.MinSamples:
		j.eject(now, h, CauseSlow)
	case h.ejected:
		j.restore(h)
	}
}

// restore ends an ejection after a good probe; a short memory of the pause and the failures remains.
func (j *Ejector) restore(h *health) {
	h.ejected = false
	h.probes = 0
	h.ejectionTime /= 2
	h.failureRate = min(h.failureRate, j.settings.FailureRateLimit/2)
}

// Abandoned tells that an attempt ended with neither an answer nor a failure.
func (j *Ejector) Abandoned(id identifier.UpstreamID) {
	if h := j.upstreams[id]; h != nil {
		h.probes = max(0, h.probes-1)
	}
}

// Unreachable takes a failed connection; the upstream is ejected at once.
func (j *Ejector) Unreachable(now time.Time, id identifier.UpstreamID) {
	if h := j.upstreams[id]; h != nil {
		j.eject(now, h, CauseUnreachable)
	}
}

// Silent takes an attempt that showed no sign of life long after its predicted time.
func (j *Ejector) Stalled(now time.Time, id identifier.UpstreamID) {
	h := j.upstreams[id]
	if h == nil || now.Sub(h.answeredAt) < j.settings.BaseEjectionTime {
		return
	}
	j.eject(now, h, CauseStalled)
}

// Broken takes an answer that was broken off or crossed.
func (j *Ejector) Failed(now time.Time, id identifier.UpstreamID) {
	h := j.upstreams[id]
	if h == nil {
		return
	}
	h.samples++
	h.failureRate += failureSmoothing * (1 - h.failureRate)
	if h.ejected || h.samples >= j.settings.MinSamples && h.failureRate >= j.settings.FailureRateLimit {
		j.eject(now, h, CauseErrors)
	}
}

// Rejected takes a refusal by the upstream; it says nothing against its health.
func (j *Ejector) Rejected(now time.Time, id identifier.UpstreamID) {
	h := j.upstreams[id]
	if h == nil {
		return
	}
	h.probes = 0
	h.pausedUntil = now.Add(j.settings.RejectBackoff)
}

// eject starts or prolongs an ejection.
func (j *Ejector) eject(now time.Time, h *health, cause Cause) {
	if h.ejected && now.Before(h.ejectedUntil) {
		return
	}
	h.ejectionTime = min(max(j.settings.BaseEjectionTime, 2*h.ejectionTime), j.settings.MaxEjectionTime)
	h.ejected = true
	h.cause = cause
	h.probes = 0
	h.ejectedUntil = now.Add(h.ejectionTime)
}

// slow compares an upstream's delay with the median, so that a fleet that is late as a whole ejects nobody.
func (j *Ejector) isSlow(h *health) bool {
	return h.latencyRatio > j.settings.SlowFactor*max(1, j.medianLatencyRatio())
}

func (j *Ejector) medianLatencyRatio() float64 {
	delays := make([]float64, 0, len(j.upstreams))
	for _, h := range j.upstreams {
		if h.latencySamples > 0 {
			delays = append(delays, h.latencyRatio)
		}
	}
	if len(delays) == 0 {
		return 1
	}
	slices.Sort(delays)
	return delays[len(delays)/2]
}

// Standing returns how an upstream may be used now.
func (j *Ejector) Status(now time.Time, id identifier.UpstreamID) Status {
	h := j.upstreams[id]
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

// Cause returns why an upstream is out, empty for a healthy one.
func (j *Ejector) Cause(id identifier.UpstreamID) Cause {
	h := j.upstreams[id]
	if h == nil || !h.ejected {
		return ""
	}
	return h.cause
}

// Out returns how many reachable upstreams are ejected. When they are most of a pool, the fault is rather on this side,
// and engines that look sick are better than none.
func (j *Ejector) EjectedCount(now time.Time) int {
	out := 0
	for _, h := range j.upstreams {
		if h.ejected && now.Before(h.ejectedUntil) && h.cause != CauseUnreachable {
			out++
		}
	}
	return out
}
