// Package estimator predicts when an engine would complete a request, from delayed load reports and this instance's own
// work.
package estimator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Load is an engine's load report: its work at the time of measurement.
type Load struct {
	// Sequence increases by one with each report.
	Sequence uint64
	Role     identifier.Role
	Model    identifier.ModelName
	// Changing is true while the engine takes no work because it carries out an order.
	Changing bool
	Leaving  bool
	// QueuedPrefill counts uncached prompt tokens that wait for prefill or are in it.
	QueuedPrefill identifier.Tokens
	// PendingOutput counts output tokens still expected from running and waiting sequences.
	PendingOutput    identifier.Tokens
	Running          int
	Waiting          int
	MaxBatch         int
	PrefillPerSecond float64
	// DecodeStep is the duration of one decode step of the running batch.
	DecodeStep          time.Duration
	CacheCapacityTokens identifier.Tokens
}

// Work is the work of one attempt at an engine, in tokens.
type Work struct {
	// Prefill counts the prompt tokens that are not in the engine's cache.
	Prefill identifier.Tokens
	Output  identifier.Tokens
	// LatencySensitive marks an answer that concurrent prefill would soon make late.
	LatencySensitive bool
}

// PrefillForecast predicts one attempt's prefill at one engine; durations are in seconds.
type PrefillForecast struct {
	// Wait is the delay before the prefill starts, Duration the prefill's own time.
	Wait     float64
	Duration float64
	// Queue is the time of all prefill queued at the engine, including work that preferred work would overtake.
	Queue float64
	// EngineTime is the engine time that the prefill takes from other work.
	EngineTime float64
	Cached     identifier.Tokens
	// Age is the age of the report behind the forecast; Confidence is between 0 (no information) and 1 (fresh report).
	Age        float64
	Confidence float64
}

// TimeToFirstToken returns the predicted time to the first token.
func (f PrefillForecast) TimeToFirstToken() float64 { return f.Wait + f.Duration }

// DecodeForecast predicts one attempt's decode at one engine; durations are in seconds.
type DecodeForecast struct {
	// Wait is the delay before the answer joins a full batch.
	Wait float64
	// Interval is the mean time between tokens.
	Interval float64
	// EngineTimePerToken is the engine time of each token: the step divided by the size of the batch.
	EngineTimePerToken float64
	Batch              int
}

// Duration returns the predicted time from the first to the last token of an output, with the wait for the batch.
func (f DecodeForecast) Duration(output identifier.Tokens) float64 {
	return f.Wait + float64(output-1)*f.Interval
}
