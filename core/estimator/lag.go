package estimator

import "time"

// freshKept is the number of fresh reports whose times are remembered for one engine.
const maxFreshReports = 16

// narrowBracket is the longest time between two fresh reports that tells well enough when a report between them was
// measured.
const maxBracket = 400 * time.Millisecond

// lagLearner learns how late an engine's periodic reports arrive. Fresh reports, which come with answers, share the
// sequence of the periodic ones, so that a late report was measured between the fresh ones before and after it.
type lagLearner struct {
	sequences [maxFreshReports]uint64
	times     [maxFreshReports]time.Time
	next      int
	lag       Rate
}

// fresh remembers the time of a fresh report.
func (l *lagLearner) recordFresh(now time.Time, sequence uint64) {
	l.sequences[l.next] = sequence
	l.times[l.next] = now
	l.next = (l.next + 1) % maxFreshReports
}

// measured returns when a late report was measured, by the learned lag or else the fallback.
func (l *lagLearner) measuredAt(now time.Time, sequence uint64, fallback time.Duration) time.Time {
	var before, after time.Time
	for i, s := range l.sequences {
		at := l.times[i]
		if at.IsZero() {
			continue
		}
		if s < sequence && at.After(before) {
			before = at
		}
		if s > sequence && (after.IsZero() || at.Before(after)) {
			after = at
		}
	}
	if !before.IsZero() && !after.IsZero() && !after.Before(before) && after.Sub(before) <= maxBracket {
		middle := before.Add(after.Sub(before) / 2)
		l.lag.Observe(now.Sub(middle).Seconds())
	}
	lag := time.Duration(l.lag.Value(fallback.Seconds()) * float64(time.Second))
	return now.Add(-lag)
}
