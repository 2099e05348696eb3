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
	PeerMemory time.Duration
	// RemoteCost stands for the price and the delay of the bytes that a request sends to another data centre.
	RemoteCost time.Duration
	// LongOutput is the length of an answer from which a request holds its slot for many others' time.
	LongOutput identifier.Tokens
	// TargetShare is the part of the time to a route's target that a prediction may fill; the rest covers its error.
	TargetShare float64
	// Residence is the time that a short answer holds a slot, and ReadTime that of one prompt's read, before they are
	// measured.
	Residence time.Duration
	ReadTime  time.Duration
	// RetryAfter keeps a refused caller away until a burst has passed its peak; bursts last some seconds.
	RetryAfter time.Duration
	// Memory is the share by which one measurement moves an estimate.
	Memory float64
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		Health:      ejector.DefaultSettings(),
		PeerMemory:  time.Second,
		RemoteCost:  4 * time.Millisecond,
		LongOutput:  600,
		TargetShare: 0.8,
		Residence:   70 * time.Millisecond,
		ReadTime:    10 * time.Millisecond,
		RetryAfter:  time.Second,
		Memory:      0.05,
	}
}
