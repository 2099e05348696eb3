// Package admitter decides which requests may wait for an engine: caller limits, fair shares and a bounded queue.
package admitter

import (
	"math"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings holds the tunables of admission.
type Settings struct {
	// MaxCallers bounds the callers whose recent use is remembered.
	MaxCallers int
	// UsageMemory is the time over which a caller's use is forgotten.
	UsageTimeConstant time.Duration
	// FairExcess is how many times its fair share a caller may use under overload.
	FairShareFactor float64
	// FairBurst is the engine time that any caller may use under overload before shares count.
	FairShareBurst time.Duration
	// OverloadMemory is the time over which shed requests count as overload.
	OverloadTimeConstant time.Duration
	// OverloadShare is the share of shed requests from which on the instance is overloaded.
	OverloadThreshold float64
	// MaxQueue bounds the requests that wait at the instance.
	MaxQueue int
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		MaxCallers:     4096,
		UsageTimeConstant:    30 * time.Second,
		FairShareFactor:     3,
		FairShareBurst:      20 * time.Second,
		OverloadTimeConstant: 10 * time.Second,
		OverloadThreshold:  0.05,
		MaxQueue:       1024,
	}
}

// Verdict is the outcome of an admission.
type Decision int

// Verdicts of an admission.
const (
	Admitted Decision = iota
	// OverLimit means that the caller's configured rate is used up.
	OverLimit
	// OverShare means that the caller takes more than its fair share of an overloaded fleet.
	OverFairShare
)

// Admitter keeps limits and shares of one instance. It is not safe for concurrent use.
type Admitter struct {
	settings  Settings
	instances float64
	limits    map[identifier.CallerID]limit
	accounts    *accountCache
	total     float64
	totalAt   time.Time
	// shed is the smoothed share of requests that were shed.
	shed   float64
	shedAt time.Time
}

// NewAdmitter returns an admitter without limits.
func NewAdmitter(settings Settings) *Admitter {
	return &Admitter{
		settings:  settings,
		instances: 1,
		limits:    make(map[identifier.CallerID]limit),
		accounts:    newAccountCache(max(1, settings.MaxCallers)),
	}
}

// SetInstances tells over how many instances a caller's requests spread; each instance grants its part of a limit.
func (a *Admitter) SetInstances(count int) { a.instances = float64(max(1, count)) }

// Limit sets a caller's rate; zero lets it send without limit. The limit of identifier.DefaultCaller holds for each
// caller that has none of its own. A new limit begins with its whole burst.
func (a *Admitter) SetLimit(id identifier.CallerID, perSecond float64, burst int) {
	if account := a.accounts.byCaller[id]; account != nil {
		account.tokens = max(1, float64(burst)/a.instances)
	}
	a.limits[id] = limit{perSecond: max(0, perSecond), burst: max(1, float64(burst))}
}

// Unlist removes a caller's own limit.
func (a *Admitter) RemoveLimit(id identifier.CallerID) { delete(a.limits, id) }

// limitOf returns the limit that holds for a caller; without one its rate is zero.
func (a *Admitter) limitOf(id identifier.CallerID) limit {
	if l, ok := a.limits[id]; ok {
		return l
	}
	return a.limits[identifier.DefaultCaller]
}

// Admit takes one request of a caller that would occupy an engine for some seconds. The delay says when to come again.
func (a *Admitter) Admit(now time.Time, id identifier.CallerID, urgent bool, occupation float64) (Decision, time.Duration) {
	account, fresh := a.accounts.getOrCreate(id)
	l := a.limitOf(id)
	limited := l.perSecond > 0
	a.refresh(now, account, l, fresh)
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
	account.used += occupation
	a.total += occupation
	return Admitted, 0
}

// fade brings an account and the total up to now.
func (a *Admitter) refresh(now time.Time, account *account, l limit, fresh bool) {
	burst := max(1, l.burst/a.instances)
	if fresh {
		account.tokens = burst
		account.updatedAt = now
	}
	passed := max(0, now.Sub(account.updatedAt).Seconds())
	account.updatedAt = now
	account.tokens = min(burst, account.tokens+passed*l.perSecond/a.instances)
	account.used *= math.Exp(-passed / a.settings.UsageTimeConstant.Seconds())
	a.total *= math.Exp(-max(0, now.Sub(a.totalAt).Seconds()) / a.settings.UsageTimeConstant.Seconds())
	a.totalAt = now
}

// unfair tells whether a caller uses well over an equal share of what all remembered callers use.
func (a *Admitter) exceedsFairShare(account *account) bool {
	callers := float64(len(a.accounts.byCaller))
	if callers < 2 || account.used < a.settings.FairShareBurst.Seconds()/a.instances {
		return false
	}
	return account.used > a.settings.FairShareFactor*a.total/callers
}

// Decided tells whether a request was shed for lack of capacity.
func (a *Admitter) RecordDecision(now time.Time, shed bool) {
	const share = 0.02
	a.shed = a.shedShare(now)
	a.shedAt = now
	if shed {
		a.shed += share * (1 - a.shed)
		return
	}
	a.shed -= share * a.shed
}

// Overloaded tells whether requests are being shed for lack of capacity.
func (a *Admitter) Overloaded(now time.Time) bool {
	return a.shedShare(now) > a.settings.OverloadThreshold
}

func (a *Admitter) shedShare(now time.Time) float64 {
	passed := max(0, now.Sub(a.shedAt).Seconds())
	return a.shed * math.Exp(-passed/a.settings.OverloadTimeConstant.Seconds())
}
