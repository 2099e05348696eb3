package speedometer

import (
	"math"
	"time"
)

const (
	// windowLength is the time over which measurements are averaged to one of the steady speed. It is shorter than what
	// passes, so that this shows as a few outlying windows.
	windowLength = 200 * time.Millisecond
	// steadySmoothing is the weight of one window in the steady speed; the first windows weigh more.
	steadySmoothing = 0.03
	// maxStep bounds what one window, as logarithm, changes: one that outlies says little about the steady speed.
	maxStep = 0.35
	// minWindows is the number of windows from which on a steady speed counts.
	minWindows = 5
	// enterClass and leaveClass are the distances from the usual speed, as logarithms, at which an upstream is no longer
	// usual and at which it is again: smaller differences come from the work that it happens to get. maxErrors is the number
	// of standard errors of its steady speed by which the distance must exceed enterClass.
	enterClass = 0.3
	leaveClass = 0.15
	maxErrors  = 2
	// passingSmoothing is the weight of one measurement in what passes, passingHalfLife how fast that is forgotten without
	// measurements, so that an upstream that was disturbed is tried again.
	passingSmoothing = 0.15
	passingHalfLife  = 2 * time.Second
	// minFactor and maxFactor bound a factor, so that a few extreme measurements don't exclude an upstream for long.
	minFactor = 0.3
	maxFactor = 10
	// minDisturbance is the least factor of what passes.
	minDisturbance = 0.5
)

// gauge measures one kind of work at one upstream.
type gauge struct {
	// steady is the logarithm of the factor that lasts, from this many windows.
	steady  float64
	windows int
	// variance is that of the windows' measurements around the steady speed.
	variance float64
	// learned is the distance from the usual speed, as logarithm, that another instance has measured; nil if none has.
	learned *float64
	class   Class
	// sum and count are of the window that began at windowStart.
	sum         float64
	count       int
	windowStart time.Time
	// disturbance is the factor of what passes.
	disturbance float64
	measuredAt  time.Time
}

func bound(factor float64) float64 { return min(maxFactor, max(minFactor, factor)) }

func (g *gauge) known() bool { return g.windows >= minWindows }

// observe records a measurement; steady is the factor that lasts, in the class of the gauge.
func (g *gauge) observe(now time.Time, ratio, steady float64) {
	ratio = min(maxFactor, max(1.0/maxFactor, ratio))
	if g.count > 0 && now.Sub(g.windowStart) >= windowLength {
		g.closeWindow()
	}
	if g.count == 0 {
		g.windowStart = now
	}
	g.sum += math.Log(ratio)
	g.count++
	current := g.passing(now)
	g.disturbance = boundDisturbance(current + passingSmoothing*(ratio/steady-current))
	g.measuredAt = now
}

func boundDisturbance(factor float64) float64 { return min(maxFactor, max(minDisturbance, factor)) }

func (g *gauge) closeWindow() {
	step := g.sum/float64(g.count) - g.steady
	if g.known() {
		step = min(maxStep, max(-maxStep, step))
	}
	g.windows++
	weight := max(steadySmoothing, 1/float64(g.windows))
	g.steady += weight * step
	if g.windows > 1 {
		g.variance += weight * (step*step - g.variance)
	}
	g.sum, g.count = 0, 0
}

// passing returns the factor of what passes: each half-life without measurement halves its distance to 1.
func (g *gauge) passing(now time.Time) float64 {
	if g.measuredAt.IsZero() {
		return 1
	}
	halvings := float64(now.Sub(g.measuredAt)) / float64(passingHalfLife)
	return 1 + (g.disturbance-1)*math.Exp2(-halvings)
}

// distance returns how far the steady speed is from the usual one, as logarithm, and false if that is unknown. What another
// instance has measured counts until there are enough measurements here.
func (g *gauge) distance(usual float64) (float64, bool) {
	if g.usesLearned() {
		return *g.learned, true
	}
	return g.steady - usual, g.known()
}

func (g *gauge) usesLearned() bool { return g.learned != nil && g.windows < maxLearnedWindows }

// factor returns the factor that lasts; it is 1 in the usual class.
func (g *gauge) factor(usual float64) float64 {
	if g.class == Usual {
		return 1
	}
	distance, _ := g.distance(usual)
	return bound(math.Exp(distance))
}

// standardError is that of the steady speed.
func (g *gauge) standardError() float64 {
	return math.Sqrt(g.variance / min(float64(g.windows), 1/steadySmoothing))
}

// classify returns the class at which the gauge is, given what is usual.
func (g *gauge) classify(usual float64) Class {
	distance, known := g.distance(usual)
	if !known {
		return Usual
	}
	threshold := enterClass
	if g.class != Usual {
		threshold = leaveClass
	} else if !g.usesLearned() {
		threshold += maxErrors * g.standardError()
	}
	switch {
	case distance > threshold:
		return Slow
	case distance < -threshold:
		return Quick
	default:
		return Usual
	}
}
