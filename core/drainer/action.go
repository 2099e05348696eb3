package drainer

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Action is something that the shell carries out for the core.
type Action interface{ action() }

// Cause tells who first said that an upstream must get nothing new.
type Cause string

// Causes of a closed upstream.
const (
	CausePlan   Cause = "plannedChange"
	CauseList   Cause = "instanceList"
	CauseReport Cause = "engineReport"
)

// CloseUpstream keeps an upstream from all new work of this instance, at once.
type CloseUpstream struct {
	Upstream identifier.UpstreamID
	Cause    Cause
}

// OpenUpstream returns an upstream to service.
type OpenUpstream struct{ Upstream identifier.UpstreamID }

// MoveAttempt resumes an unprotected attempt on another engine.
type MoveAttempt struct {
	Attempt  identifier.AttemptID
	Upstream identifier.UpstreamID
}

// AppendPlannedChange puts a planned change into the log under the lease of a scope.
type AppendPlannedChange struct {
	Scope  identifier.Scope
	Change *messenger.PlannedChange
}

// RequestOrder gives a drained engine its order.
type RequestOrder struct {
	Scope identifier.Scope
	Order *messenger.EngineOrder
}

// Probe sends a small request to an engine and is answered by ProbeEnded.
type Probe struct{ Upstream identifier.UpstreamID }

// ChangeEnded tells how a requested change ended; the engine is in service again unless this process lost its lease.
type ChangeEnded struct {
	Upstream identifier.UpstreamID
	Order    identifier.OrderID
	Result   messenger.OrderResult
	Detail   string
}

// UpstreamDrained tells that an upstream that is closed has no work left.
type UpstreamDrained struct{ Upstream identifier.UpstreamID }

// StopReady tells that this instance has no work left and may stop.
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
