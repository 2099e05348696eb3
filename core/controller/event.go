package controller

import (
	"time"

	"rosemaryspool.example/core/fencer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// Event is something that happened outside the core. Now is read on the process's monotonic clock after it happened.
type Event interface{ event() }

// RecordsRead delivers records in offset order; End is the offset of the next append as of the read.
type RecordsRead struct {
	Now     time.Time
	Entries []replayer.Entry
	End     identifier.Offset
}

// LogTrimmed tells that the offset to read next is no longer kept; First is the first that is.
type LogTrimmed struct {
	Now   time.Time
	First identifier.Offset
}

// SnapshotLoaded delivers a peer's folded state.
type SnapshotLoaded struct {
	Now      time.Time
	Snapshot *messenger.Snapshot
}

// AppendSucceeded tells that an append was confirmed; First is the offset of its first record.
type AppendSucceeded struct {
	Now     time.Time
	Records []identifier.RecordID
	First   identifier.Offset
}

// AppendFailed tells that an append was not confirmed. With Unknown the records may be in the log.
type AppendFailed struct {
	Now     time.Time
	Records []identifier.RecordID
	Unknown bool
}

// OrderAnswered tells how the send of an order ended.
type OrderAnswered struct {
	Now    time.Time
	Order  identifier.OrderID
	Answer fencer.Answer
	// Reply is nil unless the engine replied.
	Reply *messenger.OrderReply
}

// EngineRead delivers an engine's own report; nil when the read failed. Read is echoed from the action.
type EngineRead struct {
	Now    time.Time
	Engine identifier.UpstreamID
	ReadID uint64
	Report *messenger.EngineReport
}

// OrderRequested asks for an order under the lease of a scope.
type OrderRequested struct {
	Now   time.Time
	Scope identifier.Scope
	Order *messenger.EngineOrder
}

// PlanRequested asks for a planned change under the lease of a scope; without the lease nothing is announced.
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

// ScopeUnwanted ends the candidacy; a held lease is given up once its orders are closed.
type ScopeUnwanted struct {
	Now   time.Time
	Scope identifier.Scope
}

// ShutdownStarted gives up all leases once their orders are closed, and takes no new ones.
type ShutdownStarted struct{ Now time.Time }

// Ticked lets the controller act on time; four a second are enough.
type Ticked struct{ Now time.Time }

func (RecordsRead) event()     {}
func (LogTrimmed) event()      {}
func (SnapshotLoaded) event()  {}
func (AppendSucceeded) event() {}
func (AppendFailed) event()    {}
func (OrderAnswered) event()   {}
func (EngineRead) event()      {}
func (OrderRequested) event()  {}
func (PlanRequested) event()   {}
func (ScopeWanted) event()     {}
func (ScopeUnwanted) event()   {}
func (ShutdownStarted) event() {}
func (Ticked) event()          {}
