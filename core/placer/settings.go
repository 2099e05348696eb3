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
	// PoolPause is the shortest time between two changes in one pool.
	PoolPause time.Duration
	// DrainLimit is how long an engine may take to empty before its change is called off.
	DrainLimit time.Duration
	// AbsenceGuess is how long a change keeps an engine away until that is learned.
	AbsenceGuess time.Duration
	// AbsenceLimit is how long an engine may stay away before the change counts as failed.
	AbsenceLimit time.Duration
	// DemandMemory is the time over which demand is averaged.
	DemandMemory time.Duration
	// LoadLimit is the largest predicted load of the remaining engines while one loads a version.
	LoadLimit float64
	// LoadPatience is how long a version change waits for a time of low load.
	LoadPatience time.Duration
	// MixedLoss is the share of a mixed engine's capacity that decode beside prefill costs.
	MixedLoss float64
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		Horizon:      2 * time.Minute,
		Hysteresis:   3,
		Persistence:  15 * time.Second,
		MinimumDwell: time.Minute,
		PoolPause:    20 * time.Second,
		DrainLimit:   90 * time.Second,
		AbsenceGuess: 10 * time.Second,
		AbsenceLimit: 2 * time.Minute,
		DemandMemory: 20 * time.Second,
		LoadLimit:    0.85,
		LoadPatience: 10 * time.Minute,
		MixedLoss:    0,
	}
}
