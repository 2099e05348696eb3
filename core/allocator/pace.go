package allocator

import (
	"math"
	"time"
)

const (
	// paceSmoothing is the weight of one measurement in an upstream's pace.
	paceSmoothing = 0.15
	// minPace and maxPace bound the pace, so that a few extreme measurements don't exclude an upstream for long.
	minPace = 0.5
	maxPace = 10
	// paceHalfLife is how fast the pace returns to that of the other upstreams without measurements, so that a slow
	// upstream is tried again.
	paceHalfLife = 2 * time.Second
)

// pace is how long an upstream takes for its work relative to the average of its service.
type pace struct {
	factor     float64
	measuredAt time.Time
}

func newPace() pace { return pace{factor: 1} }

// at returns the factor at a time: each half-life without measurement halves its distance to 1.
func (p *pace) at(now time.Time) float64 {
	if p.measuredAt.IsZero() {
		return 1
	}
	halvings := float64(now.Sub(p.measuredAt)) / float64(paceHalfLife)
	return 1 + (p.factor-1)*math.Exp2(-halvings)
}

// observe records a measurement relative to the service's average.
func (p *pace) observe(now time.Time, ratio float64) {
	factor := p.at(now)
	p.factor = min(maxPace, max(minPace, factor+paceSmoothing*(ratio-factor)))
	p.measuredAt = now
}
