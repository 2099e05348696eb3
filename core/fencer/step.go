package fencer

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// Step is an action for the fencer's user to carry out, or an event to pass on.
type Step interface{ step() }

// AppendIntent appends the intent of an order to the log.
type AppendIntent struct {
	Scope identifier.Scope
	Token identifier.Token
	Order *messenger.EngineOrder
}

// AppendOutcome appends the outcome of an order to the log.
type AppendOutcome struct {
	Scope   identifier.Scope
	Token   identifier.Token
	Outcome *messenger.OrderOutcome
}

// AppendPlan appends a planned change to the log.
type AppendPlan struct {
	Scope  identifier.Scope
	Token  identifier.Token
	Change *messenger.PlannedChange
}

// Send sends an order exactly once; nothing may be written after WriteBy.
type Send struct {
	Order   *messenger.EngineOrder
	Token   identifier.Token
	WriteBy time.Time
}

// Read requests an engine's report; ReadID is passed back to ReportRead.
type Read struct {
	Engine identifier.UpstreamID
	ReadID uint64
}

// ReplaceToken requests a newer token for a scope whose lease is held.
type ReplaceToken struct{ Scope identifier.Scope }

// Closed reports the result of an order to its requester.
type Closed struct {
	Engine identifier.UpstreamID
	Order  identifier.OrderID
	Result messenger.OrderResult
	Detail string
}

// Diverged reports that an engine differs from the state Expected in which its last order left it.
type Diverged struct {
	Engine   identifier.UpstreamID
	Report   *messenger.EngineReport
	Expected *messenger.EngineOrder
	// Late is the order that took effect after it was closed as not done; nil if there is none.
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
