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
}

// Forecast is the predicted course of one attempt at one engine.
type Forecast struct {
	// Wait is the delay in seconds before the prefill starts.
	Wait float64
	// Prefill is the duration in seconds of the attempt's own prefill.
	Prefill float64
	// Decode is the time in seconds from the first token to the last.
	Decode float64
	// Occupation is the engine time in seconds that the attempt takes from other work.
	Occupation float64
	// Age is the age in seconds of the knowledge behind the forecast.
	Age float64
	// Certainty lies between 0 (guess) and 1 (fresh report).
	Certainty float64
	Cached    identifier.Tokens
}

// Finish returns the predicted time in seconds until the last token.
func (f Forecast) Finish() float64 { return f.Wait + f.Prefill + f.Decode }
