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
	maxActiveFaults = 3
	// stepEvery is the mean time between stimuli.
	meanStepInterval = 400 * time.Millisecond
	tickInterval     = 250 * time.Millisecond
	pollInterval     = 120 * time.Millisecond
	processCount     = 4
	// keyWindow is short, so that keys expire within a history.
	keyWindow = 40 * time.Second
	// slowestWrite is the longest way of a written order; the send window covers it.
	maxWriteDelay = 2950 * time.Millisecond
)

// wallStart is the wall time at the start of a history.
var wallStart = time.Unix(1_800_000_000, 0)

type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].seq < s[j].seq
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *eventQueue) Push(x any) {
	if item, ok := x.(scheduledEvent); ok {
		*s = append(*s, item)
	}
}

// Pop implements heap.Interface.
func (s *eventQueue) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// world is one history: true time, the fakes, the processes and the verdicts.
type simulation struct {
	seed    uint64
	steps   int
	variant Variant
	rng     *rand.Rand
	now     time.Duration
	queue   eventQueue
	seq     int
	step    int
	result  Result

	reference  *referenceModel
	control    *stream
	claims     *stream
	processes  []*process
	engines    [engineCount]*engine
	service    *service
	sendCounts map[identifier.OrderID]int
	// issued holds the issue time of each key; the counters number keys, requests, orders and operators' records.
	keyIssuedAt                                             map[int]time.Time
	keyCount, requestCount, orderCount, operatorRecordCount int

	activeFaults int
	logDownUntil time.Duration
	lossyUntil   time.Duration
	slowUntil    time.Duration
}

// RunHistory runs the history of one seed.
func RunHistory(seed uint64, steps int, variant Variant) Result {
	w := newSimulation(seed, steps, variant)
	w.publishInitial()
	for i := range w.processes {
		w.start(i, 0)
	}
	w.after(time.Second, w.nextStep)
	w.runUntil(time.Duration(steps)*meanStepInterval + 30*time.Second)
	w.result.Histories = 1
	w.result.Steps = min(w.step, steps)
	w.result.Revisions = len(w.reference.revisions)
	return w.result
}

// runUntil lets true time pass.
func (w *simulation) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		item, ok := heap.Pop(&w.queue).(scheduledEvent)
		if !ok {
			return
		}
		w.now = item.at
		item.run()
	}
	w.now = max(w.now, end)
}

func newSimulation(seed uint64, steps int, variant Variant) *simulation {
	w := &simulation{
		seed:        seed,
		steps:       steps,
		variant:     variant,
		rng:         rand.New(rand.NewPCG(seed, 0x5eed)),
		reference:   newReferenceModel(),
		processes:   make([]*process, processCount),
		sendCounts:  map[identifier.OrderID]int{},
		keyIssuedAt: map[int]time.Time{},
	}
	w.control = newStream(w.reference.append)
	w.claims = newStream(func([]byte) {})
	w.service = newService(w)
	for i := range w.engines {
		w.engines[i] = newEngine(i, checksTokens(i) && variant != VariantNoFence)
	}
	return w
}

func (w *simulation) after(delay time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{at: w.now + max(delay, 0), seq: w.seq, run: run})
}

func (w *simulation) recordViolation(promise Invariant, format string, values ...any) {
	w.result.Violations[promise]++
	if w.result.FirstViolation == nil {
		w.result.FirstViolation = &Violation{Invariant: promise, Seed: w.seed, Step: w.step, Detail: fmt.Sprintf(format, values...)}
	}
}

// between draws a time from a range.
func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *simulation) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *simulation) messageLost() bool { return w.now < w.lossyUntil && w.chance(50) }

func (w *simulation) logDown() bool { return w.now < w.logDownUntil }

// hop is the time of one message on the network.
func (w *simulation) networkDelay() time.Duration {
	return w.randomDuration(time.Millisecond, 6*time.Millisecond)
}

// nextStep gives one stimulus or fault and plans the next.
func (w *simulation) nextStep() {
	w.step++
	if w.step > w.steps {
		return
	}
	w.checkHolders()
	if w.chance(22) && w.activeFaults < maxActiveFaults {
		w.injectFault()
	} else {
		w.stimulate()
	}
	w.after(w.randomDuration(0, 2*meanStepInterval), w.nextStep)
}

// checkHolders counts the processes that may use each lease by their own clocks, paused ones included.
func (w *simulation) checkHolders() {
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
			w.recordViolation(InvariantSingleHolder, "%d holders of %s at %s", holders, scope, w.now)
		}
	}
}
