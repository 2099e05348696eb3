package replayer

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Applied tells what one record did.
type Applied struct {
	Offset identifier.Offset
	Record identifier.RecordID
	Author string
	Effect Effect
}

// Effect is what a record did to the state.
type Effect interface{ effect() }

// LeaseGranted tells that a claim or renewal was granted.
type LeaseGranted struct {
	Lease   Lease
	Renewal bool
}

// LeaseReleased tells that a holder gave up its lease.
type LeaseReleased struct{ Lease Lease }

// IntentAccepted tells that an order may be sent by the holder of its token.
type IntentAccepted struct{ Order *Order }

// OrderClosed tells that an order has its outcome.
type OrderClosed struct {
	Engine identifier.UpstreamID
	Order  *Order
}

// ConfigAccepted tells that a new document is in force.
type ConfigAccepted struct{ Revision Revision }

// ConfigRefused tells why a change had no effect.
type ConfigRefused struct{ Refusal ConfigRefusal }

// PlanChanged tells that an upstream has a new planned change.
type PlanChanged struct{ Plan Plan }

// SnapshotTaken tells that a snapshot record was written by the current holder of its scope.
type SnapshotTaken struct{ Next identifier.Offset }

// Cause tells why a record had no effect.
type Cause string

// Causes of a skipped record.
const (
	CauseMalformed   Cause = "malformed"
	CauseDuplicate   Cause = "duplicate"
	CauseStaleToken  Cause = "staleToken"
	CauseUnknownKind Cause = "unknownKind"
	// CauseRefused means that the record lost a race or broke a rule of its kind.
	CauseRefused Cause = "refused"
	// CauseOld means that the offset was applied before.
	CauseOld Cause = "oldOffset"
)

// Skipped tells that a record had no effect.
type Skipped struct {
	Kind   messenger.RecordKind
	Cause  Cause
	Detail string
}

func (LeaseGranted) effect()   {}
func (LeaseReleased) effect()  {}
func (IntentAccepted) effect() {}
func (OrderClosed) effect()    {}
func (ConfigAccepted) effect() {}
func (ConfigRefused) effect()  {}
func (PlanChanged) effect()    {}
func (SnapshotTaken) effect()  {}
func (Skipped) effect()        {}
