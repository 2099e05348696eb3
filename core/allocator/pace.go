package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// pace is what an instance has measured of a service's upstreams.
type pace struct {
	memory float64
	base   time.Duration
	// first is the time from dispatch to the first event at an upstream with a free slot and a read prompt.
	first time.Duration
	// residence is how long a short answer holds its slot.
	residence time.Duration
	// readToken and directToken are the times in which one token of a prompt is read, by an engine that only reads and by
	// one that also makes tokens.
	readToken   time.Duration
	directToken time.Duration
}

// firstEvent is the time from dispatch to the first event before it is measured: two ways and some steps of the engine.
const firstEvent = 6 * time.Millisecond

func newPace(s Settings) *pace {
	return &pace{
		memory: s.SmoothingFactor, base: s.PrefillBase, first: firstEvent, residence: s.SlotHoldTime,
		readToken:   time.Duration(float64(time.Millisecond) / s.PrefillRate),
		directToken: time.Duration(float64(time.Millisecond) / s.MixedPrefillRate),
	}
}

func (p *pace) move(estimate *time.Duration, measured time.Duration) {
	*estimate += time.Duration(p.memory * float64(measured-*estimate))
}

// learnToken takes the time of a read that had to pass a number of tokens. Short reads tell little about one token.
func (p *pace) learnToken(estimate *time.Duration, took time.Duration, tokens identifier.Tokens) {
	if tokens < leastLearned || took <= p.base {
		return
	}
	p.move(estimate, (took-p.base)/time.Duration(tokens))
}

// leastLearned is the length from which a read's time is mostly due to its tokens.
const leastLearned identifier.Tokens = 1000
