package allocator

import (
	"time"

	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/identifier"
)

// Settings holds the tunables of placing.
type Settings struct {
	Health ejector.Settings
	// PeerMemory is how long another instance's work counts after its last message: instances tell theirs several times
	// in this span, so silence means that the instance or the path to it is gone.
	PeerTTL time.Duration
	// RemoteCost stands for the price and the delay of the bytes that a request sends to another data centre.
	RemoteCost time.Duration
	// AgeWeight is what one time unit of the age of reports from other data centres costs there: the part of that time
	// which other instances may have given away unseen, at engines that are busy for most of it.
	ReportAgeWeight float64
	// LongOutput is the length of an answer from which a request holds its slot for many others' time.
	LongOutput identifier.Tokens
	// QueueShare is the part of the time to a route's target that a request may spend behind others; the rest is for its
	// own work and covers the prediction's error.
	MaxQueueShare float64
	// Residence is the time that a short answer holds a slot before it is measured.
	SlotHoldTime time.Duration
	// ReadRate and DirectRate are the prompt tokens that an engine reads in a millisecond, one that only reads and one
	// that also makes tokens, before they are measured.
	PrefillRate   float64
	MixedPrefillRate float64
	// ReadBase is the part of a read's time that doesn't depend on its length.
	PrefillBase time.Duration
	// RootHit, HomeHit and OtherHit are the expected shares of a prompt's shared parts in an engine's cache: of the first
	// part, which few prompts don't share, and of the others at the prompt's home and elsewhere.
	RootHitRate  float64
	AffinityHitRate  float64
	OtherHitRate float64
	// WorkWeight is what an engine's time costs beside the request's own: under load it is taken from other requests.
	EngineTimeWeight float64
	// LongSpread keeps long answers apart from each other: each one on an engine slows all its tokens.
	LongAnswerPenalty time.Duration
	// RetryAfter keeps a refused caller away until a burst has passed its peak; bursts last some seconds.
	RetryAfter time.Duration
	// Memory is the share by which one measurement moves an estimate.
	SmoothingFactor float64
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		Health:     ejector.DefaultSettings(),
		PeerTTL: time.Second,
		RemoteCost: 4 * time.Millisecond,
		ReportAgeWeight:  0.7,
		LongOutput: 600,
		MaxQueueShare: 0.5,
		SlotHoldTime:  40 * time.Millisecond,
		PrefillRate:   800,
		MixedPrefillRate: 300,
		PrefillBase:   4 * time.Millisecond,
		RootHitRate:    0.9,
		AffinityHitRate:    0.8,
		OtherHitRate:   0.1,
		EngineTimeWeight: 3,
		LongAnswerPenalty: 5 * time.Millisecond,
		RetryAfter: time.Second,
		SmoothingFactor:     0.05,
	}
}
