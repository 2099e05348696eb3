package scheduler

import (
	"time"

	"rosemaryspool.example/core/admitter"
	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/retrier"
	"rosemaryspool.example/core/router"
)

// Settings holds the identity of the instance, the fleet size and the tunables of a scheduler.
type Settings struct {
	Instance   identifier.InstanceID
	DataCentre identifier.DataCentre
	// Instances is the number of live instances, this one included.
	Instances int
	// Seed makes random choices reproducible. The instance id is mixed in, so that instances with equal seeds differ.
	Seed uint64
	// Tunables holds the tuning parameters; the zero value means DefaultTunables.
	Tunables Tunables
}

// Tunables holds the tuning parameters of the scheduler and of the packages it uses.
type Tunables struct {
	Estimate estimator.Settings
	Route    router.Settings
	Admit    admitter.Settings
	Retry    retrier.Settings
	Eject    ejector.Settings
	// MaxFullFleet is the number of engines up to which an instance uses all of them.
	MaxFullFleet int
	// SubsetSize is the number of engines per model that an instance uses in a larger fleet.
	SubsetSize int
	// StallTimeout is the time without progress after which a stream is resumed on another engine. The usual interval
	// between progress events, times a factor, is added to it.
	StallTimeout time.Duration
	// ArrivalWindow is the time over which this instance's arrival rates are measured. The rates of the other instances
	// are estimated from them.
	ArrivalWindow time.Duration
	// HoldShare is the cost of a long urgent prompt, as a share of its deadline, above which bulk work is held back.
	HoldShare float64
	// HoldGain is how much HoldShare is lowered per unit by which the recent share of lost long urgent prompts exceeds
	// HoldTolerance, down to MinHoldShare. The more of these prompts are lost, the more bulk work is held back.
	HoldGain      float64
	HoldTolerance float64
	MinHoldShare  float64
	// QueueRetries is the number of queued requests that are routed again after each finished attempt; ticks retry all.
	QueueRetries int
}

// DefaultTunables returns the default tuning parameters, chosen without knowledge of the fleet.
func DefaultTunables() Tunables {
	return Tunables{
		Estimate:      estimator.DefaultSettings(),
		Route:         router.DefaultSettings(),
		Admit:         admitter.DefaultSettings(),
		Retry:         retrier.DefaultSettings(),
		Eject:         ejector.DefaultSettings(),
		MaxFullFleet:  32,
		SubsetSize:    24,
		StallTimeout:  5 * time.Second,
		ArrivalWindow: 20 * time.Second,
		HoldShare:     1.2,
		HoldGain:      4,
		HoldTolerance: 0.1,
		MinHoldShare:  0.35,
		QueueRetries:  4,
	}
}
