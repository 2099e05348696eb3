package checker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// variantSeeds is how many histories a broken variant gets to be caught.
const maxSeedsPerVariant = 150

func TestBrokenVariantsViolateInvariants(t *testing.T) {
	cases := []struct {
		name     string
		variant  Variant
		violates Invariant
		// firstSeed is the first seed that is tried.
		firstSeed uint64
	}{
		{"no token check in the fold", VariantNoTokenCheck, InvariantNoStaleEffect, 9},
		{"no token check for snapshots", VariantNoSnapshotToken, InvariantNoStaleEffect, 9},
		{"dispatch again after a lost answer", VariantRetryDispatch, InvariantSingleRun, 1},
		{"lost answer reported as not run", VariantUnknownAsNotRun, InvariantNotRun, 1},
		{"order again after a lost answer", VariantRetryOrder, InvariantSingleSend, 1},
		{"no write deadline", VariantNoWriteDeadline, InvariantUncheckedOrder, 1},
		{"lease counted beyond its end", VariantNegativeLeaseMargin, InvariantSingleHolder, 1},
		{"expiry by a clock that is set", VariantClockJump, InvariantSingleHolder, 1},
		{"trimmed log taken for an empty one", VariantTrimmedAsEmpty, InvariantNoRevert, 1},
		{"trimmed claims ignored", VariantIgnoreTrimmedClaims, InvariantSingleRun, 1},
		{"no quarantine", VariantNoQuarantine, InvariantUncheckedOrder, 1},
		{"no fence and no quarantine", VariantNoFence, InvariantCheckedOrder, 1},
		{"restart under the old name", VariantSameIncarnation, InvariantSingleRun, 1},
		{"crossed answers", VariantMisroutedReplies, InvariantCorrectAnswer, 1},
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
