package estimator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// longOutput is the output from which on an attempt counts as part of the decoding batch; shorter ones are there too
// briefly to matter.
const minBatchedOutput identifier.Tokens = 8

// Dispatched adds an attempt of this instance.
func (e *Engine) Dispatched(now time.Time, work Work, prefix []identifier.PrefixHash) {
	e.own.queued += float64(work.Prefill)
	e.own.sent += float64(work.Prefill)
	e.own.pending += float64(work.Output)
	e.own.active++
	if work.Output >= minBatchedOutput {
		e.own.decoding++
	}
	if work.LowSlack {
		e.lowSlack++
	}
	e.ownHistory.record(now, e.own)
	e.cache.add(prefix)
}

// Prefilled takes the attempt's prompt out of the own queue at its first token.
func (e *Engine) Prefilled(now time.Time, work Work) {
	e.own.queued = max(0, e.own.queued-float64(work.Prefill))
	e.ownHistory.record(now, e.own)
}

// Decoded takes produced output out of the own pending output.
func (e *Engine) Decoded(now time.Time, tokens identifier.Tokens) {
	e.own.pending = max(0, e.own.pending-float64(tokens))
	e.ownHistory.record(now, e.own)
}

// Ended takes an attempt of this instance out. An attempt that ended before its first token leaves its work undone.
func (e *Engine) Ended(now time.Time, work Work, produced identifier.Tokens, prefilled bool) {
	e.own.active--
	e.own.pending -= float64(max(0, work.Output-produced))
	if work.Output >= minBatchedOutput {
		e.own.decoding--
	}
	if work.LowSlack {
		e.lowSlack--
	}
	if !prefilled {
		e.own.queued -= float64(work.Prefill)
	}
	if e.own.active <= 0 {
		e.own = ownWork{sent: e.own.sent}
	}
	e.own.pending = max(0, e.own.pending)
	e.own.queued = max(0, e.own.queued)
	e.ownHistory.record(now, e.own)
}
