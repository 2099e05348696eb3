package measurer

import (
	"math/rand/v2"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/standin/batcher"
)

// node is one fake engine with its place, its reports and the attempts that it serves.
type node struct {
	id         identifier.UpstreamID
	dataCentre int
	engine     *batcher.Engine
	// wake is when the calendar next visits the engine; zero when it does not.
	wakeAt      time.Duration
	attempts    map[identifier.AttemptID]*attempt
	changeTimes *rand.Rand
	// frozen is the load that the engine keeps on telling; nil while its reports are right.
	frozenLoad *scheduler.Load
}

// newNode returns an idle engine.
func newNode(f Parameters, seed uint64, number int, role identifier.Role) *node {
	id := engineID(number)
	return &node{
		id:          id,
		dataCentre:  number % f.DataCentres,
		engine:      batcher.NewEngine(f.engineSettings(role)),
		attempts:    map[identifier.AttemptID]*attempt{},
		changeTimes: newRandom(seed, "absence "+string(id)),
	}
}

// modelName is the one model that the fakes serve.
const modelName identifier.ModelName = "fake-llm"

// tokensPerEvent keeps the number of progress events of long answers small.
const tokensPerEvent identifier.Tokens = 64

// engineSettings returns the settings of the fake engines.
func (f Parameters) engineSettings(role identifier.Role) batcher.Settings {
	return batcher.Settings{
		Role: role, Model: modelName, PrefillPerSecond: f.PrefillPerSecond,
		DecodeBase: f.DecodeBase, DecodePerSequence: f.DecodePerSequence, MaxBatch: f.MaxBatch,
		ChunkTokens: f.ChunkTokens, CacheTokens: f.CacheTokens, PieceTokens: f.PieceTokens,
		HandoverBase: f.HandoverBase, HandoverPerThousand: f.HandoverPerThousand,
		ExportKept: f.ExportRetention, TokensPerEvent: tokensPerEvent,
	}
}

// load returns the engine's account of itself, which may be frozen.
func (n *node) load(now time.Time) scheduler.Load {
	if n.frozenLoad != nil {
		return *n.frozenLoad
	}
	return n.engine.Load(now)
}

// touch lets the engine act up to now, passes its events on and plans the next visit.
func (s *Simulation) advanceEngine(n *node) {
	for _, event := range n.engine.Advance(s.clock()) {
		s.handleEngineEvent(n, event)
	}
	next, ok := n.engine.NextEvent()
	if !ok {
		return
	}
	at := next.Sub(epoch)
	if n.wakeAt > s.calendar.now && n.wakeAt <= at {
		return
	}
	n.wakeAt = at
	s.calendar.at(at, func() {
		if n.wakeAt != at {
			return
		}
		n.wakeAt = 0
		s.advanceEngine(n)
	})
}

// engineEvent passes one event of an engine to the attempt that it concerns.
func (s *Simulation) handleEngineEvent(n *node, event batcher.Event) {
	switch e := event.(type) {
	case batcher.TokensProduced:
		if a := n.attempts[e.Attempt]; a != nil {
			s.handleProgress(n, a, e.Output)
		}
	case batcher.PrefillExported:
		if a := n.attempts[e.Attempt]; a != nil {
			delete(n.attempts, e.Attempt)
			s.handleExport(n, a, e)
		}
	case batcher.Finished:
		if a := n.attempts[e.Attempt]; a != nil {
			delete(n.attempts, e.Attempt)
			s.handleFinish(n, a, e)
		}
	case batcher.Dropped:
		if a := n.attempts[e.Attempt]; a != nil {
			delete(n.attempts, e.Attempt)
			s.handleDrop(n, a, e)
		}
	case batcher.RoleChanged:
		s.recordRoles()
	}
}

// startReports plans an engine's load reports and cache events for the whole run.
func (s *Simulation) scheduleReports(n *node, number int) {
	f := s.parameters
	offset := f.ReportInterval * time.Duration(number) / time.Duration(f.Engines)
	lost := newRandom(s.seed, "reports "+string(n.id))
	s.repeat(offset, f.ReportInterval, func() { s.sendReport(n, lost) })
	gone := newRandom(s.seed, "cacheEvents "+string(n.id))
	s.repeat(offset, f.CacheEventInterval, func() { s.sendCacheEvents(n, gone) })
}

// repeat runs an act at an interval until the run ends.
func (s *Simulation) repeat(first, interval time.Duration, act func()) {
	var again func()
	again = func() {
		act()
		if s.calendar.now < s.end {
			s.calendar.after(interval, again)
		}
	}
	s.calendar.at(first, again)
}

// report sends an engine's load to every instance; each may miss it.
func (s *Simulation) sendReport(n *node, lost *rand.Rand) {
	if n.engine.Down() {
		return
	}
	load := n.load(s.clock())
	for _, i := range s.instances {
		missed := lost.Float64() < s.parameters.ReportLossRate
		if missed || s.partitioned(n.dataCentre, i.dataCentre) {
			continue
		}
		s.calendar.after(s.parameters.ReportDelay+s.networkDelay(n.dataCentre, i.dataCentre), func() {
			i.handle(scheduler.LoadReported{Now: s.clock(), Upstream: n.id, Load: load})
		})
	}
}

// tellCache sends an engine's cache events to every instance; lost ones leave gaps in the sequence.
func (s *Simulation) sendCacheEvents(n *node, lost *rand.Rand) {
	for _, e := range n.engine.TakeCacheEvents() {
		for _, i := range s.instances {
			missed := lost.Float64() < s.parameters.CacheEventLossRate
			if missed || s.partitioned(n.dataCentre, i.dataCentre) {
				continue
			}
			s.calendar.after(s.parameters.CacheEventDelay, func() {
				i.handle(scheduler.CacheChanged{
					Now: s.clock(), Upstream: n.id, Sequence: e.Sequence, Stored: e.Stored, Evicted: e.Evicted, Cleared: e.Cleared,
				})
			})
		}
	}
}
