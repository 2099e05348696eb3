package batcher

import "time"

// measurementShare is the weight of a new step in the reported rates: about the last twenty steps count.
const smoothingFactor = 0.05

// measurement holds the rates that the engine saw of itself.
type rateEstimate struct {
	sequence         uint64
	prefillPerSecond float64
	decodeStep       time.Duration
}

// newMeasurement starts from the engine's usual rates.
func newRateEstimate(settings Settings) rateEstimate {
	return rateEstimate{prefillPerSecond: settings.PrefillPerSecond, decodeStep: settings.decodeTime(1)}
}

// observe adds one step.
func (m *rateEstimate) observe(ended *step, slowness float64) {
	if len(ended.decode) > 0 {
		m.decodeStep += time.Duration(smoothingFactor * float64(ended.duration-m.decodeStep))
	}
	if ended.prefillTime == 0 {
		return
	}
	tokens := 0
	for _, p := range ended.chunk {
		tokens += int(p.tokens)
	}
	rate := float64(tokens) / (ended.prefillTime.Seconds() * slowness)
	m.prefillPerSecond += smoothingFactor * (rate - m.prefillPerSecond)
}
