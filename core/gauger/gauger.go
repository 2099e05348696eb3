// Package gauger counts what one instance is asked for, as the placer needs it: tokens to prefill and tokens to write.
package gauger

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/placer"
)

// cachedShareWeight is the weight of a new answer in a class's usual share of cached prompt tokens.
const cachedShareSmoothing = 0.05

// Gauger keeps the demand on each model since the last Take. It is not safe for concurrent use.
type Gauger struct {
	since  time.Time
	demand map[identifier.ModelName]*placer.DemandObserved
	// cached is each class's usual share of prompt tokens that the engines' caches hold.
	cachedShare map[identifier.ClassName]float64
}

// NewGauger returns a gauger that counts from now on.
func NewGauger(now time.Time) *Gauger {
	return &Gauger{
		since:  now,
		demand: make(map[identifier.ModelName]*placer.DemandObserved),
		cachedShare: make(map[identifier.ClassName]float64),
	}
}

// Ask counts a request, refused ones included, with the share of its prompt that caches usually don't hold.
func (g *Gauger) AddRequest(model identifier.ModelName, class identifier.ClassName, prompt, output identifier.Tokens) {
	d, ok := g.demand[model]
	if !ok {
		d = &placer.DemandObserved{Model: model}
		g.demand[model] = d
	}
	d.Prefill += identifier.Tokens(float64(prompt) * (1 - g.cachedShare[class]))
	d.Output += output
}

// Learn folds one answer's cached prompt tokens into its class's usual share; a negative count means that it is unknown.
func (g *Gauger) ObserveCached(class identifier.ClassName, prompt, cached identifier.Tokens) {
	if cached < 0 || prompt <= 0 {
		return
	}
	share := float64(cached) / float64(prompt)
	g.cachedShare[class] += cachedShareSmoothing * (share - g.cachedShare[class])
}

// Take returns the demand on each model since the last call and begins anew.
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
