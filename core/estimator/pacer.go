package estimator

// pacer learns how much longer real work takes than the rates say, for instance beside other work or on a slow engine.
type pacer struct {
	prefill Rate
	decode  Rate
}

const (
	// minSecondsLearned is the shortest predicted duration from which a ratio is learned; shorter ones are mostly noise.
	minSecondsLearned = 0.1
	// maxPace and minPace bound a learned ratio, so that one odd minute cannot condemn an engine.
	maxPace = 6
	minPace = 0.4
)

func newPacer() pacer { return pacer{} }

// learnPace takes a predicted and an actual duration in seconds.
func learnPace(r *Rate, predicted, actual float64) {
	if predicted < minSecondsLearned {
		return
	}
	ratio := min(max(actual/predicted, minPace), maxPace)
	r.count = max(r.count, 1)
	if r.value == 0 {
		r.value = 1
	}
	r.smooth(ratio, 0.08)
}
