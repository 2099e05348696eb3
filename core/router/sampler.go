package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemaryspool.example/core/estimator"
)

// sampleEngines randomises the choice. All instances use the same delayed load reports; if each took the engine of
// least cost, they would all pick the same one (herding). The estimated work that the other instances have sent since
// the reports is distributed over the engines by water-filling, and each engine is drawn with a probability equal to
// its share.
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

// drawnBonus in seconds is subtracted from the cost of the drawn engine so that it ranks first.
const drawnBonus = 1

// minLongOutput is the output in tokens from which on an answer occupies a batch slot long enough to matter for
// routing.
const minLongOutput = 8

// meanReportAge returns the mean age of the engines' reports in seconds, each capped at MaxReportAge.
func (r *Router) meanReportAge() float64 {
	sum := 0.0
	for i := range r.scores {
		sum += min(r.scores[i].engine.AgeSeconds(r.now), r.settings.MaxReportAge.Seconds())
	}
	return sum / float64(len(r.scores))
}

// PrefillLevel returns the water level in seconds of prefill cost for a request: the cost that the best engines reach
// once the estimated unreported work is distributed over them. Without a usable engine it is infinite.
func (r *Router) PrefillLevel(
	now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool,
) float64 {
	r.now = now
	r.collectForecasts(now, q, engines, usable)
	if len(r.scores) == 0 {
		return math.Inf(1)
	}
	r.computeCosts(now, q)
	level, _ := r.waterFill(r.meanReportAge() * q.PeerArrivals.Prefill)
	return level
}

// waterFill distributes seconds of unreported work over the prefill engines so that the cheapest ones rise to a common
// cost. It returns that level and the number of engines below it; r.order holds the engines in order of cost.
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

// samplePrefill chooses the prefill engine, given the seconds of unreported work. It uses at least CostJitter, so that
// the choice stays random when there is no unreported work.
func (r *Router) samplePrefill(seconds float64) {
	seconds = max(seconds, r.settings.CostJitter.Seconds())
	level, below := r.waterFill(seconds)
	if len(r.order) > 1 {
		r.drawBelowLevel(level, below, seconds)
	}
}

// drawBelowLevel draws one of the engines below the water level. It takes that engine unless another one is better by
// more than the jitter once the risk of missing the deadline is added.
func (r *Router) drawBelowLevel(level float64, below int, seconds float64) {
	remaining := r.random.Float64() * seconds
	drawn := r.order[0]
	for k, i := range r.order {
		s := &r.scores[i]
		if k < below {
			depth := level - s.prefillCost
			if remaining >= 0 && remaining < depth {
				drawn = i
			}
			remaining -= depth
			s.unreportedWork = depth
			s.prefillCost = level
		}
		s.prefillCost += r.latenessRisk(s.slack - s.unreportedWork)
	}
	best := drawn
	for _, i := range r.order {
		if r.scores[i].prefillCost+r.random.Float64()*r.settings.CostJitter.Seconds() <
			r.scores[best].prefillCost-r.settings.CostJitter.Seconds() {
			best = i
		}
	}
	r.scores[best].prefillCost -= drawnBonus
}

// latenessRisk returns the expected cost of missing the deadline with the given slack in seconds. The probability is a
// logistic function whose offset and scale are ForecastError.
func (r *Router) latenessRisk(slack float64) float64 {
	return r.settings.LateCost /
		(1 + math.Exp((slack-r.settings.ForecastError.Seconds())/r.settings.ForecastError.Seconds()))
}

// sampleDecode chooses the decode engine: the estimated unreported sequences fill the free batch slots of the engines
// in order of cost, and the request takes a random position among them.
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
	position := r.random.Float64() * (sequences + 1)
	for _, i := range r.order {
		s := &r.scores[i]
		slots := max(1, float64(s.freeSlots))
		if position < slots {
			s.decodeCost = least - drawnBonus
			return
		}
		position -= slots
	}
}
