package measurer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/scheduler"
)

// idle decides nothing.
type noopDecider struct{}

func (noopDecider) Handle(scheduler.Event) []scheduler.Action { return nil }

// openRun returns a run whose first instance holds the first two requests, with one attempt of the first request.
func newOpenRun(t *testing.T) (*Simulation, *instance, *attempt) {
	t.Helper()
	w := NewWorkload(Kalipci(), 1, 0.5, time.Minute)
	policy := Policy{Split: allMixed(w.Parameters), NewDecider: func(identifier.InstanceID, identifier.DataCentre) Decider { return noopDecider{} }}
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
			return scheduler.Refuse{Request: s.workload.Requests[0].ID, Refusal: *refuser.NewRefusal(refuser.Overloaded, effect, "")}
		}
	}
	complete := func(number int) func(*Simulation, *attempt) scheduler.Action {
		return func(s *Simulation, a *attempt) scheduler.Action {
			return scheduler.Complete{Request: s.workload.Requests[number].ID, Attempt: a.id}
		}
	}
	cases := []struct {
		name   string
		change func(*Simulation, *attempt)
		act    func(*Simulation, *attempt) scheduler.Action
		breach string
	}{
		{"whole", func(*Simulation, *attempt) {}, complete(0), ""},
		{"another request's attempt", func(*Simulation, *attempt) {}, complete(1), "crossed answer"},
		{"no end mark", func(_ *Simulation, a *attempt) { a.complete = false }, complete(0), "truncated answer"},
		{"a token short", func(_ *Simulation, a *attempt) { a.output-- }, complete(0), "truncated answer"},
		{"a gap before the resumed part", func(s *Simulation, a *attempt) {
			a.skip, a.output = 5, a.output-5
			s.records[0].delivered = 4
		}, complete(0), "truncated answer"},
		{"resumed without a gap", func(_ *Simulation, a *attempt) {
			a.skip, a.output = 5, a.output-5
		}, complete(0), ""},
		{"answered twice", func(s *Simulation, _ *attempt) { s.records[0].state = stateComplete }, complete(0), "doubled answer"},
		{"answered after a refusal", func(s *Simulation, _ *attempt) { s.records[0].state = stateRefused }, complete(0), "doubled answer"},
		{"refused after an answer", func(s *Simulation, _ *attempt) { s.records[0].state = stateComplete }, refusal(refuser.OutcomeUnknown), "refusal after an answer"},
		{"told not run though it ran", func(*Simulation, *attempt) {}, refusal(refuser.NotRun), "told not run, but sent"},
		{"told not run when no engine took it", func(_ *Simulation, a *attempt) { a.neverRan = true }, refusal(refuser.NotRun), ""},
		{"told unknown", func(*Simulation, *attempt) {}, refusal(refuser.OutcomeUnknown), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, i, a := newOpenRun(t)
			c.change(s, a)
			i.execute(c.act(s, a))
			require.Equal(t, c.breach, s.result.FirstBreach)
			require.Equal(t, c.breach != "", s.result.Breaches == 1)
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
