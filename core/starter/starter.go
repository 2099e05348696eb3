// Package starter decides how long requests wait at an instance that has just started and doesn't know the configuration
// or the upstreams yet. It is built for the loss of all instances at once: callers return within the first tenths of a
// second, in which the instances get their state from the store and from each other. One that is refused then would not
// be back before it is late.
package starter

import (
	"sync/atomic"
	"time"
)

const (
	// startTime is how long after its start an instance usually knows what it needs: it has asked its neighbours a few
	// times and then the store.
	startTime = 500 * time.Millisecond
	// waitShare is the largest share of a caller's time that its request may wait. Callers whose request isn't read within
	// a third of their time leave.
	waitShare = 0.25
	// maxWaiting bounds the requests that wait, each with its connection.
	maxWaiting = 256
)

// Starter decides for one instance. It is safe for concurrent use.
type Starter struct {
	startedAt time.Time
	waiting   atomic.Int64
}

// NewStarter returns a starter of an instance that started at a time.
func NewStarter(startedAt time.Time) *Starter { return &Starter{startedAt: startedAt} }

// Enter returns until when a request may wait that arrived at a time with a time left to its caller, zero if unknown, and
// false if it must not wait. The caller calls Leave for each request that has entered.
func (s *Starter) Enter(now, arrived time.Time, left time.Duration) (until time.Time, waits bool) {
	until = s.startedAt.Add(startTime)
	if left > 0 {
		if latest := arrived.Add(time.Duration(waitShare * float64(left))); latest.Before(until) {
			until = latest
		}
	}
	if !now.Before(until) {
		return time.Time{}, false
	}
	if s.waiting.Add(1) > maxWaiting {
		s.waiting.Add(-1)
		return time.Time{}, false
	}
	return until, true
}

// Leave ends the wait of a request.
func (s *Starter) Leave() { s.waiting.Add(-1) }
