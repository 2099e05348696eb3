package budgeter

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// history plays instances whose callers make them retry as often as they may at times, with requests that come in bursts.
type history struct {
	settings  Settings
	random    *rand.Rand
	instances []*Budgeter
	// requests and retries count those of all instances, by step.
	requests, retries []int
	now               time.Time
}

const (
	historyStep  = 100 * time.Millisecond
	historySteps = 600
)

func newHistory(seed uint64, settings Settings, instances int) *history {
	h := &history{
		settings: settings, random: rand.New(rand.NewPCG(seed, 0)), instances: make([]*Budgeter, instances), now: time.Now(),
		requests: make([]int, historySteps), retries: make([]int, historySteps),
	}
	for i := range h.instances {
		h.start(i)
	}
	return h
}

// start replaces an instance by one that has just started and knows all others.
func (h *history) start(i int) {
	h.instances[i] = NewBudgeter(h.settings)
	h.instances[i].SetInstances(h.now, len(h.instances))
}

// play plays the history. Restarts come restartShare of the time, to a part of the instances.
func (h *history) play(restartShare float64) {
	rate, demand := 1.0, false
	for step := range historySteps {
		h.now = h.now.Add(historyStep)
		if h.random.Float64() < 0.03 {
			rate = []float64{0.05, 0.3, 1, 3}[h.random.IntN(4)]
		}
		if h.random.Float64() < 0.05 {
			demand = !demand
		}
		if h.random.Float64() < restartShare*historyStep.Seconds() {
			share := h.random.Float64()
			for i := range h.instances {
				if h.random.Float64() < share {
					h.start(i)
				}
			}
		}
		for _, b := range h.instances {
			for range h.poisson(rate * historyStep.Seconds() * 8) {
				b.CountRequest(h.now, "s")
				h.requests[step]++
			}
			for demand && b.TryRetry(h.now, "s") {
				h.retries[step]++
			}
		}
	}
}

func (h *history) poisson(mean float64) int {
	n, p := 0, h.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= h.random.Float64()
	}
	return n
}

// worst returns the largest part of the budget that is used in any window. The requests are those of the window, of the one
// before it or of the one half a window before it, whichever has most.
func (h *history) worst() float64 {
	window := int(h.settings.Window / historyStep)
	sum := func(counts []int, from int) float64 {
		total := 0
		for step := max(0, from); step < min(from+window, len(counts)); step++ {
			total += counts[step]
		}
		return float64(total)
	}
	worst := 0.0
	for from := range historySteps {
		requests := max(sum(h.requests, from), sum(h.requests, from-window/2), sum(h.requests, from-window))
		worst = max(worst, sum(h.retries, from)/(h.settings.Ratio*requests+h.settings.Extra))
	}
	return worst
}

func TestRetriesStayWithinTheBudgetInBursts(t *testing.T) {
	for _, c := range []struct {
		name      string
		settings  Settings
		instances int
		restarts  float64
	}{
		{"few instances", Settings{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}, 7, 0},
		{"many instances", Settings{Ratio: 0.2, Extra: 202, Window: 10 * time.Second}, 81, 0},
		{"few instances that restart", Settings{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}, 7, 0.2},
		{"many instances that restart", Settings{Ratio: 0.2, Extra: 202, Window: 10 * time.Second}, 81, 0.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			worst := 0.0
			for seed := range uint64(60) {
				h := newHistory(seed, c.settings, c.instances)
				h.play(c.restarts)
				worst = max(worst, h.worst())
			}
			t.Logf("at most %.2f of the budget is used", worst)
			require.LessOrEqual(t, worst, 1.0)
		})
	}
}
