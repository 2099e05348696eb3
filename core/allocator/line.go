package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	// lineDecay is the weight that earlier measurements of a line keep with each new one.
	lineDecay = 0.99
	// priorTokens are the numbers of tokens for which a line's initial values count as measurements, priorWeight is the
	// weight of each of them.
	priorTokensLow  = 1000
	priorTokensHigh = 16000
	priorWeight     = 1
)

// line is the duration of a prefill as a linear function of the number of tokens, fitted to the measurements so far.
// Recent ones count more.
type line struct {
	// weight, x, y, xx and xy are the weighted sums of the measurements, in tokens and nanoseconds.
	weight, x, y, xx, xy float64
	base                 time.Duration
	perToken             float64
}

// newLine returns a line with the initial values: a base and a rate in tokens per millisecond.
func newLine(base time.Duration, rate float64) line {
	l := line{base: base, perToken: float64(time.Millisecond) / rate}
	for _, tokens := range []float64{priorTokensLow, priorTokensHigh} {
		l.add(priorWeight, tokens, float64(base)+tokens*l.perToken)
	}
	return l
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
