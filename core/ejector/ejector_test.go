package ejector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStatusAfterOutcomes(t *testing.T) {
	answers := func(j *Ejector, id identifier.UpstreamID, count int, ratio float64) {
		for i := range count {
			j.Succeeded(start.Add(time.Duration(i)*time.Second), id, ratio)
		}
	}
	cases := []struct {
		name  string
		act   func(j *Ejector)
		want  Status
		cause Cause
	}{
		{"nothing known", func(*Ejector) {}, Healthy, ""},
		{"crash", func(j *Ejector) { j.Unreachable(start.Add(30*time.Second), "a") }, Ejected, CauseUnreachable},
		{"one broken answer", func(j *Ejector) { answers(j, "a", 9, 1); j.Failed(start.Add(30*time.Second), "a") }, Healthy, ""},
		{"errors in part", func(j *Ejector) {
			for range 4 {
				answers(j, "a", 2, 1)
				j.Failed(start.Add(30*time.Second), "a")
				j.Failed(start.Add(30*time.Second), "a")
			}
		}, Ejected, CauseErrors},
		{"slow against its peers", func(j *Ejector) {
			answers(j, "b", 30, 1)
			answers(j, "c", 30, 1)
			answers(j, "a", 30, 9)
		}, Ejected, CauseSlow},
		{"slow like its peers", func(j *Ejector) {
			answers(j, "b", 30, 9)
			answers(j, "c", 30, 9)
			answers(j, "a", 30, 9)
		}, Healthy, ""},
		{"rejection", func(j *Ejector) { j.Rejected(start.Add(30*time.Second), "a") }, Paused, ""},
		{"silence", func(j *Ejector) { j.Stalled(start.Add(30*time.Second), "a") }, Ejected, CauseStalled},
	}
	for _, c := range cases {
		j := NewEjector(DefaultSettings())
		for _, id := range []identifier.UpstreamID{"a", "b", "c"} {
			j.Add(id)
		}
		c.act(j)
		require.Equal(t, c.want, j.Status(start.Add(30100*time.Millisecond), "a"), c.name)
		require.Equal(t, c.cause, j.Cause("a"), c.name)
	}
}

func TestProbeRestoresOrProlongsEjection(t *testing.T) {
	j := NewEjector(DefaultSettings())
	j.Add("a")
	j.Unreachable(start, "a")
	after := start.Add(1100 * time.Millisecond)
	require.Equal(t, Probed, j.Status(after, "a"))
	j.Sent("a")
	require.Equal(t, Ejected, j.Status(after, "a"), "one probe at a time")
	j.Unreachable(after, "a")
	require.Equal(t, Ejected, j.Status(after.Add(1900*time.Millisecond), "a"), "the pause doubles")
	later := after.Add(2100 * time.Millisecond)
	require.Equal(t, Probed, j.Status(later, "a"))
	j.Sent("a")
	j.Succeeded(later, "a", 1)
	require.Equal(t, Healthy, j.Status(later, "a"))
	require.Empty(t, j.Cause("a"))
}

func TestEjectedCountOmitsUnreachableUpstreams(t *testing.T) {
	j := NewEjector(DefaultSettings())
	for _, id := range []identifier.UpstreamID{"a", "b", "c"} {
		j.Add(id)
	}
	j.Stalled(start, "a")
	j.Unreachable(start, "b")
	require.Equal(t, 1, j.EjectedCount(start.Add(time.Millisecond)))
	require.Equal(t, 0, j.EjectedCount(start.Add(time.Minute)))
}
