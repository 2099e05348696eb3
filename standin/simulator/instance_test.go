package simulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/scheduler"
)

// noopDecider returns no actions.
type noopDecider struct{}

func (noopDecider) Handle(scheduler.Event) []scheduler.Action { return nil }

// newOpenRun returns a run whose first instance holds the first two requests. The first request has one attempt, which
// has received its complete output.
func newOpenRun(t *testing.T) (*Simulation, *instance, *attempt) {
	t.Helper()
	w := NewWorkload(Kalipci(), 1, 0.5, time.Minute)
	policy := Policy{
		Split:      allMixed(w.Parameters),
		NewDecider: func(identifier.InstanceID, identifier.DataCentre) Decider { return noopDecider{} },
	}
	s := NewSimulation(w, policy, 1, FaultNone)
	i := s.instances[0]
	for number := range 2 {
		i.requests[w.Requests[number].ID] = number
	}
	a := &attempt{id: "a", owner: i, request: 0, output: w.Requests[0].Output, ended: true, complete: true}
	i.attempts["a"] = a
	s.records[0].attempts = []*attempt{a}
	s.records[0].delivered = a.output
	return s, i, a
}

func TestResponseIntegrity(t *testing.T) {
	refusal := func(effect refuser.Effect) func(*Simulation, *attempt) scheduler.Action {
		return func(s *Simulation, _ *attempt) scheduler.Action {
			return scheduler.Refuse{
				Request: s.workload.Requests[0].ID, Refusal: *refuser.NewRefusal(refuser.Overloaded, effect, ""),
			}
		}
	}
	complete := func(number int) func(*Simulation, *attempt) scheduler.Action {
		return func(s *Simulation, a *attempt) scheduler.Action {
			return scheduler.Complete{Request: s.workload.Requests[number].ID, Attempt: a.id}
		}
	}
	cases := []struct {
		name      string
		change    func(*Simulation, *attempt)
		act       func(*Simulation, *attempt) scheduler.Action
		violation string
	}{
		{"complete response", func(*Simulation, *attempt) {}, complete(0), ""},
		{"attempt of another request", func(*Simulation, *attempt) {}, complete(1), "response to another request"},
		{"no end-of-stream marker", func(_ *Simulation, a *attempt) {
			a.complete = false
		}, complete(0), "truncated response"},
		{"last token missing", func(_ *Simulation, a *attempt) { a.output-- }, complete(0), "truncated response"},
		{"resumed with a gap", func(s *Simulation, a *attempt) {
			a.skip, a.output = 5, a.output-5
			s.records[0].delivered = 4
		}, complete(0), "truncated response"},
		{"resumed without a gap", func(_ *Simulation, a *attempt) {
			a.skip, a.output = 5, a.output-5
		}, complete(0), ""},
		{"completed twice", func(s *Simulation, _ *attempt) {
			s.records[0].state = stateComplete
		}, complete(0), "duplicate response"},
		{"completed after a refusal", func(s *Simulation, _ *attempt) {
			s.records[0].state = stateRefused
		}, complete(0), "duplicate response"},
		{"refused after a response", func(s *Simulation, _ *attempt) {
			s.records[0].state = stateComplete
		}, refusal(refuser.OutcomeUnknown), "refusal after a response"},
		{
			"refused as not run after an engine accepted it", func(*Simulation, *attempt) {},
			refusal(refuser.NotRun), "refused as not run, but may have run",
		},
		{"refused as not run when no engine accepted it", func(_ *Simulation, a *attempt) {
			a.neverRan = true
		}, refusal(refuser.NotRun), ""},
		{"refused with unknown outcome", func(*Simulation, *attempt) {}, refusal(refuser.OutcomeUnknown), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, i, a := newOpenRun(t)
			c.change(s, a)
			i.execute(c.act(s, a))
			require.Equal(t, c.violation, s.result.FirstViolation)
			require.Equal(t, c.violation != "", s.result.Violations == 1)
		})
	}
}

func TestUrgentResponsesCutByRoleChangeAreCounted(t *testing.T) {
	s, i, _ := newOpenRun(t)
	number := 0
	for !s.parameters.Classes[s.workload.Requests[number].Class].Urgent {
		number++
	}
	request := s.workload.Requests[number].ID
	i.requests[request] = number
	i.execute(scheduler.Dispatch{Request: request, Attempt: "b", Prefill: "engine1", Decode: "engine1"})
	s.calendar.run(100 * time.Millisecond)
	s.parameters.DrainTimeout = 0
	require.True(t, s.applyOrder(s.engines[0], Order{Upstream: "engine1", Role: identifier.RoleDecode}))
	s.advanceEngine(s.engines[0])
	require.Equal(t, 1, s.result.CutUrgent)
}
