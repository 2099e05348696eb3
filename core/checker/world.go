package checker

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Sizes and times of a history.
const (
	// DefaultSteps is how many stimuli a history gets.
	DefaultSteps = 220
	// maxFaults is how many faults may last at once.
	maxFaults = 3
	// stepEvery is the mean time between stimuli.
	stepEvery    = 400 * time.Millisecond
	tickEvery    = 250 * time.Millisecond
	pollEvery    = 120 * time.Millisecond
	processCount = 4
	// keyWindow is short, so that keys expire within a history.
	keyWindow = 40 * time.Second
	// slowestWrite is the longest way of a written order; the send window covers it.
	slowestWrite = 2950 * time.Millisecond
)

// wallStart is the wall time at the start of a history.
var wallStart = time.Unix(1_800_000_000, 0)

type scheduled struct {
	at  time.Duration
	seq int
	run func()
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) {
	if item, ok := x.(scheduled); ok {
		*s = append(*s, item)
	}
}

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// world is one history: true time, the fakes, the processes and the verdicts.
type world struct {
	seed    uint64
	steps   int
	variant Variant
	random  *rand.Rand
	now     time.Duration
	queue   schedule
	seq     int
	step    int
	result  Result

	model     *model
	control   *stream
	claims    *stream
	processes []*process
	engines   [engineCount]*engine
	service   *service
	sent      map[identifier.OrderID]int
	// issued holds the issue time of each key; the counters number keys, requests, orders and operators' records.
	issued                             map[int]time.Time
	counter, requests, orders, records int

	faults       int
	logDownUntil time.Duration
	lossyUntil   time.Duration
	slowUntil    time.Duration
}

// RunHistory runs the history of one seed.
func RunHistory(seed uint64, steps int, variant Variant) Result {
	w := newWorld(seed, steps, variant)
	w.publishFirst()
	for i := range w.processes {
		w.start(i, 0)
	}
	w.after(time.Second, w.nextStep)
	w.runUntil(time.Duration(steps)*stepEvery + 30*time.Second)
	w.result.Histories = 1
	w.result.Steps = min(w.step, steps)
	w.result.Revisions = len(w.model.revisions)
	return w.result
}

// runUntil lets true time pass.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		item, ok := heap.Pop(&w.queue).(scheduled)
		if !ok {
			return
		}
		w.now = item.at
		item.run()
	}
	w.now = max(w.now, end)
}

func newWorld(seed uint64, steps int, variant Variant) *world {
	w := &world{
		seed:      seed,
		steps:     steps,
		variant:   variant,
		random:    rand.New(rand.NewPCG(seed, 0x5eed)),
		model:     newModel(),
		processes: make([]*process, processCount),
		sent:      map[identifier.OrderID]int{},
		issued:    map[int]time.Time{},
	}
	w.control = newStream(w.model.append)
	w.claims = newStream(func([]byte) {})
	w.service = newService(w)
	for i := range w.engines {
		w.engines[i] = newEngine(i, checksTokens(i) && variant != VariantNoFence)
	}
	return w
}

func (w *world) after(delay time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, scheduled{at: w.now + max(delay, 0), seq: w.seq, run: run})
}

func (w *world) breach(promise Promise, format string, values ...any) {
	w.result.Breaches[promise]++
	if w.result.First == nil {
		w.result.First = &Breach{Promise: promise, Seed: w.seed, Step: w.step, Detail: fmt.Sprintf(format, values...)}
	}
}

// between draws a time from a range.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) lossy() bool { return w.now < w.lossyUntil && w.chance(50) }

func (w *world) logDown() bool { return w.now < w.logDownUntil }

// hop is the time of one message on the network.
func (w *world) hop() time.Duration { return w.between(time.Millisecond, 6*time.Millisecond) }

// nextStep gives one stimulus or fault and plans the next.
func (w *world) nextStep() {
	w.step++
	if w.step > w.steps {
		return
	}
	w.checkHolders()
	if w.chance(22) && w.faults < maxFaults {
		w.injectFault()
	} else {
		w.stimulate()
	}
	w.after(w.between(0, 2*stepEvery), w.nextStep)
}

// checkHolders counts the processes that may use each lease by their own clocks, paused ones included.
func (w *world) checkHolders() {
	for _, scope := range scopeNames {
		holders := 0
		for _, p := range w.processes {
			if p == nil || !p.alive {
				continue
			}
			if _, held := p.controller.Held(p.localNow(), identifier.Scope(scope)); held {
				holders++
			}
		}
		if holders > 1 {
			w.breach(PromiseOneHolder, "%d holders of %s at %s", holders, scope, w.now)
		}
	}
}
