package checker

// Variant disables one safety mechanism, so that a test can show that the checker detects its absence. The zero value
// disables none.
type Variant int

// Variants; all but VariantNone are deliberately broken.
const (
	// VariantNone disables no mechanism.
	VariantNone Variant = iota
	// VariantNoTokenCheck makes readers accept records with stale fencing tokens.
	VariantNoTokenCheck
	// VariantNoSnapshotToken makes readers accept snapshots with stale fencing tokens.
	VariantNoSnapshotToken
	// VariantRetryDispatch dispatches a call again after a lost response.
	VariantRetryDispatch
	// VariantUnknownAsNotRun reports a dispatch with a lost response as not run.
	VariantUnknownAsNotRun
	// VariantRetryOrder sends an order again after a lost response.
	VariantRetryOrder
	// VariantNoWriteDeadline writes orders even after their write deadline.
	VariantNoWriteDeadline
	// VariantNegativeLeaseMargin makes holders use a lease for 3 s after its expiry.
	VariantNegativeLeaseMargin
	// VariantClockJump measures lease expiry by clocks that jump forward.
	VariantClockJump
	// VariantTrimmedAsEmpty treats a trimmed log as an empty one.
	VariantTrimmedAsEmpty
	// VariantIgnoreTrimmedClaims reads past trimmed claims as if none were missing.
	VariantIgnoreTrimmedClaims
	// VariantNoSendWindow sends orders without waiting until the orders written by the previous holder have arrived.
	VariantNoSendWindow
	// VariantNoFence makes engines accept stale tokens although the document says that they check them, and also
	// removes the send window.
	VariantNoFence
	// VariantSameIncarnation restarts a process under its old incarnation name.
	VariantSameIncarnation
	// VariantMisroutedReplies delivers a reply to the process's previous request.
	VariantMisroutedReplies
	// VariantNoFlightWait makes a new holder of a duty call at once, though calls of the previous one may still arrive.
	VariantNoFlightWait
	// VariantNoReturnWait makes a machine that returns to a duty call at once.
	VariantNoReturnWait
	// VariantUnboundedCall sends calls whose time limit ends after the lease.
	VariantUnboundedCall
	// VariantSuspendedClock measures leases by a clock that stands still while the machine is frozen.
	VariantSuspendedClock
	// VariantLoadedLeasesOver takes leases to have ended that were read when following them began.
	VariantLoadedLeasesOver
	// VariantIgnoreEra takes the store to be the same after it has returned from an older copy.
	VariantIgnoreEra
	// VariantNoIntent sends reports of usage without recording them first.
	VariantNoIntent
	// VariantNoDoubt reports windows whose records an older copy of the store may lack.
	VariantNoDoubt
	// VariantRefusedTokenUsed keeps using a token that was refused for a higher one.
	VariantRefusedTokenUsed
)
