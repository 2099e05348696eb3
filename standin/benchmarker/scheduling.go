package benchmarker

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
)

// start is the time at which every simulated clock starts.
var start = time.Unix(1_800_000_000, 0)

// Properties of the simulated requests.
const (
	// promptBlocks is the length of a prompt in prefix blocks. Requests cycle through distinctPrompts prompts.
	promptBlocks    = 4
	distinctPrompts = 500
	// prefillPerSecond is an engine's prefill speed in tokens, utilisation the share of it that all instances together
	// use.
	prefillPerSecond = 20_000
	utilisation      = 0.4
	reportInterval   = 500 * time.Millisecond
	// responseTime is the time from dispatch to the end of the response; the first token arrives after half of it.
	responseTime = time.Second
)

// runningAttempt is a dispatched attempt; started is set with its first token.
type runningAttempt struct {
	attempt      identifier.AttemptID
	dispatchedAt time.Time
	started      bool
}

// fleet is a scheduler with simulated upstreams that report their load.
type fleet struct {
	core *scheduler.Scheduler
	// size is the number of upstreams. Models are assigned to them round robin; all requests are for the first model.
	size       int
	models     int
	now        time.Time
	nextReport time.Time
	sequence   uint64
	running    []runningAttempt
	// dispatched counts the dispatched attempts.
	dispatched int
}

// newFleet returns a fleet with one model. If fullFleet is set, the scheduler uses all upstreams, else its default
// subset.
func newFleet(upstreams int, fullFleet bool) *fleet { return newMixedFleet(upstreams, 1, fullFleet) }

// newMixedFleet returns a fleet whose upstreams run several models; fullFleet is as in newFleet.
func newMixedFleet(upstreams, models int, fullFleet bool) *fleet {
	settings := scheduler.Settings{Instance: "i-1", DataCentre: "dc-1", Instances: todayInstances, Seed: 1}
	settings.Tunables = scheduler.DefaultTunables()
	if fullFleet {
		settings.Tunables.MaxFullFleet = upstreams
	}
	f := &fleet{core: scheduler.NewScheduler(settings), size: upstreams, models: models, now: start}
	for i := range upstreams {
		id := upstreamID(i)
		f.core.Handle(scheduler.UpstreamListed{
			Now: f.now, Upstream: id, DataCentre: "dc-1", Models: []identifier.ModelName{f.modelOf(i)},
		})
	}
	f.reportAll()
	return f
}

func upstreamID(i int) identifier.UpstreamID {
	return identifier.UpstreamID(fmt.Sprintf("engine-%04d", i))
}

// reportAll delivers a load report of each upstream.
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

// report delivers a load report of one upstream.
func (f *fleet) report(upstream int) {
	f.core.Handle(scheduler.LoadReported{Now: f.now, Upstream: upstreamID(upstream), Load: scheduler.Load{
		Sequence: f.sequence, Role: identifier.RoleMixed, Model: f.modelOf(upstream), MaxBatch: 64, Running: 4,
		PendingOutput: 400, PrefillPerSecond: prefillPerSecond, DecodeStep: 20 * time.Millisecond,
		CacheCapacityTokens: 1 << 20,
	}})
}

// advanceClock advances the clock by the time between two requests and delivers the reports that are due.
func (f *fleet) advanceClock() {
	capacity := float64(f.size) / float64(f.models) * prefillPerSecond / float64(promptBlocks*identifier.BlockTokens)
	f.now = f.now.Add(time.Duration(todayInstances / (utilisation * capacity) * float64(time.Second)))
	if !f.now.Before(f.nextReport) {
		f.reportAll()
		f.core.Handle(scheduler.Ticked{Now: f.now})
	}
}

// serve advances the clock and the running attempts, then routes one request.
func (f *fleet) serve(i int) {
	f.advanceClock()
	f.progress()
	prefix := make([]identifier.PrefixHash, promptBlocks)
	for j := range prefix {
		prefix[j] = identifier.PrefixHash(i%distinctPrompts*promptBlocks + j + 1)
	}
	actions := f.core.Handle(scheduler.RequestArrived{
		Now: f.now, Request: identifier.RequestID(fmt.Sprintf("r%d", i)), Caller: "c", Class: "chat",
		Model: f.modelOf(0), Priority: 1, Urgent: true, Deadline: f.now.Add(20 * time.Second),
		Prompt: promptBlocks * identifier.BlockTokens, MaxOutput: 50, ExpectedOutput: 50, Prefix: prefix,
	})
	for _, a := range actions {
		if d, ok := a.(scheduler.Dispatch); ok {
			f.dispatched++
			f.running = append(f.running, runningAttempt{attempt: d.Attempt, dispatchedAt: f.now})
		}
	}
}

// progress delivers the first tokens and ends of running attempts that are due.
func (f *fleet) progress() {
	for i := range f.running {
		r := &f.running[i]
		if !r.started && f.now.Sub(r.dispatchedAt) >= responseTime/2 {
			r.started = true
			f.core.Handle(scheduler.AttemptProgressed{Now: f.now, Attempt: r.attempt, Output: 1})
		}
	}
	for len(f.running) > 0 && f.now.Sub(f.running[0].dispatchedAt) >= responseTime {
		f.core.Handle(scheduler.AttemptFinished{Now: f.now, Attempt: f.running[0].attempt, Output: 50, CachedPrompt: -1})
		f.running = f.running[1:]
	}
}

// measureScheduler measures the cost of a request and the scheduler's memory over the number of upstreams.
func (b *Benchmarker) measureScheduler() {
	for _, fullFleet := range []bool{true, false} {
		// The scheduler uses a subset only in fleets of more than 32 upstreams.
		suffix, sizes := "Subset", []int{48, 64, 96, 128, targetUpstreams}
		if fullFleet {
			suffix, sizes = "Whole", []int{8, 24, 64, 128, targetUpstreams}
		}
		cpu := &series{
			name: "requestCPU" + suffix, unit: "ns", per: "upstream", today: todayUpstreams, target: targetUpstreams,
		}
		allocation := &series{
			name: "requestAllocation" + suffix, unit: "B", per: "upstream",
			today: todayUpstreams, target: targetUpstreams,
		}
		memory := &series{
			name: "schedulerMemory" + suffix, unit: "B", per: "upstream", today: todayUpstreams, target: targetUpstreams,
		}
		for _, n := range sizes {
			memory.add(float64(n), measureHeap(func() any { return newFleet(n, fullFleet) }))
			c := b.serveRequests(n, 1, fullFleet)
			cpu.add(float64(n), c.nanoseconds)
			allocation.add(float64(n), c.bytes)
		}
		b.writeSeries(cpu, allocation, memory)
	}
	b.measureModels()
	b.measurePrefixes()
	f := newFleet(todayUpstreams, true)
	c := measureCost(20_000, func(i int) {
		f.sequence++
		f.report(i % todayUpstreams)
	})
	b.writeFigure("takeReportCPU", "ns", c.nanoseconds)
}

// measureModels measures the cost of a request and the scheduler's memory over the number of models, with a subset of
// engines for each model.
func (b *Benchmarker) measureModels() {
	cpu := &series{name: "requestCPUModels", unit: "ns", per: "model", today: 1, target: targetModels}
	memory := &series{name: "schedulerMemoryModels", unit: "B", per: "model", today: 1, target: targetModels}
	for _, n := range []int{2, 4, 16, targetModels} {
		cpu.add(float64(n), b.serveRequests(n*subsetSize, n, false).nanoseconds)
		memory.add(float64(n), measureHeap(func() any { return newMixedFleet(n*subsetSize, n, false) }))
	}
	b.writeSeries(cpu, memory)
}

// serveRequests returns the mean cost of one request from arrival to end. The cost of the load reports is subtracted.
func (b *Benchmarker) serveRequests(upstreams, models int, fullFleet bool) cost {
	const count, warmUpRequests = 6000, 1000
	reporting := newMixedFleet(upstreams, models, fullFleet)
	reportCost := measureCost(count, func(int) { reporting.advanceClock() })
	f := newMixedFleet(upstreams, models, fullFleet)
	for i := range warmUpRequests {
		f.serve(i)
	}
	f.dispatched = 0
	total := measureCost(count, func(i int) { f.serve(i + warmUpRequests) })
	if f.dispatched < count*99/100 {
		b.fail("serve requests", fmt.Errorf("%d of %d dispatched at %d upstreams", f.dispatched, count, upstreams))
	}
	return cost{nanoseconds: total.nanoseconds - reportCost.nanoseconds, bytes: total.bytes - reportCost.bytes}
}

// measurePrefixes measures the memory of one engine's cached prefixes as the scheduler tracks them.
func (b *Benchmarker) measurePrefixes() {
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
	b.writeSeries(memory)
}
