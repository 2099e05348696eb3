package fencer

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// Step is what the fencer wants done.
type Step interface{ step() }

// AppendIntent announces an order in the log.
type AppendIntent struct {
	Scope identifier.Scope
	Token identifier.Token
	Order *messenger.EngineOrder
}

// AppendOutcome closes an order in the log.
type AppendOutcome struct {
	Scope   identifier.Scope
	Token   identifier.Token
	Outcome *messenger.OrderOutcome
}

// AppendPlan puts a planned change into the log.
type AppendPlan struct {
	Scope  identifier.Scope
	Token  identifier.Token
	Change *messenger.PlannedChange
}

// Send sends an order once; nothing may be written after WriteBy.
type Send struct {
	Order   *messenger.EngineOrder
	Token   identifier.Token
	WriteBy time.Time
}

// Read asks for an engine's own report; Read is echoed to ReportRead.
type Read struct {
	Engine identifier.UpstreamID
	ReadID uint64
}

// ReplaceToken asks for a newer token of a scope that is held.
type ReplaceToken struct{ Scope identifier.Scope }

// Closed tells the requester of an order how it ended.
type Closed struct {
	Engine identifier.UpstreamID
	Order  identifier.OrderID
	Result messenger.OrderResult
	Detail string
}

// Diverged tells that an engine is not as its last order left it; Expected is what it reported then.
type Diverged struct {
	Engine   identifier.UpstreamID
	Report   *messenger.EngineReport
	Expected *messenger.EngineOrder
	// Late is the order that took effect after it was closed as not done; nil when there is none.
	Late *replayer.Order
}

func (AppendIntent) step()  {}
func (AppendOutcome) step() {}
func (AppendPlan) step()    {}
func (Send) step()          {}
func (Read) step()          {}
func (ReplaceToken) step()  {}
func (Closed) step()        {}
func (Diverged) step()      {}
