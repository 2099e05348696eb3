// Package ejector tracks the health of upstreams from the outcomes of one instance's attempts and ejects those that
// fail, stall or are slow.
package ejector

import "time"

// Settings holds the thresholds and durations of ejection.
type Settings struct {
	// MaxEjectedShare is the share of the pool above which ejections are ignored.
	MaxEjectedShare float64
	// BaseEjectionTime is the length of a first ejection; each further one doubles it, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// FailureRateLimit is the smoothed share of failed attempts from which on an upstream is ejected.
	FailureRateLimit float64
	// MinSamples is the number of outcomes before the failure rate or the latency ratio can eject an upstream.
	MinSamples int
	// SlowFactor is the multiple of the pool's median latency ratio, taken as at least 1, above which an upstream is
	// ejected as slow.
	SlowFactor float64
	// RejectBackoff is how long an upstream that refused work gets no new work.
	RejectBackoff time.Duration
	// StaleReportAge is the age at which a load report no longer counts, even if responses still arrive. It has no effect
	// at present.
	StaleReportAge time.Duration
}

// DefaultSettings returns the default settings, chosen without knowledge of the fleet.
func DefaultSettings() Settings {
	return Settings{
		MaxEjectedShare:  0.4,
		BaseEjectionTime: time.Second,
		MaxEjectionTime:  15 * time.Second,
		FailureRateLimit: 0.3,
		MinSamples:       5,
		SlowFactor:       4,
		RejectBackoff:    500 * time.Millisecond,
		StaleReportAge:   5 * time.Second,
	}
}
