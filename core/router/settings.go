package router

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings holds the tunables of routing.
type Settings struct {
	// Margin is the share by which a predicted finish is lengthened before it is compared with the deadline.
	SafetyMargin float64
	// PatientWeight weighs a second of waiting of a request that is not urgent; urgent ones weigh 1.
	NonUrgentWaitWeight float64
	// IntervalWeight weighs a second of decode of an urgent request against a second of engine time.
	TokenIntervalWeight float64
	// WaitWeight is the least weight of a second of waiting for the first token.
	MinFirstTokenWeight float64
	// ShortPrompt is the length up to which a prompt's prefill runs before longer ones.
	ShortPrompt identifier.Tokens
	// Harm weighs each second of prefill for each sequence beside it that is about to be late.
	InterferenceWeight float64
	// EasyPressure is the pressure up to which decoding sequences have time to spare; there Harm is scaled by LeastHarm,
	// and under more pressure by at most MostHarm.
	LowPressure     float64
	MinInterference float64
	MaxInterference float64
	// LongAnswer is the output from which on an answer keeps its place in a batch for long.
	LongAnswer identifier.Tokens
	// LongShare is the share of a batch that long answers may take; the rest is kept for short ones.
	LongAnswerShare float64
	// TightHarm weighs each second of prefill for each urgent answer that decodes beside it.
	UrgentInterferenceWeight float64
	// QueueHarm weighs each second of preferred prefill for each second of prefill that it delays.
	QueueDelayWeight float64
	// UnknownBatch is assumed for an engine that does not tell its largest batch.
	DefaultMaxBatch int
	// FullPenalty is the cost in seconds of each sequence above a batch's limit.
	OverflowPenalty float64
	// OldestReport bounds the age at which unseen work is still reckoned from the report.
	MaxReportAge time.Duration
	// Spread is the width of the random part of the cost; it keeps instances that share a stale report apart.
	CostJitter time.Duration
	// Remote is the cost of an engine in another data centre.
	RemoteCost time.Duration
	// HandOver is the assumed time to move a KV cache between engines.
	KVTransferTime time.Duration
	// LatePenalty is the cost in seconds of a candidate that would miss the deadline.
	LatePenalty float64
	// LateCost is the cost in seconds of a prefill that is late for certain; Doubt is the usual error of a forecast.
	LateCost      float64
	ForecastError time.Duration
	// Explained is how many candidates a decision names.
	MaxExplained int
}

// DefaultSettings returns the settings for a fleet about which nothing is known.
func DefaultSettings() Settings {
	return Settings{
		SafetyMargin:             0.1,
		NonUrgentWaitWeight:      0,
		TokenIntervalWeight:      0.2,
		MinFirstTokenWeight:      0.2,
		ShortPrompt:              1024,
		InterferenceWeight:       0.1,
		LongAnswer:               100,
		LongAnswerShare:          0.9,
		UrgentInterferenceWeight: 0.5,
		QueueDelayWeight:         20,
		DefaultMaxBatch:          32,
		OverflowPenalty:          0.5,
		MaxReportAge:             4 * time.Second,
		LowPressure:              0.6,
		MinInterference:          0.05,
		MaxInterference:          3,
		CostJitter:               50 * time.Millisecond,
		RemoteCost:               10 * time.Millisecond,
		KVTransferTime:           50 * time.Millisecond,
		LatePenalty:              100,
		LateCost:                 15,
		ForecastError:            500 * time.Millisecond,
		MaxExplained:             3,
	}
}
