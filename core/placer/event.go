// Package placer decides which role and model version each engine of a pool runs. It changes a role when the expected
// gain exceeds the cost of the engine's downtime. It does no I/O and reads no clock.
package placer

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Event is an input of Handle. Every event carries its time on the process's monotonic clock.
type Event interface{ event() }

// EngineObserved carries the latest state that an engine has reported.
type EngineObserved struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Model    identifier.ModelName
	Version  identifier.ModelVersion
	Role     identifier.Role
	Changing bool
	Leaving  bool
	// Healthy is false while the engine is ejected.
	Healthy bool
	// Sequences is the number of running and waiting sequences.
	Sequences        int
	MaxBatch         int
	QueuedPrefill    identifier.Tokens
	PrefillPerSecond float64
	DecodeStep       time.Duration
}

// EngineRemoved is sent when an engine no longer exists.
type EngineRemoved struct {
	Now      time.Time
	Upstream identifier.UpstreamID
}

// DemandObserved carries the demand on one instance since its previous DemandObserved, refused requests included.
type DemandObserved struct {
	Now   time.Time
	Model identifier.ModelName
	// Period is the time that the counts cover.
	Period time.Duration
	// Prefill is the number of prompt tokens that were not cached, Output the number of output tokens.
	Prefill identifier.Tokens
	Output  identifier.Tokens
}

// InstanceCountChanged carries the number of live instances among which the demand is divided.
type InstanceCountChanged struct {
	Now       time.Time
	Instances int
}

// TargetVersionSet carries the version that the engines of a model should run.
type TargetVersionSet struct {
	Now     time.Time
	Model   identifier.ModelName
	Version identifier.ModelVersion
}

// PermitDecided carries the weight store's decision on a RequestPermit.
type PermitDecided struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Granted  bool
	// RetryAfter is how long to wait before the next request if the permit was not granted.
	RetryAfter time.Duration
}

// OrderClosed is sent when an order is closed; Done is true when the engine has carried it out.
type OrderClosed struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Done     bool
}

// LeaseChanged is sent when this instance gains or loses the lease that allows it to order the pool's engines.
type LeaseChanged struct {
	Now  time.Time
	Held bool
}

// Ticked is sent periodically and drives timeouts and decisions.
type Ticked struct{ Now time.Time }

func (EngineObserved) event()       {}
func (EngineRemoved) event()        {}
func (DemandObserved) event()       {}
func (InstanceCountChanged) event() {}
func (TargetVersionSet) event()     {}
func (PermitDecided) event()        {}
func (OrderClosed) event()          {}
func (LeaseChanged) event()         {}
func (Ticked) event()               {}
