package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// timings holds the measurements of a service's upstreams, as exponentially weighted averages.
type timings struct {
	prefillBase time.Duration
	// firstEventDelay is the time from dispatch to the first event if a slot is free and the prompt is prefilled.
	firstEventDelay estimate
	// slotHoldTime is how long a request with a short answer holds its slot.
	slotHoldTime estimate
	// prefillPerToken and mixedPrefillPerToken are the prefill times of one prompt token, on an engine that only
	// prefills and on one that also decodes.
	prefillPerToken      estimate
	mixedPrefillPerToken estimate
}

// initialFirstEventDelay is used until the delay is measured: a network round trip and some steps of the engine.
const initialFirstEventDelay = 6 * time.Millisecond

func newTimings(s Settings) *timings {
	perToken := func(rate float64) time.Duration { return time.Duration(float64(time.Millisecond) / rate) }
	return &timings{
		prefillBase:          s.PrefillBase,
		firstEventDelay:      newEstimate(s.SmoothingFactor, initialFirstEventDelay),
		slotHoldTime:         newEstimate(s.SmoothingFactor, s.SlotHoldTime),
		prefillPerToken:      newEstimate(s.SmoothingFactor, perToken(s.PrefillRate)),
		mixedPrefillPerToken: newEstimate(s.SmoothingFactor, perToken(s.MixedPrefillRate)),
	}
}

// initialSamples is the weight of an estimate's initial value in measurements.
const initialSamples = 3

// estimate is a moving average. Its first measurements count more, so that a wrong initial value is soon corrected.
type estimate struct {
	value     time.Duration
	smoothing float64
	samples   int
}

func newEstimate(smoothing float64, initial time.Duration) estimate {
	return estimate{value: initial, smoothing: smoothing, samples: initialSamples}
}

func (e *estimate) observe(measured time.Duration) {
	e.samples++
	weight := max(e.smoothing, 1/float64(e.samples))
	e.value += time.Duration(weight * float64(measured-e.value))
}

// minObservedPrefill is the number of tokens from which on they, and not the overhead, dominate the duration.
const minObservedPrefill identifier.Tokens = 1000

// observePrefill updates a time per token, and the upstream's pace relative to it. It ignores short prefills, whose
// duration is mostly overhead.
func (t *timings) observePrefill(now time.Time, perToken *estimate, u *upstream, o Observation) {
	took := o.Took - t.prefillBase
	if o.Tokens < minObservedPrefill || took <= 0 {
		return
	}
	measured := took / time.Duration(o.Tokens)
	u.pace.observe(now, float64(measured)/float64(perToken.value))
	perToken.observe(measured)
}

func (t *timings) observeFirstEvent(now time.Time, u *upstream, o Observation) {
	switch {
	case o.Took == 0:
	case o.Direct:
		o.Took -= t.firstEventDelay.value
		t.observePrefill(now, &t.mixedPrefillPerToken, u, o)
	default:
		t.firstEventDelay.observe(o.Took)
	}
}

func (t *timings) observeHold(now time.Time, u *upstream, o Observation) {
	if o.Took == 0 {
		return
	}
	if u.entry.Role == 0 {
		u.pace.observe(now, float64(o.Took)/float64(t.slotHoldTime.value))
	}
	t.slotHoldTime.observe(o.Took)
}
