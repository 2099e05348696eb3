// Package admitter implements admission control: rate limits per caller, fair shares under overload and a bounded queue
// of requests that wait for an engine.
package admitter

import (
	"math"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings holds the tunables of admission control.
type Settings struct {
	// MaxCallers limits the callers whose recent usage is kept; the least recently used account is evicted.
	MaxCallers int
	// UsageTimeConstant is the time constant with which a caller's usage decays.
	UsageTimeConstant time.Duration
	// FairShareFactor is the multiple of its fair share that a caller may use under overload.
	FairShareFactor float64
	// FairShareBurst is the engine time that any caller may use under overload before its share is checked.
	FairShareBurst time.Duration
	// OverloadTimeConstant is the time constant with which the share of shed requests decays.
	OverloadTimeConstant time.Duration
	// OverloadThreshold is the share of shed requests above which the instance is overloaded.
	OverloadThreshold float64
	// MaxQueue limits the requests that wait at the instance.
	MaxQueue int
}

// DefaultSettings returns the default settings, chosen without knowledge of the fleet.
func DefaultSettings() Settings {
	return Settings{
		MaxCallers:           4096,
		UsageTimeConstant:    30 * time.Second,
		FairShareFactor:      3,
		FairShareBurst:       20 * time.Second,
		OverloadTimeConstant: 10 * time.Second,
		OverloadThreshold:    0.05,
		MaxQueue:             1024,
	}
}

// Decision is the result of admission control for one request.
type Decision int

// Decisions of admission control.
const (
	Admitted Decision = iota
	// OverLimit means that the caller has exceeded its configured rate.
	OverLimit
	// OverFairShare means that the caller uses more than its fair share of an overloaded fleet.
	OverFairShare
)

// Admitter enforces the limits and shares of the callers at one instance. It is not safe for concurrent use.
type Admitter struct {
	settings  Settings
	instances float64
	limits    map[identifier.CallerID]limit
	accounts  *accountCache
	total     float64
	totalAt   time.Time
	// shed is the smoothed share of shed requests, as of shedAt.
	shed   float64
	shedAt time.Time
}

// NewAdmitter returns an admitter without rate limits, for a single instance.
func NewAdmitter(settings Settings) *Admitter {
	return &Admitter{
		settings:  settings,
		instances: 1,
		limits:    make(map[identifier.CallerID]limit),
		accounts:  newAccountCache(max(1, settings.MaxCallers)),
	}
}

// SetInstances sets the number of instances over which the requests of a caller spread; each grants an equal part of a
// limit.
func (a *Admitter) SetInstances(count int) { a.instances = float64(max(1, count)) }

// SetLimit sets a caller's rate limit; a rate of zero means no limit. The limit of identifier.DefaultCaller applies to
// each caller without a limit of its own. A new limit starts with a full burst.
func (a *Admitter) SetLimit(id identifier.CallerID, perSecond float64, burst int) {
	if account := a.accounts.byCaller[id]; account != nil {
		account.tokens = max(1, float64(burst)/a.instances)
	}
	a.limits[id] = limit{perSecond: max(0, perSecond), burst: max(1, float64(burst))}
}

// RemoveLimit removes a caller's own limit; the one of identifier.DefaultCaller then applies.
func (a *Admitter) RemoveLimit(id identifier.CallerID) { delete(a.limits, id) }

// limitOf returns the limit that applies to a caller; its rate is zero if there is none.
func (a *Admitter) limitOf(id identifier.CallerID) limit {
	if l, ok := a.limits[id]; ok {
		return l
	}
	return a.limits[identifier.DefaultCaller]
}

// Admit decides on one request of a caller and, if it is admitted, charges it to the caller. Urgent requests are exempt
// from fair shares. engineTime is the engine time in seconds that the request takes. The delay is how long a refused
// caller should wait before it tries again.
func (a *Admitter) Admit(
	now time.Time, id identifier.CallerID, urgent bool, engineTime float64,
) (Decision, time.Duration) {
	account, created := a.accounts.getOrCreate(id)
	l := a.limitOf(id)
	limited := l.perSecond > 0
	a.refresh(now, account, l, created)
	if limited && account.tokens < 1 {
		wait := (1 - account.tokens) * a.instances / l.perSecond
		return OverLimit, time.Duration(math.Ceil(wait * float64(time.Second)))
	}
	if !urgent && a.Overloaded(now) && a.exceedsFairShare(account) {
		return OverFairShare, a.settings.UsageTimeConstant / 4
	}
	if limited {
		account.tokens--
	}
	account.used += engineTime
	a.total += engineTime
	return Admitted, 0
}

// refresh brings an account and the total up to date: it refills the token bucket and decays the usage.
func (a *Admitter) refresh(now time.Time, account *account, l limit, created bool) {
	burst := max(1, l.burst/a.instances)
	if created {
		account.tokens = burst
		account.updatedAt = now
	}
	elapsed := max(0, now.Sub(account.updatedAt).Seconds())
	account.updatedAt = now
	account.tokens = min(burst, account.tokens+elapsed*l.perSecond/a.instances)
	account.used *= math.Exp(-elapsed / a.settings.UsageTimeConstant.Seconds())
	a.total *= math.Exp(-max(0, now.Sub(a.totalAt).Seconds()) / a.settings.UsageTimeConstant.Seconds())
	a.totalAt = now
}

// exceedsFairShare reports whether a caller uses more than FairShareFactor times an equal share of the total usage.
func (a *Admitter) exceedsFairShare(account *account) bool {
	callers := float64(len(a.accounts.byCaller))
	if callers < 2 || account.used < a.settings.FairShareBurst.Seconds()/a.instances {
		return false
	}
	return account.used > a.settings.FairShareFactor*a.total/callers
}

// RecordDecision records whether a request was shed for lack of capacity.
func (a *Admitter) RecordDecision(now time.Time, shed bool) {
	const smoothing = 0.02
	a.shed = a.shedShare(now)
	a.shedAt = now
	if shed {
		a.shed += smoothing * (1 - a.shed)
		return
	}
	a.shed -= smoothing * a.shed
}

// Overloaded reports whether the share of requests shed for lack of capacity is above the threshold.
func (a *Admitter) Overloaded(now time.Time) bool {
	return a.shedShare(now) > a.settings.OverloadThreshold
}

func (a *Admitter) shedShare(now time.Time) float64 {
	elapsed := max(0, now.Sub(a.shedAt).Seconds())
	return a.shed * math.Exp(-elapsed/a.settings.OverloadTimeConstant.Seconds())
}
