package scheduler

import (
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
)

// Event is an input of the scheduler. Events whose effect depends on time carry the time on the process's monotonic
// clock.
type Event interface{ event() }

// RequestArrived is the arrival of an idempotent model request.
type RequestArrived struct {
	Now      time.Time
	Request  identifier.RequestID
	Caller   identifier.CallerID
	Class    identifier.ClassName
	Model    identifier.ModelName
	Priority identifier.Priority
	Urgent   bool
	// Deadline is the time by which the caller must have the complete answer.
	Deadline time.Time
	Prompt   identifier.Tokens
	// MaxOutput is the output limit set by the caller; ExpectedOutput is the usual length in the class, zero if unknown.
	MaxOutput      identifier.Tokens
	ExpectedOutput identifier.Tokens
	// Prefix holds the cumulative hashes of the prompt's complete blocks, shortest prefix first.
	Prefix []identifier.PrefixHash
}

// AttemptProgressed reports tokens received from an attempt; the first such event marks the first token.
type AttemptProgressed struct {
	Now     time.Time
	Attempt identifier.AttemptID
	// Output is the number of tokens received so far in this attempt.
	Output identifier.Tokens
}

// AttemptFinished reports that the end mark of an attempt's stream arrived.
type AttemptFinished struct {
	Now     time.Time
	Attempt identifier.AttemptID
	Output  identifier.Tokens
	// CachedPrompt is the number of prompt tokens the engine took from its prefix cache; negative if unknown.
	CachedPrompt identifier.Tokens
	// Load is the load report that came with the response; nil if absent.
	Load *Load
}

// FailureKind is the way in which an attempt failed.
type FailureKind int

// Kinds of attempt failure.
const (
	// FailureConnect means that the upstream could not be reached.
	FailureConnect FailureKind = iota + 1
	// FailureTruncated means that the stream ended without its end mark.
	FailureTruncated
	// FailureRejected means that the upstream refused the work because it is changing role, leaving or full.
	FailureRejected
	// FailureMismatched means that the response carried the id of another attempt.
	FailureMismatched
)

// AttemptFailed reports that an attempt ended without a complete response.
type AttemptFailed struct {
	Now     time.Time
	Attempt identifier.AttemptID
	Kind    FailureKind
	// Output is the number of tokens received before the failure; a new attempt resumes after them.
	Output identifier.Tokens
	// Load is the load report that came with the response; nil if absent.
	Load *Load
}

// CallerDisconnected reports that the caller disconnected or cancelled the request.
type CallerDisconnected struct {
	Now     time.Time
	Request identifier.RequestID
}

// Load is the state of an engine as the engine reports it.
type Load = estimator.Load

// LoadReported delivers a periodic load report of an engine, delayed by an unknown time.
type LoadReported struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Load     Load
}

// CacheChanged delivers a prefix cache event of an engine; a gap in Sequence means that events were lost.
type CacheChanged struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Sequence uint64
	Stored   []identifier.PrefixHash
	Evicted  []identifier.PrefixHash
	Cleared  bool
}

// UpstreamListed adds or updates an engine in the scheduler's fleet.
type UpstreamListed struct {
	Now        time.Time
	Upstream   identifier.UpstreamID
	DataCentre identifier.DataCentre
	Models     []identifier.ModelName
	Leaving    bool
}

// UpstreamDrained starts or ends a planned drain: the engine gets no new work until the drain ends.
type UpstreamDrained struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Draining bool
}

// UpstreamRemoved removes an engine that no source lists any more.
type UpstreamRemoved struct {
	Now      time.Time
	Upstream identifier.UpstreamID
}

// CallerLimitSet sets the rate limit of a caller.
type CallerLimitSet struct {
	Caller identifier.CallerID
	// RequestsPerSecond is the sustained rate; zero means no limit.
	RequestsPerSecond float64
	Burst             int
}

// CallerLimitRemoved removes a caller's own limit; the limit of the default caller applies to it from then on.
type CallerLimitRemoved struct{ Caller identifier.CallerID }

// ServiceCalled applies the caller's rate limit to a call of a plain service. It results in a Refuse action if the call
// exceeds the limit, and in no action otherwise.
type ServiceCalled struct {
	Now     time.Time
	Request identifier.RequestID
	Caller  identifier.CallerID
	Urgent  bool
}

// InstancesCounted sets the number of live instances, this one included.
type InstancesCounted struct {
	Now       time.Time
	Instances int
}

// Ticked triggers the periodic checks: expiry of requests, hedges, stalled streams and retries of queued requests.
type Ticked struct{ Now time.Time }

func (RequestArrived) event()     {}
func (AttemptProgressed) event()  {}
func (AttemptFinished) event()    {}
func (AttemptFailed) event()      {}
func (CallerDisconnected) event() {}
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
