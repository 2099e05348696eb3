package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
)

// member is a listed engine; only those of the instance's subset carry an estimate.
type member struct {
	seen   UpstreamSeen
	weight uint64
	// drained is true during a planned drain.
	drained bool
}

// closed tells whether the engine must get no new work.
func (m *member) closed() bool { return m.seen.Leaving || m.drained }

func (s *Scheduler) see(e UpstreamSeen) {
	m := s.members[e.Upstream]
	if m == nil {
		m = &member{weight: s.weigh(e.Upstream)}
		s.members[e.Upstream] = m
	}
	e.Leaving = e.Leaving || m.seen.Leaving
	same := m.seen.Upstream != "" && m.seen.Leaving == e.Leaving && m.seen.DataCentre == e.DataCentre &&
		slices.Equal(m.seen.Models, e.Models)
	m.seen = e
	if !same {
		s.chooseSubset()
	}
}

// drain keeps a planned drain also for an engine that is not used yet.
func (s *Scheduler) drain(e UpstreamDrained) {
	m := s.members[e.Upstream]
	if m == nil {
		m = &member{seen: UpstreamSeen{Upstream: e.Upstream}, weight: s.weigh(e.Upstream)}
		s.members[e.Upstream] = m
	}
	m.drained = e.Draining
	if engine := s.byID[e.Upstream]; engine != nil {
		engine.Drained = e.Draining
	}
	if m.seen.DataCentre != "" {
		s.chooseSubset()
	}
}

func (s *Scheduler) remove(e UpstreamGone) {
	delete(s.members, e.Upstream)
	s.chooseSubset()
}

// weigh ranks an engine for this instance; every instance gets another order.
func (s *Scheduler) weigh(id identifier.UpstreamID) uint64 {
	return xxhash.Sum64String(string(s.settings.Instance) + "/" + string(id))
}

// chooseSubset brings the used engines in line with the listed ones. Leaving engines stay until they are gone, so that
// what runs there is accounted for, but don't count towards the subset.
func (s *Scheduler) chooseSubset() {
	wanted := s.wanted()
	kept := s.engines[:0]
	for _, engine := range s.engines {
		if wanted[engine.ID] {
			kept = append(kept, engine)
			continue
		}
		delete(s.byID, engine.ID)
		s.ejector.Remove(engine.ID)
	}
	clear(s.engines[len(kept):])
	s.engines = kept
	for id := range wanted {
		s.use(s.members[id])
	}
}

// use starts or updates the estimate of an engine.
func (s *Scheduler) use(m *member) {
	engine := s.byID[m.seen.Upstream]
	if engine == nil {
		engine = estimator.NewEngine(m.seen.Upstream, &s.settings.Tunables.Estimate)
		s.byID[engine.ID] = engine
		at, _ := slices.BinarySearchFunc(s.engines, engine, compareEngines)
		s.engines = slices.Insert(s.engines, at, engine)
		s.ejector.Add(engine.ID)
	}
	engine.DataCentre = m.seen.DataCentre
	engine.Models = m.seen.Models
	engine.ListedLeaving = m.seen.Leaving
	engine.Drained = m.drained
}

// wanted returns the engines that this instance uses: all of a small fleet, else for each model those with the highest
// rendezvous weight, the own data centre's before others'.
func (s *Scheduler) wanted() map[identifier.UpstreamID]bool {
	wanted := make(map[identifier.UpstreamID]bool, len(s.members))
	if len(s.members) <= s.settings.Tunables.FullFleet {
		for id := range s.members {
			wanted[id] = true
		}
		return wanted
	}
	byModel := make(map[identifier.ModelName][]*member)
	for _, m := range s.members {
		for _, model := range m.seen.Models {
			byModel[model] = append(byModel[model], m)
		}
	}
	for _, members := range byModel {
		slices.SortFunc(members, s.compareMembers)
		left := s.settings.Tunables.Subset
		for _, m := range members {
			if left == 0 {
				break
			}
			wanted[m.seen.Upstream] = true
			if !m.closed() {
				left--
			}
		}
	}
	return wanted
}

func (s *Scheduler) compareMembers(a, b *member) int {
	if local := a.seen.DataCentre == s.settings.DataCentre; local != (b.seen.DataCentre == s.settings.DataCentre) {
		if local {
			return -1
		}
		return 1
	}
	if a.weight != b.weight {
		if a.weight > b.weight {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a.seen.Upstream), string(b.seen.Upstream))
}

func compareEngines(a, b *estimator.Engine) int { return strings.Compare(string(a.ID), string(b.ID)) }

func (s *Scheduler) observe(e LoadReported) {
	if engine := s.byID[e.Upstream]; engine != nil {
		engine.Observe(s.now, e.Load, false)
	}
}

// observeAnswer takes the load that came with an answer.
func (s *Scheduler) observeAnswer(engine *estimator.Engine, load *Load) {
	if load != nil {
		engine.Observe(s.now, *load, true)
	}
}

func (s *Scheduler) changeCache(e CacheChanged) {
	if engine := s.byID[e.Upstream]; engine != nil {
		engine.CacheChanged(e.Sequence, e.Stored, e.Evicted, e.Cleared)
	}
}

// usable returns which engines a request may use: healthy ones that it has not tried. Ejections of a large part of the
// fleet are overruled.
func (s *Scheduler) usable(r *request) func(*estimator.Engine) bool {
	overruled := s.overruled()
	return func(e *estimator.Engine) bool {
		if r.hasTried(e.ID) {
			return false
		}
		switch s.ejector.Standing(s.now, e.ID) {
		case ejector.Ejected:
			return overruled
		case ejector.Paused:
			return false
		case ejector.Probed:
			return !r.Urgent || overruled || s.now.Sub(r.Now) < probeWithin
		default:
			return true
		}
	}
}

// probeWithin is the age of a request up to which it may be the probe of an engine: it still has time for a retry.
const probeWithin = time.Second

func (s *Scheduler) overruled() bool {
	out := s.ejector.Out(s.now)
	return float64(out) > s.settings.Tunables.Eject.MaxShare*float64(len(s.engines))
}
