// Package scheduler decides where the requests of one instance run. It combines estimation, routing, admission control,
// retries and ejection. It does no I/O and reads no clock: Handle takes an event and returns the actions to carry out.
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

// Scheduler holds the fleet, the requests in flight and the queue of one instance. It is not safe for concurrent use.
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
	// openRequests holds the requests in order of arrival; closed ones stay until the next tick removes them.
	openRequests []*request
	lengths      map[identifier.ClassName]*estimator.OutputLength
	// prefillRate and sequenceRate measure what this instance dispatches: engine seconds of prefill per second and long
	// answers per second.
	prefillRate  *estimator.Meter
	sequenceRate *estimator.Meter
	// urgentPrompt and urgentDeadline are the typical uncached length in tokens and deadline in seconds of long urgent
	// prompts; urgentLevel is the current cost of one in seconds.
	urgentModel    identifier.ModelName
	urgentPrompt   estimator.Rate
	urgentDeadline estimator.Rate
	urgentLevel    float64
	// urgentLossRate is the moving average of the share of long urgent prompts that were refused or answered late.
	urgentLossRate float64
	// progressInterval is the usual time in seconds between two progress events of a stream.
	progressInterval estimator.Rate
	// maxTokenInterval is the time in seconds that a typical long answer may take per token to meet its deadline.
	maxTokenInterval estimator.Rate
	sequence         uint64
	now              time.Time
	actions          []Action
}

// NewScheduler returns a scheduler with an empty fleet.
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
		lengths:  make(map[identifier.ClassName]*estimator.OutputLength),
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

// Handle processes one event and returns the actions to carry out, in order.
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
	case CallerDisconnected:
		s.advance(e.Now)
		s.handleDisconnect(e)
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
		s.admitter.SetLimit(e.Caller, e.RequestsPerSecond, e.Burst)
	case CallerLimitRemoved:
		s.admitter.RemoveLimit(e.Caller)
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

// advance sets the scheduler's time to that of an event; events out of order never move it back.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
