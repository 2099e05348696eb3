package resumer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

func TestProcessIsKnownByTheListAndTheRefusals(t *testing.T) {
	const interval = 900 * time.Millisecond
	entry := tracker.Entry{Upstream: "u0", Service: model, Version: "v1", Incarnation: 7}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, c := range []struct {
		name string
		// The list was read at 0. since is from when on the process has run, now the time of the question.
		since, now time.Duration
		// refused are the times of refusals of the listed incarnation, other of another one.
		refused, other []time.Duration
		known          bool
	}{
		{"the list is newer", -ms(5000), ms(500), nil, nil, true},
		{"the next list is not due", ms(800), ms(1000), nil, nil, true},
		{"the list is overdue", ms(800), ms(1200), nil, nil, false},
		{"the list is overdue, the process has run before", -ms(1), ms(60_000), nil, nil, true},
		{"refused since", ms(500), ms(900), []time.Duration{ms(700)}, nil, true},
		{"refused before", ms(500), ms(900), []time.Duration{ms(300)}, nil, false},
		{"refused before and since", ms(500), ms(900), []time.Duration{ms(700), ms(300)}, nil, false},
		{"refused before, listed since", -ms(1000), ms(500), []time.Duration{-ms(1200)}, nil, true},
		{"refused before, listed too soon", -ms(900), ms(500), []time.Duration{-ms(1200)}, nil, false},
		{"refused long ago", ms(500), ms(600), []time.Duration{-ms(10_000)}, nil, true},
		{"another incarnation has refused", ms(500), ms(900), nil, []time.Duration{ms(300)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewResumer(true)
			listed := time.Now()
			r.SetListInterval(interval)
			r.SetUpstreams(listed, []tracker.Entry{entry})
			r.Listed(listed)
			for _, at := range c.other {
				r.Refused(Refusal{Upstream: "u0", Incarnation: 6, At: listed.Add(at)})
			}
			for _, at := range c.refused {
				r.Refused(Refusal{Upstream: "u0", Incarnation: 7, At: listed.Add(at)})
			}
			require.Equal(t, c.known, r.Knows(listed.Add(c.now), entry, listed.Add(c.since)))
		})
	}
}

func TestRefusalsAreForgottenWithTheirIncarnation(t *testing.T) {
	now := time.Now()
	r := NewResumer(true)
	before := tracker.Entry{Upstream: "u0", Service: model, Incarnation: 7}
	r.SetUpstreams(now, []tracker.Entry{before})
	r.Refused(Refusal{Upstream: "u0", Incarnation: 7, At: now})
	r.SetUpstreams(now, []tracker.Entry{before})
	require.Len(t, r.doubts, 1)
	after := before
	after.Incarnation = 8
	r.SetUpstreams(now, []tracker.Entry{after})
	require.Empty(t, r.doubts)
}

func TestRefusalIsReportedByTheFirstInstance(t *testing.T) {
	now := time.Now()
	refusal := Refusal{Upstream: "u0", Incarnation: 7, At: now}
	first, second := NewResumer(true), NewResumer(true)
	second.SetReportPhase(0.5)
	require.True(t, first.Refused(refusal))
	require.True(t, second.Refused(refusal))
	require.False(t, first.Refused(refusal), "it is being reported")
	report := first.TakeRefusals(now)
	require.Equal(t, []Refusal{refusal}, report)
	require.Empty(t, second.TakeRefusals(now))
	second.LearnRefusals(report...)
	for range refusalRepeats - 1 {
		require.Empty(t, first.TakeRefusals(now))
		now = now.Add(refusalInterval)
		require.Len(t, first.TakeRefusals(now), 1, "a report may get lost")
	}
	now = now.Add(time.Second)
	require.Empty(t, first.TakeRefusals(now))
	require.Empty(t, second.TakeRefusals(now), "the others know")
}

func TestStreamsOfUnknownVersionAreReportedWhileThereIsOneVersion(t *testing.T) {
	now := time.Now()
	r := NewResumer(true)
	r.SetUpstreams(now, list("v1"))
	r.Listed(now)
	o := Origin{Stream: NewStreamID("s"), Service: model, Version: "v1", Until: now.Add(time.Minute)}
	r.Began(now, o)
	require.False(t, r.ReportDue(now, model, Recipient{"arbiter", 5}, false))
	o.Stream, o.Version = NewStreamID("t"), identifier.UnknownVersion
	r.Began(now, o)
	require.Len(t, r.TakeReport(now, model, Recipient{"arbiter", 5}, false), 2)
}
