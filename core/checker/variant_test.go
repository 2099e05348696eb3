package checker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// variantSeeds is how many histories a broken variant gets to be caught.
const variantSeeds = 150

func TestBrokenVariantsAreCaught(t *testing.T) {
	cases := []struct {
		name    string
		variant Variant
		breaks  Promise
		// from is the first seed that is tried.
		from uint64
	}{
		{"no token check in the fold", VariantNoTokenCheck, PromiseStale, 9},
		{"no token check for snapshots", VariantNoSnapshotToken, PromiseStale, 9},
		{"dispatch again after a lost answer", VariantRetryDispatch, PromiseOneRun, 1},
		{"lost answer reported as not run", VariantUnknownIsNotRun, PromiseNotRun, 1},
		{"order again after a lost answer", VariantRetryOrder, PromiseOneSend, 1},
		{"no write deadline", VariantNoWriteDeadline, PromiseUncheckedOrder, 1},
		{"lease counted beyond its end", VariantLateRenewal, PromiseOneHolder, 1},
		{"expiry by a clock that is set", VariantWallClock, PromiseOneHolder, 1},
		{"trimmed log taken for an empty one", VariantTrimmedIsEmpty, PromiseNoRevert, 1},
		{"trimmed claims ignored", VariantTrimmedClaims, PromiseOneRun, 1},
		{"no quarantine", VariantNoQuarantine, PromiseUncheckedOrder, 1},
		{"no fence and no quarantine", VariantNoFence, PromiseCheckedOrder, 1},
		{"restart under the old name", VariantSameIncarnation, PromiseOneRun, 1},
		{"crossed answers", VariantCrossedAnswers, PromiseAnswer, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var total Result
			for seed := c.from; seed < c.from+variantSeeds && total.Breaches[c.breaks] == 0; seed++ {
				total.Add(RunHistory(seed, DefaultSteps, c.variant))
			}
			t.Log(total.String())
			require.Positive(t, total.Breaches[c.breaks])
		})
	}
}
