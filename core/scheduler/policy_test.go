package scheduler

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

func longAnswerArrival(id identifier.RequestID) RequestArrived {
	r := arrival(id, 0, 45*time.Second)
	r.Class, r.Urgent, r.ExpectedOutput, r.MaxOutput = "draft", false, 800, 1200
	return r
}

func TestBulkWaitsWhileLongUrgentPromptsAreNearlyLate(t *testing.T) {
	cases := []struct {
		name   string
		prompt float64
		held   bool
	}{
		{"urgent prompts have slack", 8000, false},
		{"urgent prompts are nearly late", 80_000, true},
	}
	for _, c := range cases {
		s := newFleet(t, "e1", "e2")
		s.urgentModel = "m"
		s.urgentPrompt.Observe(c.prompt)
		s.urgentDeadline.Observe(8)
		s.Handle(Ticked{Now: start})
		actions := s.Handle(longAnswerArrival("d1"))
		if !c.held {
			requireSingle[Dispatch](t, actions)
			continue
		}
		require.Empty(t, actions, c.name)
		requireSingle[Dispatch](t, s.Handle(arrival("u1", 0, 5*time.Second)))
		refusal := requireSingle[Refuse](t, s.Handle(Ticked{Now: start.Add(40 * time.Second)})[2:]).Refusal
		require.Equal(t, refuser.DeadlineUnreachable, refusal.Code, c.name)
		require.Equal(t, refuser.NotRun, refusal.Effect, c.name)
	}
}

func TestOverdueUrgentRequestIsHedgedAndTheLoserCancelled(t *testing.T) {
	s := newFleet(t, "e1", "e2")
	first := requireSingle[Dispatch](t, s.Handle(arrival("r1", 0, 10*time.Second)))
	require.Empty(t, s.Handle(Ticked{Now: start.Add(time.Second)}))
	hedge := requireSingle[Dispatch](t, s.Handle(Ticked{Now: start.Add(4 * time.Second)}))
	require.True(t, hedge.Hedge)
	require.NotEqual(t, first.Prefill, hedge.Prefill)
	actions := s.Handle(AttemptFinished{
		Now: start.Add(5 * time.Second), Attempt: hedge.Attempt, Output: 10, CachedPrompt: -1,
	})
	require.Equal(t, []Action{Cancel{Attempt: first.Attempt}, Complete{Request: "r1", Attempt: hedge.Attempt}}, actions)
}

func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	s := newFleet(t, "e1", "e2")
	first := requireSingle[Dispatch](t, s.Handle(longAnswerArrival("d1")))
	s.Handle(AttemptProgressed{Now: start.Add(time.Second), Attempt: first.Attempt, Output: 1})
	s.Handle(AttemptProgressed{Now: start.Add(2 * time.Second), Attempt: first.Attempt, Output: 60})
	require.Empty(t, s.Handle(Ticked{Now: start.Add(8 * time.Second)}))
	actions := s.Handle(Ticked{Now: start.Add(12 * time.Second)})
	require.Len(t, actions, 2)
	require.Equal(t, Cancel{Attempt: first.Attempt}, actions[0])
	require.Equal(t, identifier.Tokens(60), actions[1].(Dispatch).SkipOutput)
}

// TestEveryRequestEndsOnce guards against requests with no final response or several. Attempts fail in every way and
// callers disconnect while the requests run. A second run with the same seed must make the same decisions.
func TestEveryRequestEndsOnce(t *testing.T) {
	run := func() (map[identifier.RequestID]int, int) {
		s := newFleet(t, "e1", "e2", "e3")
		ends, dispatches := map[identifier.RequestID]int{}, 0
		var running []identifier.AttemptID
		apply := func(actions []Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case Dispatch:
					dispatches++
					running = append(running, a.Attempt)
				case Refuse:
					ends[a.Request]++
				case Complete:
					ends[a.Request]++
				}
			}
		}
		for i := range 600 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			r := arrival(identifier.RequestID("r"+strconv.Itoa(i)), now.Sub(start), 4*time.Second)
			r.Urgent = i%2 == 0
			apply(s.Handle(r))
			if len(running) == 0 {
				continue
			}
			a := running[0]
			running = running[1:]
			switch i % 5 {
			case 0:
				apply(s.Handle(AttemptFailed{Now: now, Attempt: a, Kind: FailureKind(1 + i%4)}))
			case 1:
				apply(s.Handle(CallerDisconnected{Now: now, Request: r.Request}))
			default:
				apply(s.Handle(AttemptFinished{Now: now, Attempt: a, Output: 10, CachedPrompt: -1}))
			}
			apply(s.Handle(Ticked{Now: now}))
		}
		apply(s.Handle(Ticked{Now: start.Add(time.Hour)}))
		require.Empty(t, s.requests)
		require.Empty(t, s.attempts)
		return ends, dispatches
	}
	ends, dispatches := run()
	require.Len(t, ends, 600)
	for id, count := range ends {
		require.Equal(t, 1, count, id)
	}
	secondEnds, secondDispatches := run()
	require.Equal(t, ends, secondEnds)
	require.Equal(t, dispatches, secondDispatches, "equal seeds give equal decisions")
}
