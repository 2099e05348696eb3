// Package placer decides which role and model version each engine of a pool runs, and when a change pays for the time
// in which the engine is away. It does no I/O and reads no clock.
package placer

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Event is something that the placer learns. Every event carries its time on the process's monotonic clock.
type Event interface{ event() }

// EngineObserved is the newest state of an engine, by its own report.
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
	// Sequences counts running and waiting sequences.
	Sequences        int
	MaxBatch         int
	QueuedPrefill    identifier.Tokens
	PrefillPerSecond float64
	DecodeStep       time.Duration
}

// EngineRemoved removes an engine.
type EngineRemoved struct {
	Now      time.Time
	Upstream identifier.UpstreamID
}

// DemandObserved is what one instance was asked for since its last DemandObserved, refused requests included.
type DemandObserved struct {
	Now   time.Time
	Model identifier.ModelName
	// Period is the time that the counts cover.
	Period time.Duration
	// Prefill counts prompt tokens that no cache held; Output counts output tokens.
	Prefill identifier.Tokens
	Output  identifier.Tokens
}

// InstanceCountChanged tells over how many live instances the demand spreads.
type InstanceCountChanged struct {
	Now       time.Time
	Instances int
}

// TargetVersionSet names the version that a model's engines should run.
type TargetVersionSet struct {
	Now     time.Time
	Model   identifier.ModelName
	Version identifier.ModelVersion
}

// PermitDecided is the weight store's answer to AskPermit.
type PermitDecided struct {
	Now        time.Time
	Upstream   identifier.UpstreamID
	Granted    bool
	RetryAfter time.Duration
}

// OrderCompleted tells how an order ended.
type OrderCompleted struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Done     bool
}

// LeaseChanged tells whether this instance may order the pool's engines now.
type LeaseChanged struct {
	Now  time.Time
	Held bool
}

// Ticked lets the placer act on time.
type Ticked struct{ Now time.Time }

func (EngineObserved) event()       {}
func (EngineRemoved) event()        {}
func (DemandObserved) event()       {}
func (InstanceCountChanged) event() {}
func (TargetVersionSet) event()     {}
func (PermitDecided) event()        {}
func (OrderCompleted) event()       {}
func (LeaseChanged) event()         {}
func (Ticked) event()               {}
