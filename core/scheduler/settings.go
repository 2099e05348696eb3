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

// Settings holds what one instance's scheduler is started with.
type Settings struct {
	Instance   identifier.InstanceID
	DataCentre identifier.DataCentre
	// Instances is the number of live instances, this one included.
	Instances int
	// Seed makes the random choices repeatable; instances with equal seeds still choose differently.
	Seed uint64
	// Tunables holds the figures of behaviour; the zero value stands for DefaultTunables.
	Tunables Tunables
}

// Tunables holds the figures of behaviour of each part.
type Tunables struct {
	Estimate estimator.Settings
	Route    router.Settings
	Admit    admitter.Settings
	Retry    retrier.Settings
	Eject    ejector.Settings
	// FullFleet is the number of engines up to which an instance uses all of them.
	MaxFullFleet int
	// Subset is how many engines of each model an instance uses in a larger fleet.
	SubsetSize int
	// StallPause is how long a stream may stay silent before it is resumed elsewhere.
	StallTimeout time.Duration
	// FlowMemory is the time over which the own flow of work is measured; that of the other instances is reckoned from it.
	ArrivalWindow time.Duration
	// HoldShare is the share of the deadline of long urgent prompts that waiting and harm may cost before bulk work is held.
	HoldShare float64
	// HoldGain lowers HoldShare by the share of long urgent prompts lost lately above HoldTolerance, down to
	// LeastHoldShare, so that bulk work gives way the more urgent work suffers.
	HoldGain      float64
	HoldTolerance float64
	MinHoldShare  float64
	// QueueTries is how many waiting requests are tried again after each event; ticks try all.
	QueueRetries int
}

// DefaultTunables returns the figures for a fleet about which nothing is known.
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
