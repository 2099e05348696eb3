package estimator

import "time"

// Settings holds the tunables of the estimate.
type Settings struct {
	// ReportLag is how old a periodic report is taken to be on arrival until the lag is learned.
	ReportLag time.Duration
	// QueueMemory is the time over which a measured queue loses its meaning.
	QueueTimeConstant time.Duration
	// StretchMemory is the time over which the slowing of decode steps by prefill is averaged.
	StepRatioTimeConstant time.Duration
	// InitialPrefillPerSecond is assumed until an engine reports or shows its own rate, in tokens per second.
	InitialPrefillPerSecond float64
	// InitialDecodeStep is assumed until an engine reports or shows its own step.
	InitialDecodeStep time.Duration
	// MaxPrefillShare bounds the share of time that prefill is believed to take from decode steps.
	MaxPrefillShare float64
}

// DefaultSettings returns the settings of a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		ReportLag:               time.Second,
		QueueTimeConstant:             2 * time.Second,
		StepRatioTimeConstant:           5 * time.Second,
		InitialPrefillPerSecond: 5000,
		InitialDecodeStep:       25 * time.Millisecond,
		MaxPrefillShare:         0.8,
	}
}
