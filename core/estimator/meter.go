package estimator

import (
	"math"
	"time"
)

// Meter measures a rate over the last seconds.
type Meter struct {
	timeConstant  time.Duration
	total   float64
	started time.Time
	updatedAt      time.Time
}

// NewMeter returns a meter that forgets over the given time.
func NewMeter(memory time.Duration) *Meter { return &Meter{timeConstant: memory} }

// Add counts an amount at a time.
func (m *Meter) Add(now time.Time, amount float64) {
	if m.started.IsZero() {
		m.started, m.updatedAt = now, now
	}
	m.total = m.total*m.decay(now) + amount
	m.updatedAt = now
}

// PerSecond returns the rate, over the shorter time since the start at first.
func (m *Meter) PerSecond(now time.Time) float64 {
	if m.started.IsZero() {
		return 0
	}
	memory := m.timeConstant.Seconds()
	covered := memory * (1 - math.Exp(-now.Sub(m.started).Seconds()/memory))
	return m.total * m.decay(now) / max(covered, 1)
}

func (m *Meter) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(m.updatedAt).Seconds()) / m.timeConstant.Seconds())
}
