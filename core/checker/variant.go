package checker

// Variant switches one mechanism off, so that a test can show that the check sees its absence. The zero value is the
// real system.
type Variant int

// Variants. All but VariantNone are broken on purpose.
const (
	VariantNone Variant = iota
	// VariantNoTokenCheck lets the readers take every record for one of the current holder.
	VariantNoTokenCheck
	// VariantNoSnapshotToken does the same for snapshots alone.
	VariantNoSnapshotToken
	// VariantRetryDispatch dispatches again after a lost answer.
	VariantRetryDispatch
	// VariantUnknownIsNotRun reports a dispatch with a lost answer as not run.
	VariantUnknownAsNotRun
	// VariantRetryOrder sends an order again after a lost answer.
	VariantRetryOrder
	// VariantNoWriteDeadline writes orders whatever the time.
	VariantNoWriteDeadline
	// VariantLateRenewal counts a lease from long after its renewal was sent.
	VariantNegativeLeaseMargin
	// VariantWallClock judges expiry by a clock that is set forward.
	VariantClockJump
	// VariantTrimmedIsEmpty takes a trimmed log for an empty one.
	VariantTrimmedAsEmpty
	// VariantTrimmedClaims reads on after trimmed claims as if nothing were missing.
	VariantIgnoreTrimmedClaims
	// VariantNoQuarantine gives engines no time to receive what a predecessor wrote.
	VariantNoQuarantine
	// VariantNoFence has engines that let old tokens pass though the document says that they check them, and no
	// quarantine either.
	VariantNoFence
	// VariantSameIncarnation restarts a process under its old name.
	VariantSameIncarnation
	// VariantCrossedAnswers hands a reply to the process's previous request.
	VariantMisroutedReplies
)
