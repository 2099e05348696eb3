package allocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

// The same requests are placed by two allocators, of which one is asked for explanations in between.
func TestExplanationsChangeNoPlacement(t *testing.T) {
	for _, caller := range []identifier.CallerID{"", "atelier"} {
		asked, other := newTestAllocator(6, 3), newTestAllocator(6, 3)
		now := time.Now()
		admitted, refused := 0, 0
		for i := range 600 {
			now = now.Add(time.Millisecond)
			req := unsharedRequest(i, identifier.Tokens(1000+40*i))
			req.Target, req.TimeToTarget, req.TimeToDeadline, req.RateShare = testTarget, testTarget, testDeadline, 1
			req.Caller, req.Rank = caller, i%3
			if caller != "" && i%2 == 0 {
				req.Caller = identifier.CallerID(fmt.Sprint(caller, i%7))
			}
			x := asked.Explain(now, "", "here", req)
			require.Len(t, x.Candidates, 9)
			place, refusal := asked.Place(now, req)
			expected, expectedRefusal := other.Place(now, req)
			require.Equal(t, expected, place)
			require.Equal(t, expectedRefusal, refusal)
			require.Equal(t, place.Upstream, x.Upstream)
			require.Equal(t, place.Prefiller, x.Prefiller)
			require.Equal(t, place.Deferred, x.Deferred)
			if refusal == nil {
				admitted++
				continue
			}
			refused++
			require.Equal(t, refusal.Reason, x.Reason)
			require.InDelta(t, float64(refusal.RetryAfter), float64(x.RetryAfter), float64(time.Millisecond))
		}
		require.NotZero(t, admitted)
		require.NotZero(t, refused)
	}
}
