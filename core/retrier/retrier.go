// Package retrier decides whether a request gets another attempt: a retry after a failure or a hedge of a slow attempt.
package retrier

import "time"

// Settings holds the tunables of retries and hedges.
type Settings struct {
	// RetryRatio is the number of retries that each request adds to the budget; it limits the load that retries add when
	// many attempts fail.
	RetryRatio float64
	// RetryBurst is the largest retry budget.
	RetryBurst float64
	// MaxAttempts is the largest number of attempts of one request. After an attempt that was not executed, up to three
	// times as many are allowed.
	MaxAttempts int
	// HedgeRatio is the number of hedges that each request adds to the budget.
	HedgeRatio float64
	// HedgeBurst is the largest hedge budget.
	HedgeBurst float64
	// HedgeFactor is the multiple of the predicted time to first token after which an attempt may be hedged.
	HedgeFactor float64
	// HedgeMargin is added to that time, so that noise doesn't cause hedges when the prediction is very short.
	HedgeMargin time.Duration
	// MaxHedgeEngineTime is the longest engine time that a hedge may take.
	MaxHedgeEngineTime time.Duration
}

// DefaultSettings returns settings that assume nothing about the fleet.
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

// Retrier keeps the retry and hedge budgets of one instance. It is not safe for concurrent use.
type Retrier struct {
	settings    Settings
	retryTokens float64
	hedgeTokens float64
}

// NewRetrier returns a retrier with full budgets.
func NewRetrier(settings Settings) *Retrier {
	return &Retrier{settings: settings, retryTokens: settings.RetryBurst, hedgeTokens: settings.HedgeBurst}
}

// CountRequest adds the share of one new request to both budgets.
func (r *Retrier) CountRequest() {
	r.retryTokens = min(r.settings.RetryBurst, r.retryTokens+r.settings.RetryRatio)
	r.hedgeTokens = min(r.settings.HedgeBurst, r.hedgeTokens+r.settings.HedgeRatio)
}

// Failure describes a request after a failed attempt.
type Failure struct {
	// Attempts is the number of attempts started so far.
	Attempts int
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// NotExecuted is true when the upstream did no work; a retry then adds no load and needs no budget.
	NotExecuted bool
}

// TryRetry reports whether a failed request may be retried, and takes the retry out of the budget.
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

// SlowAttempt describes a running attempt that has returned no token yet, and the hedge that could be sent.
type SlowAttempt struct {
	// Urgent is true for urgent requests; only those are hedged.
	Urgent bool
	// Hedged is true when the request has been hedged already.
	Hedged bool
	// Elapsed is the time since the attempt was sent, PredictedFirstToken the predicted time to its first token.
	Elapsed             time.Duration
	PredictedFirstToken time.Duration
	// EngineTime is the predicted engine time of the hedge, Completion the predicted time until its answer is complete.
	EngineTime time.Duration
	Completion time.Duration
	// Remaining is the time to the deadline.
	Remaining time.Duration
}

// Overdue reports whether the first token of an attempt is so late that the attempt is presumed to have failed.
func (r *Retrier) Overdue(elapsed, predicted time.Duration) bool {
	return elapsed > time.Duration(float64(predicted)*r.settings.HedgeFactor)+r.settings.HedgeMargin
}

// TryHedge reports whether a second attempt should run in parallel with a slow one, and takes it out of the budget. The
// hedge must be short and must be expected to complete before the deadline.
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
