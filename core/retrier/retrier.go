// Package retrier decides whether another attempt of a request pays: a retry, a hedge or none.
package retrier

import "time"

// Settings holds the tunables of further attempts.
type Settings struct {
	// RetryShare is how many retries each request earns; it bounds the extra load of a failing fleet.
	RetryRatio float64
	// RetryBurst is the number of retries that may be saved up.
	RetryBurst float64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// HedgeShare is how many hedges each request earns.
	HedgeRatio float64
	// HedgeBurst is the number of hedges that may be saved up.
	HedgeBurst float64
	// HedgeFactor is how many times its predicted time to the first token an attempt may take before a hedge.
	HedgeFactor float64
	// HedgeFloor is added to the predicted time, so that very short predictions do not hedge on noise.
	HedgeMargin time.Duration
	// HedgeOccupation is the longest engine time of work that is hedged.
	MaxHedgeEngineTime time.Duration
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		RetryRatio:         0.15,
		RetryBurst:         20,
		MaxAttempts:        4,
		HedgeRatio:         0.05,
		HedgeBurst:         10,
		HedgeFactor:        3,
		HedgeMargin:        1500 * time.Millisecond,
		MaxHedgeEngineTime: 3 * time.Second,
	}
}

// Retrier keeps the budgets of one instance. It is not safe for concurrent use.
type Retrier struct {
	settings    Settings
	retryTokens float64
	hedgeTokens float64
}

// NewRetrier returns a retrier with full budgets.
func NewRetrier(settings Settings) *Retrier {
	return &Retrier{settings: settings, retryTokens: settings.RetryBurst, hedgeTokens: settings.HedgeBurst}
}

// Requested earns the budgets' shares for one new request.
func (r *Retrier) CountRequest() {
	r.retryTokens = min(r.settings.RetryBurst, r.retryTokens+r.settings.RetryRatio)
	r.hedgeTokens = min(r.settings.HedgeBurst, r.hedgeTokens+r.settings.HedgeRatio)
}

// Failure describes a request after a failed attempt.
type Failure struct {
	Attempts int
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// Free is true when the upstream did no work, so that a retry adds no load.
	NotExecuted bool
}

// Retry tells whether a failed request may be tried again and takes the retry out of the budget.
func (r *Retrier) TryRetry(f Failure) bool {
	if f.Remaining <= 0 {
		return false
	}
	if f.NotExecuted {
		return f.Attempts < 3*r.settings.MaxAttempts
	}
	if f.Attempts >= r.settings.MaxAttempts || r.retryTokens < 1 {
		return false
	}
	r.retryTokens--
	return true
}

// Slow describes a running attempt that has shown no token yet.
type SlowAttempt struct {
	Urgent bool
	Hedged bool
	// Waited is the time since the attempt was sent, Predicted what was foreseen until its first token.
	Elapsed             time.Duration
	PredictedFirstToken time.Duration
	// Occupation is the engine time that a second attempt takes; Finish is when it would be whole.
	EngineTime time.Duration
	Completion time.Duration
	Remaining  time.Duration
}

// Overdue tells whether an attempt has waited so long for its first token that something is wrong.
func (r *Retrier) Overdue(waited, predicted time.Duration) bool {
	return waited > time.Duration(float64(predicted)*r.settings.HedgeFactor)+r.settings.HedgeMargin
}

// Hedge tells whether a second attempt beside a slow one pays, and takes it out of the budget.
func (r *Retrier) TryHedge(s SlowAttempt) bool {
	switch {
	case !s.Urgent || s.Hedged:
		return false
	case !r.Overdue(s.Elapsed, s.PredictedFirstToken):
		return false
	case s.EngineTime > r.settings.MaxHedgeEngineTime || s.Completion > s.Remaining:
		return false
	case r.hedgeTokens < 1:
		return false
	}
	r.hedgeTokens--
	return true
}
