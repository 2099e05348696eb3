package placer

import "time"

// Settings holds the tunables of placement.
type Settings struct {
	// FixedRoles forbids role changes.
	FixedRoles bool
	// Horizon is how long a mix is expected to last.
	Horizon time.Duration
	// Hysteresis is how many times its cost a change must be expected to gain.
	Hysteresis float64
	// Persistence is how long the same change must look worth its cost before it is made.
	Persistence time.Duration
	// MinimumDwell is the shortest time between two changes of one engine.
	MinimumDwell time.Duration
	// PoolCooldown is the shortest time between two changes in one pool.
	PoolCooldown time.Duration
	// DrainTimeout is how long an engine may take to empty before its change is called off.
	DrainTimeout time.Duration
	// InitialDowntime is how long a change keeps an engine away until that is learned.
	InitialDowntime time.Duration
	// MaxDowntime is how long an engine may stay away before the change counts as failed.
	MaxDowntime time.Duration
	// DemandTimeConstant is the time over which demand is averaged.
	DemandTimeConstant time.Duration
	// MaxLoadDuringUpdate is the largest predicted load of the remaining engines while one loads a version.
	MaxLoadDuringUpdate float64
	// MaxUpdateDelay is how long a version change waits for a time of low load.
	MaxUpdateDelay time.Duration
	// MixedOverhead is the share of a mixed engine's capacity that decode beside prefill costs.
	MixedOverhead float64
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		Horizon:             2 * time.Minute,
		Hysteresis:          3,
		Persistence:         15 * time.Second,
		MinimumDwell:        time.Minute,
		PoolCooldown:        20 * time.Second,
		DrainTimeout:        90 * time.Second,
		InitialDowntime:     10 * time.Second,
		MaxDowntime:         2 * time.Minute,
		DemandTimeConstant:  20 * time.Second,
		MaxLoadDuringUpdate: 0.85,
		MaxUpdateDelay:      10 * time.Minute,
		MixedOverhead:       0,
	}
}
