package drainer

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Event is something that happened outside the core. Now is read on the process's monotonic clock.
type Event interface{ event() }

// PlansUpdated delivers the latest planned changes as folded from the log, whenever one has changed.
type PlansUpdated struct {
	Now   time.Time
	Plans []*messenger.PlannedChange
}

// Member is one upstream of the instance list.
type Member struct {
	Upstream identifier.UpstreamID
	Leaving  bool
}

// ListUpdated delivers the whole instance list.
type ListUpdated struct {
	Now     time.Time
	Members []Member
}

// ReportReceived delivers what an engine says of itself.
type ReportReceived struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Leaving  bool
	Changing bool
	// Running and Waiting count the engine's work, that of other instances included.
	Running, Waiting int
}

// WorkStarted tells that this instance sent an attempt to an upstream. Protected work is never moved.
type WorkStarted struct {
	Now       time.Time
	Upstream  identifier.UpstreamID
	Attempt   identifier.AttemptID
	Protected bool
}

// WorkEnded tells that an attempt ended in any way.
type WorkEnded struct {
	Now     time.Time
	Attempt identifier.AttemptID
}

// ChangeRequested asks this process, the holder of a scope, to drain an engine, order it and return it to service.
type ChangeRequested struct {
	Now   time.Time
	Scope identifier.Scope
	Order *messenger.EngineOrder
}

// OrderCompleted tells how an order ended.
type OrderCompleted struct {
	Now    time.Time
	Order  identifier.OrderID
	Result messenger.OrderResult
	Detail string
}

// ProbeEnded tells whether an engine answered a probe.
type ProbeEnded struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	OK       bool
}

// EnginesHeld names the engines of a scope that this process holds and that have no unfinished order in the log. It is
// delivered after each change of either; what a predecessor drained is then returned to service.
type EnginesHeld struct {
	Now     time.Time
	Scope   identifier.Scope
	Engines []identifier.UpstreamID
}

// LeaseLost tells that this process no longer holds a scope.
type LeaseLost struct {
	Now   time.Time
	Scope identifier.Scope
}

// ShutdownStarted tells that this instance itself is to stop.
type ShutdownStarted struct{ Now time.Time }

// Ticked lets the drainer act on time.
type Ticked struct{ Now time.Time }

func (PlansUpdated) event()    {}
func (ListUpdated) event()     {}
func (ReportReceived) event()  {}
func (WorkStarted) event()     {}
func (WorkEnded) event()       {}
func (ChangeRequested) event() {}
func (OrderCompleted) event()  {}
func (ProbeEnded) event()      {}
func (EnginesHeld) event()     {}
func (LeaseLost) event()       {}
func (ShutdownStarted) event() {}
func (Ticked) event()          {}
