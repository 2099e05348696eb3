package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(t *testing.T, engines ...identifier.UpstreamID) *Scheduler {
	t.Helper()
	s := NewScheduler(Settings{Instance: "i1", DataCentre: "a", Instances: 1, Seed: 7})
	for _, id := range engines {
		require.Empty(t, s.Handle(UpstreamListed{
			Now: start, Upstream: id, DataCentre: "a", Models: []identifier.ModelName{"m"},
		}))
		s.Handle(LoadReported{Now: start, Upstream: id, Load: Load{
			Sequence: 1, Role: identifier.RoleMixed, Model: "m", MaxBatch: 8, PrefillPerSecond: 8000,
			DecodeStep: 20 * time.Millisecond,
		}})
	}
	return s
}

func arrival(id identifier.RequestID, at, deadline time.Duration) RequestArrived {
	return RequestArrived{
		Now: start.Add(at), Request: id, Caller: "c", Class: "note", Model: "m", Priority: 5, Urgent: true,
		Deadline: start.Add(at + deadline), Prompt: 800, MaxOutput: 20, ExpectedOutput: 10,
	}
}

func requireSingle[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	require.Len(t, actions, 1)
	action, ok := actions[0].(T)
	require.True(t, ok, "got %T", actions[0])
	return action
}

func TestRequestCompletesOnce(t *testing.T) {
	s := newFleet(t, "e1", "e2")
	d := requireSingle[Dispatch](t, s.Handle(arrival("r1", 0, 5*time.Second)))
	require.Equal(t, d.Prefill, d.Decode)
	require.Empty(t, s.Handle(AttemptProgressed{Now: start.Add(100 * time.Millisecond), Attempt: d.Attempt, Output: 1}))
	done := AttemptFinished{Now: start.Add(300 * time.Millisecond), Attempt: d.Attempt, Output: 10, CachedPrompt: -1}
	require.Equal(t, d.Attempt, requireSingle[Complete](t, s.Handle(done)).Attempt)
	require.Empty(t, s.Handle(done))
	require.Empty(t, s.Handle(Ticked{Now: start.Add(time.Minute)}))
}

func TestFailedAttemptResumesElsewhere(t *testing.T) {
	s := newFleet(t, "e1", "e2")
	first := requireSingle[Dispatch](t, s.Handle(arrival("r1", 0, 5*time.Second)))
	failed := AttemptFailed{Now: start.Add(time.Second), Attempt: first.Attempt, Kind: FailureTruncated, Output: 4}
	second := requireSingle[Dispatch](t, s.Handle(failed))
	require.NotEqual(t, first.Decode, second.Decode)
	require.Equal(t, identifier.Tokens(4), second.SkipOutput)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		engines []identifier.UpstreamID
		events  []Event
		code    refuser.Code
		effect  refuser.Effect
	}{
		{"no engine", nil, []Event{arrival("r1", 0, time.Second)}, refuser.NoUpstream, refuser.NotRun},
		{
			"deadline too short",
			[]identifier.UpstreamID{"e1"},
			[]Event{arrival("r1", 0, 50*time.Millisecond)},
			refuser.DeadlineUnreachable, refuser.NotRun,
		},
	}
	for _, c := range cases {
		s := newFleet(t, c.engines...)
		var last []Action
		for _, e := range c.events {
			last = s.Handle(e)
		}
		refusal := requireSingle[Refuse](t, last).Refusal
		require.Equal(t, c.code, refusal.Code, c.name)
		require.Equal(t, c.effect, refusal.Effect, c.name)
		require.Positive(t, refusal.RetryAfterMS, c.name)
	}
}

func TestExpiryCancelsTheAttempt(t *testing.T) {
	s := newFleet(t, "e1")
	d := requireSingle[Dispatch](t, s.Handle(arrival("r1", 0, 2*time.Second)))
	actions := s.Handle(Ticked{Now: start.Add(2 * time.Second)})
	require.Len(t, actions, 2)
	require.Equal(t, Cancel{Attempt: d.Attempt}, actions[0])
	require.Equal(t, refuser.DeadlineExceeded, actions[1].(Refuse).Refusal.Code)
}

func TestDrainedEngineGetsNothingNew(t *testing.T) {
	s := newFleet(t, "e1", "e2")
	s.Handle(UpstreamDrained{Now: start, Upstream: "e1", Draining: true})
	for _, id := range []identifier.RequestID{"r1", "r2", "r3"} {
		require.Equal(t, identifier.UpstreamID("e2"),
			requireSingle[Dispatch](t, s.Handle(arrival(id, 0, 5*time.Second))).Prefill)
	}
	s.Handle(UpstreamDrained{Now: start, Upstream: "e1"})
	s.Handle(UpstreamDrained{Now: start, Upstream: "e2", Draining: true})
	require.Equal(t, identifier.UpstreamID("e1"),
		requireSingle[Dispatch](t, s.Handle(arrival("r4", 0, 5*time.Second))).Prefill)
}
