// Package throttler limits a process's appends to its share of the log's append rate and sends the most urgent first.
package throttler

import (
	"math"
	"slices"
	"time"
)

// Urgency orders appends that wait for tokens; a lower number goes first.
type Urgency int

// Urgencies of appends, the most urgent first.
const (
	UrgencyLease Urgency = iota + 1
	UrgencyClaim
	UrgencyOutcome
	UrgencyOrder
	UrgencySnapshot
)

// Append rate of one process.
const (
	// DefaultAppendsPerSecond keeps seven processes together below 100 appends per second.
	DefaultAppendsPerSecond = 14
	// DefaultBurst allows the leases of all scopes to be appended at once.
	DefaultBurst = 8
)

// tolerance absorbs floating-point error in the token count, so that a value is due once UntilDue has passed.
const tolerance = 1e-6

type item[T any] struct {
	urgency Urgency
	value   T
}

// Throttler is a token bucket with a queue ordered by urgency. It is not safe for concurrent use.
type Throttler[T any] struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
	queue      []item[T]
}

// NewThrottler returns a throttler with a full bucket. perSecond is the sustained rate, burst the size of the bucket.
func NewThrottler[T any](perSecond float64, burst int) *Throttler[T] {
	return &Throttler[T]{perSecond: perSecond, burst: float64(burst), tokens: float64(burst)}
}

// Add queues a value after all values that are at least as urgent.
func (t *Throttler[T]) Add(urgency Urgency, value T) {
	at := len(t.queue)
	for at > 0 && t.queue[at-1].urgency > urgency {
		at--
	}
	t.queue = slices.Insert(t.queue, at, item[T]{urgency: urgency, value: value})
}

// TakeDue removes and returns the values that may be appended now.
func (t *Throttler[T]) TakeDue(now time.Time) []T {
	t.refill(now)
	var due []T
	for len(t.queue) > 0 && t.tokens >= 1-tolerance {
		t.tokens--
		due = append(due, t.queue[0].value)
		t.queue = t.queue[1:]
	}
	return due
}

// UntilDue returns the time until the next value is due, rounded up to whole milliseconds. It returns false when the
// queue is empty.
func (t *Throttler[T]) UntilDue(now time.Time) (time.Duration, bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	t.refill(now)
	if t.tokens >= 1-tolerance {
		return 0, true
	}
	milliseconds := math.Ceil((1-t.tokens)/t.perSecond*1000 - tolerance)
	return time.Duration(milliseconds) * time.Millisecond, true
}

// Len returns the number of queued values.
func (t *Throttler[T]) Len() int { return len(t.queue) }

func (t *Throttler[T]) refill(now time.Time) {
	if !t.refilledAt.IsZero() && now.After(t.refilledAt) {
		t.tokens = min(t.burst, t.tokens+now.Sub(t.refilledAt).Seconds()*t.perSecond)
	}
	if now.After(t.refilledAt) {
		t.refilledAt = now
	}
}
