package checker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/sequencer"
)

// Sizes and intervals of a history.
const (
	// DefaultSteps is the default number of stimuli and faults in a history.
	DefaultSteps = 220
	// maxActiveFaults limits the faults that may be active at once.
	maxActiveFaults = 3
	// meanStepInterval is the mean time between steps.
	meanStepInterval = 400 * time.Millisecond
	tickInterval     = 250 * time.Millisecond
	pollInterval     = 120 * time.Millisecond
	processCount     = 4
	// keyWindow is short so that idempotency keys expire within a history.
	keyWindow = 40 * time.Second
	// maxWriteDelay is the longest delivery delay of an order; the send window must cover it.
	maxWriteDelay = 2950 * time.Millisecond
)

// wallStart is the wall-clock time at the start of a history.
var wallStart = time.Unix(1_800_000_000, 0)

// history is what every simulated history has: its seed, the simulated time and the result.
type history struct {
	seed    uint64
	steps   int
	variant Variant
	rng     *rand.Rand
	clock   sequencer.Sequencer
	step    int
	result  Result
}

func newHistory(seed uint64, steps int, variant Variant) history {
	return history{seed: seed, steps: steps, variant: variant, rng: rand.New(rand.NewPCG(seed, 0x5eed))}
}

// simulation is one history of orders, documents and calls: the fakes and the processes.
type simulation struct {
	history

	reference  *referenceModel
	control    *stream
	claims     *stream
	processes  []*process
	engines    [engineCount]*engine
	service    *service
	sendCounts map[identifier.OrderID]int
	// keyIssuedAt holds the issue time of each key by its number; the counters number the keys, requests, orders and
	// operators' records.
	keyIssuedAt                                             map[int]time.Time
	keyCount, requestCount, orderCount, operatorRecordCount int

	activeFaults int
	logDownUntil time.Duration
	lossyUntil   time.Duration
	slowUntil    time.Duration
}

// RunHistory simulates the history of one seed, which is reproducible, and returns its counts and violations.
func RunHistory(seed uint64, steps int, variant Variant) Result {
	sm := newSimulation(seed, steps, variant)
	sm.publishInitial()
	for i := range sm.processes {
		sm.start(i, 0)
	}
	sm.clock.After(time.Second, sm.nextStep)
	sm.clock.RunUntil(time.Duration(steps)*meanStepInterval + 30*time.Second)
	sm.result.Histories = 1
	sm.result.Steps = min(sm.step, steps)
	sm.result.Revisions = len(sm.reference.revisions)
	return sm.result
}

func newSimulation(seed uint64, steps int, variant Variant) *simulation {
	sm := &simulation{
		history:     newHistory(seed, steps, variant),
		reference:   newReferenceModel(),
		processes:   make([]*process, processCount),
		sendCounts:  map[identifier.OrderID]int{},
		keyIssuedAt: map[int]time.Time{},
	}
	sm.control = newStream(sm.reference.append)
	sm.claims = newStream(func([]byte) {})
	sm.service = newService(sm)
	for i := range sm.engines {
		sm.engines[i] = newEngine(i, checksTokens(i) && variant != VariantNoFence)
	}
	return sm
}

// recordViolation counts a violation and keeps the details of the first.
func (h *history) recordViolation(invariant Invariant, format string, values ...any) {
	h.result.Violations[invariant]++
	if h.result.FirstViolation == nil {
		h.result.FirstViolation = &Violation{
			Invariant: invariant, Seed: h.seed, Step: h.step,
			Detail: fmt.Sprintf(format, values...),
		}
	}
}

// randomDuration returns a random duration from low to high, both included.
func (h *history) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(h.rng.Int64N(int64(high-low)+1))
}

// chance reports whether a random event of the given probability in percent occurs.
func (h *history) chance(percent int) bool { return h.rng.IntN(100) < percent }

// messageLost reports whether a message is lost: half of them are while the network loses messages.
func (sm *simulation) messageLost() bool { return sm.clock.Now < sm.lossyUntil && sm.chance(50) }

func (sm *simulation) logDown() bool { return sm.clock.Now < sm.logDownUntil }

// networkDelay returns the delay of one message on the network.
func (h *history) networkDelay() time.Duration {
	return h.randomDuration(time.Millisecond, 6*time.Millisecond)
}

// nextStep injects one fault or performs one stimulus and schedules the next step.
func (sm *simulation) nextStep() {
	sm.step++
	if sm.step > sm.steps {
		return
	}
	sm.checkHolders()
	if sm.chance(22) && sm.activeFaults < maxActiveFaults {
		sm.injectFault()
	} else {
		sm.stimulate()
	}
	sm.clock.After(sm.randomDuration(0, 2*meanStepInterval), sm.nextStep)
}

// checkHolders counts the processes that hold each lease by their own clocks, paused ones included, and records a
// violation when there is more than one.
func (sm *simulation) checkHolders() {
	for _, scope := range scopeNames {
		holders := 0
		for _, p := range sm.processes {
			if p == nil || !p.alive {
				continue
			}
			if _, held := p.controller.Held(p.localNow(), identifier.Scope(scope)); held {
				holders++
			}
		}
		if holders > 1 {
			sm.recordViolation(InvariantSingleHolder, "%d holders of %s at %s", holders, scope, sm.clock.Now)
		}
	}
}
