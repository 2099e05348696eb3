package scaler

import (
	"math"
	"slices"
	"time"
)

// Demand is the work that a service was offered over a short period, refused work included.
type Demand struct {
	// Prefill is the number of engines that would be busy all the time with prefills if they did nothing else.
	Prefill float64
	// MixedSpeed is how fast an engine prefills that also decodes, relative to one that only prefills.
	MixedSpeed float64
	// Places is the number of slots that answers hold or would hold at the same time.
	Places float64
	// Requests and Refused are per second.
	Requests float64
	Refused  float64
}

// sample is the number of servers that a demand needs, at a time.
type sample struct {
	at     time.Time
	needed float64
}

// history holds the demand of the last time in servers.
type history struct {
	settings Settings
	samples  []sample
	first    time.Time
}

func (h *history) add(now time.Time, needed float64) {
	if h.first.IsZero() {
		h.first = now
	}
	h.samples = append(h.samples, sample{at: now, needed: needed})
	for now.Sub(h.samples[0].at) > h.settings.HistoryLength {
		h.samples = h.samples[1:]
	}
}

// latest returns the demand that was observed last.
func (h *history) latest() float64 {
	if len(h.samples) == 0 {
		return 0
	}
	return h.samples[len(h.samples)-1].needed
}

// length returns for how long the demand has been observed.
func (h *history) length(now time.Time) time.Duration {
	if h.first.IsZero() {
		return 0
	}
	return now.Sub(h.first)
}

// mean returns the mean demand. What is expected of it counts as much as the demand of a time, trust, less the longer
// it has been observed, and nothing after HistoryLength.
func (h *history) mean(now time.Time, expected float64, trust time.Duration) float64 {
	if len(h.samples) == 0 {
		return expected
	}
	sum := 0.0
	for _, s := range h.samples {
		sum += s.needed
	}
	length, longest := h.length(now).Seconds(), h.settings.HistoryLength.Seconds()
	weight := trust.Seconds() * max(0, 1-length/longest)
	length = min(max(length, 1), longest)
	return (weight*expected + length*sum/float64(len(h.samples))) / (weight + length)
}

// recent returns the mean and the largest demand of the last time.
func (h *history) recent(now time.Time, within time.Duration) (mean, peak float64) {
	sum, count := 0.0, 0
	for _, s := range h.samples {
		if now.Sub(s.at) <= within {
			sum, count, peak = sum+s.needed, count+1, max(peak, s.needed)
		}
	}
	return sum / float64(max(1, count)), peak
}

// seen returns the number of servers that the demand has exceeded for at most a share of the time.
func (h *history) seen(share float64) float64 {
	if len(h.samples) == 0 {
		return 0
	}
	needed := make([]float64, 0, len(h.samples))
	for _, s := range h.samples {
		needed = append(needed, s.needed)
	}
	slices.Sort(needed)
	return needed[max(0, min(len(needed)-1, int((1-share)*float64(len(needed)))))]
}

// expected returns the number of servers that a demand with this mean is expected to exceed for a share of the time. Bursts
// to BurstFactor times the mean are expected for BurstShare of it, larger ones are rarer in the same ratio.
func (s Settings) expected(share, mean float64) float64 {
	decline := -math.Log(s.BurstShare) / (s.BurstFactor - 1)
	return mean * max(1, 1-math.Log(share)/decline)
}

// level is a number that rises at once and falls slowly.
type level struct {
	value int
	// lowSince is since when a lower number would have been enough; zero if it isn't.
	lowSince time.Time
	// low is the largest number that was needed since then.
	low int
}

// follow updates the level for the number that is needed now, and returns it. Small changes are passed over.
func (l *level) follow(now time.Time, needed int, s Settings) int {
	switch {
	case l.value == 0:
		l.value = needed
	case needed > l.value:
		if float64(needed) > (1+s.Tolerance)*float64(l.value) {
			// Further small rises are likely.
			l.value = int(math.Ceil((1 + s.Tolerance/2) * float64(needed)))
		}
		l.lowSince = time.Time{}
	case float64(needed) > (1-2*s.Tolerance)*float64(l.value):
		l.lowSince = time.Time{}
	case l.lowSince.IsZero():
		l.lowSince, l.low = now, needed
	default:
		l.low = max(l.low, needed)
		if now.Sub(l.lowSince) >= s.ShrinkDelay {
			l.value, l.lowSince = l.low, time.Time{}
		}
	}
	return l.value
}
