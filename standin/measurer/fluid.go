package measurer

import (
	"math"
	"time"
)

// Split is a division of the engines over the roles.
type Split struct {
	Prefill int
	Decode  int
	Mixed   int
}

// Changed returns how many engines differ between two splits of the same fleet.
func (s Split) Changed(other Split) int {
	return (abs(s.Prefill-other.Prefill) + abs(s.Decode-other.Decode) + abs(s.Mixed-other.Mixed)) / 2
}

// stayed returns the engines that serve in the new split without a change.
func (s Split) unchanged(from Split) Split {
	return Split{min(s.Prefill, from.Prefill), min(s.Decode, from.Decode), min(s.Mixed, from.Mixed)}
}

// splits lists every division of a number of engines.
func splits(engines int) []Split {
	var all []Split
	for p := 0; p <= engines; p++ {
		for d := 0; p+d <= engines; d++ {
			all = append(all, Split{p, d, engines - p - d})
		}
	}
	return all
}

// work is the engine time that answers need: prefill in seconds, decode in seconds of a full batch.
type work struct {
	prefill float64
	decode  float64
}

// total returns the engine seconds of both kinds.
func (w work) total() float64 { return w.prefill + w.decode }

// scaled returns a multiple of the work.
func (w work) scaled(factor float64) work { return work{w.prefill * factor, w.decode * factor} }

// add returns the sum of two works.
func (w work) add(other work) work { return work{w.prefill + other.prefill, w.decode + other.decode} }

// fluid gives what splits can serve when requests are a fluid.
type fluidModel struct {
	// frontier[i] is the decode work a second of one mixed engine that prefills for the share i/(len-1) of its time.
	frontier []float64
}

// frontierSteps is the resolution of a mixed engine's share of prefill time.
const frontierSteps = 200

// newFluid returns the fluid limits for engines whose drafts allow a mean step time of stepLimit.
func newFluidModel(f Parameters, stepLimit time.Duration) fluidModel {
	limits := fluidModel{frontier: make([]float64, frontierSteps+1)}
	full := float64(f.MaxBatch) / f.stepSeconds(float64(f.MaxBatch))
	for i := range limits.frontier {
		share := float64(i) / frontierSteps
		batch := ((1-share)*stepLimit.Seconds() - f.DecodeBase.Seconds()) / f.DecodePerSequence.Seconds()
		batch = min(batch, float64(f.MaxBatch))
		if batch <= 0 {
			continue
		}
		limits.frontier[i] = (1 - share) * batch / f.stepSeconds(batch) / full
	}
	return limits
}

// stepSeconds returns the time of a decode step.
func (f Parameters) stepSeconds(batch float64) float64 {
	return f.DecodeBase.Seconds() + batch*f.DecodePerSequence.Seconds()
}

// stepLimit returns the mean step time that lets an answer of a class end in time, for an output length.
func (f Parameters) stepLimit(length func(Class) float64) time.Duration {
	limit := time.Duration(math.MaxInt64)
	for _, c := range f.Classes {
		if tokens := length(c); tokens > 1 {
			limit = min(limit, time.Duration(c.Deadline.Seconds()/(tokens-1)*float64(time.Second)))
		}
	}
	return limit
}

// shortestOutput and meanOutput are output lengths of a class.
func shortestOutput(c Class) float64 { return float64(c.OutputMin) }

func meanOutput(c Class) float64 { return float64(c.OutputMin+c.OutputMax) / 2 }

// fraction returns how much of the wanted work a second a split serves, at most limit.
func (l fluidModel) servedFraction(s Split, wanted work, limit float64) float64 {
	best := 0.0
	if s.Mixed == 0 {
		return min(limit, ratio(float64(s.Prefill), wanted.prefill), ratio(float64(s.Decode), wanted.decode))
	}
	// Both limits are monotone in the mixed engines' prefill share, so the best share is where they cross.
	low, high := 0, len(l.frontier)-1
	for low <= high {
		i := (low + high) / 2
		share := float64(i) / float64(len(l.frontier)-1)
		p := ratio(float64(s.Prefill)+float64(s.Mixed)*share, wanted.prefill)
		d := ratio(float64(s.Decode)+float64(s.Mixed)*l.frontier[i], wanted.decode)
		best = max(best, min(p, d))
		if p < d {
			low = i + 1
		} else {
			high = i - 1
		}
	}
	return min(best, limit)
}

// PayingShifts counts the shifts of the mix that last longer than twice the pay-back time of a change from the best split
// before to the best split after: absence times engines changed, divided by the gained share of capacity.
func (w *Workload) PayingShifts() int {
	f := w.Parameters
	limits := newFluidModel(f, f.stepLimit(meanOutput))
	absence := (f.RoleChangeMin + f.RoleChangeMax).Seconds() / 2
	count := 0
	for k := 1; k < len(w.Phases); k++ {
		p := w.Phases[k]
		before, _ := limits.bestSplit(f.Engines, w.Phases[k-1].Mix)
		after, most := limits.bestSplit(f.Engines, p.Mix)
		gain := 1 - limits.servedFraction(before, p.Mix, math.Inf(1))/most
		if gain > 0 && p.Length.Seconds() > 2*absence*float64(before.Changed(after))/gain {
			count++
		}
	}
	return count
}

// ratio divides; nothing wanted is served any number of times.
func ratio(capacity, wanted float64) float64 {
	if wanted <= 0 {
		return math.Inf(1)
	}
	return capacity / wanted
}

// best returns the split that serves the most of a mix and how often it serves it a second.
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
