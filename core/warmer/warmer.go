// Package warmer decides how much work an upstream gets that has just started or recovered. It is built for servers that
// come back during a burst: one that gets all waiting requests at once makes them late, one that gets none is missing.
//
// The number of requests that such an upstream may hold rises with each answer that is as quick as its first ones, so
// it doubles with each response time, and falls when answers become slower or fail. An upstream that is slow for good is
// compared with itself: it is opened as well, and predictions learn its speed.
package warmer

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Cause is why an upstream is on trial.
type Cause string

// Causes of a trial.
const (
	CauseStarted  Cause = "started"
	CauseRestored Cause = "restored"
)

const (
	// leastRequests is how many requests an upstream on trial may hold after a failure, and firstShare the share of its slots
	// that it may use before its first answer: a flood is one relative to what the upstream is made for.
	leastRequests = 1
	firstShare    = 0.125
	// worseRatio is how much longer than at its quickest an upstream may take, on average over some answers, before it counts
	// as overloaded. One that is quicker than usual while it has little to do may become as slow as the others.
	worseRatio = 1.6
	// smoothing is the weight of one answer in that average, maxOutlier the largest ratio to the quickest average that one
	// answer counts for: some requests take long by themselves.
	smoothing  = 0.3
	maxOutlier = 3
	// setbackShare is what is left of the limit after a slow answer.
	setbackShare = 0.5
	// maxTrial ends a trial in which nothing went wrong for so long: an upstream that nobody needs has nothing to show.
	maxTrial = 10 * time.Second
)

// trial is the state of one upstream that has started or recovered.
type trial struct {
	cause Cause
	// limit is the number of requests that the upstream may hold.
	limit float64
	// average is the moving average of the ratios of answers' times to what is usual for their work, quickest its lowest value;
	// both are zero before the first answer.
	average, quickest float64
	// began is when the trial began or was last set back. Answers to requests that were sent before say nothing new.
	began    time.Time
	setbacks int
}

// Warmer keeps the trials of upstreams. It is not safe for concurrent use.
type Warmer struct {
	trials map[identifier.UpstreamID]*trial
}

// NewWarmer returns a warmer without trials.
func NewWarmer() *Warmer { return &Warmer{trials: map[identifier.UpstreamID]*trial{}} }

// Begin puts an upstream with a number of slots on trial.
func (w *Warmer) Begin(now time.Time, id identifier.UpstreamID, cause Cause, slots int) {
	w.trials[id] = &trial{cause: cause, limit: max(leastRequests, firstShare*float64(slots)), began: now}
}

// End ends the trial of an upstream, if there is one.
func (w *Warmer) End(id identifier.UpstreamID) { delete(w.trials, id) }

// Limit returns how many requests an upstream may hold, and false if it is not on trial.
func (w *Warmer) Limit(now time.Time, id identifier.UpstreamID) (int, bool) {
	t := w.trials[id]
	if t == nil || now.Sub(t.began) > maxTrial {
		return 0, false
	}
	return int(t.limit), true
}

// Unproven returns how long an upstream on trial has been without a good answer; false if it has had one or is not on trial.
func (w *Warmer) Unproven(now time.Time, id identifier.UpstreamID) (time.Duration, bool) {
	t := w.trials[id]
	if t == nil || t.quickest > 0 || now.Sub(t.began) > maxTrial {
		return 0, false
	}
	return now.Sub(t.began), true
}

// Result is what an answer has shown of an upstream on trial.
type Result struct {
	Cause Cause
	// Limit is how many requests the upstream may hold now. Open is true if the trial has ended.
	Limit    int
	Open     bool
	Setbacks int
	Took     time.Duration
}

// Answered records that an upstream took ratio times as long as is usual for the work of a request that was sent at a
// time. capacity is how many requests it can run at once; an upstream that may hold as many is open. Answered returns
// false if that changes nothing.
func (w *Warmer) Answered(
	now, sent time.Time, id identifier.UpstreamID, ratio float64, capacity int,
) (Result, bool) {
	t := w.trials[id]
	if t == nil || sent.Before(t.began) || ratio <= 0 {
		return Result{}, false
	}
	if t.average == 0 {
		t.average, t.quickest = ratio, ratio
	}
	t.average += smoothing * (min(ratio, maxOutlier*t.quickest) - t.average)
	t.quickest = min(t.quickest, t.average)
	if t.average > worseRatio*max(1, t.quickest) {
		t.average = t.quickest
		return w.setBack(now, t, setbackShare*t.limit), true
	}
	t.limit++
	r := t.result(now)
	if t.limit >= float64(capacity) || now.Sub(t.began) > maxTrial {
		r.Open = true
		delete(w.trials, id)
	}
	return r, true
}

// Failed records that a request which was sent at a time failed or was rejected. It returns false if the upstream is not
// on trial.
func (w *Warmer) Failed(now, sent time.Time, id identifier.UpstreamID) (Result, bool) {
	t := w.trials[id]
	if t == nil || sent.Before(t.began) {
		return Result{}, false
	}
	return w.setBack(now, t, leastRequests), true
}

func (w *Warmer) setBack(now time.Time, t *trial, limit float64) Result {
	t.limit = max(leastRequests, limit)
	t.setbacks++
	r := t.result(now)
	t.began = now
	return r
}

func (t *trial) result(now time.Time) Result {
	return Result{Cause: t.cause, Limit: int(t.limit), Setbacks: t.setbacks, Took: now.Sub(t.began)}
}
