package controller

import (
	"time"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// Action is something that the shell carries out for the core.
type Action interface{ action() }

// Append adds records to the control stream, all or none, and is answered by AppendSucceeded or AppendFailed.
type Append struct {
	IDs     []identifier.RecordID
	Records [][]byte
	Urgency throttler.Urgency
}

// SendOrder sends an order exactly once on a connection of its own. Nothing may be written after WriteBy. It is
// answered by OrderAnswered.
type SendOrder struct {
	Order   *messenger.EngineOrder
	Token   identifier.Token
	WriteBy time.Time
}

// ReadEngine asks for an engine's own report and is answered by EngineRead with the same Read.
type ReadEngine struct {
	Engine identifier.UpstreamID
	ReadID uint64
}

// ConfigInForce puts a document in force on this instance, whole.
type ConfigInForce struct {
	Revision identifier.Revision
	Digest   string
	Document *configurer.Document
}

// ConfigChangeRefused tells why a change was not accepted and what beat it.
type ConfigChangeRefused struct{ Refusal replayer.ConfigRefusal }

// PlansChanged names the latest planned change of every upstream, sorted by upstream.
type PlansChanged struct{ Plans []replayer.Plan }

// UpstreamsDraining names all upstreams that planned changes keep from new work, sorted.
type UpstreamsDraining struct{ Upstreams []identifier.UpstreamID }

// LeaseGained tells that this process holds a scope's lease under a new token until Until or longer.
type LeaseGained struct {
	Scope     identifier.Scope
	Token     identifier.Token
	ExpiresAt time.Time
}

// LeaseLost tells that this process no longer holds a scope's lease.
type LeaseLost struct{ Scope identifier.Scope }

// OrderClosed tells the requester of an order how it ended.
type OrderClosed struct {
	Engine identifier.UpstreamID
	Order  identifier.OrderID
	Result messenger.OrderResult
	Detail string
}

// EngineDiverged tells that an engine was found other than its last order left it and is being ordered back.
type EngineDiverged struct {
	Engine   identifier.UpstreamID
	Report   *messenger.EngineReport
	Expected *messenger.EngineOrder
	// Late is the order that took effect after it was closed as not done; nil when there is none.
	Late *replayer.Order
}

// HistoryIncomplete tells that records were trimmed before they were read: the shell should ask peers for a snapshot.
type HistoryIncomplete struct{ First identifier.Offset }

// HistoryRestored tells that the fold is whole again.
type HistoryRestored struct{ Next identifier.Offset }

func (Append) action()              {}
func (SendOrder) action()           {}
func (ReadEngine) action()          {}
func (ConfigInForce) action()       {}
func (ConfigChangeRefused) action() {}
func (PlansChanged) action()        {}
func (UpstreamsDraining) action()   {}
func (LeaseGained) action()         {}
func (LeaseLost) action()           {}
func (OrderClosed) action()         {}
func (EngineDiverged) action()      {}
func (HistoryIncomplete) action()   {}
func (HistoryRestored) action()     {}
