package simulator

import (
	"math"
	"time"
)

// Split holds the number of engines in each role.
type Split struct {
	Prefill int
	Decode  int
	Mixed   int
}

// Changed returns how many engines must change roles between two splits of the same fleet.
func (s Split) Changed(other Split) int {
	return (abs(s.Prefill-other.Prefill) + abs(s.Decode-other.Decode) + abs(s.Mixed-other.Mixed)) / 2
}

// unchanged returns the engines that keep their roles when the fleet changes from another split to this one.
func (s Split) unchanged(from Split) Split {
	return Split{min(s.Prefill, from.Prefill), min(s.Decode, from.Decode), min(s.Mixed, from.Mixed)}
}

// splits returns every split of a number of engines.
func splits(engines int) []Split {
	var all []Split
	for p := 0; p <= engines; p++ {
		for d := 0; p+d <= engines; d++ {
			all = append(all, Split{p, d, engines - p - d})
		}
	}
	return all
}

// work is the engine time that responses need: prefill in seconds, decode in seconds of a full batch.
type work struct {
	prefill float64
	decode  float64
}

// total returns the engine seconds of prefill and decode together.
func (w work) total() float64 { return w.prefill + w.decode }

// scaled returns a multiple of the work.
func (w work) scaled(factor float64) work { return work{w.prefill * factor, w.decode * factor} }

// add returns the sum of two amounts of work.
func (w work) add(other work) work { return work{w.prefill + other.prefill, w.decode + other.decode} }

// fluidModel computes the throughput of splits if requests are divisible work without queueing.
type fluidModel struct {
	// frontier[i] is the decode work per second of one mixed engine that spends the fraction i/(len-1) of its time on
	// prefill.
	frontier []float64
}

// frontierSteps is the number of steps in the frontier.
const frontierSteps = 200

// newFluidModel returns the model of engines whose mean decode step, including interleaved prefill, must not exceed
// stepLimit.
func newFluidModel(p Parameters, stepLimit time.Duration) fluidModel {
	model := fluidModel{frontier: make([]float64, frontierSteps+1)}
	full := float64(p.MaxBatch) / p.stepSeconds(float64(p.MaxBatch))
	for i := range model.frontier {
		share := float64(i) / frontierSteps
		batch := ((1-share)*stepLimit.Seconds() - p.DecodeBase.Seconds()) / p.DecodePerSequence.Seconds()
		batch = min(batch, float64(p.MaxBatch))
		if batch <= 0 {
			continue
		}
		model.frontier[i] = (1 - share) * batch / p.stepSeconds(batch) / full
	}
	return model
}

// stepSeconds returns the time of a decode step with a batch of the given size.
func (p Parameters) stepSeconds(batch float64) float64 {
	return p.DecodeBase.Seconds() + batch*p.DecodePerSequence.Seconds()
}

// stepLimit returns the largest mean step time with which every class meets its deadline at the given output length.
func (p Parameters) stepLimit(length func(Class) float64) time.Duration {
	limit := time.Duration(math.MaxInt64)
	for _, c := range p.Classes {
		if tokens := length(c); tokens > 1 {
			limit = min(limit, time.Duration(c.Deadline.Seconds()/(tokens-1)*float64(time.Second)))
		}
	}
	return limit
}

// shortestOutput returns the smallest output length of a class.
func shortestOutput(c Class) float64 { return float64(c.OutputMin) }

// meanOutput returns the mean output length of a class.
func meanOutput(c Class) float64 { return float64(c.OutputMin+c.OutputMax) / 2 }

// servedFraction returns the multiple of the demanded work per second that a split can serve, at most limit.
func (l fluidModel) servedFraction(s Split, demand work, limit float64) float64 {
	best := 0.0
	if s.Mixed == 0 {
		return min(limit, ratio(float64(s.Prefill), demand.prefill), ratio(float64(s.Decode), demand.decode))
	}
	// As the mixed engines' prefill share grows, the prefill limit rises and the decode limit falls, so the best share
	// is where they cross.
	low, high := 0, len(l.frontier)-1
	for low <= high {
		i := (low + high) / 2
		share := float64(i) / float64(len(l.frontier)-1)
		p := ratio(float64(s.Prefill)+float64(s.Mixed)*share, demand.prefill)
		d := ratio(float64(s.Decode)+float64(s.Mixed)*l.frontier[i], demand.decode)
		best = max(best, min(p, d))
		if p < d {
			low = i + 1
		} else {
			high = i - 1
		}
	}
	return min(best, limit)
}

// PayingShifts counts the phase changes after which changing to the new best split is worthwhile: the new phase lasts
// longer than twice the payback time. The payback time is the time of a role change, times the number of engines
// changed, divided by the gained fraction of capacity.
func (w *Workload) PayingShifts() int {
	parameters := w.Parameters
	model := newFluidModel(parameters, parameters.stepLimit(meanOutput))
	changeTime := (parameters.RoleChangeMin + parameters.RoleChangeMax).Seconds() / 2
	count := 0
	for k := 1; k < len(w.Phases); k++ {
		p := w.Phases[k]
		before, _ := model.bestSplit(parameters.Engines, w.Phases[k-1].Mix)
		after, most := model.bestSplit(parameters.Engines, p.Mix)
		gain := 1 - model.servedFraction(before, p.Mix, math.Inf(1))/most
		if gain > 0 && p.Length.Seconds() > 2*changeTime*float64(before.Changed(after))/gain {
			count++
		}
	}
	return count
}

// ratio returns capacity divided by demand, or infinity if there is no demand.
func ratio(capacity, demand float64) float64 {
	if demand <= 0 {
		return math.Inf(1)
	}
	return capacity / demand
}

// bestSplit returns the split with the highest throughput for a mix, and that throughput as a multiple of the mix per
// second.
func (l fluidModel) bestSplit(engines int, mix work) (Split, float64) {
	var best Split
	most := -1.0
	for _, s := range splits(engines) {
		if served := l.servedFraction(s, mix, math.Inf(1)); served > most {
			best, most = s, served
		}
	}
	return best, most
}

// abs returns the absolute value of an integer.
func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
