package controller

import (
	"time"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// Action is a side effect for the adaptor to carry out, or an event for it to pass on.
type Action interface{ action() }

// Append adds records to the control stream atomically. The adaptor replies with AppendSucceeded or AppendFailed.
type Append struct {
	IDs     []identifier.RecordID
	Records [][]byte
	Urgency throttler.Urgency
}

// SendOrder sends an order exactly once on a dedicated connection. Nothing may be written after WriteBy. The adaptor
// replies with SendEnded.
type SendOrder struct {
	Order   *messenger.EngineOrder
	Token   identifier.Token
	WriteBy time.Time
}

// ReadEngine requests an engine's report. The adaptor replies with EngineRead and the same ReadID.
type ReadEngine struct {
	Engine identifier.UpstreamID
	ReadID uint64
}

// ConfigInForce applies a complete configuration document on this instance.
type ConfigInForce struct {
	Revision identifier.Revision
	Digest   string
	Document *configurer.Document
}

// ConfigChangeRefused reports why a configuration change was refused and which change it conflicts with.
type ConfigChangeRefused struct{ Refusal replayer.ConfigRefusal }

// PlansChanged lists the latest planned change of every upstream, sorted by upstream.
type PlansChanged struct{ Plans []replayer.Plan }

// UpstreamsDraining lists all upstreams that receive no new requests because of planned changes, sorted.
type UpstreamsDraining struct{ Upstreams []identifier.UpstreamID }

// LeaseGained reports that this process holds the lease of a scope under a new token, at least until ExpiresAt unless
// LeaseLost follows.
type LeaseGained struct {
	Scope     identifier.Scope
	Token     identifier.Token
	ExpiresAt time.Time
}

// LeaseLost reports that this process no longer holds the lease of a scope.
type LeaseLost struct{ Scope identifier.Scope }

// OrderClosed reports the result of an order to its requester.
type OrderClosed struct {
	Engine identifier.UpstreamID
	Order  identifier.OrderID
	Result messenger.OrderResult
	Detail string
}

// EngineDiverged reports that an engine differs from the state Expected in which its last order left it.
type EngineDiverged struct {
	Engine   identifier.UpstreamID
	Report   *messenger.EngineReport
	Expected *messenger.EngineOrder
	// Late is the order that took effect after it was closed as not done; nil if there is none.
	Late *replayer.Order
}

// HistoryIncomplete reports that records were trimmed before they were read. The adaptor should request a snapshot from
// peers.
type HistoryIncomplete struct{ First identifier.Offset }

// HistoryRestored reports that the replayed state is complete again.
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
