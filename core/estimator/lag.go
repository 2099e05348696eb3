package estimator

import "time"

// maxFreshReports is the number of fresh reports whose arrival times are kept per engine.
const maxFreshReports = 16

// maxBracket is the longest time between two fresh reports that locates the measurement of a report between them
// closely enough.
const maxBracket = 400 * time.Millisecond

// lagEstimator estimates the delay of an engine's periodic reports. Fresh reports, which arrive with responses, share
// their sequence with the periodic ones, so a late report was measured between the fresh ones before and after it.
type lagEstimator struct {
	sequences [maxFreshReports]uint64
	times     [maxFreshReports]time.Time
	next      int
	lag       Rate
}

// recordFresh stores the arrival time of a fresh report.
func (l *lagEstimator) recordFresh(now time.Time, sequence uint64) {
	l.sequences[l.next] = sequence
	l.times[l.next] = now
	l.next = (l.next + 1) % maxFreshReports
}

// measuredAt returns when a late report was measured, from the estimated lag or, before there is one, the fallback.
func (l *lagEstimator) measuredAt(now time.Time, sequence uint64, fallback time.Duration) time.Time {
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
