package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// timings holds an instance's measurements of a service's upstreams, as exponentially weighted averages.
type timings struct {
	smoothing   float64
	prefillBase time.Duration
	// firstEventDelay is the time from dispatch to the first event if a slot is free and the prompt is prefilled.
	firstEventDelay time.Duration
	// slotHoldTime is how long a request with a short answer holds its slot.
	slotHoldTime time.Duration
	// prefillPerToken and mixedPrefillPerToken are the prefill times of one prompt token, on an engine that only
	// prefills and on one that also decodes.
	prefillPerToken      time.Duration
	mixedPrefillPerToken time.Duration
}

// initialFirstEventDelay is used until the delay is measured: a network round trip and some steps of the engine.
const initialFirstEventDelay = 6 * time.Millisecond

func newTimings(s Settings) *timings {
	return &timings{
		smoothing: s.SmoothingFactor, prefillBase: s.PrefillBase, firstEventDelay: initialFirstEventDelay,
		slotHoldTime:         s.SlotHoldTime,
		prefillPerToken:      time.Duration(float64(time.Millisecond) / s.PrefillRate),
		mixedPrefillPerToken: time.Duration(float64(time.Millisecond) / s.MixedPrefillRate),
	}
}

func (t *timings) smooth(estimate *time.Duration, measured time.Duration) {
	*estimate += time.Duration(t.smoothing * float64(measured-*estimate))
}

// observePrefill updates a time per token with the duration of a prefill, in which the given number of tokens, queued
// ones included, had to be processed. It ignores short prefills, whose duration is mostly overhead.
func (t *timings) observePrefill(estimate *time.Duration, took time.Duration, tokens identifier.Tokens) {
	if tokens < minObservedPrefill || took <= t.prefillBase {
		return
	}
	t.smooth(estimate, (took-t.prefillBase)/time.Duration(tokens))
}

// minObservedPrefill is the number of tokens from which on they, and not the overhead, dominate the duration.
const minObservedPrefill identifier.Tokens = 1000
