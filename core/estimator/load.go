// Package estimator predicts when an engine would answer a request, from late load reports and the instance's own work.
package estimator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Load is an engine's own account of its work at the time of measurement.
type Load struct {
	// Sequence rises by one with each report.
	Sequence uint64
	Role     identifier.Role
	Model    identifier.ModelName
	// Changing is true while an order keeps the engine away from work.
	Changing bool
	Leaving  bool
	// QueuedPrefill counts uncached prompt tokens that wait for or are in prefill.
	QueuedPrefill identifier.Tokens
	// PendingOutput counts output tokens still expected of running and waiting sequences.
	PendingOutput    identifier.Tokens
	Running          int
	Waiting          int
	MaxBatch         int
	PrefillPerSecond float64
	// DecodeStep is the duration of one decode step of the running batch.
	DecodeStep          time.Duration
	CacheCapacityTokens identifier.Tokens
}

// Work is what one attempt still asks of an engine.
type Work struct {
	// Prefill counts prompt tokens that are not in the engine's cache.
	Prefill identifier.Tokens
	Output  identifier.Tokens
	// Tight marks an answer that prefill beside it would soon make late.
	LowSlack bool
}

// PrefillForecast predicts one attempt's prefill at one engine; durations are in seconds.
type PrefillForecast struct {
	// Wait is the delay before the prefill starts; Length is the prefill's own duration.
	Wait   float64
	Duration float64
	// Queue is the prefill that waits at the engine, also behind preferred work.
	Queue float64
	// Occupation is the engine time that the prefill takes from other work.
	EngineTime float64
	Cached     identifier.Tokens
	// Age is the age of the knowledge behind the forecast, and Certainty lies between 0 (guess) and 1 (fresh report).
	Age       float64
	Confidence float64
}

// First returns the predicted time until the first token.
func (f PrefillForecast) TimeToFirstToken() float64 { return f.Wait + f.Duration }

// DecodeForecast predicts one attempt's decode at one engine; durations are in seconds.
type DecodeForecast struct {
	// Wait is the delay for a place in a full batch.
	Wait float64
	// Interval is the mean time from token to token.
	Interval float64
	// Share is the part of the engine's time that each token takes: the step divided by the batch that shares it.
	EngineTimePerToken float64
	Batch int
}

// Length returns the predicted time from the first token to the last of an output.
func (f DecodeForecast) Duration(output identifier.Tokens) float64 {
	return f.Wait + float64(output-1)*f.Interval
}
