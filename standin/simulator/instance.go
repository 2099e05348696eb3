package simulator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/scheduler"
)

// instance is one simulated process of the system: a decider, and the code that executes its actions.
type instance struct {
	id         identifier.InstanceID
	dataCentre int
	simulation *Simulation
	decider    Decider
	requests   map[identifier.RequestID]int
	attempts   map[identifier.AttemptID]*attempt
}

// handle passes an event to the decider and executes the resulting actions.
func (i *instance) handle(event scheduler.Event) {
	actions := i.decider.Handle(event)
	i.simulation.observe(i, event, actions)
	for _, action := range actions {
		i.execute(action)
	}
}

// execute executes one action of the decider.
func (i *instance) execute(action scheduler.Action) {
	s := i.simulation
	switch a := action.(type) {
	case scheduler.Dispatch:
		s.dispatch(i, a)
	case scheduler.Cancel:
		if dispatched := i.attempts[a.Attempt]; dispatched != nil {
			s.cancel(dispatched)
		}
	case scheduler.Refuse:
		i.refuse(a)
	case scheduler.Complete:
		i.complete(a)
	}
}

// refuse records a refusal as the response to a request. A refusal must not follow a complete response, nor claim that
// the request has not run if an engine may have accepted it.
func (i *instance) refuse(a scheduler.Refuse) {
	number, ok := i.requests[a.Request]
	if !ok {
		i.simulation.recordViolation("refusal of an unknown request")
		return
	}
	r := &i.simulation.records[number]
	if r.state == stateComplete {
		i.simulation.recordViolation("refusal after a response")
		return
	}
	if r.state != stateOpen {
		return
	}
	if a.Refusal.Effect == refuser.NotRun && r.mayHaveRun() {
		i.simulation.recordViolation("refused as not run, but may have run")
	}
	r.state = stateRefused
	r.code = a.Refusal.Code
	r.ended = i.simulation.calendar.now
}

// complete records a response after checking that it belongs to the request, is the only one, and has every token.
func (i *instance) complete(c scheduler.Complete) {
	s := i.simulation
	number, ok := i.requests[c.Request]
	a := i.attempts[c.Attempt]
	if !ok || a == nil || a.request != number {
		s.recordViolation("response to another request")
		return
	}
	r := &s.records[number]
	if r.state == stateComplete || r.state == stateRefused {
		s.recordViolation("duplicate response")
		return
	}
	if !a.complete || a.skip > r.delivered || a.skip+a.output != s.workload.Requests[number].Output {
		s.recordViolation("truncated response")
		return
	}
	if r.state != stateOpen {
		return
	}
	r.state = stateComplete
	r.ended = s.calendar.now
}

// arrive passes a new request to the decider and schedules its deadline and the caller's timeout.
func (i *instance) arrive(number int) {
	s := i.simulation
	r := s.workload.Requests[number]
	class := s.parameters.Classes[r.Class]
	i.requests[r.ID] = number
	i.handle(scheduler.RequestArrived{
		Now: s.clock(), Request: r.ID, Caller: r.Caller, Class: class.Name, Model: modelName,
		Priority: class.Priority, Urgent: class.Urgent, Deadline: epoch.Add(r.Deadline), Prompt: r.Prompt,
		MaxOutput: class.MaxOutput, ExpectedOutput: identifier.Tokens(meanOutput(class)), Prefix: r.Prefix,
	})
	s.calendar.at(r.Deadline, func() { s.records[number].recordDeadline() })
	timeout := time.Duration(float64(class.Deadline) * s.parameters.CallerTimeoutFactor)
	s.calendar.at(r.Arrival+timeout, func() { i.disconnect(number) })
}

// disconnect ends a request that is still open when its caller times out.
func (i *instance) disconnect(number int) {
	r := &i.simulation.records[number]
	request := i.simulation.workload.Requests[number].ID
	if r.state == stateOpen {
		r.state = stateAbandoned
		r.ended = i.simulation.calendar.now
		i.handle(scheduler.CallerDisconnected{Now: i.simulation.clock(), Request: request})
	}
}
