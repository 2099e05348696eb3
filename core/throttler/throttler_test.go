package throttler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTakeDueKeepsRateAndOrder(t *testing.T) {
	start := time.Unix(0, 0)
	th := NewThrottler[string](2, 1)
	th.Add(UrgencySnapshot, "snapshot")
	th.Add(UrgencyClaim, "claim 1")
	th.Add(UrgencyLease, "lease")
	th.Add(UrgencyClaim, "claim 2")
	require.Equal(t, []string{"lease"}, th.TakeDue(start))
	require.Empty(t, th.TakeDue(start.Add(400*time.Millisecond)))
	wait, ok := th.UntilDue(start.Add(400 * time.Millisecond))
	require.True(t, ok)
	require.Equal(t, 100*time.Millisecond, wait)
	require.Equal(t, []string{"claim 1"}, th.TakeDue(start.Add(500*time.Millisecond)))
	require.Equal(t, []string{"claim 2"}, th.TakeDue(start.Add(10*time.Second)))
	require.Equal(t, 1, th.Len())
}
