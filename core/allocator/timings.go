package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/speedometer"
	"rosemaryspool.example/core/tracker"
)

// timings holds the measurements of a service's upstreams, as exponentially weighted averages.
type timings struct {
	// firstEventDelay is the time from dispatch to the first event if a slot is free and the prompt is prefilled.
	firstEventDelay estimate
	// slotHoldTime is how long a request with a short answer holds its slot.
	slotHoldTime estimate
	// eventGap is the time from event to event of a long answer, longAnswer how long one holds its slot.
	eventGap   estimate
	longAnswer estimate
	// prefill and mixedPrefill are the durations of a prefill by the number of tokens, those queued ahead included, on an
	// engine that only prefills and on one that also decodes.
	prefill      line
	mixedPrefill line
}

// Timings are the measurements of a service that instances exchange.
type Timings struct {
	FirstEvent time.Duration
	SlotHold   time.Duration
	// Prefill and MixedPrefill are the durations of prefills at engines that only prefill and at those that also decode.
	Prefill      PrefillTime
	MixedPrefill PrefillTime
}

// PrefillTime is the duration of a prefill: a fixed part and the time of each token.
type PrefillTime struct {
	Base     time.Duration
	PerToken time.Duration
}

// minSharedSamples is the number of ended requests from which on an instance's measurements are better than defaults.
const minSharedSamples = 20

// Timings returns the measurements of a service, and false if there are too few of them yet.
func (a *Allocator) Timings(service identifier.ServiceName) (Timings, bool) {
	t := a.timingsOf(service)
	return Timings{
		FirstEvent: t.firstEventDelay.value, SlotHold: t.slotHoldTime.value,
		Prefill: t.prefill.time(), MixedPrefill: t.mixedPrefill.time(),
	}, t.slotHoldTime.samples >= initialSamples+minSharedSamples
}

// SetTimings replaces the measurements of a service with those of its arbiter, which has more of them.
func (a *Allocator) SetTimings(service identifier.ServiceName, m Timings) {
	t := a.timingsOf(service)
	t.firstEventDelay.value, t.slotHoldTime.value = m.FirstEvent, m.SlotHold
	t.prefill = newLine(m.Prefill, knownWeight)
	t.mixedPrefill = newLine(m.MixedPrefill, knownWeight)
}

// initialFirstEventDelay is used until the delay is measured: a network round trip and some steps of the engine.
const initialFirstEventDelay = 6 * time.Millisecond

// initialEventGap and initialLongAnswer are used until these times are measured.
const (
	initialEventGap   = 50 * time.Millisecond
	initialLongAnswer = time.Second
)

func newTimings(s Settings) *timings {
	initial := func(tokensPerMs float64) PrefillTime {
		return PrefillTime{Base: s.PrefillBase, PerToken: time.Duration(float64(time.Millisecond) / tokensPerMs)}
	}
	return &timings{
		firstEventDelay: newEstimate(s.SmoothingFactor, initialFirstEventDelay),
		slotHoldTime:    newEstimate(s.SmoothingFactor, s.SlotHoldTime),
		eventGap:        newEstimate(s.SmoothingFactor, initialEventGap),
		longAnswer:      newEstimate(s.SmoothingFactor, initialLongAnswer),
		prefill:         newLine(initial(s.PrefillRate), priorWeight),
		mixedPrefill:    newLine(initial(s.MixedPrefillRate), priorWeight),
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

// observePrefill updates the durations of prefills, and the upstream's pace relative to them.
func (t *timings) observePrefill(
	now time.Time, s *speedometer.Speedometer, work speedometer.Work, l *line, u *upstream, o Observation,
) {
	if o.Took <= 0 {
		return
	}
	if o.Tokens >= minPaceTokens {
		s.Observe(now, u.entry.Upstream, work, float64(o.Took)/float64(l.at(o.Tokens)))
	}
	// The line is that of an upstream with the usual pace.
	l.observe(o.Tokens, time.Duration(float64(o.Took)/s.Factor(now, u.entry.Upstream, work)))
}

func (t *timings) observeFirstEvent(now time.Time, s *speedometer.Speedometer, u *upstream, o Observation) {
	switch {
	case o.Took == 0:
	case o.Direct:
		o.Took -= t.firstEventDelay.value
		t.observePrefill(now, s, speedometer.MixedPrefill, &t.mixedPrefill, u, o)
	default:
		t.firstEventDelay.observe(o.Took)
	}
}

func (t *timings) observeHold(now time.Time, s *speedometer.Speedometer, u *upstream, o Observation) {
	if o.Took == 0 {
		return
	}
	if u.entry.Role == tracker.RoleNone {
		s.Observe(now, u.entry.Upstream, speedometer.Hold, float64(o.Took)/float64(t.slotHoldTime.value))
		// The estimate is that of an upstream with the usual speed.
		o.Took = time.Duration(float64(o.Took) / s.Steady(u.entry.Upstream, speedometer.Hold))
	}
	t.slotHoldTime.observe(o.Took)
}

// minPaceTokens is the number of tokens from which on they, and not fixed costs, determine the duration of a prefill, so
// that it shows an upstream's pace.
const minPaceTokens identifier.Tokens = 1000
