package checker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// maxSeedsPerVariant is the number of histories within which a broken variant must be detected.
const maxSeedsPerVariant = 150

// TestBrokenVariantsViolateInvariants shows that the checker detects each disabled safety mechanism by the
// invariant that the mechanism protects.
func TestBrokenVariantsViolateInvariants(t *testing.T) {
	cases := []struct {
		name      string
		variant   Variant
		violates  Invariant
		firstSeed uint64
	}{
		{"no token check in the replay", VariantNoTokenCheck, InvariantNoStaleEffect, 9},
		{"no token check for snapshots", VariantNoSnapshotToken, InvariantNoStaleEffect, 9},
		{"call dispatched again after a lost response", VariantRetryDispatch, InvariantSingleRun, 1},
		{"lost response reported as not run", VariantUnknownAsNotRun, InvariantNotRun, 1},
		{"order sent again after a lost response", VariantRetryOrder, InvariantSingleSend, 1},
		{"no write deadline", VariantNoWriteDeadline, InvariantUncheckedOrder, 1},
		{"lease used after its expiry", VariantNegativeLeaseMargin, InvariantSingleHolder, 1},
		{"expiry by a clock that jumps", VariantClockJump, InvariantSingleHolder, 1},
		{"trimmed log treated as empty", VariantTrimmedAsEmpty, InvariantNoRevert, 1},
		{"trimmed claims ignored", VariantIgnoreTrimmedClaims, InvariantSingleRun, 1},
		{"no send window", VariantNoSendWindow, InvariantUncheckedOrder, 1},
		{"no fence and no send window", VariantNoFence, InvariantCheckedOrder, 1},
		{"restart with the same incarnation", VariantSameIncarnation, InvariantSingleRun, 1},
		{"misrouted replies", VariantMisroutedReplies, InvariantCorrectResponse, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var total Result
			for seed := c.firstSeed; seed < c.firstSeed+maxSeedsPerVariant && total.Violations[c.violates] == 0; seed++ {
				total.Add(RunHistory(seed, DefaultSteps, c.variant))
			}
			t.Log(total.String())
			require.Positive(t, total.Violations[c.violates])
		})
	}
}
