package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemaryspool.example/core/estimator"
)

// spread makes the random part of the choice. All instances see the same late reports; if each took the engine that
// looks best, they would all take the same one. What the others have sent since the reports were measured is poured
// over the engines as water over an uneven ground: each engine is chosen with the share that it would get of it.
func (r *Router) spread(q Request) {
	if len(r.parts) < 2 {
		return
	}
	age := r.age()
	if !r.IsShortPrompt(q.Prompt) {
		r.spreadPrefill(age * q.PeerArrivals.Prefill)
	} else {
		for i := range r.parts {
			r.parts[i].prefillCost += r.random.Float64() * r.settings.CostJitter.Seconds()
		}
	}
	if q.LongOutput >= longOutput {
		r.spreadDecode(age * q.PeerArrivals.Sequences)
	}
}

// chosenBonus in seconds puts the engine that was drawn before all others.
const chosenBonus = 1

// longOutput is the output from which on an answer takes a lasting place in a batch.
const longOutput = 8

// age returns the mean age of the candidates' reports, within reason.
func (r *Router) age() float64 {
	sum := 0.0
	for i := range r.parts {
		sum += min(r.parts[i].engine.AgeSeconds(r.now), r.settings.MaxReportAge.Seconds())
	}
	return sum / float64(len(r.parts))
}

// Level returns the cost in seconds up to which a prefill like this one would fill the engines at present.
func (r *Router) PrefillLevel(now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool) float64 {
	r.now = now
	r.gather(now, q, engines, usable)
	if len(r.parts) == 0 {
		return math.Inf(1)
	}
	r.weigh(now, q)
	level, _ := r.pour(r.age() * q.PeerArrivals.Prefill)
	return level
}

// pour lays seconds of unseen work over the prefill costs as water over uneven ground. It returns the water level and
// how many engines lie below it, in the order of their costs.
func (r *Router) pour(seconds float64) (level float64, below int) {
	r.order = r.order[:0]
	for i := range r.parts {
		if r.parts[i].canPrefill {
			r.order = append(r.order, i)
		}
	}
	slices.SortFunc(r.order, func(a, b int) int { return cmp.Compare(r.parts[a].prefillCost, r.parts[b].prefillCost) })
	sum := 0.0
	for k, i := range r.order {
		sum += r.parts[i].prefillCost
		level = (seconds + sum) / float64(k+1)
		below = k + 1
		if below == len(r.order) || level <= r.parts[r.order[below]].prefillCost {
			break
		}
	}
	return level, below
}

// spreadPrefill chooses the prefill engine by seconds of unseen work.
func (r *Router) spreadPrefill(seconds float64) {
	seconds = max(seconds, r.settings.CostJitter.Seconds())
	level, below := r.pour(seconds)
	if len(r.order) > 1 {
		r.drawPrefill(level, below, seconds)
	}
}

// drawPrefill draws one of the engines under the level, and takes it unless another one, counting the risk of being
// late, is better.
func (r *Router) drawPrefill(level float64, below int, seconds float64) {
	left := r.random.Float64() * seconds
	drawn := r.order[0]
	for k, i := range r.order {
		p := &r.parts[i]
		if k < below {
			depth := level - p.prefillCost
			if left >= 0 && left < depth {
				drawn = i
			}
			left -= depth
			p.unseen = depth
			p.prefillCost = level
		}
		p.prefillCost += r.risk(p.spare - p.unseen)
	}
	best := drawn
	for _, i := range r.order {
		if r.parts[i].prefillCost+r.random.Float64()*r.settings.CostJitter.Seconds() < r.parts[best].prefillCost-r.settings.CostJitter.Seconds() {
			best = i
		}
	}
	r.parts[best].prefillCost -= chosenBonus
}

// risk returns the cost of the chance that an answer with some seconds to spare will be late.
func (r *Router) risk(spare float64) float64 {
	return r.settings.LateCost / (1 + math.Exp((spare-r.settings.ForecastError.Seconds())/r.settings.ForecastError.Seconds()))
}

// spreadDecode chooses the decode engine: the unseen sequences fill the free places of the best engines one by one.
func (r *Router) spreadDecode(sequences float64) {
	r.order = r.order[:0]
	for i := range r.parts {
		if r.parts[i].canDecode {
			r.order = append(r.order, i)
		}
	}
	if len(r.order) < 2 {
		return
	}
	slices.SortFunc(r.order, func(a, b int) int { return cmp.Compare(r.parts[a].decodeCost, r.parts[b].decodeCost) })
	least := r.parts[r.order[0]].decodeCost
	left := r.random.Float64() * (sequences + 1)
	for _, i := range r.order {
		p := &r.parts[i]
		room := max(1, float64(p.places))
		if left < room {
			p.decodeCost = least - chosenBonus
			return
		}
		left -= room
	}
}
