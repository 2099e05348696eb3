package drainer

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Action is a side effect that the caller of Handle carries out.
type Action interface{ action() }

// Cause is the source that first caused an upstream to be closed to new work.
type Cause string

// Causes, as written in logs.
const (
	CausePlan   Cause = "plannedChange"
	CauseList   Cause = "instanceList"
	CauseReport Cause = "engineReport"
)

// CloseUpstream makes this instance stop sending new work to an upstream, effective immediately.
type CloseUpstream struct {
	Upstream identifier.UpstreamID
	Cause    Cause
}

// OpenUpstream makes this instance send new work to an upstream again.
type OpenUpstream struct{ Upstream identifier.UpstreamID }

// MoveAttempt resumes an unprotected attempt on another engine.
type MoveAttempt struct {
	Attempt  identifier.AttemptID
	Upstream identifier.UpstreamID
}

// AppendPlannedChange appends a planned change to the log under the lease of a scope.
type AppendPlannedChange struct {
	Scope  identifier.Scope
	Change *messenger.PlannedChange
}

// RequestOrder sends an order to a drained engine.
type RequestOrder struct {
	Scope identifier.Scope
	Order *messenger.EngineOrder
}

// Probe sends a small request to an engine; ProbeEnded carries the result.
type Probe struct{ Upstream identifier.UpstreamID }

// ChangeEnded reports the result of a requested change. The engine is in service again unless this process lost its
// lease.
type ChangeEnded struct {
	Upstream identifier.UpstreamID
	Order    identifier.OrderID
	Result   messenger.OrderResult
	Detail   string
}

// UpstreamDrained reports that a closed upstream has no work left.
type UpstreamDrained struct{ Upstream identifier.UpstreamID }

// StopReady reports that this instance has no work left and may exit.
type StopReady struct{}

func (CloseUpstream) action()       {}
func (OpenUpstream) action()        {}
func (MoveAttempt) action()         {}
func (AppendPlannedChange) action() {}
func (RequestOrder) action()        {}
func (Probe) action()               {}
func (ChangeEnded) action()         {}
func (UpstreamDrained) action()     {}
func (StopReady) action()           {}
