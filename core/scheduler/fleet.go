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

// member is a listed engine, or one whose planned drain was announced before it was listed. The scheduler keeps
// estimates only of the engines in this instance's subset.
type member struct {
	listing UpstreamListed
	weight  uint64
	// drained is set during a planned drain.
	drained bool
}

// unavailable reports whether the engine is leaving or drained and must get no new work.
func (m *member) unavailable() bool { return m.listing.Leaving || m.drained }

func (s *Scheduler) handleListing(e UpstreamListed) {
	m := s.members[e.Upstream]
	if m == nil {
		m = &member{weight: s.rendezvousWeight(e.Upstream)}
		s.members[e.Upstream] = m
	}
	e.Leaving = e.Leaving || m.listing.Leaving
	same := m.listing.Upstream != "" && m.listing.Leaving == e.Leaving && m.listing.DataCentre == e.DataCentre &&
		slices.Equal(m.listing.Models, e.Models)
	m.listing = e
	if !same {
		s.updateSubset()
	}
}

// handleDrain records a planned drain, also for an engine that isn't listed yet or isn't in the subset.
func (s *Scheduler) handleDrain(e UpstreamDrained) {
	m := s.members[e.Upstream]
	if m == nil {
		m = &member{listing: UpstreamListed{Upstream: e.Upstream}, weight: s.rendezvousWeight(e.Upstream)}
		s.members[e.Upstream] = m
	}
	m.drained = e.Draining
	if engine := s.byID[e.Upstream]; engine != nil {
		engine.Drained = e.Draining
	}
	if m.listing.DataCentre != "" {
		s.updateSubset()
	}
}

func (s *Scheduler) handleRemoval(e UpstreamRemoved) {
	delete(s.members, e.Upstream)
	s.updateSubset()
}

// rendezvousWeight returns the weight of an engine in rendezvous hashing; each instance ranks the engines differently.
func (s *Scheduler) rendezvousWeight(id identifier.UpstreamID) uint64 {
	return xxhash.Sum64String(string(s.settings.Instance) + "/" + string(id))
}

// updateSubset adds and removes engines so that those in use match the current subset. Leaving engines stay until they
// are no longer listed, so that their work in flight is accounted for, but don't count towards the subset size.
func (s *Scheduler) updateSubset() {
	wanted := s.subset()
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
		s.useEngine(s.members[id])
	}
}

// useEngine creates or updates the estimate of an engine.
func (s *Scheduler) useEngine(m *member) {
	engine := s.byID[m.listing.Upstream]
	if engine == nil {
		engine = estimator.NewEngine(m.listing.Upstream, &s.settings.Tunables.Estimate)
		s.byID[engine.ID] = engine
		at, _ := slices.BinarySearchFunc(s.engines, engine, compareEngines)
		s.engines = slices.Insert(s.engines, at, engine)
		s.ejector.Add(engine.ID)
	}
	engine.DataCentre = m.listing.DataCentre
	engine.Models = m.listing.Models
	engine.ListedLeaving = m.listing.Leaving
	engine.Drained = m.drained
}

// subset returns the engines that this instance uses: all of a small fleet, otherwise for each model those with the
// highest rendezvous weight, with the engines of its own data centre first.
func (s *Scheduler) subset() map[identifier.UpstreamID]bool {
	wanted := make(map[identifier.UpstreamID]bool, len(s.members))
	if len(s.members) <= s.settings.Tunables.MaxFullFleet {
		for id := range s.members {
			wanted[id] = true
		}
		return wanted
	}
	byModel := make(map[identifier.ModelName][]*member)
	for _, m := range s.members {
		for _, model := range m.listing.Models {
			byModel[model] = append(byModel[model], m)
		}
	}
	for _, members := range byModel {
		slices.SortFunc(members, s.compareMembers)
		remaining := s.settings.Tunables.SubsetSize
		for _, m := range members {
			if remaining == 0 {
				break
			}
			wanted[m.listing.Upstream] = true
			if !m.unavailable() {
				remaining--
			}
		}
	}
	return wanted
}

func (s *Scheduler) compareMembers(a, b *member) int {
	if local := a.listing.DataCentre == s.settings.DataCentre; local != (b.listing.DataCentre == s.settings.DataCentre) {
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
	return strings.Compare(string(a.listing.Upstream), string(b.listing.Upstream))
}

func compareEngines(a, b *estimator.Engine) int { return strings.Compare(string(a.ID), string(b.ID)) }

func (s *Scheduler) handleLoadReport(e LoadReported) {
	if engine := s.byID[e.Upstream]; engine != nil {
		engine.Observe(s.now, e.Load, false)
	}
}

// observeResponseLoad records a load report that came with a response.
func (s *Scheduler) observeResponseLoad(engine *estimator.Engine, load *Load) {
	if load != nil {
		engine.Observe(s.now, *load, true)
	}
}

func (s *Scheduler) handleCacheChange(e CacheChanged) {
	if engine := s.byID[e.Upstream]; engine != nil {
		engine.CacheChanged(e.Sequence, e.Stored, e.Evicted, e.Cleared)
	}
}

// usable returns a filter for the engines that a request may use: healthy ones that it hasn't tried. Ejections are
// ignored when they affect a large part of the fleet.
func (s *Scheduler) usable(r *request) func(*estimator.Engine) bool {
	ignored := s.ignoresEjections()
	return func(e *estimator.Engine) bool {
		if r.hasTried(e.ID) {
			return false
		}
		switch s.ejector.Status(s.now, e.ID) {
		case ejector.Ejected:
			return ignored
		case ejector.Paused:
			return false
		case ejector.Probed:
			return !r.Urgent || ignored || s.now.Sub(r.Now) < maxProbeAge
		default:
			return true
		}
	}
}

// maxProbeAge is the age up to which an urgent request may probe an ejected engine: it still has time for a retry.
const maxProbeAge = time.Second

// ignoresEjections reports whether so many engines are ejected that ejections are ignored: the fault is then probably
// at this instance.
func (s *Scheduler) ignoresEjections() bool {
	ejected := s.ejector.EjectedCount(s.now)
	return float64(ejected) > s.settings.Tunables.Eject.MaxEjectedShare*float64(len(s.engines))
}
