package estimator

import (
	"math"
	"time"
)

// Meter measures a rate with exponential decay.
type Meter struct {
	timeConstant time.Duration
	total        float64
	started      time.Time
	updatedAt    time.Time
}

// NewMeter returns a meter whose observations decay with the given time constant.
func NewMeter(timeConstant time.Duration) *Meter { return &Meter{timeConstant: timeConstant} }

// Add counts an amount at the time now.
func (m *Meter) Add(now time.Time, amount float64) {
	if m.started.IsZero() {
		m.started, m.updatedAt = now, now
	}
	m.total = m.total*m.decay(now) + amount
	m.updatedAt = now
}

// PerSecond returns the current rate; shortly after the first Add it averages over the time since then, at least a
// second.
func (m *Meter) PerSecond(now time.Time) float64 {
	if m.started.IsZero() {
		return 0
	}
	timeConstant := m.timeConstant.Seconds()
	window := timeConstant * (1 - math.Exp(-now.Sub(m.started).Seconds()/timeConstant))
	return m.total * m.decay(now) / max(window, 1)
}

func (m *Meter) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(m.updatedAt).Seconds()) / m.timeConstant.Seconds())
}
