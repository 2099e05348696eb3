// Package budgeter bounds the repeats that an instance sends to each service, so that all instances together stay under
// the platform's bound.
package budgeter

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings is the bound over all instances in any window: Share of a service's requests and Extra besides.
type Settings struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// slices is the number of parts into which the window is cut; a repeat counts until its part has left the window.
const buckets = 10

// reserve is the share of the bound that is left unused: windows slide, and other instances' counts are not known.
const headroom = 0.3

type counters struct {
	requests [buckets]int
	retries  [buckets]int
}

// Budgeter counts one instance's requests and repeats. It is not safe for concurrent use.
type Budgeter struct {
	settings  Settings
	instances int
	services  map[identifier.ServiceName]*counters
	// started is the origin of the parts: differences of times follow the monotonic clock, dates do not.
	origin time.Time
	bucket int64
}

// NewBudgeter returns a budgeter of a system of one instance.
func NewBudgeter(settings Settings) *Budgeter {
	return &Budgeter{settings: settings, instances: 1, services: map[identifier.ServiceName]*counters{}}
}

// SetInstances sets the number of instances that share Extra.
func (b *Budgeter) SetInstances(count int) { b.instances = max(1, count) }

// SetSettings replaces the bound. Repeats of the window before still count; with another window its requests no longer
// do, since they can't be told apart by their time.
func (b *Budgeter) SetSettings(now time.Time, settings Settings) {
	b.advance(now)
	before := b.settings
	b.settings = settings
	if settings.Window == before.Window {
		return
	}
	b.origin, b.bucket = now, 0
	for _, a := range b.services {
		repeats := 0
		for _, n := range a.retries {
			repeats += n
		}
		*a = counters{}
		a.retries[0] = repeats
	}
}

// Requested counts a caller's request for a service.
func (b *Budgeter) CountRequest(now time.Time, service identifier.ServiceName) {
	b.advance(now)
	b.counters(service).requests[b.index()]++
}

// Spend counts a repeat to a service; it returns false, and counts nothing, when the budget is used up.
func (b *Budgeter) TryRetry(now time.Time, service identifier.ServiceName) bool {
	b.advance(now)
	a := b.counters(service)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += a.requests[i]
		repeats += a.retries[i]
	}
	allowed := (1 - headroom) * (b.settings.Ratio*float64(requests) + b.settings.Extra/float64(b.instances))
	if float64(repeats+1) > allowed {
		return false
	}
	a.retries[b.index()]++
	return true
}

func (b *Budgeter) counters(service identifier.ServiceName) *counters {
	a := b.services[service]
	if a == nil {
		a = &counters{}
		b.services[service] = a
	}
	return a
}

func (b *Budgeter) index() int { return int(b.bucket % buckets) }

// advance empties the parts that have left the window.
func (b *Budgeter) advance(now time.Time) {
	if b.origin.IsZero() {
		b.origin = now
	}
	part := int64(now.Sub(b.origin) / (b.settings.Window / buckets))
	if part <= b.bucket {
		return
	}
	for skipped := min(part-b.bucket, buckets); skipped > 0; skipped-- {
		at := (part - skipped + 1) % buckets
		for _, a := range b.services {
			a.requests[at], a.retries[at] = 0, 0
		}
	}
	b.bucket = part
}
