package allocator

import (
	"time"

	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/identifier"
)

// Settings holds the tunables of placement.
type Settings struct {
	Health ejector.Settings
	// PeerTTL is how long another instance's work report counts. Instances report several times in this time, so a
	// missing report means that the instance or the path to it is down.
	PeerTTL time.Duration
	// RemoteCost covers the price and the delay of the traffic of a request to another data centre.
	RemoteCost time.Duration
	// LongOutput is the length from which on an answer counts as long: it holds its slot for the time of many short
	// answers.
	LongOutput identifier.Tokens
	// MaxQueueShare is the share of the time left to the target that a request may wait in a queue; the rest is for its
	// own work and covers the error of the prediction.
	MaxQueueShare float64
	// SlotHoldTime is how long a short answer is assumed to hold a slot until this is measured.
	SlotHoldTime time.Duration
	// PrefillRate and MixedPrefillRate are the prompt tokens per millisecond of an engine that only prefills and of one
	// that also decodes, until they are measured.
	PrefillRate      float64
	MixedPrefillRate float64
	// PrefillBase is the part of a prefill's duration that doesn't depend on the length of the prompt.
	PrefillBase time.Duration
	// OwnerHitRate is the expected cache hit rate of a prompt's shared parts at the engines that own them by hashing, while
	// no engine is known to keep them.
	OwnerHitRate float64
	// CacheTokens is the memory for cached prompts of an engine that has not reported its own.
	CacheTokens identifier.Tokens
	// EngineTimeWeight is the cost of each unit of engine time, on top of the request's own latency: under load this
	// time is taken from other requests.
	EngineTimeWeight float64
	// InterferenceWeight is the cost of a prefill to each short answer at the same engine, per unit of its time.
	InterferenceWeight float64
	// LongAnswerPenalty is the cost of each long answer already at an engine. It spreads long answers over the engines,
	// because each one slows all tokens of its engine.
	LongAnswerPenalty time.Duration
	// RetryAfter delays the retry of a refused caller until a burst has passed its peak; bursts last some seconds.
	RetryAfter time.Duration
	// LimiterPhase, from 0 to 1, differs between instances, so that those that decide alone don't send together to an
	// upstream that has named a limit.
	LimiterPhase float64
	// SmoothingFactor is the weight of one measurement in an exponentially weighted average.
	SmoothingFactor float64
}

// DefaultSettings returns the default settings, chosen without knowledge of the fleet.
func DefaultSettings() Settings {
	return Settings{
		Health:             ejector.DefaultSettings(),
		PeerTTL:            time.Second,
		RemoteCost:         4 * time.Millisecond,
		LongOutput:         600,
		MaxQueueShare:      0.5,
		SlotHoldTime:       40 * time.Millisecond,
		PrefillRate:        800,
		MixedPrefillRate:   300,
		PrefillBase:        4 * time.Millisecond,
		OwnerHitRate:       0.3,
		CacheTokens:        1_000_000,
		EngineTimeWeight:   3,
		InterferenceWeight: 0.5,
		LongAnswerPenalty:  5 * time.Millisecond,
		RetryAfter:         time.Second,
		SmoothingFactor:    0.05,
	}
}
