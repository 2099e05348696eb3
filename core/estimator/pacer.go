package estimator

// pacer learns how much longer real work takes than the rates say, for instance beside other work or on a slow engine.
type slowdowns struct {
	prefill Rate
	decode  Rate
}

const (
	// minSecondsLearned is the shortest predicted duration from which a ratio is learned; shorter ones are mostly noise.
	minLearnedSeconds = 0.1
	// maxPace and minPace bound a learned ratio, so that one odd minute cannot condemn an engine.
	maxSlowdown = 6
	minSlowdown = 0.4
)

func newSlowdowns() slowdowns { return slowdowns{} }

// learnPace takes a predicted and an actual duration in seconds.
func learnSlowdown(r *Rate, predicted, actual float64) {
	if predicted < minLearnedSeconds {
		return
	}
	ratio := min(max(actual/predicted, minSlowdown), maxSlowdown)
	r.count = max(r.count, 1)
	if r.value == 0 {
		r.value = 1
	}
	r.smooth(ratio, 0.08)
}
