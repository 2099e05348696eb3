package ejector

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStatusAfterOutcomes(t *testing.T) {
	succeed := func(e *Ejector, id identifier.UpstreamID, count int, ratio float64) {
		for i := range count {
			e.Succeeded(start.Add(time.Duration(i)*time.Second), id, "", ratio)
		}
	}
	cases := []struct {
		name  string
		act   func(e *Ejector)
		want  Status
		cause Cause
	}{
		{"no outcomes", func(*Ejector) {}, Healthy, ""},
		{"unreachable", func(e *Ejector) { e.Unreachable(start.Add(30*time.Second), "a", "") }, Ejected, CauseUnreachable},
		{"one failed response", func(e *Ejector) {
			succeed(e, "a", 9, 1)
			e.Failed(start.Add(30*time.Second), "a", "")
		}, Healthy, ""},
		{"some failed responses", func(e *Ejector) {
			for range 4 {
				succeed(e, "a", 2, 1)
				e.Failed(start.Add(30*time.Second), "a", "")
				e.Failed(start.Add(30*time.Second), "a", "")
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
		{"stalled attempt", func(e *Ejector) { e.Stalled(start.Add(30*time.Second), "a", "") }, Ejected, CauseStalled},
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
	e.Unreachable(start, "a", "")
	after := start.Add(1100 * time.Millisecond)
	require.Equal(t, Probed, e.Status(after, "a"))
	e.Sent("a")
	require.Equal(t, Ejected, e.Status(after, "a"), "one probe at a time")
	e.Unreachable(after, "a", "")
	require.Equal(t, Ejected, e.Status(after.Add(1900*time.Millisecond), "a"), "the ejection time doubles")
	later := after.Add(2100 * time.Millisecond)
	require.Equal(t, Probed, e.Status(later, "a"))
	e.Sent("a")
	e.Succeeded(later, "a", "", 1)
	require.Equal(t, Healthy, e.Status(later, "a"))
	require.Empty(t, e.Cause("a"))
}

func TestEjectedCountOmitsUnreachableUpstreams(t *testing.T) {
	e := NewEjector(DefaultSettings())
	for _, id := range []identifier.UpstreamID{"a", "b", "c"} {
		e.Add(id)
	}
	e.Stalled(start, "a", "")
	e.Unreachable(start, "b", "")
	require.Equal(t, 1, e.EjectedCount(start.Add(time.Millisecond)))
	require.Equal(t, 0, e.EjectedCount(start.Add(time.Minute)))
}

func TestInstanceThatAloneCannotReachAnUpstreamIsDoubted(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name    string
		play    func(e *Ejector)
		want    Status
		avoided []identifier.InstanceID
	}{
		{"alone", func(e *Ejector) { e.Unreachable(at(0), "u", "x") }, Ejected, nil},
		{"a response that was on its way", func(e *Ejector) {
			e.Unreachable(at(0), "u", "x")
			e.Responded(at(100), "u", "y")
		}, Ejected, []identifier.InstanceID{"x"}},
		{"another one has a response", func(e *Ejector) {
			e.Unreachable(at(0), "u", "x")
			e.Responded(at(300), "u", "y")
		}, Healthy, []identifier.InstanceID{"x"}},
		{"it has a response itself", func(e *Ejector) {
			e.Unreachable(at(0), "u", "x")
			e.Responded(at(300), "u", "x")
		}, Ejected, nil},
		{"several are cut off", func(e *Ejector) {
			e.Unreachable(at(0), "u", "x")
			e.Unreachable(at(100), "u", "z")
			e.Succeeded(at(300), "u", "y", 0)
		}, Healthy, []identifier.InstanceID{"x", "z"}},
		{"the probe is left to another one", func(e *Ejector) {
			e.Responded(at(-600), "u", "y")
			e.Unreachable(at(-550), "u", "x")
		}, Probed, []identifier.InstanceID{"x"}},
		{"the probe is left to one that has reached another upstream", func(e *Ejector) {
			e.Add("v")
			e.Responded(at(-600), "v", "y")
			e.Unreachable(at(-550), "u", "x")
		}, Probed, []identifier.InstanceID{"x"}},
		{"there is no other one", func(e *Ejector) {
			e.Responded(at(-600), "u", "x")
			e.Unreachable(at(-550), "u", "x")
		}, Probed, nil},
		{"it fails again", func(e *Ejector) {
			e.Unreachable(at(-2000), "u", "x")
			e.Responded(at(-1700), "u", "y")
			e.Unreachable(at(300), "u", "x")
		}, Healthy, []identifier.InstanceID{"x"}},
		{"it reaches the upstream again", func(e *Ejector) {
			e.Unreachable(at(0), "u", "x")
			e.Responded(at(300), "u", "y")
			e.Responded(at(400), "u", "x")
		}, Healthy, nil},
		{"others fail too", func(e *Ejector) {
			e.Unreachable(at(-2000), "u", "x")
			e.Responded(at(-1700), "u", "y")
			e.Unreachable(at(300), "u", "x")
			e.Unreachable(at(350), "u", "y")
		}, Ejected, []identifier.InstanceID{"x"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewEjector(DefaultSettings())
			e.Add("u")
			c.play(e)
			require.Equal(t, c.want, e.Status(at(500), "u"))
			for _, instance := range []identifier.InstanceID{"x", "y", "z"} {
				require.Equal(t, slices.Contains(c.avoided, instance), e.IsAvoided(at(500), "u", instance), instance)
			}
		})
	}
}
