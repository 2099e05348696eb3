package router

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(count int, change func(i int, load *estimator.Load)) []*estimator.Engine {
	settings := estimator.DefaultSettings()
	engines := make([]*estimator.Engine, 0, count)
	for i := range count {
		e := estimator.NewEngine(identifier.UpstreamID("e"+strconv.Itoa(100+i)), &settings)
		e.DataCentre = "a"
		load := estimator.Load{
			Sequence: 1, Role: identifier.RoleMixed, Model: "m", MaxBatch: 64,
			PrefillPerSecond: 8000, DecodeStep: 20 * time.Millisecond,
		}
		change(i, &load)
		e.Observe(start, load, false)
		engines = append(engines, e)
	}
	return engines
}

func newTestRouter(seed uint64) *Router {
	return NewRouter(DefaultSettings(), "a", rand.New(rand.NewPCG(seed, 1)))
}

func anyEngine(*estimator.Engine) bool { return true }

func longPromptRequest() Request {
	return Request{
		Model: "m", Urgent: true, Deadline: start.Add(8 * time.Second), Prompt: 16000, Output: 1, LongOutput: 3,
		MaxTokenInterval: 0.025,
	}
}

func longAnswerRequest() Request {
	return Request{Model: "m", Deadline: start.Add(45 * time.Second), Prompt: 500, Output: 800, LongOutput: 1100}
}

func TestChoiceOfEngine(t *testing.T) {
	cases := []struct {
		name    string
		request Request
		change  func(i int, load *estimator.Load)
		want    identifier.UpstreamID
	}{
		{"shortest queue", longPromptRequest(), func(i int, l *estimator.Load) {
			l.QueuedPrefill = identifier.Tokens(i%3) * 16000
		}, "e100"},
		{"avoids engines that decode long answers", longPromptRequest(), func(i int, l *estimator.Load) {
			if i < 2 {
				l.Running, l.PendingOutput = 30, 12000
			}
		}, "e102"},
		{"long answers share a batch", longAnswerRequest(), func(i int, l *estimator.Load) {
			if i == 1 {
				l.Running, l.PendingOutput = 10, 4000
			}
		}, "e101"},
		{"avoids a changing engine", longPromptRequest(), func(i int, l *estimator.Load) { l.Changing = i != 2 }, "e102"},
		{"avoids a leaving engine", longPromptRequest(), func(i int, l *estimator.Load) { l.Leaving = i != 1 }, "e101"},
		{"avoids an engine with another model", longPromptRequest(), func(i int, l *estimator.Load) {
			if i != 0 {
				l.Model = "other"
			}
		}, "e100"},
	}
	for _, c := range cases {
		choice := newTestRouter(1).Choose(start.Add(time.Second), c.request, newFleet(3, c.change), anyEngine)
		require.NotNil(t, choice.Best, c.name)
		require.Equal(t, c.want, choice.Best.Decode.ID, c.name)
	}
}

func TestSplitRolesUseTwoEngines(t *testing.T) {
	engines := newFleet(4, func(i int, l *estimator.Load) {
		l.Role = identifier.RoleDecode
		if i < 2 {
			l.Role = identifier.RolePrefill
		}
		if i == 0 {
			l.QueuedPrefill = 40000
		}
	})
	choice := newTestRouter(1).Choose(start, longPromptRequest(), engines, anyEngine)
	require.Equal(t, identifier.UpstreamID("e101"), choice.Best.Prefill.ID)
	require.Equal(t, identifier.RoleDecode, choice.Best.Decode.Role())
}

func TestPrefixAffinityYieldsToLongQueue(t *testing.T) {
	prefix := []identifier.PrefixHash{11, 12, 13, 14, 15, 16, 17}
	cases := []struct {
		name  string
		queue identifier.Tokens
		want  bool
	}{
		{"cached engine is free", 0, true},
		{"cached engine has a long queue", 60000, false},
	}
	for _, c := range cases {
		engines := newFleet(3, func(i int, l *estimator.Load) {
			if i == 1 {
				l.QueuedPrefill = c.queue
			}
		})
		engines[1].ObserveCached(prefix, 7*identifier.BlockTokens)
		q := longPromptRequest()
		q.Prefix = prefix
		choice := newTestRouter(1).Choose(start, q, engines, anyEngine)
		require.Equal(t, c.want, choice.Best.Prefill == engines[1], c.name)
	}
}

func TestLongAnswersKeepAPrefillEngineFree(t *testing.T) {
	engines := newFleet(3, func(i int, l *estimator.Load) {
		if i == 0 {
			l.Running, l.PendingOutput = 20, 8000
		}
	})
	choice := newTestRouter(1).Choose(start, longAnswerRequest(), engines, anyEngine)
	require.Equal(t, "split", choice.Cause)
	require.Equal(t, engines[0], choice.Best.Decode)
	require.NotEqual(t, engines[0], choice.Best.Prefill)
}

func TestInstancesWithTheSameStaleReportDoNotHerd(t *testing.T) {
	counts := map[identifier.UpstreamID]int{}
	for seed := range uint64(70) {
		q := longPromptRequest()
		q.PeerArrivals.Prefill = 4
		choice := newTestRouter(seed).Choose(start.Add(2*time.Second), q, newFleet(7, func(i int, l *estimator.Load) {
			l.QueuedPrefill = identifier.Tokens(i) * 500
		}), anyEngine)
		counts[choice.Best.Prefill.ID]++
	}
	highest := 0
	for _, n := range counts {
		highest = max(highest, n)
	}
	require.GreaterOrEqual(t, len(counts), 4)
	require.LessOrEqual(t, highest, 35)
}

func TestNoEngine(t *testing.T) {
	none := func(*estimator.Engine) bool { return false }
	choice := newTestRouter(1).Choose(start, longPromptRequest(), newFleet(2, func(int, *estimator.Load) {}), none)
	require.Nil(t, choice.Best)
	require.Equal(t, "noEngine", choice.Cause)
}

func BenchmarkChoose183(b *testing.B) {
	engines := newFleet(183, func(i int, l *estimator.Load) {
		l.QueuedPrefill, l.Running = identifier.Tokens(i*100), i%50
	})
	prefix := make([]identifier.PrefixHash, 15)
	for i := range prefix {
		prefix[i] = identifier.PrefixHash(i + 1)
	}
	for i, e := range engines {
		e.ObserveCached(prefix, identifier.Tokens(i%15)*identifier.BlockTokens)
	}
	r := newTestRouter(1)
	q := longPromptRequest()
	q.Prompt, q.Prefix = 32000, prefix
	b.ReportAllocs()
	for b.Loop() {
		r.Choose(start.Add(time.Second), q, engines, anyEngine)
	}
}

func shortRequest() Request {
	return Request{
		Model: "m", Urgent: true, Deadline: start.Add(4 * time.Second), Prompt: 500, Output: 40, LongOutput: 80,
		MaxTokenInterval: 0.025, Instances: 7,
	}
}

func TestUrgentAnswersAreIsolated(t *testing.T) {
	cases := []struct {
		name    string
		request Request
		// otherDecoding is the number of non-urgent answers that decode on each of the other engines.
		otherDecoding int
		prepare       func(e *estimator.Engine, load *estimator.Load)
	}{
		{"no long prefill next to an urgent decode", longPromptRequest(), 1, func(e *estimator.Engine, _ *estimator.Load) {
			e.Dispatched(start, estimator.Work{Output: 40, LatencySensitive: true}, nil)
		}},
		{"no short prompt ahead of queued long ones", shortRequest(), 30, func(_ *estimator.Engine, load *estimator.Load) {
			load.QueuedPrefill = 16000
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			engines := newFleet(3, func(int, *estimator.Load) {})
			load := estimator.Load{
				Sequence: 2, Role: identifier.RoleMixed, Model: "m", MaxBatch: 64, PrefillPerSecond: 8000,
				DecodeStep: 20 * time.Millisecond,
			}
			for _, e := range engines[1:] {
				for range c.otherDecoding {
					e.Dispatched(start, estimator.Work{Output: 40}, nil)
				}
			}
			c.prepare(engines[0], &load)
			engines[0].Observe(start, load, false)
			request := c.request
			request.Instances = 7
			for seed := range uint64(20) {
				choice := newTestRouter(seed).Choose(start, request, engines, anyEngine)
				require.NotEqual(t, engines[0].ID, choice.Best.Prefill.ID)
			}
		})
	}
}
