// Package budgeter limits the retries that an instance sends to each service, so that the retries of all instances
// together stay within the platform's retry budget.
package budgeter

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings is the retry budget of a service: in any window of length Window, all instances together may send Ratio
// retries per request, plus Extra retries.
type Settings struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// buckets is the number of buckets of the sliding window.
	buckets = 10
	// keptBuckets is the number of buckets that are kept. A retry counts until its whole bucket has left the window.
	keptBuckets = buckets + 1
	// headroom is the fraction of the budget that is left unused: the windows of several instances differ, and so do the
	// requests in them.
	headroom = 0.3
)

// counters holds the requests and retries of one service, by bucket.
type counters struct {
	requests [keptBuckets]int
	retries  [keptBuckets]int
}

// Budgeter counts the requests and retries of one instance. It is not safe for concurrent use.
type Budgeter struct {
	settings  Settings
	instances int
	services  map[identifier.ServiceName]*counters
	// origin is the start of bucket 0. Buckets are computed from the difference to it, which follows the monotonic clock;
	// wall-clock times don't.
	origin time.Time
	bucket int64
}

// NewBudgeter returns a budgeter for a system of one instance.
func NewBudgeter(settings Settings) *Budgeter {
	return &Budgeter{settings: settings, instances: 1, services: map[identifier.ServiceName]*counters{}}
}

// SetInstances sets the number of instances among which Extra is divided.
func (b *Budgeter) SetInstances(count int) { b.instances = max(1, count) }

// SetSettings replaces the budget. Retries of the current window still count. If the window length changes, requests of
// the current window no longer count, because the old buckets can't be mapped to the new ones.
func (b *Budgeter) SetSettings(now time.Time, settings Settings) {
	b.advance(now)
	previous := b.settings
	b.settings = settings
	if settings.Window == previous.Window {
		return
	}
	b.origin, b.bucket = now, 0
	for _, c := range b.services {
		retries := 0
		for _, n := range c.retries {
			retries += n
		}
		*c = counters{}
		c.retries[0] = retries
	}
}

// CountRequest counts a caller's request to a service.
func (b *Budgeter) CountRequest(now time.Time, service identifier.ServiceName) {
	b.advance(now)
	b.counters(service).requests[b.index()]++
}

// TryRetry counts a retry to a service and reports whether it may be sent. It counts nothing when the budget is spent.
func (b *Budgeter) TryRetry(now time.Time, service identifier.ServiceName) bool {
	if u := b.Usage(now, service); float64(u.Retries+1) > u.Allowed {
		return false
	}
	b.counters(service).retries[b.index()]++
	return true
}

// Usage is what the budget allows of a service's retries in the current window, and what is used of it.
type Usage struct {
	Requests int
	Retries  int
	// Allowed is the number of retries that the instance may send.
	Allowed float64
	// Instances is the number of instances that share Extra.
	Instances int
}

// Usage returns what the budget allows of a service's retries now.
func (b *Budgeter) Usage(now time.Time, service identifier.ServiceName) Usage {
	b.advance(now)
	c := b.counters(service)
	u := Usage{Instances: b.instances}
	oldest := int((b.bucket + 1) % keptBuckets)
	for i := range keptBuckets {
		u.Retries += c.retries[i]
		if i != oldest {
			u.Requests += c.requests[i]
		}
	}
	u.Allowed = (1 - headroom) * (b.settings.Ratio*float64(u.Requests) + b.settings.Extra/float64(b.instances))
	return u
}

func (b *Budgeter) counters(service identifier.ServiceName) *counters {
	c := b.services[service]
	if c == nil {
		c = &counters{}
		b.services[service] = c
	}
	return c
}

func (b *Budgeter) index() int { return int(b.bucket % keptBuckets) }

// advance clears the buckets that have left the window.
func (b *Budgeter) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	bucket := int64(now.Sub(b.origin) / (b.settings.Window / buckets))
	if bucket <= b.bucket {
		return
	}
	for passed := min(bucket-b.bucket, keptBuckets); passed > 0; passed-- {
		i := (bucket - passed + 1) % keptBuckets
		for _, c := range b.services {
			c.requests[i], c.retries[i] = 0, 0
		}
	}
	b.bucket = bucket
}
