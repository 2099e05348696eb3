package estimator

import (
	"math"
	"time"
)

// Meter measures a rate over the last seconds.
type Meter struct {
	memory  time.Duration
	total   float64
	started time.Time
	at      time.Time
}

// NewMeter returns a meter that forgets over the given time.
func NewMeter(memory time.Duration) *Meter { return &Meter{memory: memory} }

// Add counts an amount at a time.
func (m *Meter) Add(now time.Time, amount float64) {
	if m.started.IsZero() {
		m.started, m.at = now, now
	}
	m.total = m.total*m.kept(now) + amount
	m.at = now
}

// PerSecond returns the rate, over the shorter time since the start at first.
func (m *Meter) PerSecond(now time.Time) float64 {
	if m.started.IsZero() {
		return 0
	}
	memory := m.memory.Seconds()
	covered := memory * (1 - math.Exp(-now.Sub(m.started).Seconds()/memory))
	return m.total * m.kept(now) / max(covered, 1)
}

func (m *Meter) kept(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(m.at).Seconds()) / m.memory.Seconds())
}
