package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// pace is what an instance has measured of a service's upstreams.
type timings struct {
	smoothing float64
	prefillBase   time.Duration
	// first is the time from dispatch to the first event at an upstream with a free slot and a read prompt.
	firstEventDelay time.Duration
	// residence is how long a short answer holds its slot.
	slotHoldTime time.Duration
	// readToken and directToken are the times in which one token of a prompt is read, by an engine that only reads and by
	// one that also makes tokens.
	prefillPerToken   time.Duration
	mixedPrefillPerToken time.Duration
}

// firstEvent is the time from dispatch to the first event before it is measured: two ways and some steps of the engine.
const initialFirstEventDelay = 6 * time.Millisecond

func newTimings(s Settings) *timings {
	return &timings{
		smoothing: s.SmoothingFactor, prefillBase: s.PrefillBase, firstEventDelay: initialFirstEventDelay, slotHoldTime: s.SlotHoldTime,
		prefillPerToken:   time.Duration(float64(time.Millisecond) / s.PrefillRate),
		mixedPrefillPerToken: time.Duration(float64(time.Millisecond) / s.MixedPrefillRate),
	}
}

func (p *timings) smooth(estimate *time.Duration, measured time.Duration) {
	*estimate += time.Duration(p.smoothing * float64(measured-*estimate))
}

// learnToken takes the time of a read that had to pass a number of tokens. Short reads tell little about one token.
func (p *timings) observePrefill(estimate *time.Duration, took time.Duration, tokens identifier.Tokens) {
	if tokens < minObservedPrefill || took <= p.prefillBase {
		return
	}
	p.smooth(estimate, (took-p.prefillBase)/time.Duration(tokens))
}

// leastLearned is the length from which a read's time is mostly due to its tokens.
const minObservedPrefill identifier.Tokens = 1000
