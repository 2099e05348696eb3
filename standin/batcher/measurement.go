package batcher

import "time"

// measurementShare is the weight of a new step in the reported rates: about the last twenty steps count.
const measurementShare = 0.05

// measurement holds the rates that the engine saw of itself.
type measurement struct {
	sequence         uint64
	prefillPerSecond float64
	decodeStep       time.Duration
}

// newMeasurement starts from the engine's usual rates.
func newMeasurement(settings Settings) measurement {
	return measurement{prefillPerSecond: settings.PrefillPerSecond, decodeStep: settings.step(1)}
}

// observe adds one step.
func (m *measurement) observe(ended *step, slowness float64) {
	if len(ended.decode) > 0 {
		m.decodeStep += time.Duration(measurementShare * float64(ended.length-m.decodeStep))
	}
	if ended.prefill == 0 {
		return
	}
	tokens := 0
	for _, p := range ended.chunk {
		tokens += int(p.tokens)
	}
	rate := float64(tokens) / (ended.prefill.Seconds() * slowness)
	m.prefillPerSecond += measurementShare * (rate - m.prefillPerSecond)
}
