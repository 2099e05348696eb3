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
	open    []*request
	lengths map[identifier.ClassName]*estimator.OutputLength
	// prefillSent and sequencesSent measure what this instance sends: engine seconds and long answers a second.
	prefillSent   *estimator.Meter
	sequencesSent *estimator.Meter
	// urgentPrompt and urgentDeadline learn what long urgent prompts are like; urgentLevel is what one would cost now.
	urgentModel    identifier.ModelName
	urgentPrompt   estimator.Rate
	urgentDeadline estimator.Rate
	urgentLevel    float64
	// urgentLoss is the smoothed share of long urgent prompts that were lost.
	urgentLoss float64
	// silence learns the usual time in seconds between two signs of progress of a stream.
	silence estimator.Rate
	// allowed learns the time from token to token that long answers can bear.
	allowed  estimator.Rate
	sequence uint64
	now      time.Time
	actions  []Action
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
		lengths:  make(map[identifier.ClassName]*estimator.OutputLength),
	}
	s.prefillSent = estimator.NewMeter(tunables.FlowMemory)
	s.sequencesSent = estimator.NewMeter(tunables.FlowMemory)
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
	case UpstreamDrained:
		s.advance(e.Now)
		s.drain(e)
	case UpstreamGone:
		s.advance(e.Now)
		s.remove(e)
	case CallerLimited:
		s.admitter.SetLimit(e.Caller, e.RequestsPerSecond, e.Burst)
	case CallerUnlisted:
		s.admitter.RemoveLimit(e.Caller)
	case ServiceCalled:
		s.advance(e.Now)
		s.admitCall(e)
	case InstancesCounted:
		s.advance(e.Now)
		s.setInstances(e.Instances)
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
