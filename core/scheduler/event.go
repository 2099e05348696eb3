package scheduler

import (
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
)

// Event is something that happened outside the core. Every event carries its time on the process's monotonic clock.
type Event interface{ event() }

// RequestArrived starts one idempotent model request.
type RequestArrived struct {
	Now      time.Time
	Request  identifier.RequestID
	Caller   identifier.CallerID
	Class    identifier.ClassName
	Model    identifier.ModelName
	Priority identifier.Priority
	Urgent   bool
	// Deadline is when the whole answer must have reached the caller.
	Deadline time.Time
	Prompt   identifier.Tokens
	// MaxOutput is the caller's limit; ExpectedOutput is the class's usual length, zero when unknown.
	MaxOutput      identifier.Tokens
	ExpectedOutput identifier.Tokens
	// Prefix holds the rolling hashes of the prompt's whole pieces, shortest prefix first.
	Prefix []identifier.PrefixHash
}

// AttemptProgressed tells that tokens of an attempt arrived; the first call marks the first token.
type AttemptProgressed struct {
	Now     time.Time
	Attempt identifier.AttemptID
	// Output is the number of tokens received so far in this attempt.
	Output identifier.Tokens
}

// AttemptFinished tells that the end mark of an attempt arrived.
type AttemptFinished struct {
	Now     time.Time
	Attempt identifier.AttemptID
	Output  identifier.Tokens
	// CachedPrompt is how many prompt tokens the engine took from its cache; negative when not told.
	CachedPrompt identifier.Tokens
	// Load is piggybacked on the answer; nil when absent.
	Load *Load
}

// FailureKind tells how an attempt failed.
type FailureKind int

// Kinds of attempt failure.
const (
	// FailureConnect means that the upstream could not be reached.
	FailureConnect FailureKind = iota + 1
	// FailureBroken means that the stream ended without its end mark.
	FailureTruncated
	// FailureRejected means that the upstream refused the work: changing role, leaving or full.
	FailureRejected
	// FailureCrossed means that the answer carried another attempt's id.
	FailureMismatched
)

// AttemptFailed tells that an attempt ended without a whole answer.
type AttemptFailed struct {
	Now     time.Time
	Attempt identifier.AttemptID
	Kind    FailureKind
	// Output is the number of tokens received before the failure; a new attempt resumes after them.
	Output identifier.Tokens
	Load   *Load
}

// CallerLeft tells that nobody waits for the request any more.
type CallerLeft struct {
	Now     time.Time
	Request identifier.RequestID
}

// Load is an engine's own account of its work.
type Load = estimator.Load

// LoadReported delivers an engine's load report, late by an unknown time.
type LoadReported struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Load     Load
}

// CacheChanged delivers an engine's cache event; gaps in Sequence mean lost events.
type CacheChanged struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Sequence uint64
	Stored   []identifier.PrefixHash
	Evicted  []identifier.PrefixHash
	Cleared  bool
}

// UpstreamSeen adds or updates an engine in the scheduler's fleet.
type UpstreamListed struct {
	Now        time.Time
	Upstream   identifier.UpstreamID
	DataCentre identifier.DataCentre
	Models     []identifier.ModelName
	Leaving    bool
}

// UpstreamDrained begins or ends a planned drain: the engine gets nothing new until the drain is lifted.
type UpstreamDrained struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Draining bool
}

// UpstreamGone removes an engine that no source names any more.
type UpstreamRemoved struct {
	Now      time.Time
	Upstream identifier.UpstreamID
}

// CallerLimited sets one caller's fair-share limit.
type CallerLimitSet struct {
	Caller identifier.CallerID
	// RequestsPerSecond is the sustained rate, zero for no limit.
	RequestsPerSecond float64
	Burst             int
}

// CallerUnlisted removes one caller's own limit; the limit of the default caller holds for it from then on.
type CallerLimitRemoved struct{ Caller identifier.CallerID }

// ServiceCalled asks whether a call to a plain service may pass its caller's limit. It is answered by a Refuse action
// or by none.
type ServiceCalled struct {
	Now     time.Time
	Request identifier.RequestID
	Caller  identifier.CallerID
	Urgent  bool
}

// InstancesCounted tells how many instances of the system are live, this one included.
type InstancesCounted struct {
	Now       time.Time
	Instances int
}

// Ticked lets the scheduler act on time: expire queues, hedge, probe and eject.
type Ticked struct{ Now time.Time }

func (RequestArrived) event()     {}
func (AttemptProgressed) event()  {}
func (AttemptFinished) event()    {}
func (AttemptFailed) event()      {}
func (CallerLeft) event()         {}
func (LoadReported) event()       {}
func (CacheChanged) event()       {}
func (UpstreamListed) event()     {}
func (UpstreamDrained) event()    {}
func (UpstreamRemoved) event()    {}
func (CallerLimitSet) event()     {}
func (CallerLimitRemoved) event() {}
func (ServiceCalled) event()      {}
func (InstancesCounted) event()   {}
func (Ticked) event()             {}
