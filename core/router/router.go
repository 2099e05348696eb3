// Package router chooses the engine, or the pair of engines, that answers a request in time with the least harm to others.
package router

import (
	"math/rand/v2"
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
)

// Request is what a routing decision needs to know of a request.
type Request struct {
	Model    identifier.ModelName
	Urgent   bool
	Deadline time.Time
	Prompt   identifier.Tokens
	// Output is the likely length of the rest of the answer; LongOutput is one that few answers exceed.
	Output     identifier.Tokens
	LongOutput identifier.Tokens
	Prefix     []identifier.PrefixHash
}

// Candidate is one way to serve a request.
type Candidate struct {
	Prefill *estimator.Engine
	Decode  *estimator.Engine
	// Forecast is the predicted course over both engines.
	Forecast estimator.Forecast
	// Late is by how many seconds the careful prediction misses the deadline; negative means in time.
	Late float64
	Cost float64
}

// Choice is the outcome of a routing decision.
type Choice struct {
	// Best is nil when no engine may take the request.
	Best *Candidate
	// Considered holds the leading candidates, best first.
	Considered []Candidate
	Cause      string
}

// Router chooses engines. It is not safe for concurrent use.
type Router struct {
	settings Settings
	local    identifier.DataCentre
	random   *rand.Rand
	scratch  []Candidate
}

// NewRouter returns a router of an instance in the given data centre.
func NewRouter(settings Settings, local identifier.DataCentre, random *rand.Rand) *Router {
	return &Router{settings: settings, local: local, random: random}
}

// Choose ranks the engines for a request. The usable function leaves out ejected engines and ones already tried.
func (r *Router) Choose(now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool) Choice {
	r.scratch = r.scratch[:0]
	for _, e := range engines {
		if e.Role() != identifier.RoleMixed || e.Away() || !e.Serves(q.Model) || !usable(e) {
			continue
		}
		r.scratch = append(r.scratch, r.weigh(now, q, e, e))
	}
	r.addPair(now, q, engines, usable)
	return r.rank()
}

// addPair adds the best pair of a prefill and a decode engine.
func (r *Router) addPair(now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool) {
	var prefill, decode *estimator.Engine
	var bestPrefill, bestDecode float64
	for _, e := range engines {
		if e.Role() == identifier.RoleMixed || e.Away() || !e.Serves(q.Model) || !usable(e) {
			continue
		}
		f := e.Forecast(now, q.Prompt, q.Output, q.Prefix)
		noise := r.random.Float64() * r.settings.Spread.Seconds()
		if cost := f.Wait + f.Prefill + noise; e.Role() == identifier.RolePrefill && (prefill == nil || cost < bestPrefill) {
			prefill, bestPrefill = e, cost
		}
		if cost := f.Decode + noise; e.Role() == identifier.RoleDecode && (decode == nil || cost < bestDecode) {
			decode, bestDecode = e, cost
		}
	}
	if prefill != nil && decode != nil {
		r.scratch = append(r.scratch, r.weigh(now, q, prefill, decode))
	}
}

// weigh predicts one candidate and gives it a cost in seconds.
func (r *Router) weigh(now time.Time, q Request, prefill, decode *estimator.Engine) Candidate {
	f := prefill.Forecast(now, q.Prompt, q.Output, q.Prefix)
	harmed := prefill.Decoding()
	if decode != prefill {
		d := decode.Forecast(now, 0, q.Output, nil)
		f.Decode = d.Decode + r.settings.HandOver.Seconds()
		f.Occupation = f.Prefill + d.Occupation
		harmed = 0
	}
	remaining := q.Deadline.Sub(now).Seconds()
	careful := f.Wait + f.Prefill + f.Decode*float64(q.LongOutput)/float64(max(1, q.Output))
	c := Candidate{Prefill: prefill, Decode: decode, Forecast: f}
	c.Late = careful*(1+r.settings.Margin) - remaining
	c.Cost = r.cost(c, harmed, remaining)
	if decode.DataCentre != r.local {
		c.Cost += r.settings.Remote.Seconds()
	}
	return c
}

func (r *Router) cost(c Candidate, harmed int, remaining float64) float64 {
	f := c.Forecast
	cost := f.Finish()*r.settings.FinishWeight*min(1, r.settings.Reference.Seconds()/max(remaining, 0.1)) + f.Occupation
	cost += f.Prefill * float64(harmed) * r.settings.Harm
	cost += r.random.Float64() * r.settings.Spread.Seconds()
	if c.Late > 0 {
		cost += r.settings.LatePenalty + c.Late*2
	}

	return cost
}

// rank moves the best candidates to the front.
func (r *Router) rank() Choice {
	kept := min(len(r.scratch), r.settings.Explained)
	for i := range kept {
		best := i
		for k := i + 1; k < len(r.scratch); k++ {
			if r.scratch[k].Cost < r.scratch[best].Cost {
				best = k
			}
		}
		r.scratch[i], r.scratch[best] = r.scratch[best], r.scratch[i]
	}
	choice := Choice{Considered: r.scratch[:kept], Cause: "noEngine"}
	if kept == 0 {
		return choice
	}
	choice.Best = &r.scratch[0]
	choice.Cause = "leastHarm"
	if choice.Best.Forecast.Cached > 0 {
		choice.Cause = "prefixAffinity"
	}
	if choice.Best.Late > 0 {
		choice.Cause = "leastLate"
	}
	return choice
}
