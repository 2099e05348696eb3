package checker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHistoriesHoldAllInvariants simulates 60 seeded histories of the unchanged system with injected faults.
func TestHistoriesHoldAllInvariants(t *testing.T) {
	var total Result
	for seed := uint64(1); seed <= 60; seed++ {
		total.Add(RunHistory(seed, DefaultSteps, VariantNone))
	}
	t.Log(total.String())
	require.Nil(t, total.FirstViolation, total.String())
}
