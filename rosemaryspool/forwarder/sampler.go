package forwarder

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Lines a second that an instance writes for ended requests. Failures have an allowance of their own, so that an overload's
// refusals don't hide them; lines beyond are counted in the metric logLinesOmitted.
const (
	servedLines  = 25
	refusedLines = 50
	failedLines  = 100
)

// sampler bounds the lines of each second by outcome.
type sampler struct {
	mu      sync.Mutex
	second  time.Time
	written map[string]int
	omitted metrics.Counter
}

func newSampler(omitted metrics.Counter) *sampler {
	return &sampler{written: map[string]int{}, omitted: omitted}
}

// allows tells whether a line of an outcome may be written now.
func (s *sampler) allows(now time.Time, outcome string) bool {
	limit := failedLines
	switch outcome {
	case outcomeServed:
		limit = servedLines
	case outcomeRefused:
		limit = refusedLines
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.second) >= time.Second {
		s.second = now
		clear(s.written)
	}
	if s.written[outcome] >= limit {
		s.omitted.Inc(1)
		return false
	}
	s.written[outcome]++
	return true
}
