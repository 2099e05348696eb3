package allocator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/speedometer"
	"rosemaryspool.example/core/tracker"
)

// A queue at the quicker upstream costs less than the slower one, but a request that it can't serve in time is not refused
// while the slower one has a free slot.
func TestPlainRequestsUseFreeSlotsOfSlowerUpstreams(t *testing.T) {
	const (
		plain identifier.ServiceName = "plain"
		slots                        = 6
		hold                         = 200 * time.Millisecond
	)
	for _, c := range []struct {
		name string
		// atQuick and atSlow are the requests that run at the two upstreams, pace is the slower one's.
		atQuick, atSlow int
		pace            float64
		deadline        time.Duration
		upstream        identifier.UpstreamID
	}{
		{"both are free", 2, 0, 2.5, time.Second, "quick"},
		{"a short queue at the quicker one", 6, 0, 2.5, time.Second, "quick"},
		{"a queue that takes too long", 9, 0, 2.5, time.Second, "slow"},
		{"the slower one is full, too", 9, 6, 2.5, time.Second, ""},
		{"the slower one is too slow for the deadline", 9, 0, 6, time.Second, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			a := NewAllocator(DefaultSettings(), "here")
			a.SetUpstreams([]tracker.Entry{
				{Upstream: "quick", Service: plain, Slots: slots, DataCentre: "here"},
				{Upstream: "slow", Service: plain, Slots: slots, DataCentre: "here"},
			})
			a.timingsOf(plain).slotHoldTime.value = hold
			for range 100 {
				a.speedsOf(plain).Observe(now, "slow", speedometer.Hold, c.pace)
			}
			a.UpdatePeer(now, "other", plain, Loads{"quick": {Short: c.atQuick}, "slow": {Short: c.atSlow}}, 1)
			place, refusal := a.Place(now, Request{
				Service: plain, Target: 300 * time.Millisecond, TimeToTarget: 300 * time.Millisecond, TimeToDeadline: c.deadline,
			})
			if c.upstream == "" {
				require.NotNil(t, refusal)
				require.Equal(t, ReasonBusy, refusal.Reason)
				return
			}
			require.Nil(t, refusal)
			require.Equal(t, c.upstream, place.Upstream)
		})
	}
}
