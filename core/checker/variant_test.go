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
	}{
		{"no token check in the fold", VariantNoTokenCheck, PromiseStale},
		{"no token check for snapshots", VariantNoSnapshotToken, PromiseStale},
		{"dispatch again after a lost answer", VariantRetryDispatch, PromiseOneRun},
		{"lost answer reported as not run", VariantUnknownIsNotRun, PromiseNotRun},
		{"order again after a lost answer", VariantRetryOrder, PromiseOneSend},
		{"no write deadline", VariantNoWriteDeadline, PromiseUncheckedOrder},
		{"lease counted beyond its end", VariantLateRenewal, PromiseOneHolder},
		{"expiry by a clock that is set", VariantWallClock, PromiseOneHolder},
		{"trimmed log taken for an empty one", VariantTrimmedIsEmpty, PromiseNoRevert},
		{"trimmed claims ignored", VariantTrimmedClaims, PromiseOneRun},
		{"no quarantine", VariantNoQuarantine, PromiseUncheckedOrder},
		{"restart under the old name", VariantSameIncarnation, PromiseOneRun},
		{"crossed answers", VariantCrossedAnswers, PromiseAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var total Result
			for seed := uint64(1); seed <= variantSeeds && total.Breaches[c.breaks] == 0; seed++ {
				total.Add(RunHistory(seed, DefaultSteps, c.variant))
			}
			t.Log(total.String())
			require.Positive(t, total.Breaches[c.breaks])
		})
	}
}
