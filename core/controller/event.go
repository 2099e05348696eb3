package controller

import (
	"time"

	"rosemaryspool.example/core/fencer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// Event is an input from outside the core. Now is the process's monotonic time, read after the event happened.
type Event interface{ event() }

// RecordsRead delivers records in offset order; End is the offset of the next append at the time of the read.
type RecordsRead struct {
	Now     time.Time
	Entries []replayer.Entry
	End     identifier.Offset
}

// LogTrimmed reports that the next offset to read is no longer retained; First is the first retained offset.
type LogTrimmed struct {
	Now   time.Time
	First identifier.Offset
}

// SnapshotLoaded delivers a peer's replayed state.
type SnapshotLoaded struct {
	Now      time.Time
	Snapshot *messenger.Snapshot
}

// AppendSucceeded reports that an append was confirmed; First is the offset of its first record.
type AppendSucceeded struct {
	Now     time.Time
	Records []identifier.RecordID
	First   identifier.Offset
}

// AppendFailed reports that an append was not confirmed. If Unknown is set the records may be in the log.
type AppendFailed struct {
	Now     time.Time
	Records []identifier.RecordID
	Unknown bool
}

// SendEnded reports the result of sending an order.
type SendEnded struct {
	Now    time.Time
	Order  identifier.OrderID
	Result fencer.SendResult
	// Reply is nil if the engine sent none.
	Reply *messenger.OrderReply
}

// EngineRead delivers an engine's report, or nil if the read failed. ReadID is copied from the ReadEngine action.
type EngineRead struct {
	Now    time.Time
	Engine identifier.UpstreamID
	ReadID uint64
	Report *messenger.EngineReport
}

// OrderRequested requests an order under the lease of a scope.
type OrderRequested struct {
	Now   time.Time
	Scope identifier.Scope
	Order *messenger.EngineOrder
}

// PlanRequested requests a planned change under the lease of a scope. It is ignored if the lease is not held, if the
// history is incomplete or if the change would restore an engine with an unfinished order.
type PlanRequested struct {
	Now    time.Time
	Scope  identifier.Scope
	Change *messenger.PlannedChange
}

// ScopeWanted makes this process a candidate for a scope's lease.
type ScopeWanted struct {
	Now   time.Time
	Scope identifier.Scope
}

// ScopeUnwanted ends the candidacy. A held lease is released once the scope's orders are closed.
type ScopeUnwanted struct {
	Now   time.Time
	Scope identifier.Scope
}

// ShutdownStarted releases all leases once their orders are closed, and stops claiming new ones.
type ShutdownStarted struct{ Now time.Time }

// Ticked triggers time-based work; four ticks per second are enough.
type Ticked struct{ Now time.Time }

func (RecordsRead) event()     {}
func (LogTrimmed) event()      {}
func (SnapshotLoaded) event()  {}
func (AppendSucceeded) event() {}
func (AppendFailed) event()    {}
func (SendEnded) event()       {}
func (EngineRead) event()      {}
func (OrderRequested) event()  {}
func (PlanRequested) event()   {}
func (ScopeWanted) event()     {}
func (ScopeUnwanted) event()   {}
func (ShutdownStarted) event() {}
func (Ticked) event()          {}
