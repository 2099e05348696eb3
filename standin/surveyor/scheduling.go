package surveyor

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// start is the first moment of every survey.
var start = time.Unix(1_800_000_000, 0)

// Shape of the surveyed requests.
const (
	// promptPieces is the length of a prompt in prefix pieces; 500 different prompts come in turn.
	promptPieces = 4
	distinctPrompts      = 500
	// prefillPerSecond is an engine's speed, and load the share of it that all instances together ask for.
	prefillPerSecond = 20_000
	utilisation             = 0.4
	reportInterval      = 500 * time.Millisecond
	// answerTime is the time from dispatch to the end mark; the first token comes after half of it.
	answerTime = time.Second
)

// running is a dispatched attempt.
type runningAttempt struct {
	attempt identifier.AttemptID
	dispatchedAt      time.Time
	started   bool
}

// fleet is a scheduler with upstreams that report.
type fleet struct {
	core *scheduler.Scheduler
	// size counts the upstreams; they run models in turn, and requests ask for the first.
	size     int
	models   int
	now      time.Time
	nextReport time.Time
	sequence uint64
	running  []runningAttempt
	// dispatched counts the attempts.
	dispatched int
}

// newFleet returns a scheduler that uses all of its upstreams, or the usual subset of them.
func newFleet(upstreams int, whole bool) *fleet { return newMixedFleet(upstreams, 1, whole) }

// newMixedFleet returns a fleet whose upstreams run several models.
func newMixedFleet(upstreams, models int, whole bool) *fleet {
	settings := scheduler.Settings{Instance: "i-1", DataCentre: "dc-1", Instances: todayInstances, Seed: 1}
	settings.Tunables = scheduler.DefaultTunables()
	if whole {
		settings.Tunables.MaxFullFleet = upstreams
	}
	f := &fleet{core: scheduler.NewScheduler(settings), size: upstreams, models: models, now: start}
	for i := range upstreams {
		id := upstreamID(i)
		f.core.Handle(scheduler.UpstreamListed{Now: f.now, Upstream: id, DataCentre: "dc-1", Models: []identifier.ModelName{f.modelOf(i)}})
	}
	f.reportAll()
	return f
}

func upstreamID(i int) identifier.UpstreamID {
	return identifier.UpstreamID(fmt.Sprintf("engine-%04d", i))
}

// reportAll delivers a report of each upstream.
func (f *fleet) reportAll() {
	f.sequence++
	f.nextReport = f.now.Add(reportInterval)
	for i := range f.size {
		f.report(i)
	}
}

func (f *fleet) modelOf(upstream int) identifier.ModelName {
	return identifier.ModelName(fmt.Sprintf("model-%02d", upstream%f.models))
}

func (f *fleet) report(upstream int) {
	f.core.Handle(scheduler.LoadReported{Now: f.now, Upstream: upstreamID(upstream), Load: scheduler.Load{
		Sequence: f.sequence, Role: identifier.RoleMixed, Model: f.modelOf(upstream), MaxBatch: 64, Running: 4, PendingOutput: 400,
		PrefillPerSecond: prefillPerSecond, DecodeStep: 20 * time.Millisecond, CacheCapacityTokens: 1 << 20,
	}})
}

// wait lets the time of one request pass, with the reports that come in it.
func (f *fleet) advanceClock() {
	capacity := float64(f.size) / float64(f.models) * prefillPerSecond / float64(promptPieces*identifier.PieceTokens)
	f.now = f.now.Add(time.Duration(todayInstances / (utilisation * capacity) * float64(time.Second)))
	if !f.now.Before(f.nextReport) {
		f.reportAll()
		f.core.Handle(scheduler.Ticked{Now: f.now})
	}
}

// serve routes one request and goes on with the running ones.
func (f *fleet) serve(i int) {
	f.advanceClock()
	f.progress()
	prefix := make([]identifier.PrefixHash, promptPieces)
	for j := range prefix {
		prefix[j] = identifier.PrefixHash(i%distinctPrompts*promptPieces + j + 1)
	}
	actions := f.core.Handle(scheduler.RequestArrived{
		Now: f.now, Request: identifier.RequestID(fmt.Sprintf("r%d", i)), Caller: "c", Class: "chat", Model: f.modelOf(0), Priority: 1,
		Urgent: true, Deadline: f.now.Add(20 * time.Second), Prompt: promptPieces * identifier.PieceTokens, MaxOutput: 50,
		ExpectedOutput: 50, Prefix: prefix,
	})
	for _, a := range actions {
		if d, ok := a.(scheduler.Dispatch); ok {
			f.dispatched++
			f.running = append(f.running, runningAttempt{attempt: d.Attempt, dispatchedAt: f.now})
		}
	}
}

func (f *fleet) progress() {
	for i := range f.running {
		r := &f.running[i]
		if !r.started && f.now.Sub(r.dispatchedAt) >= answerTime/2 {
			r.started = true
			f.core.Handle(scheduler.AttemptProgressed{Now: f.now, Attempt: r.attempt, Output: 1})
		}
	}
	for len(f.running) > 0 && f.now.Sub(f.running[0].dispatchedAt) >= answerTime {
		f.core.Handle(scheduler.AttemptFinished{Now: f.now, Attempt: f.running[0].attempt, Output: 50, CachedPrompt: -1})
		f.running = f.running[1:]
	}
}

// surveyScheduler measures a routing decision and the memory of the estimates over the number of upstreams.
func (s *Surveyor) measureScheduler() {
	for _, whole := range []bool{true, false} {
		// A subset is used only in fleets of more than 32.
		suffix, sizes := "Subset", []int{48, 64, 96, 128, targetUpstreams}
		if whole {
			suffix, sizes = "Whole", []int{8, 24, 64, 128, targetUpstreams}
		}
		processor := &series{name: "requestCPU" + suffix, unit: "ns", per: "upstream", today: todayUpstreams, target: targetUpstreams}
		allocation := &series{name: "requestAllocation" + suffix, unit: "B", per: "upstream", today: todayUpstreams, target: targetUpstreams}
		memory := &series{name: "schedulerMemory" + suffix, unit: "B", per: "upstream", today: todayUpstreams, target: targetUpstreams}
		for _, n := range sizes {
			memory.add(float64(n), measureHeap(func() any { return newFleet(n, whole) }))
			c := s.serveRequests(n, 1, whole)
			processor.add(float64(n), c.nanoseconds)
			allocation.add(float64(n), c.bytes)
		}
		s.writeSeries(processor, allocation, memory)
	}
	s.measureModels()
	s.measurePrefixes()
	f := newFleet(todayUpstreams, true)
	c := measureCost(20_000, func(i int) {
		f.sequence++
		f.report(i % todayUpstreams)
	})
	s.writeFigure("takeReportCPU", "ns", c.nanoseconds)
}

// surveyModels measures a routing decision beside the engines of other models, a subset of each.
func (s *Surveyor) measureModels() {
	processor := &series{name: "requestCPUModels", unit: "ns", per: "model", today: 1, target: targetModels}
	memory := &series{name: "schedulerMemoryModels", unit: "B", per: "model", today: 1, target: targetModels}
	for _, n := range []int{2, 4, 16, targetModels} {
		processor.add(float64(n), s.serveRequests(n*subsetSize, n, false).nanoseconds)
		memory.add(float64(n), measureHeap(func() any { return newMixedFleet(n*subsetSize, n, false) }))
	}
	s.writeSeries(processor, memory)
}

// serveRequests returns the cost of one request from arrival to end, without that of the reports meanwhile.
func (s *Surveyor) serveRequests(upstreams, models int, whole bool) cost {
	const count, warm = 6000, 1000
	idle := newMixedFleet(upstreams, models, whole)
	without := measureCost(count, func(int) { idle.advanceClock() })
	f := newMixedFleet(upstreams, models, whole)
	for i := range warm {
		f.serve(i)
	}
	f.dispatched = 0
	with := measureCost(count, func(i int) { f.serve(i + warm) })
	if f.dispatched < count*99/100 {
		s.fail("serve requests", fmt.Errorf("%d of %d dispatched at %d upstreams", f.dispatched, count, upstreams))
	}
	return cost{nanoseconds: with.nanoseconds - without.nanoseconds, bytes: with.bytes - without.bytes}
}

// surveyPrefixes measures the memory of the believed cache contents of one engine.
func (s *Surveyor) measurePrefixes() {
	memory := &series{name: "prefixMemory", unit: "B", per: "prefix", today: 1024, target: 1024}
	for _, n := range []int{64, 128, 256, 512, 1024} {
		f := newFleet(1, true)
		hashes := make([]identifier.PrefixHash, n)
		for i := range hashes {
			hashes[i] = identifier.PrefixHash(i + 1)
		}
		memory.add(float64(n), measureHeap(func() any {
			f.core.Handle(scheduler.CacheChanged{Now: f.now, Upstream: upstreamID(0), Sequence: 1, Stored: hashes})
			return f
		}))
	}
	s.writeSeries(memory)
}
