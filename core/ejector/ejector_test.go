package ejector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStatusAfterOutcomes(t *testing.T) {
	succeed := func(e *Ejector, id identifier.UpstreamID, count int, ratio float64) {
		for i := range count {
			e.Succeeded(start.Add(time.Duration(i)*time.Second), id, ratio)
		}
	}
	cases := []struct {
		name  string
		act   func(e *Ejector)
		want  Status
		cause Cause
	}{
		{"no outcomes", func(*Ejector) {}, Healthy, ""},
		{"unreachable", func(e *Ejector) { e.Unreachable(start.Add(30*time.Second), "a") }, Ejected, CauseUnreachable},
		{"one failed response", func(e *Ejector) {
			succeed(e, "a", 9, 1)
			e.Failed(start.Add(30*time.Second), "a")
		}, Healthy, ""},
		{"some failed responses", func(e *Ejector) {
			for range 4 {
				succeed(e, "a", 2, 1)
				e.Failed(start.Add(30*time.Second), "a")
				e.Failed(start.Add(30*time.Second), "a")
			}
		}, Ejected, CauseErrors},
		{"slower than its peers", func(e *Ejector) {
			succeed(e, "b", 30, 1)
			succeed(e, "c", 30, 1)
			succeed(e, "a", 30, 9)
		}, Ejected, CauseSlow},
		{"as slow as its peers", func(e *Ejector) {
			succeed(e, "b", 30, 9)
			succeed(e, "c", 30, 9)
			succeed(e, "a", 30, 9)
		}, Healthy, ""},
		{"rejection", func(e *Ejector) { e.Rejected(start.Add(30*time.Second), "a") }, Paused, ""},
		{"stalled attempt", func(e *Ejector) { e.Stalled(start.Add(30*time.Second), "a") }, Ejected, CauseStalled},
	}
	for _, c := range cases {
		e := NewEjector(DefaultSettings())
		for _, id := range []identifier.UpstreamID{"a", "b", "c"} {
			e.Add(id)
		}
		c.act(e)
		require.Equal(t, c.want, e.Status(start.Add(30100*time.Millisecond), "a"), c.name)
		require.Equal(t, c.cause, e.Cause("a"), c.name)
	}
}

func TestProbeRestoresOrProlongsEjection(t *testing.T) {
	e := NewEjector(DefaultSettings())
	e.Add("a")
	e.Unreachable(start, "a")
	after := start.Add(1100 * time.Millisecond)
	require.Equal(t, Probed, e.Status(after, "a"))
	e.Sent("a")
	require.Equal(t, Ejected, e.Status(after, "a"), "one probe at a time")
	e.Unreachable(after, "a")
	require.Equal(t, Ejected, e.Status(after.Add(1900*time.Millisecond), "a"), "the ejection time doubles")
	later := after.Add(2100 * time.Millisecond)
	require.Equal(t, Probed, e.Status(later, "a"))
	e.Sent("a")
	e.Succeeded(later, "a", 1)
	require.Equal(t, Healthy, e.Status(later, "a"))
	require.Empty(t, e.Cause("a"))
}

func TestEjectedCountOmitsUnreachableUpstreams(t *testing.T) {
	e := NewEjector(DefaultSettings())
	for _, id := range []identifier.UpstreamID{"a", "b", "c"} {
		e.Add(id)
	}
	e.Stalled(start, "a")
	e.Unreachable(start, "b")
	require.Equal(t, 1, e.EjectedCount(start.Add(time.Millisecond)))
	require.Equal(t, 0, e.EjectedCount(start.Add(time.Minute)))
}
