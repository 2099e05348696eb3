package ejector

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	// contradictionDelay is how long after the beginning of an ejection a response must arrive to show that the upstream can
	// be reached: earlier ones may have been on their way.
	contradictionDelay = 200 * time.Millisecond
	// doubtTime is how long after its last failure an instance counts as cut off from an upstream.
	doubtTime = 30 * time.Second
)

// path is what is known of a path from one instance to an upstream that works from others.
type path struct {
	// doubtedUntil is how long that instance's failures say nothing about the upstream, avoidedUntil how long it gets no
	// request there.
	doubtedUntil time.Time
	avoidedUntil time.Time
}

// accuse ejects an upstream because of what one instance experiences, unless others reach it.
func (e *Ejector) accuse(now time.Time, h *health, by identifier.InstanceID, cause Cause) {
	if now.Before(h.paths[by].doubtedUntil) {
		e.doubt(now, h, by)
		return
	}
	e.eject(now, h, cause)
	if h.cause == CauseUnreachable || h.cause == CauseStalled {
		h.accusers[by] = true
	}
}

// reached records that an instance has had a response. If only others could not reach the upstream, the fault is on their
// paths.
func (e *Ejector) reached(now time.Time, h *health, by identifier.InstanceID) {
	h.respondedAt = now
	e.servedAt[by] = now
	delete(h.paths, by)
	if !h.ejected || len(h.accusers) == 0 || h.accusers[by] || now.Sub(h.ejectedAt) < contradictionDelay {
		return
	}
	for accuser := range h.accusers {
		e.doubt(now, h, accuser)
	}
	e.restore(h)
}

// doubt records that an instance can't reach an upstream that others reach.
func (e *Ejector) doubt(now time.Time, h *health, by identifier.InstanceID) {
	if h.paths == nil {
		h.paths = map[identifier.InstanceID]path{}
	}
	h.paths[by] = path{doubtedUntil: now.Add(doubtTime), avoidedUntil: now.Add(e.settings.BaseEjectionTime)}
}

// IsAvoided reports whether an instance should send nothing to an upstream because others may reach it and it can't.
func (e *Ejector) IsAvoided(now time.Time, id identifier.UpstreamID, by identifier.InstanceID) bool {
	h := e.upstreams[id]
	switch {
	case h == nil:
		return false
	case now.Before(h.paths[by].avoidedUntil):
		return true
	default:
		// Another instance is to send the probe at the end of the ejection.
		return h.ejected && h.accusers[by] && now.Before(h.ejectedUntil.Add(e.settings.BaseEjectionTime)) && e.othersServe(now, h)
	}
}

// othersServe reports whether an instance that doesn't accuse an upstream has had a response from any upstream lately.
func (e *Ejector) othersServe(now time.Time, h *health) bool {
	for instance, at := range e.servedAt {
		if now.Sub(at) < doubtTime && !h.accusers[instance] {
			return true
		}
	}
	return false
}

// IsUnreachable reports whether an instance has not reached an upstream lately; others may reach it.
func (e *Ejector) IsUnreachable(now time.Time, id identifier.UpstreamID, by identifier.InstanceID) bool {
	h := e.upstreams[id]
	return h != nil && (h.ejected && h.accusers[by] || now.Before(h.paths[by].doubtedUntil))
}
