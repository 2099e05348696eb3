package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

var start = time.Unix(0, 0)

func recordFailures(b *Balancer, id identifier.UpstreamID, count int) {
	for range count {
		b.End(start, id, time.Second, true)
	}
}

func TestPickPrefersTheShorterWait(t *testing.T) {
	b := NewBalancer()
	ids := []identifier.UpstreamID{"a", "b"}
	first, ok := b.Pick(start, ids)
	require.True(t, ok)
	second, ok := b.Pick(start, ids)
	require.True(t, ok)
	require.NotEqual(t, first, second, "a busy upstream waits longer than an idle one")
}

func TestPickAvoidsASlowUpstream(t *testing.T) {
	b := NewBalancer()
	ids := []identifier.UpstreamID{"slow", "fast"}
	for range 10 {
		b.End(start, "slow", 3*time.Second, false)
		b.End(start, "fast", 10*time.Millisecond, false)
	}
	for range 20 {
		id, _ := b.Pick(start, ids)
		require.Equal(t, identifier.UpstreamID("fast"), id)
	}
}

func TestEjection(t *testing.T) {
	cases := []struct {
		name  string
		fail  map[identifier.UpstreamID]int
		after time.Duration
		want  []identifier.UpstreamID
	}{
		{"two failures do not eject", map[identifier.UpstreamID]int{"a": 2}, 0, []identifier.UpstreamID{"a", "b"}},
		{"three failures eject", map[identifier.UpstreamID]int{"a": 3}, 0, []identifier.UpstreamID{"b"}},
		{
			"usable after the ejection",
			map[identifier.UpstreamID]int{"a": 3},
			baseEjectionTime,
			[]identifier.UpstreamID{"a", "b"},
		},
		{"the ejection time doubles", map[identifier.UpstreamID]int{"a": 4}, baseEjectionTime, []identifier.UpstreamID{"b"}},
		{"half of the pool is kept", map[identifier.UpstreamID]int{"a": 3, "b": 4}, 0, []identifier.UpstreamID{"a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewBalancer()
			for id, count := range c.fail {
				recordFailures(b, id, count)
			}
			usable := b.usable(start.Add(c.after), []identifier.UpstreamID{"a", "b"})
			require.ElementsMatch(t, c.want, usable)
		})
	}
}

func TestPickWithoutCandidates(t *testing.T) {
	_, ok := NewBalancer().Pick(start, nil)
	require.False(t, ok)
}
