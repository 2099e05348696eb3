// Package scheduler joins estimation, routing, admission, retries and health into the decisions of one instance.
// It does no I/O and reads no clock: events enter through Handle, which returns the actions to carry out.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/admitter"
	"rosemaryspool.example/core/ejector"
	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/retrier"
	"rosemaryspool.example/core/router"
)

// Scheduler decides for one instance where its requests run. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	members  map[identifier.UpstreamID]*member
	engines  []*estimator.Engine
	byID     map[identifier.UpstreamID]*estimator.Engine
	router   *router.Router
	admitter *admitter.Admitter
	queue    *admitter.Queue
	retrier  *retrier.Retrier
	ejector  *ejector.Ejector
	requests map[identifier.RequestID]*request
	attempts map[identifier.AttemptID]*attempt
	// open holds the requests in order of arrival, with closed ones that the next tick takes out.
	openRequests []*request
	lengths      map[identifier.ClassName]*estimator.Length
	// prefillSent and sequencesSent measure what this instance sends: engine seconds and long answers a second.
	prefillRate  *estimator.Meter
	sequenceRate *estimator.Meter
	// urgentPrompt and urgentDeadline learn what long urgent prompts are like; urgentLevel is what one would cost now.
	urgentModel    identifier.ModelName
	urgentPrompt   estimator.Rate
	urgentDeadline estimator.Rate
	urgentLevel    float64
	// urgentLoss is the smoothed share of long urgent prompts that were lost.
	urgentLossRate float64
	// silence learns the usual time in seconds between two signs of progress of a stream.
	progressInterval estimator.Rate
	// allowed learns the time from token to token that long answers can bear.
	maxTokenInterval estimator.Rate
	sequence         uint64
	now              time.Time
	actions          []Action
}

// NewScheduler returns a scheduler that knows no engines yet.
func NewScheduler(settings Settings) *Scheduler {
	if settings.Tunables == (Tunables{}) {
		settings.Tunables = DefaultTunables()
	}
	tunables := settings.Tunables
	random := rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(string(settings.Instance))))
	s := &Scheduler{
		settings: settings,
		members:  make(map[identifier.UpstreamID]*member),
		byID:     make(map[identifier.UpstreamID]*estimator.Engine),
		router:   router.NewRouter(tunables.Route, settings.DataCentre, random),
		admitter: admitter.NewAdmitter(tunables.Admit),
		queue:    admitter.NewQueue(tunables.Admit.MaxQueue),
		retrier:  retrier.NewRetrier(tunables.Retry),
		ejector:  ejector.NewEjector(tunables.Eject),
		requests: make(map[identifier.RequestID]*request),
		attempts: make(map[identifier.AttemptID]*attempt),
		lengths:  make(map[identifier.ClassName]*estimator.Length),
	}
	s.prefillRate = estimator.NewMeter(tunables.ArrivalWindow)
	s.sequenceRate = estimator.NewMeter(tunables.ArrivalWindow)
	s.setInstances(settings.Instances)
	return s
}

func (s *Scheduler) setInstances(count int) {
	s.settings.Instances = max(1, count)
	s.admitter.SetInstances(s.settings.Instances)
}

// Handle takes one event and returns the actions that follow from it, in order.
func (s *Scheduler) Handle(event Event) []Action {
	s.actions = nil
	switch e := event.(type) {
	case RequestArrived:
		s.advance(e.Now)
		s.handleArrival(e)
	case AttemptProgressed:
		s.advance(e.Now)
		s.handleProgress(e)
	case AttemptFinished:
		s.advance(e.Now)
		s.handleFinish(e)
	case AttemptFailed:
		s.advance(e.Now)
		s.handleFailure(e)
	case CallerLeft:
		s.advance(e.Now)
		s.handleCallerLeft(e)
	case LoadReported:
		s.advance(e.Now)
		s.handleLoadReport(e)
	case CacheChanged:
		s.advance(e.Now)
		s.handleCacheChange(e)
	case UpstreamListed:
		s.advance(e.Now)
		s.handleListing(e)
	case UpstreamDrained:
		s.advance(e.Now)
		s.handleDrain(e)
	case UpstreamRemoved:
		s.advance(e.Now)
		s.handleRemoval(e)
	case CallerLimitSet:
		s.admitter.Limit(e.Caller, e.RequestsPerSecond, e.Burst)
	case CallerLimitRemoved:
		s.admitter.Unlist(e.Caller)
	case ServiceCalled:
		s.advance(e.Now)
		s.handleServiceCall(e)
	case InstancesCounted:
		s.advance(e.Now)
		s.setInstances(e.Instances)
	case Ticked:
		s.advance(e.Now)
		s.handleTick()
	}
	return s.actions
}

// advance moves the scheduler's time; an event that comes out of order doesn't move it back.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
