package router

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Settings holds the tuning parameters of routing. Costs are in seconds.
type Settings struct {
	// SafetyMargin is the share added to the predicted finish of a long answer before it is compared with the deadline.
	SafetyMargin float64
	// NonUrgentWaitWeight is the cost of a second of waiting for a request that is not urgent; it is 1 for urgent ones.
	NonUrgentWaitWeight float64
	// TokenIntervalWeight is the cost of a second of decode of an urgent request, relative to a second of engine time.
	TokenIntervalWeight float64
	// MinFirstTokenWeight is the minimum cost of a second of waiting for the first token.
	MinFirstTokenWeight float64
	// ShortPrompt is the length up to which a prompt is short: its prefill runs before longer ones.
	ShortPrompt identifier.Tokens
	// InterferenceWeight is the cost of a second of prefill per sequence that decodes on the same engine and is about to
	// miss its deadline.
	InterferenceWeight float64
	// LowPressure is the ratio of the actual to the longest allowed token interval up to which decoding sequences have
	// slack. InterferenceWeight is scaled by MinInterference up to there, and by at most MaxInterference above it.
	LowPressure     float64
	MinInterference float64
	MaxInterference float64
	// LongAnswer is the output from which on an answer counts as long: it occupies its batch slot for a long time.
	LongAnswer identifier.Tokens
	// LongAnswerShare is the share of a batch that long answers may take; the rest is reserved for others.
	LongAnswerShare float64
	// UrgentInterferenceWeight is the cost of a second of prefill per urgent answer that decodes on the same engine.
	UrgentInterferenceWeight float64
	// QueueDelayWeight is the cost of a second of prefill of a short prompt per second of queued prefill that it delays.
	QueueDelayWeight float64
	// DefaultMaxBatch is assumed for an engine that doesn't report its maximum batch size.
	DefaultMaxBatch int
	// OverflowPenalty is the cost of each sequence above a batch's limit.
	OverflowPenalty float64
	// MaxReportAge caps the report age from which unreported work is estimated.
	MaxReportAge time.Duration
	// CostJitter is the width of the random part of the cost; it keeps instances with the same stale report from choosing
	// the same engine.
	CostJitter time.Duration
	// RemoteCost is the cost of an engine in another data centre.
	RemoteCost time.Duration
	// KVTransferTime is the assumed time to transfer a KV cache between engines.
	KVTransferTime time.Duration
	// LatePenalty is the fixed cost of a candidate that would miss the deadline; each second of lateness adds to it.
	LatePenalty float64
	// LateCost is the cost of a prefill that is certain to be late; ForecastError is the usual error of a forecast.
	LateCost      float64
	ForecastError time.Duration
	// MaxExplained bounds the number of candidates that a decision lists.
	MaxExplained int
}

// DefaultSettings returns the default settings, chosen without knowledge of the fleet.
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
