package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	// lineDecay is the weight that earlier measurements of a line keep with each new one.
	lineDecay = 0.99
	// priorTokensLow and priorTokensHigh are the numbers of tokens for which a line's initial values count as measurements.
	priorTokensLow  = 1000
	priorTokensHigh = 16000
	// priorWeight is the weight of each of them where they are defaults, knownWeight where they have been measured.
	priorWeight = 1
	knownWeight = 10
)

// line is the duration of a prefill as a linear function of the number of tokens, fitted to the measurements so far.
// Recent ones count more.
type line struct {
	// weight, x, y, xx and xy are the weighted sums of the measurements, in tokens and nanoseconds.
	weight, x, y, xx, xy float64
	base                 time.Duration
	perToken             float64
}

// newLine returns a line with initial values that have a weight in measurements.
func newLine(initial PrefillTime, weight float64) line {
	l := line{base: initial.Base, perToken: float64(initial.PerToken)}
	for _, tokens := range []float64{priorTokensLow, priorTokensHigh} {
		l.add(weight, tokens, float64(l.base)+tokens*l.perToken)
	}
	return l
}

func (l *line) time() PrefillTime {
	return PrefillTime{Base: l.base, PerToken: time.Duration(l.perToken)}
}

// at returns the duration for a number of tokens.
func (l *line) at(tokens identifier.Tokens) time.Duration { return l.base + l.slope(tokens) }

// slope returns the part of the duration that depends on the number of tokens.
func (l *line) slope(tokens identifier.Tokens) time.Duration {
	return time.Duration(l.perToken * float64(tokens))
}

func (l *line) observe(tokens identifier.Tokens, took time.Duration) {
	for _, sum := range []*float64{&l.weight, &l.x, &l.y, &l.xx, &l.xy} {
		*sum *= lineDecay
	}
	l.add(1, float64(tokens), float64(took))
	meanX, meanY := l.x/l.weight, l.y/l.weight
	variance := l.xx/l.weight - meanX*meanX
	if variance <= 0 {
		return
	}
	perToken := (l.xy/l.weight - meanX*meanY) / variance
	if perToken <= 0 {
		// Chance or a change of load: the measurements of the next prefills correct the line.
		return
	}
	l.perToken = perToken
	l.base = time.Duration(max(0, meanY-perToken*meanX))
}

func (l *line) add(weight, x, y float64) {
	l.weight += weight
	l.x += weight * x
	l.y += weight * y
	l.xx += weight * x * x
	l.xy += weight * x * y
}
