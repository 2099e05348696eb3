package router

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings holds the tunables of routing.
type Settings struct {
	// Margin is the share by which a predicted finish is lengthened before it is compared with the deadline.
	Margin float64
	// PatientWeight weighs a second of waiting of a request that is not urgent; urgent ones weigh 1.
	PatientWeight float64
	// IntervalWeight weighs a second of decode of an urgent request against a second of engine time.
	IntervalWeight float64
	// WaitWeight is the least weight of a second of waiting for the first token.
	WaitWeight float64
	// ShortPrompt is the length up to which a prompt's prefill runs before longer ones.
	ShortPrompt identifier.Tokens
	// Harm weighs each second of prefill for each sequence beside it that is about to be late.
	Harm float64
	// EasyPressure is the pressure up to which decoding sequences have time to spare; there Harm is scaled by LeastHarm,
	// and under more pressure by at most MostHarm.
	EasyPressure float64
	LeastHarm    float64
	MostHarm     float64
	// LongAnswer is the output from which on an answer keeps its place in a batch for long.
	LongAnswer identifier.Tokens
	// LongShare is the share of a batch that long answers may take; the rest is kept for short ones.
	LongShare float64
	// TightHarm weighs each second of prefill for each urgent answer that decodes beside it.
	TightHarm float64
	// QueueHarm weighs each second of preferred prefill for each second of prefill that it delays.
	QueueHarm float64
	// UnknownBatch is assumed for an engine that does not tell its largest batch.
	UnknownBatch int
	// FullPenalty is the cost in seconds of each sequence above a batch's limit.
	FullPenalty float64
	// OldestReport bounds the age at which unseen work is still reckoned from the report.
	OldestReport time.Duration
	// Spread is the width of the random part of the cost; it keeps instances that share a stale report apart.
	Spread time.Duration
	// Remote is the cost of an engine in another data centre.
	Remote time.Duration
	// HandOver is the assumed time to move a KV cache between engines.
	HandOver time.Duration
	// LatePenalty is the cost in seconds of a candidate that would miss the deadline.
	LatePenalty float64
	// LateCost is the cost in seconds of a prefill that is late for certain; Doubt is the usual error of a forecast.
	LateCost float64
	Doubt    time.Duration
	// Explained is how many candidates a decision names.
	Explained int
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		Margin:         0.1,
		PatientWeight:  0,
		IntervalWeight: 0.2,
		WaitWeight:     0.2,
		ShortPrompt:    1024,
		Harm:           0.1,
		LongAnswer:     100,
		LongShare:      0.9,
		TightHarm:      0.5,
		QueueHarm:      20,
		UnknownBatch:   32,
		FullPenalty:    0.5,
		OldestReport:   4 * time.Second,
		EasyPressure:   0.6,
		LeastHarm:      0.05,
		MostHarm:       3,
		Spread:         50 * time.Millisecond,
		Remote:         10 * time.Millisecond,
		HandOver:       50 * time.Millisecond,
		LatePenalty:    100,
		LateCost:       15,
		Doubt:          500 * time.Millisecond,
		Explained:      3,
	}
}
