package forwarder

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Limits on the log lines for ended requests. Each outcome has a limit of its own, so that refusals under overload
// don't crowd out failures. Lines over the limit are counted in the metric logLinesOmitted.
const (
	servedLinesPerSecond  = 25
	refusedLinesPerSecond = 50
	failedLinesPerSecond  = 100
)

// sampler limits the log lines per second for each outcome.
type sampler struct {
	mu          sync.Mutex
	windowStart time.Time
	written     map[string]int
	omitted     metrics.Counter
}

func newSampler(omitted metrics.Counter) *sampler {
	return &sampler{written: map[string]int{}, omitted: omitted}
}

// allow reports whether a line for an outcome may be written now, and counts it.
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
