package drainer

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Event is an input of Handle. Its field Now is its time on the process's monotonic clock.
type Event interface{ event() }

// PlansUpdated carries the latest planned change of each upstream, as replayed from the log. It is sent whenever one
// changes.
type PlansUpdated struct {
	Now   time.Time
	Plans []*messenger.PlannedChange
}

// Member is one upstream of the instance list.
type Member struct {
	Upstream identifier.UpstreamID
	Leaving  bool
}

// ListUpdated carries the complete instance list.
type ListUpdated struct {
	Now     time.Time
	Members []Member
}

// ReportReceived carries the state that an engine reports.
type ReportReceived struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Leaving  bool
	Changing bool
	// Running and Waiting are the engine's numbers of requests, those of other instances included.
	Running, Waiting int
}

// WorkStarted is sent when this instance sends an attempt to an upstream. Protected work is never moved.
type WorkStarted struct {
	Now       time.Time
	Upstream  identifier.UpstreamID
	Attempt   identifier.AttemptID
	Protected bool
}

// WorkEnded is sent when an attempt ends, whatever its result.
type WorkEnded struct {
	Now     time.Time
	Attempt identifier.AttemptID
}

// ChangeRequested is a request to this process, which holds the lease of the scope, to drain an engine, send it an
// order and return it to service.
type ChangeRequested struct {
	Now   time.Time
	Scope identifier.Scope
	Order *messenger.EngineOrder
}

// OrderClosed carries the result of an order.
type OrderClosed struct {
	Now    time.Time
	Order  identifier.OrderID
	Result messenger.OrderResult
	Detail string
}

// ProbeEnded is sent when a probe ends; OK is true when the engine responded.
type ProbeEnded struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	OK       bool
}

// EnginesHeld lists the engines of a scope whose lease this process holds and that have no unfinished order in the log.
// It is sent when the lease or the orders change. Engines that a previous holder drained are then returned to service.
type EnginesHeld struct {
	Now     time.Time
	Scope   identifier.Scope
	Engines []identifier.UpstreamID
}

// LeaseLost is sent when this process no longer holds the lease of a scope.
type LeaseLost struct {
	Now   time.Time
	Scope identifier.Scope
}

// ShutdownStarted is sent when this instance is shutting down.
type ShutdownStarted struct{ Now time.Time }

// Ticked is sent periodically and drives timeouts.
type Ticked struct{ Now time.Time }

func (PlansUpdated) event()    {}
func (ListUpdated) event()     {}
func (ReportReceived) event()  {}
func (WorkStarted) event()     {}
func (WorkEnded) event()       {}
func (ChangeRequested) event() {}
func (OrderClosed) event()     {}
func (ProbeEnded) event()      {}
func (EnginesHeld) event()     {}
func (LeaseLost) event()       {}
func (ShutdownStarted) event() {}
func (Ticked) event()          {}
