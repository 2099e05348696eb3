package batcher

import "time"

// smoothingFactor is the weight of a new step in the moving averages, which thus cover about the last twenty steps.
const smoothingFactor = 0.05

// rateEstimate holds exponential moving averages of the engine's observed rates and the number of the last load report.
type rateEstimate struct {
	sequence         uint64
	prefillPerSecond float64
	decodeStep       time.Duration
}

// newRateEstimate starts from the configured rates.
func newRateEstimate(settings Settings) rateEstimate {
	return rateEstimate{prefillPerSecond: settings.PrefillPerSecond, decodeStep: settings.decodeTime(1)}
}

// observe updates the averages with a finished step.
func (m *rateEstimate) observe(finished *step, slowness float64) {
	if len(finished.decode) > 0 {
		m.decodeStep += time.Duration(smoothingFactor * float64(finished.duration-m.decodeStep))
	}
	if finished.prefillTime == 0 {
		return
	}
	tokens := 0
	for _, p := range finished.chunk {
		tokens += int(p.tokens)
	}
	rate := float64(tokens) / (finished.prefillTime.Seconds() * slowness)
	m.prefillPerSecond += smoothingFactor * (rate - m.prefillPerSecond)
}
