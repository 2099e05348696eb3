package estimator

// slowdowns holds the smoothed ratios of actual to predicted durations. They exceed 1 where the rates are too
// optimistic, for instance under other concurrent work or on a slow engine.
type slowdowns struct {
	prefill Rate
	decode  Rate
}

const (
	// minObservedSeconds is the shortest predicted duration that is taken into account; shorter ones are mostly noise.
	minObservedSeconds = 0.1
	// maxSlowdown and minSlowdown limit a ratio, so that one atypical minute can't take an engine out of use.
	maxSlowdown = 6
	minSlowdown = 0.4
)

func newSlowdowns() slowdowns { return slowdowns{} }

// updateSlowdown updates a ratio from a predicted and an actual duration in seconds.
func updateSlowdown(r *Rate, predicted, actual float64) {
	if predicted < minObservedSeconds {
		return
	}
	ratio := min(max(actual/predicted, minSlowdown), maxSlowdown)
	r.count = max(r.count, 1)
	if r.value == 0 {
		r.value = 1
	}
	r.smooth(ratio, 0.08)
}
