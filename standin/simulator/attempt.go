package simulator

import (
	"errors"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/standin/batcher"
)

// attempt is one dispatch of a request to an engine, or to a prefill and a decode engine.
type attempt struct {
	id identifier.AttemptID
	// wireID is the ID sent to engines. It is unique across instances.
	wireID   identifier.AttemptID
	owner    *instance
	request  int
	prefill  *node
	decode   *node
	priority identifier.Priority
	skip     identifier.Tokens
	// target is the engine that the attempt was last sent to.
	target *node
	// prefillOutput counts the tokens produced before the KV transfer; output counts those that reached the instance.
	prefillOutput identifier.Tokens
	output        identifier.Tokens
	cached        identifier.Tokens
	// ended is true once the instance has finished, failed or cancelled the attempt; complete is true if it received
	// the end-of-stream marker.
	ended    bool
	complete bool
	// neverRan is true if no engine accepted the attempt.
	neverRan bool
}

// disaggregated reports whether prefill and decode run on different engines.
func (a *attempt) disaggregated() bool { return a.prefill != a.decode }

// dispatch executes a Dispatch action of an instance.
func (s *Simulation) dispatch(i *instance, d scheduler.Dispatch) {
	number, ok := i.requests[d.Request]
	if !ok {
		s.recordViolation("dispatch of an unknown request")
		return
	}
	r := &s.records[number]
	a := &attempt{
		id: d.Attempt, wireID: identifier.AttemptID(string(i.id) + "/" + string(d.Attempt)), owner: i, request: number,
		prefill: s.nodes[d.Prefill], decode: s.nodes[d.Decode], priority: d.Priority, skip: d.SkipOutput,
	}
	i.attempts[d.Attempt] = a
	r.attempts = append(r.attempts, a)
	if d.Hedge {
		r.hedges++
	}
	r.stage = stageSent
	if a.prefill == nil || a.decode == nil {
		s.failAfter(a, scheduler.FailureConnect, 0, nil)
		return
	}
	s.submit(a, a.prefill, batcher.Sequence{Export: a.disaggregated()})
}

// submit sends the attempt to an engine. With Import set in sequence, the engine imports the KV cache and resumes the
// output after the tokens that exist already.
func (s *Simulation) submit(a *attempt, n *node, sequence batcher.Sequence) {
	a.target = n
	if s.partitioned(a.owner.dataCentre, n.dataCentre) {
		s.calendar.after(s.parameters.ConnectTimeout, func() { s.failNow(a, scheduler.FailureConnect, nil) })
		return
	}
	r := s.workload.Requests[a.request]
	class := s.parameters.Classes[r.Class]
	sequence.Attempt, sequence.Prompt, sequence.Prefix = a.wireID, r.Prompt, r.Prefix
	sequence.Output, sequence.MaxOutput = r.Output, class.MaxOutput
	sequence.ExpectedOutput = identifier.Tokens(meanOutput(class))
	sequence.SkipOutput, sequence.Priority = a.skip+a.prefillOutput, a.priority
	s.calendar.after(s.networkDelay(a.owner.dataCentre, n.dataCentre), func() { s.submitAtEngine(a, n, sequence) })
}

// submitAtEngine submits the attempt to the engine when it arrives there; the engine accepts or rejects it.
func (s *Simulation) submitAtEngine(a *attempt, n *node, sequence batcher.Sequence) {
	if a.ended {
		return
	}
	var err error
	if sequence.Import {
		err = a.prefill.engine.TakeExport(s.clock(), a.wireID)
		s.advanceEngine(a.prefill)
	}
	if err == nil {
		err = n.engine.Submit(s.clock(), sequence)
	}
	if err == nil {
		n.attempts[a.wireID] = a
		s.advanceEngine(n)
		return
	}
	if errors.Is(err, batcher.ErrDown) {
		s.failAfter(a, scheduler.FailureConnect, s.networkDelay(n.dataCentre, a.owner.dataCentre), nil)
		return
	}
	s.records[a.request].rejected++
	s.failAfter(a, scheduler.FailureRejected, s.networkDelay(n.dataCentre, a.owner.dataCentre), s.piggybackedLoad(n, a))
}

// piggybackedLoad returns the load that an engine attaches to its response, if any. Deciders attribute it to the decode
// engine, so a prefill engine of a disaggregated attempt attaches none.
func (s *Simulation) piggybackedLoad(n *node, a *attempt) *scheduler.Load {
	if n != a.decode {
		return nil
	}
	load := n.load(s.clock())
	return &load
}

// sendToOwner runs an action at the attempt's instance after the network delay, unless the two are partitioned or the
// attempt has ended by then.
func (s *Simulation) sendToOwner(n *node, a *attempt, action func()) {
	if s.partitioned(n.dataCentre, a.owner.dataCentre) {
		return
	}
	s.calendar.after(s.networkDelay(n.dataCentre, a.owner.dataCentre), func() {
		if !a.ended {
			action()
		}
	})
}

// handleProgress streams new tokens to the instance.
func (s *Simulation) handleProgress(n *node, a *attempt, output identifier.Tokens) {
	total := a.prefillOutput + output
	s.sendToOwner(n, a, func() { s.receiveTokens(a, total) })
}

// receiveTokens records tokens that reached the instance, and passes them to its decider.
func (s *Simulation) receiveTokens(a *attempt, total identifier.Tokens) {
	a.output = total
	r := &s.records[a.request]
	if a.skip <= r.delivered {
		r.delivered = max(r.delivered, a.skip+total)
	}
	r.stage = stageStreaming
	a.owner.handle(scheduler.AttemptProgressed{Now: s.clock(), Attempt: a.id, Output: total})
}

// handleExport makes the instance submit the attempt to the decode engine, which imports the KV cache.
func (s *Simulation) handleExport(n *node, a *attempt, e batcher.PrefillExported) {
	s.sendToOwner(n, a, func() {
		a.prefillOutput = e.Output
		a.cached = e.CachedPrompt
		s.submit(a, a.decode, batcher.Sequence{Import: true})
	})
}

// handleFinish sends the end-of-stream marker to the instance, with the engine's load.
func (s *Simulation) handleFinish(n *node, a *attempt, e batcher.Finished) {
	total := a.prefillOutput + e.Output
	load := s.piggybackedLoad(n, a)
	s.sendToOwner(n, a, func() {
		if !a.disaggregated() || a.prefillOutput == 0 {
			a.cached = e.CachedPrompt
		}
		a.output, a.ended, a.complete = total, true, true
		a.owner.handle(scheduler.AttemptFinished{
			Now: s.clock(), Attempt: a.id, Output: total, CachedPrompt: a.cached, Load: load,
		})
	})
}

// handleDrop breaks the attempt's stream after the tokens that the engine had already sent.
func (s *Simulation) handleDrop(n *node, a *attempt, e batcher.Dropped) {
	if e.Cause == batcher.CauseRoleChange &&
		s.parameters.Classes[s.workload.Requests[a.request].Class].Urgent && !a.ended {
		s.result.CutUrgent++
	}
	total := a.prefillOutput + e.Output
	s.sendToOwner(n, a, func() {
		if total > a.output {
			s.receiveTokens(a, total)
		}
		if !a.ended {
			s.failNow(a, scheduler.FailureTruncated, nil)
		}
	})
}

// failAfter fails the attempt at its instance after a delay.
func (s *Simulation) failAfter(a *attempt, kind scheduler.FailureKind, delay time.Duration, load *scheduler.Load) {
	s.calendar.after(delay, func() { s.failNow(a, kind, load) })
}

// failNow reports to the instance that the attempt ended without a complete response.
func (s *Simulation) failNow(a *attempt, kind scheduler.FailureKind, load *scheduler.Load) {
	if a.ended {
		return
	}
	a.ended = true
	a.neverRan = a.prefillOutput == 0 && (kind == scheduler.FailureConnect || kind == scheduler.FailureRejected)
	s.records[a.request].failures++
	a.owner.handle(scheduler.AttemptFailed{Now: s.clock(), Attempt: a.id, Kind: kind, Output: a.output, Load: load})
}

// cancel stops an attempt on every reachable engine that may hold it.
func (s *Simulation) cancel(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	for _, n := range []*node{a.prefill, a.decode} {
		if n == nil || s.partitioned(a.owner.dataCentre, n.dataCentre) {
			continue
		}
		s.calendar.after(s.networkDelay(a.owner.dataCentre, n.dataCentre), func() { s.cancelAt(a, n) })
	}
}

// cancelAt cancels an attempt on one engine.
func (s *Simulation) cancelAt(a *attempt, n *node) {
	n.engine.Cancel(s.clock(), a.wireID)
	delete(n.attempts, a.wireID)
	s.advanceEngine(n)
}
