// Package scheduler joins estimation, routing, admission, retries and health into the decisions of one instance.
// It does no I/O and reads no clock: events enter through Handle, which returns the actions to carry out.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/router"
)

// Scheduler decides for one instance where its requests run. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	engines  []*estimator.Engine
	byID     map[identifier.UpstreamID]*estimator.Engine
	router   *router.Router
	requests map[identifier.RequestID]*request
	attempts map[identifier.AttemptID]*attempt
	lengths  map[identifier.ClassName]*estimator.Length
	sequence uint64
	now      time.Time
	actions  []Action
}

// NewScheduler returns a scheduler that knows no engines yet.
func NewScheduler(settings Settings) *Scheduler {
	settings.Tunables = settings.Tunables.withDefaults()
	settings.Instances = max(1, settings.Instances)
	random := rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(string(settings.Instance))))
	return &Scheduler{
		settings: settings,
		byID:     make(map[identifier.UpstreamID]*estimator.Engine),
		router:   router.NewRouter(settings.Tunables.Route, settings.DataCentre, random),
		requests: make(map[identifier.RequestID]*request),
		attempts: make(map[identifier.AttemptID]*attempt),
		lengths:  make(map[identifier.ClassName]*estimator.Length),
	}
}

// Handle takes one event and returns the actions that follow from it, in order.
func (s *Scheduler) Handle(event Event) []Action {
	s.actions = nil
	switch e := event.(type) {
	case RequestArrived:
		s.advance(e.Now)
		s.arrive(e)
	case AttemptProgressed:
		s.advance(e.Now)
		s.progress(e)
	case AttemptFinished:
		s.advance(e.Now)
		s.finish(e)
	case AttemptFailed:
		s.advance(e.Now)
		s.fail(e)
	case CallerLeft:
		s.advance(e.Now)
		s.abandon(e)
	case LoadReported:
		s.advance(e.Now)
		s.observe(e)
	case CacheChanged:
		s.advance(e.Now)
		s.changeCache(e)
	case UpstreamSeen:
		s.advance(e.Now)
		s.see(e)
	case UpstreamGone:
		s.advance(e.Now)
		s.remove(e)
	case CallerLimited:
	case InstancesCounted:
		s.advance(e.Now)
		s.settings.Instances = max(1, e.Instances)
	case Ticked:
		s.advance(e.Now)
		s.tick()
	}
	return s.actions
}

// advance moves the scheduler's time; an event that comes out of order doesn't move it back.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

func (s *Scheduler) act(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) see(e UpstreamSeen) {
	engine := s.byID[e.Upstream]
	if engine == nil {
		engine = estimator.NewEngine(e.Upstream, &s.settings.Tunables.Estimate)
		s.byID[e.Upstream] = engine
		at, _ := slices.BinarySearchFunc(s.engines, engine, compareEngines)
		s.engines = slices.Insert(s.engines, at, engine)
	}
	engine.DataCentre = e.DataCentre
	engine.Models = e.Models
	engine.Listed = engine.Listed || e.Leaving
}

func compareEngines(a, b *estimator.Engine) int { return strings.Compare(string(a.ID), string(b.ID)) }

func (s *Scheduler) remove(e UpstreamGone) {
	engine := s.byID[e.Upstream]
	if engine == nil {
		return
	}
	delete(s.byID, e.Upstream)
	s.engines = slices.DeleteFunc(s.engines, func(x *estimator.Engine) bool { return x == engine })
}

func (s *Scheduler) observe(e LoadReported) {
	engine := s.byID[e.Upstream]
	if engine == nil {
		return
	}
	engine.Observe(s.now, e.Load, s.settings.Tunables.ReportLag)
}

func (s *Scheduler) changeCache(e CacheChanged) {
	engine := s.byID[e.Upstream]
	if engine == nil {
		return
	}
	engine.CacheChanged(e.Sequence, e.Stored, e.Evicted, e.Cleared)
}
