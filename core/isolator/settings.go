package isolator

import "time"

// Settings holds the thresholds and times of isolation.
type Settings struct {
	// SuspectCrashes is the number of crashes without an answer since from which on a trait is suspected: one crash is
	// explained by any request that ran there.
	SuspectCrashes int
	// ContentCrashes is the number from which on the trait of a whole request is quarantined, PartCrashes that for a part.
	// Many sound requests may share a part, so it takes more evidence.
	ContentCrashes int
	PartCrashes    int
	// TrustPeriod is how long an answer speaks for a trait: crashes within it are blamed on other traits.
	TrustPeriod time.Duration
	// ReportTime is how long other instances may go on sending requests with a trait after the crash that makes it suspected.
	ReportTime time.Duration
	// TrialInterval is the time between two requests with a suspected trait. It covers the run of one request and the
	// report of its end.
	TrialInterval time.Duration
	// QuarantineTime is the length of a first quarantine. After it there are trials again; each further quarantine is
	// longer, up to MaxQuarantineTime.
	QuarantineTime    time.Duration
	MaxQuarantineTime time.Duration
	// CrashMemory is how long a crash counts.
	CrashMemory time.Duration
	// SurvivalTime is how long after its crash an answer of a process shows that there was none. Answers that were on their
	// way arrive earlier.
	SurvivalTime time.Duration
	// ReportPhase, from 0 to 1, differs between instances, so that they don't report the same at the same time.
	ReportPhase float64
	// ConfirmTime is how long a broken request waits for word that its upstream has ended.
	ConfirmTime time.Duration
}

// DefaultSettings returns the default settings, chosen without knowledge of the fleet.
func DefaultSettings() Settings {
	return Settings{
		SuspectCrashes:    2,
		ContentCrashes:    3,
		PartCrashes:       4,
		TrustPeriod:       10 * time.Second,
		ReportTime:        200 * time.Millisecond,
		TrialInterval:     500 * time.Millisecond,
		QuarantineTime:    30 * time.Second,
		MaxQuarantineTime: 24 * time.Hour,
		CrashMemory:       10 * time.Minute,
		SurvivalTime:      time.Second,
		ConfirmTime:       5 * time.Second,
	}
}

// quarantineCrashes returns the number of crashes from which on a trait is quarantined.
func (s Settings) quarantineCrashes(t Trait) int {
	if t.IsContent() {
		return s.ContentCrashes
	}
	return s.PartCrashes
}

const (
	// quarantineGrowth is the factor by which a quarantine is longer than the one before.
	quarantineGrowth = 10
	// probationFactor is the factor by which trials after a quarantine are rarer.
	probationFactor = 10
	// maxTrialDelays bounds the trial intervals by which a request with several suspected traits is tried later.
	maxTrialDelays = 2
	// maxSuspects, maxCrashes, maxCrashTraits and maxBroken bound the memory: callers may send crashing requests with ever
	// new traits.
	maxSuspects    = 4096
	maxCrashes     = 64
	maxCrashTraits = 512
	maxBroken      = 64
	// maxAnswers bounds the traits in one generation of the log of answers.
	maxAnswers = 16384
)
