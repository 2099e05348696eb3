package gauger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/placer"
)

func TestTakeCountsSinceTheLastCall(t *testing.T) {
	start := time.Unix(0, 0)
	g := NewGauger(start)
	g.AddRequest("m", "check", 1000, 2)
	g.AddRequest("m", "draft", 500, 800)
	got := g.Take(start.Add(time.Second))
	require.Equal(t, []placer.DemandObserved{
		{Now: start.Add(time.Second), Model: "m", Period: time.Second, Prefill: 1500, Output: 802},
	}, got)
	require.Zero(t, g.Take(start.Add(2 * time.Second))[0].Prefill)
}

func TestCachedShareLowersPrefill(t *testing.T) {
	g := NewGauger(time.Unix(0, 0))
	for range 200 {
		g.ObserveCached("check", 1000, 500)
	}
	g.ObserveCached("check", 1000, -1)
	g.AddRequest("m", "check", 1000, 0)
	require.InDelta(t, 500, float64(g.Take(time.Unix(1, 0))[0].Prefill), 2)
}
