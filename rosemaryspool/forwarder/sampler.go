package forwarder

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Lines a second that an instance writes for ended requests. Failures have an allowance of their own, so that an overload's
// refusals don't hide them; lines beyond are counted in the metric logLinesOmitted.
const (
	servedLinesPerSecond  = 25
	refusedLinesPerSecond = 50
	failedLinesPerSecond  = 100
)

// sampler bounds the lines of each second by outcome.
type sampler struct {
	mu      sync.Mutex
	windowStart  time.Time
	written map[string]int
	omitted metrics.Counter
}

func newSampler(omitted metrics.Counter) *sampler {
	return &sampler{written: map[string]int{}, omitted: omitted}
}

// allows tells whether a line of an outcome may be written now.
func (s *sampler) allow(now time.Time, outcome string) bool {
	limit := failedLinesPerSecond
	switch outcome {
	case outcomeServed:
		limit = servedLinesPerSecond
	case outcomeRefused:
		limit = refusedLinesPerSecond
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart = now
		clear(s.written)
	}
	if s.written[outcome] >= limit {
		s.omitted.Inc(1)
		return false
	}
	s.written[outcome]++
	return true
}
