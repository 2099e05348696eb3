package estimator

import "time"

const (
	// historySamples limits the past states of this instance's work that are kept per engine.
	historySamples = 48
	// historyInterval is the minimum time between two samples; 48 of them cover the lag of a late report.
	historyInterval = 100 * time.Millisecond
)

// unfinishedWork is the work of this instance, or of all others together, that one engine has not finished.
type unfinishedWork struct {
	queued float64
	// sent is the total of all prefill tokens sent so far.
	sent    float64
	pending float64
	// active counts all sequences, decoding only those with at least minBatchedOutput tokens.
	active   int
	decoding int
}

type sample struct {
	at   time.Time
	work unfinishedWork
}

// history is a ring buffer of this instance's work over the last seconds, to be subtracted from a report that was
// measured then.
type history struct {
	samples [historySamples]sample
	next    int
	count   int
}

func (h *history) record(now time.Time, work unfinishedWork) {
	if h.count > 0 {
		last := &h.samples[(h.next+historySamples-1)%historySamples]
		if now.Sub(last.at) < historyInterval {
			last.work = work
			return
		}
	}
	h.samples[h.next] = sample{at: now, work: work}
	h.next = (h.next + 1) % historySamples
	h.count = min(h.count+1, historySamples)
}

// at returns the work as it was at a past time.
func (h *history) at(past time.Time) unfinishedWork {
	for i := 1; i <= h.count; i++ {
		s := &h.samples[(h.next+historySamples-i)%historySamples]
		if !s.at.After(past) {
			return s.work
		}
	}
	if h.count == historySamples {
		return h.samples[h.next].work
	}
	return unfinishedWork{}
}
