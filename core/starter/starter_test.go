package starter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestsWaitWhileAnInstanceStarts(t *testing.T) {
	started := time.Unix(1000, 0)
	cases := []struct {
		name string
		// arrives and now are times after the start.
		arrives, now, left time.Duration
		// waits is the time after the start until which the request waits; zero if it doesn't.
		waits time.Duration
	}{
		{"as long as an instance usually takes", 0, 0, 15 * time.Second, startTime},
		{"caller's time unknown", 0, 0, 0, startTime},
		{"late in the start", 450 * time.Millisecond, 450 * time.Millisecond, 15 * time.Second, startTime},
		{"no more than a share of the caller's time", 100 * time.Millisecond, 100 * time.Millisecond, time.Second, 350 * time.Millisecond},
		{"has waited already", 100 * time.Millisecond, 350 * time.Millisecond, time.Second, 0},
		{"instance has started long ago", startTime, startTime, 15 * time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			until, waits := NewStarter(started).Enter(started.Add(c.now), started.Add(c.arrives), c.left)
			require.Equal(t, c.waits > 0, waits)
			if waits {
				require.Equal(t, started.Add(c.waits), until)
			}
		})
	}
}

func TestRequestsThatWaitAreBounded(t *testing.T) {
	started := time.Unix(1000, 0)
	s := NewStarter(started)
	for range maxWaiting {
		_, waits := s.Enter(started, started, 0)
		require.True(t, waits)
	}
	_, waits := s.Enter(started, started, 0)
	require.False(t, waits, "there is no room")
	s.Leave()
	_, waits = s.Enter(started, started, 0)
	require.True(t, waits)
}
