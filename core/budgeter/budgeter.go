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
	// startShare is the fraction of an instance's share of Extra that it may use within a window of its start. The process
	// before it may have used the share already.
	startShare = 0.1
)

// counters holds the requests and retries of one service, by bucket.
type counters struct {
	requests [keptBuckets]int
	retries  [keptBuckets]int
}

// Budgeter counts the requests and retries of one instance. It is not safe for concurrent use.
type Budgeter struct {
	settings Settings
	services map[identifier.ServiceName]*counters
	// instances is the number of instances among which Extra is divided; zero while it is not known. fewer is a smaller
	// number that takes its place a window after fewerSince: those that have left used their shares before.
	instances  int
	fewer      int
	fewerSince time.Time
	// startedAt is when the instance started; zero before the first call.
	startedAt time.Time
	// origin is the start of bucket 0. Buckets are computed from the difference to it, which follows the monotonic clock;
	// wall-clock times don't.
	origin time.Time
	bucket int64
}

// NewBudgeter returns a budgeter of an instance that starts and does not know how many others there are. Until SetInstances
// is called, none of Extra may be used.
func NewBudgeter(settings Settings) *Budgeter {
	return &Budgeter{settings: settings, services: map[identifier.ServiceName]*counters{}}
}

// SetInstances sets the number of instances among which Extra is divided.
func (b *Budgeter) SetInstances(now time.Time, count int) {
	b.advance(now)
	count = max(1, count)
	switch {
	case count >= b.instances:
		b.instances, b.fewer = count, 0
	case count != b.fewer:
		b.fewer, b.fewerSince = count, now
	}
}

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
	// Instances is the number of instances that share Extra; zero while it is not known.
	Instances int
	// Started is true within a window of the start.
	Started bool
}

// Usage returns what the budget allows of a service's retries now.
func (b *Budgeter) Usage(now time.Time, service identifier.ServiceName) Usage {
	b.advance(now)
	c := b.counters(service)
	u := Usage{Instances: b.instances, Started: now.Sub(b.startedAt) < b.settings.Window}
	oldest := int((b.bucket + 1) % keptBuckets)
	for i := range keptBuckets {
		u.Retries += c.retries[i]
		if i != oldest {
			u.Requests += c.requests[i]
		}
	}
	u.Allowed = (1 - headroom) * (b.settings.Ratio*float64(u.Requests) + b.share(u.Started))
	return u
}

// share returns how much of Extra the instance may use.
func (b *Budgeter) share(started bool) float64 {
	if b.instances == 0 {
		return 0
	}
	share := b.settings.Extra / float64(b.instances)
	if started {
		share *= startShare
	}
	return share
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

// advance clears the buckets that have left the window, and applies a smaller number of instances when it is due.
func (b *Budgeter) advance(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt, b.origin = now, now
	}
	if b.fewer > 0 && now.Sub(b.fewerSince) >= b.settings.Window {
		b.instances, b.fewer = b.fewer, 0
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
