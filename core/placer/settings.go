package placer

import "time"

// Settings holds the tunables of placement.
type Settings struct {
	// FixedRoles forbids role changes.
	FixedRoles bool
	// Horizon is how long the current ratio of prefill to decode demand is expected to last.
	Horizon time.Duration
	// Hysteresis is the smallest ratio of expected gain to cost for a role change.
	Hysteresis float64
	// Persistence is how long a change to the same role must stay the best candidate before it is started.
	Persistence time.Duration
	// MinimumDwell is the shortest time between a change of an engine and its next role change.
	MinimumDwell time.Duration
	// PoolCooldown is the shortest time between two changes in one pool.
	PoolCooldown time.Duration
	// DrainTimeout is how long an engine may take to finish its work before its change is aborted.
	DrainTimeout time.Duration
	// InitialDowntime is the expected downtime of an engine during a change before the first one has been measured.
	InitialDowntime time.Duration
	// MaxDowntime is how long an engine may be out of service after the order before the change is aborted.
	MaxDowntime time.Duration
	// DemandTimeConstant is the time constant of the moving average of demand.
	DemandTimeConstant time.Duration
	// MaxLoadDuringUpdate is the largest predicted utilisation of the remaining engines while one loads a version.
	MaxLoadDuringUpdate float64
	// MaxUpdateDelay is how long a version update waits for low load before it starts regardless.
	MaxUpdateDelay time.Duration
	// MixedOverhead is the fraction of a mixed engine's capacity that is lost by running decode and prefill together.
	MixedOverhead float64
}

// DefaultSettings returns the default settings, chosen without knowledge of the fleet.
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
