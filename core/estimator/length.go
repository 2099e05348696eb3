package estimator

import "rosemaryspool.example/core/identifier"

// OutputLength estimates the lengths, in tokens, of the answers of one class.
type OutputLength struct {
	mean float64
	// high90 tracks the 90th percentile: the length that one answer in ten exceeds.
	high90 float64
	count  int
}

const (
	// lengthSmoothing is the weight of a new answer in the mean.
	lengthSmoothing = 0.02
	// highQuantile is the quantile that the high length tracks.
	highQuantile = 0.9
)

// Observe adds the length of one complete answer.
func (l *OutputLength) Observe(output identifier.Tokens) {
	x := float64(output)
	l.count++
	if l.count == 1 {
		l.mean, l.high90 = x, x
		return
	}
	l.mean += max(lengthSmoothing, 1/float64(l.count)) * (x - l.mean)
	step := max(1, l.mean) * max(lengthSmoothing, 1/float64(l.count))
	if x > l.high90 {
		l.high90 += step * highQuantile * 2
		return
	}
	l.high90 -= step * (1 - highQuantile) * 2
}

// Likely returns the mean length and one that few answers exceed. Until enough answers are observed it falls back to
// hint, the configured usual length, or to limit, the caller's limit; either is zero if unknown. A nil OutputLength has
// observed no answers.
func (l *OutputLength) Likely(hint, limit identifier.Tokens) (likely, long identifier.Tokens) {
	const enough = 8
	if hint <= 0 {
		hint = limit
	}
	likely, long = hint, max(hint, limit)
	if l != nil && l.count >= enough {
		likely, long = identifier.Tokens(l.mean+0.5), identifier.Tokens(max(l.mean, l.high90)+0.5)
	}
	if limit > 0 {
		likely, long = min(likely, limit), min(long, limit)
	}
	return max(1, likely), max(1, long)
}
