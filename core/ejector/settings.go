// Package ejector judges the health of upstreams from the answers and reports that one instance sees.
package ejector

import "time"

// Settings holds the tunables of health.
type Settings struct {
	// MaxShare is the largest share of a pool that may be ejected at the same time.
	MaxEjectedShare float64
	// FirstPause is how long an upstream stays out at first; each further ejection doubles it up to LongestPause.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// FailureShare is the smoothed share of failed attempts that ejects an upstream.
	FailureRateLimit float64
	// LeastSamples is the number of answers before a share of failures counts.
	MinSamples int
	// SlowFactor ejects an upstream that is so many times slower than predicted, relative to the median of its pool.
	SlowFactor float64
	// RejectPause is how long an upstream that refused work is left alone.
	RejectBackoff time.Duration
	// FrozenAfter is the age at which a report no longer counts although answers arrive.
	StaleReportAge time.Duration
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
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
