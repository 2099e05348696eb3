// Package limiter keeps the requests to an upstream within the rate that the upstream has asked for. All instances share
// that rate: one that decides for all of them uses all of it, others use a small share.
package limiter

import (
	"math"
	"time"
)

// Limit is what an upstream has last said about the rate of requests that it takes.
type Limit struct {
	// Limited is true if the upstream has asked for a limit.
	Limited bool
	// PerSecond is the number of requests that it takes per second from all instances together.
	PerSecond float64
	// NamedAt is when the response arrived.
	NamedAt time.Time
}

const (
	// minPerSecond is the lowest rate of requests; their responses show when the limit has ended.
	minPerSecond = 0.5
	// burstTime is the time whose requests may be sent at once.
	burstTime = 250 * time.Millisecond
	// maxPartialRefill bounds the time for which an instance that uses a share of the rate accumulates requests, as many
	// instances may begin to use their shares at once.
	maxPartialRefill = time.Second
	// endDelay is how long after the last response with a limit one without it ends the limit. Responses that were sent
	// before the upstream named its limit may arrive after the first one that names it.
	endDelay = 500 * time.Millisecond
	// reportedChange is the share by which the rate must change to be reported: an upstream may name another one in each
	// response.
	reportedChange = 0.25
	// tolerance absorbs floating-point error in the number of tokens.
	tolerance = 1e-6
)

// Limiter is a token bucket for the requests to one upstream. It is not safe for concurrent use.
type Limiter struct {
	limit Limit
	// reported is the rate at the last change that Learn reported.
	reported   float64
	endedAt    time.Time
	tokens     float64
	refilledAt time.Time
}

// NewLimiter returns a limiter without limit. phase, from 0 to 1, differs between instances: it is the share of the time to
// the first request that passes in addition, so that instances which begin together do not send together.
func NewLimiter(phase float64) *Limiter { return &Limiter{tokens: -phase} }

// Learn updates the limit and reports whether it has begun, ended or changed much. A limit that was named earlier than the
// known one changes nothing.
func (l *Limiter) Learn(limit Limit) bool {
	if !limit.NamedAt.After(l.limit.NamedAt) {
		return false
	}
	if l.limit.Limited && !limit.Limited && limit.NamedAt.Sub(l.limit.NamedAt) < endDelay {
		return false
	}
	if l.limit.Limited && !limit.Limited {
		l.endedAt = limit.NamedAt
	}
	changed := limit.Limited != l.limit.Limited || math.Abs(limit.PerSecond-l.reported) > reportedChange*l.reported
	if changed {
		l.reported = limit.PerSecond
	}
	l.limit = limit
	return changed
}

// Limit returns what the upstream has last said.
func (l *Limiter) Limit() Limit { return l.limit }

// LimitedWithin reports whether the upstream had a limit within the last d.
func (l *Limiter) LimitedWithin(now time.Time, d time.Duration) bool {
	return l.limit.Limited || now.Sub(l.endedAt) < d
}

// Wait returns the time until the next request may be sent by an instance that uses a share of the rate, zero if it may be
// sent now.
func (l *Limiter) Wait(now time.Time, share float64) time.Duration {
	if !l.limit.Limited {
		return 0
	}
	l.refill(now, share)
	if l.tokens >= 1-tolerance {
		return 0
	}
	return time.Duration((1 - l.tokens) / l.rate(share) * float64(time.Second))
}

// Take counts a request that is sent now.
func (l *Limiter) Take(now time.Time, share float64) {
	if l.limit.Limited {
		l.refill(now, share)
		l.tokens--
	}
}

func (l *Limiter) rate(share float64) float64 { return share * max(minPerSecond, l.limit.PerSecond) }

func (l *Limiter) refill(now time.Time, share float64) {
	elapsed := now.Sub(l.refilledAt)
	burst := max(1, l.rate(share)*burstTime.Seconds())
	switch {
	case l.refilledAt.IsZero():
		elapsed = 0
	case share < 1:
		elapsed = min(elapsed, maxPartialRefill)
		burst = 1
	}
	l.tokens = min(burst, l.tokens+max(0, elapsed).Seconds()*l.rate(share))
	l.refilledAt = now
}
