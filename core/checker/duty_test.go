package checker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// dutySteps is the number of faults in a history of duties.
const dutySteps = 60

// TestDutyHistoriesHoldAllInvariants simulates seeded histories of duties with and without checked tokens.
func TestDutyHistoriesHoldAllInvariants(t *testing.T) {
	const histories = 60
	var total Result
	for seed := uint64(1); seed <= histories; seed++ {
		total.Add(RunDutyHistory(seed, dutySteps, VariantNone))
	}
	t.Log(total.String())
	require.Nil(t, total.FirstViolation, total.String())
	require.Greater(t, total.Reports, 20*histories, "reports are made")
	require.Greater(t, total.DutyCalls, 40*histories, "calls are made")
	require.Equal(t, RunDutyHistory(1, dutySteps, VariantNone), RunDutyHistory(1, dutySteps, VariantNone), "reproducible")
}

// maxSeedsPerDutyVariant is the number of histories within which a broken variant must be detected.
const maxSeedsPerDutyVariant = 60

// TestBrokenDutyVariantsViolateInvariants shows that the checker detects each disabled safeguard of the duties by the
// invariant that it protects.
func TestBrokenDutyVariantsViolateInvariants(t *testing.T) {
	cases := []struct {
		name     string
		variant  Variant
		violates Invariant
	}{
		{"successor doesn't wait for calls under way", VariantNoFlightWait, InvariantDutyToken},
		{"returning machine doesn't wait", VariantNoReturnWait, InvariantDutyTurns},
		{"lease used after its expiry", VariantNegativeLeaseMargin, InvariantDutyToken},
		{"call that ends after the lease", VariantUnboundedCall, InvariantDutyToken},
		{"clock that stands still with the machine", VariantSuspendedClock, InvariantDutyToken},
		{"loaded leases taken to be over", VariantLoadedLeasesOver, InvariantDutyToken},
		{"era ignored", VariantIgnoreEra, InvariantDutyToken},
		{"reports not recorded", VariantNoIntent, InvariantSingleReport},
		{"lost records of reports not doubted", VariantNoDoubt, InvariantSingleReport},
		{"refused token used again", VariantRefusedTokenUsed, InvariantRefusedToken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var total Result
			for seed := uint64(1); seed <= maxSeedsPerDutyVariant && total.Violations[c.violates] == 0; seed++ {
				total.Add(RunDutyHistory(seed, dutySteps, c.variant))
			}
			t.Log(total.String())
			require.Positive(t, total.Violations[c.violates])
		})
	}
}
