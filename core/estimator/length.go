package estimator

import "rosemaryspool.example/core/identifier"

// Length learns how long the answers of one class are.
type OutputLength struct {
	mean float64
	// high follows the length that one answer in ten exceeds.
	high90  float64
	count int
}

const (
	// lengthMemory is the share by which one answer moves the learned mean.
	lengthSmoothing = 0.02
	// longShare is the share of answers that stay below the long length.
	highQuantile = 0.9
)

// Observe takes the length of one whole answer.
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

// Likely returns the usual length and one that few answers exceed. The hint is the configured usual length, zero when
// unknown; limit is the caller's limit.
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
