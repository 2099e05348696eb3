// Package meter makes the histograms in which the daemon keeps durations.
package meter

import "github.com/rcrowley/go-metrics"

// The sample of a histogram: with these values its quantiles follow about the last five minutes of steady load.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// NewHistogram registers a histogram of durations in nanoseconds under a name that ends in its unit, "Ns". One that is
// registered is returned as it is.
func NewHistogram(name string, registry metrics.Registry) metrics.Histogram {
	histogram := registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	return histogram.(metrics.Histogram)
}
