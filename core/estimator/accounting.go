package estimator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// minBatchedOutput is the number of output tokens from which on an attempt counts towards the decoding batch; shorter
// outputs leave the batch too soon to matter.
const minBatchedOutput identifier.Tokens = 8

// Dispatched adds an attempt of this instance to its unfinished work, and the prompt's prefix to the modelled cache.
func (e *Engine) Dispatched(now time.Time, work Work, prefix []identifier.PrefixHash) {
	e.own.queued += float64(work.Prefill)
	e.own.sent += float64(work.Prefill)
	e.own.pending += float64(work.Output)
	e.own.active++
	if work.Output >= minBatchedOutput {
		e.own.decoding++
	}
	if work.LatencySensitive {
		e.latencySensitive++
	}
	e.ownHistory.record(now, e.own)
	e.cache.add(prefix)
}

// Prefilled removes an attempt's prompt from this instance's queued prefill, once the first token has arrived.
func (e *Engine) Prefilled(now time.Time, work Work) {
	e.own.queued = max(0, e.own.queued-float64(work.Prefill))
	e.ownHistory.record(now, e.own)
}

// Decoded removes generated tokens from this instance's pending output.
func (e *Engine) Decoded(now time.Time, tokens identifier.Tokens) {
	e.own.pending = max(0, e.own.pending-float64(tokens))
	e.ownHistory.record(now, e.own)
}

// Ended removes an attempt of this instance, of which the given number of output tokens were generated. If it ended
// before its first token, prefilled is false and its prompt is removed from the queued prefill as well.
func (e *Engine) Ended(now time.Time, work Work, produced identifier.Tokens, prefilled bool) {
	e.own.active--
	e.own.pending -= float64(max(0, work.Output-produced))
	if work.Output >= minBatchedOutput {
		e.own.decoding--
	}
	if work.LatencySensitive {
		e.latencySensitive--
	}
	if !prefilled {
		e.own.queued -= float64(work.Prefill)
	}
	if e.own.active <= 0 {
		e.own = unfinishedWork{sent: e.own.sent}
	}
	e.own.pending = max(0, e.own.pending)
	e.own.queued = max(0, e.own.queued)
	e.ownHistory.record(now, e.own)
}
