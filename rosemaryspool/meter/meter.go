// Package meter registers the histograms in which the daemon records durations.
package meter

import "github.com/rcrowley/go-metrics"

// Parameters of the exponentially decaying sample of a histogram: its quantiles cover about the last five minutes of
// steady load.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// NewHistogram returns the histogram of durations in nanoseconds that is registered under a name, and registers a new
// one if there is none. Names end in the unit, "Ns".
func NewHistogram(name string, registry metrics.Registry) metrics.Histogram {
	histogram := registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	return histogram.(metrics.Histogram)
}
