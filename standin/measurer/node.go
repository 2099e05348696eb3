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
	wake     time.Duration
	attempts map[identifier.AttemptID]*attempt
	absence  *rand.Rand
	// frozen is the load that the engine keeps on telling; nil while its reports are right.
	frozen *scheduler.Load
}

// newNode returns an idle engine.
func newNode(f Figures, seed uint64, number int, role identifier.Role) *node {
	id := engineID(number)
	return &node{
		id:         id,
		dataCentre: number % f.DataCentres,
		engine:     batcher.NewEngine(f.engineSettings(role)),
		attempts:   map[identifier.AttemptID]*attempt{},
		absence:    source(seed, "absence "+string(id)),
	}
}

// modelName is the one model that the fakes serve.
const modelName identifier.ModelName = "fake-llm"

// tokensPerEvent keeps the number of progress events of long answers small.
const tokensPerEvent identifier.Tokens = 64

// engineSettings returns the settings of the fake engines.
func (f Figures) engineSettings(role identifier.Role) batcher.Settings {
	return batcher.Settings{
		Role: role, Model: modelName, PrefillPerSecond: f.PrefillPerSecond,
		DecodeBase: f.DecodeBase, DecodePerSequence: f.DecodePerSequence, MaxBatch: f.MaxBatch,
		ChunkTokens: f.ChunkTokens, CacheTokens: f.CacheTokens, PieceTokens: f.PieceTokens,
		HandoverBase: f.HandoverBase, HandoverPerThousand: f.HandoverPerThousand,
		ExportKept: f.ExportKept, TokensPerEvent: tokensPerEvent,
	}
}

// load returns the engine's account of itself, which may be frozen.
func (n *node) load(now time.Time) scheduler.Load {
	if n.frozen != nil {
		return *n.frozen
	}
	return n.engine.Load(now)
}

// touch lets the engine act up to now, passes its events on and plans the next visit.
func (s *Simulation) touch(n *node) {
	for _, event := range n.engine.Advance(s.clock()) {
		s.engineEvent(n, event)
	}
	next, ok := n.engine.NextEvent()
	if !ok {
		return
	}
	at := next.Sub(epoch)
	if n.wake > s.calendar.now && n.wake <= at {
		return
	}
	n.wake = at
	s.calendar.at(at, func() {
		if n.wake != at {
			return
		}
		n.wake = 0
		s.touch(n)
	})
}

// engineEvent passes one event of an engine to the attempt that it concerns.
func (s *Simulation) engineEvent(n *node, event batcher.Event) {
	switch e := event.(type) {
	case batcher.TokensProduced:
		if a := n.attempts[e.Attempt]; a != nil {
			s.progressed(n, a, e.Output)
		}
	case batcher.PrefillExported:
		if a := n.attempts[e.Attempt]; a != nil {
			delete(n.attempts, e.Attempt)
			s.exported(n, a, e)
		}
	case batcher.Finished:
		if a := n.attempts[e.Attempt]; a != nil {
			delete(n.attempts, e.Attempt)
			s.finished(n, a, e)
		}
	case batcher.Dropped:
		if a := n.attempts[e.Attempt]; a != nil {
			delete(n.attempts, e.Attempt)
			s.dropped(n, a, e)
		}
	case batcher.RoleChanged:
		s.roleChanged()
	}
}

// startReports plans an engine's load reports and cache events for the whole run.
func (s *Simulation) startReports(n *node, number int) {
	f := s.figures
	offset := f.ReportEvery * time.Duration(number) / time.Duration(f.Engines)
	lost := source(s.seed, "reports "+string(n.id))
	s.repeat(offset, f.ReportEvery, func() { s.report(n, lost) })
	gone := source(s.seed, "cacheEvents "+string(n.id))
	s.repeat(offset, f.CacheEventEvery, func() { s.tellCache(n, gone) })
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
func (s *Simulation) report(n *node, lost *rand.Rand) {
	if n.engine.Down() {
		return
	}
	load := n.load(s.clock())
	for _, i := range s.instances {
		missed := lost.Float64() < s.figures.ReportLost
		if missed || s.cut(n.dataCentre, i.dataCentre) {
			continue
		}
		s.calendar.after(s.figures.ReportLate+s.delay(n.dataCentre, i.dataCentre), func() {
			i.handle(scheduler.LoadReported{Now: s.clock(), Upstream: n.id, Load: load})
		})
	}
}

// tellCache sends an engine's cache events to every instance; lost ones leave gaps in the sequence.
func (s *Simulation) tellCache(n *node, lost *rand.Rand) {
	for _, e := range n.engine.TakeCacheEvents() {
		for _, i := range s.instances {
			missed := lost.Float64() < s.figures.CacheEventLost
			if missed || s.cut(n.dataCentre, i.dataCentre) {
				continue
			}
			s.calendar.after(s.figures.CacheEventLate, func() {
				i.handle(scheduler.CacheChanged{
					Now: s.clock(), Upstream: n.id, Sequence: e.Sequence, Stored: e.Stored, Evicted: e.Evicted, Cleared: e.Cleared,
				})
			})
		}
	}
}
