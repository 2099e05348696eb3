package estimator

import "time"

// Settings holds the tunables of the estimates.
type Settings struct {
	// ReportLag is the assumed age of a periodic report on arrival, until the lag has been estimated.
	ReportLag time.Duration
	// QueueTimeConstant is the age at which the confidence in a reported queue has dropped to a quarter.
	QueueTimeConstant time.Duration
	// StepRatioTimeConstant is the time constant for averaging the slowdown of decode steps by concurrent prefill.
	StepRatioTimeConstant time.Duration
	// InitialPrefillPerSecond is the assumed rate, in tokens per second, until an engine reports its own.
	InitialPrefillPerSecond float64
	// InitialDecodeStep is the assumed duration of a decode step until an engine's own is estimated from its reports.
	InitialDecodeStep time.Duration
	// MaxPrefillShare limits the share of time that prefill is assumed to take from decode steps. It has no effect at
	// present.
	MaxPrefillShare float64
}

// DefaultSettings returns the default settings, chosen without knowledge of the fleet.
func DefaultSettings() Settings {
	return Settings{
		ReportLag:               time.Second,
		QueueTimeConstant:       2 * time.Second,
		StepRatioTimeConstant:   5 * time.Second,
		InitialPrefillPerSecond: 5000,
		InitialDecodeStep:       25 * time.Millisecond,
		MaxPrefillShare:         0.8,
	}
}
