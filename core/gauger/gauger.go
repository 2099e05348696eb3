// Package gauger measures the demand on each model at one instance, as input for the placer: prompt tokens to prefill
// and output tokens to decode.
package gauger

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/placer"
)

// cachedShareSmoothing is the weight of a new response in a class's average share of cached prompt tokens.
const cachedShareSmoothing = 0.05

// Gauger sums up the demand on each model since the last Take. It is not safe for concurrent use.
type Gauger struct {
	since  time.Time
	demand map[identifier.ModelName]*placer.DemandObserved
	// cachedShare is each class's average share of prompt tokens that are in the engines' caches.
	cachedShare map[identifier.ClassName]float64
}

// NewGauger returns a gauger without demand whose first period starts now.
func NewGauger(now time.Time) *Gauger {
	return &Gauger{
		since:       now,
		demand:      make(map[identifier.ModelName]*placer.DemandObserved),
		cachedShare: make(map[identifier.ClassName]float64),
	}
}

// AddRequest adds the demand of a request, refused or not. Its prompt counts without the class's average cached share,
// and output is the expected length of its answer.
func (g *Gauger) AddRequest(model identifier.ModelName, class identifier.ClassName, prompt, output identifier.Tokens) {
	d, ok := g.demand[model]
	if !ok {
		d = &placer.DemandObserved{Model: model}
		g.demand[model] = d
	}
	d.Prefill += identifier.Tokens(float64(prompt) * (1 - g.cachedShare[class]))
	d.Output += output
}

// ObserveCached updates a class's average cached share with the cached prompt tokens of one request. A negative count
// means unknown and is ignored.
func (g *Gauger) ObserveCached(class identifier.ClassName, prompt, cached identifier.Tokens) {
	if cached < 0 || prompt <= 0 {
		return
	}
	share := float64(cached) / float64(prompt)
	g.cachedShare[class] += cachedShareSmoothing * (share - g.cachedShare[class])
}

// Take returns the demand on each model since the last call and starts the next period. A model stays in the result,
// with zero demand if need be, once it has had a request.
func (g *Gauger) Take(now time.Time) []placer.DemandObserved {
	var taken []placer.DemandObserved
	for _, d := range g.demand {
		taken = append(taken, placer.DemandObserved{
			Now: now, Model: d.Model, Period: now.Sub(g.since), Prefill: d.Prefill, Output: d.Output,
		})
		d.Prefill, d.Output = 0, 0
	}
	g.since = now
	return taken
}
