package replayer

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Applied describes one applied record and its effect.
type Applied struct {
	Offset identifier.Offset
	Record identifier.RecordID
	Author string
	Effect Effect
}

// Effect is the change that a record made to the state, or the reason why it made none.
type Effect interface{ effect() }

// LeaseGranted is the effect of a granted claim or renewal.
type LeaseGranted struct {
	Lease   Lease
	Renewal bool
}

// LeaseReleased is the effect of a release with the lease's current token.
type LeaseReleased struct{ Lease Lease }

// IntentAccepted is the effect of an accepted order intent: the holder of the order's token may send it.
type IntentAccepted struct{ Order *Order }

// OrderClosed is the effect of an outcome that closed an order.
type OrderClosed struct {
	Engine identifier.UpstreamID
	Order  *Order
}

// ConfigAccepted is the effect of an accepted configuration change: a new document takes effect.
type ConfigAccepted struct{ Revision Revision }

// ConfigRefused is the effect of a configuration change that was refused.
type ConfigRefused struct{ Refusal ConfigRefusal }

// PlanChanged is the effect of an accepted planned change of an upstream.
type PlanChanged struct{ Plan Plan }

// SnapshotTaken is the effect of a snapshot record by the current holder of its scope. Next is the first offset that
// the snapshot doesn't contain.
type SnapshotTaken struct{ Next identifier.Offset }

// Cause is the reason why a record was skipped.
type Cause string

// Causes of a skipped record.
const (
	CauseMalformed   Cause = "malformed"
	CauseDuplicate   Cause = "duplicate"
	CauseStaleToken  Cause = "staleToken"
	CauseUnknownKind Cause = "unknownKind"
	// CauseRefused means that the record lost a compare-and-set race or violated a rule of its kind.
	CauseRefused Cause = "refused"
	// CauseOld means that the offset was already applied.
	CauseOld Cause = "oldOffset"
)

// Skipped is the effect of a record that changed nothing.
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
