// Package budgeter bounds the repeats that an instance sends to each service, so that all instances together stay under
// the platform's bound.
package budgeter

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings is the bound over all instances in any window: Share of a service's requests and Extra besides.
type Settings struct {
	Share  float64
	Extra  float64
	Window time.Duration
}

// slices is the number of parts into which the window is cut; a repeat counts until its part has left the window.
const slices = 10

// reserve is the share of the bound that is left unused: windows slide, and other instances' counts are not known.
const reserve = 0.3

type account struct {
	requests [slices]int
	repeats  [slices]int
}

// Budgeter counts one instance's requests and repeats. It is not safe for concurrent use.
type Budgeter struct {
	settings  Settings
	instances int
	services  map[identifier.ServiceName]*account
	// started is the origin of the parts: differences of times follow the monotonic clock, dates do not.
	started time.Time
	current int64
}

// NewBudgeter returns a budgeter of a system of one instance.
func NewBudgeter(settings Settings) *Budgeter {
	return &Budgeter{settings: settings, instances: 1, services: map[identifier.ServiceName]*account{}}
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
	b.started, b.current = now, 0
	for _, a := range b.services {
		repeats := 0
		for _, n := range a.repeats {
			repeats += n
		}
		*a = account{}
		a.repeats[0] = repeats
	}
}

// Requested counts a caller's request for a service.
func (b *Budgeter) Requested(now time.Time, service identifier.ServiceName) {
	b.advance(now)
	b.account(service).requests[b.slot()]++
}

// Spend counts a repeat to a service; it returns false, and counts nothing, when the budget is used up.
func (b *Budgeter) Spend(now time.Time, service identifier.ServiceName) bool {
	b.advance(now)
	a := b.account(service)
	requests, repeats := 0, 0
	for i := range slices {
		requests += a.requests[i]
		repeats += a.repeats[i]
	}
	allowed := (1 - reserve) * (b.settings.Share*float64(requests) + b.settings.Extra/float64(b.instances))
	if float64(repeats+1) > allowed {
		return false
	}
	a.repeats[b.slot()]++
	return true
}

func (b *Budgeter) account(service identifier.ServiceName) *account {
	a := b.services[service]
	if a == nil {
		a = &account{}
		b.services[service] = a
	}
	return a
}

func (b *Budgeter) slot() int { return int(b.current % slices) }

// advance empties the parts that have left the window.
func (b *Budgeter) advance(now time.Time) {
	if b.started.IsZero() {
		b.started = now
	}
	part := int64(now.Sub(b.started) / (b.settings.Window / slices))
	if part <= b.current {
		return
	}
	for skipped := min(part-b.current, slices); skipped > 0; skipped-- {
		at := (part - skipped + 1) % slices
		for _, a := range b.services {
			a.requests[at], a.repeats[at] = 0, 0
		}
	}
	b.current = part
}
