package simulator

import (
	"math/rand/v2"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/standin/batcher"
)

// node is one simulated engine with its data centre, its reports and its attempts.
type node struct {
	id         identifier.UpstreamID
	dataCentre int
	engine     *batcher.Engine
	// wakeAt is the time of the next scheduled call of advanceEngine; zero if there is none.
	wakeAt      time.Duration
	attempts    map[identifier.AttemptID]*attempt
	changeTimes *rand.Rand
	// frozenLoad is the stale load that the engine repeats in every report; nil while reports are current.
	frozenLoad *scheduler.Load
}

// newNode returns a node with an idle engine. Engines are spread over the data centres by number.
func newNode(p Parameters, seed uint64, number int, role identifier.Role) *node {
	id := engineID(number)
	return &node{
		id:          id,
		dataCentre:  number % p.DataCentres,
		engine:      batcher.NewEngine(p.engineSettings(role)),
		attempts:    map[identifier.AttemptID]*attempt{},
		changeTimes: newRandom(seed, "absence "+string(id)),
	}
}

// modelName is the only model that the simulated engines serve.
const modelName identifier.ModelName = "fake-llm"

// tokensPerEvent is the number of output tokens per progress event; it keeps the number of events for long responses
// small.
const tokensPerEvent identifier.Tokens = 64

// engineSettings returns the settings of a simulated engine with the given role.
func (p Parameters) engineSettings(role identifier.Role) batcher.Settings {
	return batcher.Settings{
		Role: role, Model: modelName, PrefillPerSecond: p.PrefillPerSecond,
		DecodeBase: p.DecodeBase, DecodePerSequence: p.DecodePerSequence, MaxBatch: p.MaxBatch,
		ChunkTokens: p.ChunkTokens, CacheTokens: p.CacheTokens, BlockTokens: p.BlockTokens,
		KVTransferBase: p.KVTransferBase, KVTransferPerThousand: p.KVTransferPerThousand,
		ExportRetention: p.ExportRetention, TokensPerEvent: tokensPerEvent,
	}
}

// load returns the load that the engine reports: the current one, or a stale one while reports are frozen.
func (n *node) load(now time.Time) scheduler.Load {
	if n.frozenLoad != nil {
		return *n.frozenLoad
	}
	return n.engine.Load(now)
}

// advanceEngine advances the engine to the current time, handles its events and schedules the next call for the
// engine's next event.
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

// handleEngineEvent handles one event of an engine. Events of unknown attempts are ignored.
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

// scheduleReports schedules an engine's load reports and cache events for the whole run, staggered by engine number.
func (s *Simulation) scheduleReports(n *node, number int) {
	p := s.parameters
	offset := p.ReportInterval * time.Duration(number) / time.Duration(p.Engines)
	losses := newRandom(s.seed, "reports "+string(n.id))
	s.repeat(offset, p.ReportInterval, func() { s.sendReport(n, losses) })
	eventLosses := newRandom(s.seed, "cacheEvents "+string(n.id))
	s.repeat(offset, p.CacheEventInterval, func() { s.sendCacheEvents(n, eventLosses) })
}

// repeat runs an action at a fixed interval until the run ends.
func (s *Simulation) repeat(first, interval time.Duration, action func()) {
	var again func()
	again = func() {
		action()
		if s.calendar.now < s.end {
			s.calendar.after(interval, again)
		}
	}
	s.calendar.at(first, again)
}

// sendReport sends an engine's load to every instance. Each instance's copy is lost independently of the others.
func (s *Simulation) sendReport(n *node, losses *rand.Rand) {
	if n.engine.Down() {
		return
	}
	load := n.load(s.clock())
	for _, i := range s.instances {
		dropped := losses.Float64() < s.parameters.ReportLossRate
		if dropped || s.partitioned(n.dataCentre, i.dataCentre) {
			continue
		}
		s.calendar.after(s.parameters.ReportDelay+s.networkDelay(n.dataCentre, i.dataCentre), func() {
			i.handle(scheduler.LoadReported{Now: s.clock(), Upstream: n.id, Load: load})
		})
	}
}

// sendCacheEvents sends an engine's cache events to every instance; lost events leave gaps in the sequence numbers.
func (s *Simulation) sendCacheEvents(n *node, losses *rand.Rand) {
	for _, e := range n.engine.TakeCacheEvents() {
		for _, i := range s.instances {
			dropped := losses.Float64() < s.parameters.CacheEventLossRate
			if dropped || s.partitioned(n.dataCentre, i.dataCentre) {
				continue
			}
			s.calendar.after(s.parameters.CacheEventDelay, func() {
				i.handle(scheduler.CacheChanged{
					Now: s.clock(), Upstream: n.id, Sequence: e.Sequence,
					Stored: e.Stored, Evicted: e.Evicted, Cleared: e.Cleared,
				})
			})
		}
	}
}
