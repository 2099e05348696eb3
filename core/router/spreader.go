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
func (r *Router) sampleEngines(q Request) {
	if len(r.scores) < 2 {
		return
	}
	age := r.meanReportAge()
	if !r.IsShortPrompt(q.Prompt) {
		r.samplePrefill(age * q.PeerArrivals.Prefill)
	} else {
		for i := range r.scores {
			r.scores[i].prefillCost += r.random.Float64() * r.settings.CostJitter.Seconds()
		}
	}
	if q.LongOutput >= minLongOutput {
		r.sampleDecode(age * q.PeerArrivals.Sequences)
	}
}

// chosenBonus in seconds puts the engine that was drawn before all others.
const drawnBonus = 1

// longOutput is the output from which on an answer takes a lasting place in a batch.
const minLongOutput = 8

// age returns the mean age of the candidates' reports, within reason.
func (r *Router) meanReportAge() float64 {
	sum := 0.0
	for i := range r.scores {
		sum += min(r.scores[i].engine.AgeSeconds(r.now), r.settings.MaxReportAge.Seconds())
	}
	return sum / float64(len(r.scores))
}

// Level returns the cost in seconds up to which a prefill like this one would fill the engines at present.
func (r *Router) PrefillLevel(now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool) float64 {
	r.now = now
	r.collectForecasts(now, q, engines, usable)
	if len(r.scores) == 0 {
		return math.Inf(1)
	}
	r.computeCosts(now, q)
	level, _ := r.waterFill(r.meanReportAge() * q.PeerArrivals.Prefill)
	return level
}

// pour lays seconds of unseen work over the prefill costs as water over uneven ground. It returns the water level and
// how many engines lie below it, in the order of their costs.
func (r *Router) waterFill(seconds float64) (level float64, below int) {
	r.order = r.order[:0]
	for i := range r.scores {
		if r.scores[i].canPrefill {
			r.order = append(r.order, i)
		}
	}
	slices.SortFunc(r.order, func(a, b int) int { return cmp.Compare(r.scores[a].prefillCost, r.scores[b].prefillCost) })
	sum := 0.0
	for k, i := range r.order {
		sum += r.scores[i].prefillCost
		level = (seconds + sum) / float64(k+1)
		below = k + 1
		if below == len(r.order) || level <= r.scores[r.order[below]].prefillCost {
			break
		}
	}
	return level, below
}

// spreadPrefill chooses the prefill engine by seconds of unseen work.
func (r *Router) samplePrefill(seconds float64) {
	seconds = max(seconds, r.settings.CostJitter.Seconds())
	level, below := r.waterFill(seconds)
	if len(r.order) > 1 {
		r.drawBelowLevel(level, below, seconds)
	}
}

// drawPrefill draws one of the engines under the level, and takes it unless another one, counting the risk of being
// late, is better.
func (r *Router) drawBelowLevel(level float64, below int, seconds float64) {
	left := r.random.Float64() * seconds
	drawn := r.order[0]
	for k, i := range r.order {
		p := &r.scores[i]
		if k < below {
			depth := level - p.prefillCost
			if left >= 0 && left < depth {
				drawn = i
			}
			left -= depth
			p.unreportedWork = depth
			p.prefillCost = level
		}
		p.prefillCost += r.latenessRisk(p.slack - p.unreportedWork)
	}
	best := drawn
	for _, i := range r.order {
		if r.scores[i].prefillCost+r.random.Float64()*r.settings.CostJitter.Seconds() < r.scores[best].prefillCost-r.settings.CostJitter.Seconds() {
			best = i
		}
	}
	r.scores[best].prefillCost -= drawnBonus
}

// risk returns the cost of the chance that an answer with some seconds to spare will be late.
func (r *Router) latenessRisk(spare float64) float64 {
	return r.settings.LateCost / (1 + math.Exp((spare-r.settings.ForecastError.Seconds())/r.settings.ForecastError.Seconds()))
}

// spreadDecode chooses the decode engine: the unseen sequences fill the free places of the best engines one by one.
func (r *Router) sampleDecode(sequences float64) {
	r.order = r.order[:0]
	for i := range r.scores {
		if r.scores[i].canDecode {
			r.order = append(r.order, i)
		}
	}
	if len(r.order) < 2 {
		return
	}
	slices.SortFunc(r.order, func(a, b int) int { return cmp.Compare(r.scores[a].decodeCost, r.scores[b].decodeCost) })
	least := r.scores[r.order[0]].decodeCost
	left := r.random.Float64() * (sequences + 1)
	for _, i := range r.order {
		p := &r.scores[i]
		room := max(1, float64(p.freeSlots))
		if left < room {
			p.decodeCost = least - drawnBonus
			return
		}
		left -= room
	}
}
