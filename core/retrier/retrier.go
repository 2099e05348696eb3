// Package retrier decides whether another attempt of a request pays: a retry, a hedge or none.
package retrier

import "time"

// Settings holds the tunables of further attempts.
type Settings struct {
	// RetryShare is how many retries each request earns; it bounds the extra load of a failing fleet.
	RetryShare float64
	// RetryBurst is the number of retries that may be saved up.
	RetryBurst float64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// HedgeShare is how many hedges each request earns.
	HedgeShare float64
	// HedgeBurst is the number of hedges that may be saved up.
	HedgeBurst float64
	// HedgeFactor is how many times its predicted time to the first token an attempt may take before a hedge.
	HedgeFactor float64
	// HedgeFloor is added to the predicted time, so that very short predictions do not hedge on noise.
	HedgeFloor time.Duration
	// HedgeOccupation is the longest engine time of work that is hedged.
	HedgeOccupation time.Duration
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		RetryShare:      0.15,
		RetryBurst:      20,
		MaxAttempts:     4,
		HedgeShare:      0.05,
		HedgeBurst:      10,
		HedgeFactor:     3,
		HedgeFloor:      1500 * time.Millisecond,
		HedgeOccupation: 3 * time.Second,
	}
}

// Retrier keeps the budgets of one instance. It is not safe for concurrent use.
type Retrier struct {
	settings Settings
	retries  float64
	hedges   float64
}

// NewRetrier returns a retrier with full budgets.
func NewRetrier(settings Settings) *Retrier {
	return &Retrier{settings: settings, retries: settings.RetryBurst, hedges: settings.HedgeBurst}
}

// Requested earns the budgets' shares for one new request.
func (r *Retrier) Requested() {
	r.retries = min(r.settings.RetryBurst, r.retries+r.settings.RetryShare)
	r.hedges = min(r.settings.HedgeBurst, r.hedges+r.settings.HedgeShare)
}

// Failure describes a request after a failed attempt.
type Failure struct {
	Started int
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// Free is true when the upstream did no work, so that a retry adds no load.
	Free bool
}

// Retry tells whether a failed request may be tried again and takes the retry out of the budget.
func (r *Retrier) Retry(f Failure) bool {
	if f.Remaining <= 0 {
		return false
	}
	if f.Free {
		return f.Started < 3*r.settings.MaxAttempts
	}
	if f.Started >= r.settings.MaxAttempts || r.retries < 1 {
		return false
	}
	r.retries--
	return true
}

// Slow describes a running attempt that has shown no token yet.
type Slow struct {
	Urgent bool
	Hedged bool
	// Waited is the time since the attempt was sent, Predicted what was foreseen until its first token.
	Waited    time.Duration
	Predicted time.Duration
	// Occupation is the engine time that a second attempt takes; Finish is when it would be whole.
	Occupation time.Duration
	Finish     time.Duration
	Remaining  time.Duration
}

// Overdue tells whether an attempt has waited so long for its first token that something is wrong.
func (r *Retrier) Overdue(waited, predicted time.Duration) bool {
	return waited > time.Duration(float64(predicted)*r.settings.HedgeFactor)+r.settings.HedgeFloor
}

// Hedge tells whether a second attempt beside a slow one pays, and takes it out of the budget.
func (r *Retrier) Hedge(s Slow) bool {
	switch {
	case !s.Urgent || s.Hedged:
		return false
	case !r.Overdue(s.Waited, s.Predicted):
		return false
	case s.Occupation > r.settings.HedgeOccupation || s.Finish > s.Remaining:
		return false
	case r.hedges < 1:
		return false
	}
	r.hedges--
	return true
}
