package scheduler

import (
	"math"
	"strconv"
	"time"

	"rosemaryspool.example/core/admitter"
	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/router"
)

// retryAfterFull is the pause that a caller is asked for when the engines are full.
const retryAfterFull = time.Second

func (s *Scheduler) arrive(e RequestArrived) {
	if s.requests[e.Request] != nil {
		return
	}
	r := &request{RequestArrived: e}
	s.requests[e.Request] = r
	s.open = append(s.open, r)
	s.retrier.CountRequest()
	choice := s.choose(r)
	if !s.admit(r, choice) {
		return
	}
	s.place(r, choice)
}

// admit applies the caller's limit and share.
func (s *Scheduler) admit(r *request, choice router.Choice) bool {
	occupation := 0.0
	if choice.Best != nil {
		occupation = choice.Best.Occupation(s.routed(r).Output)
	}
	code, message, wait := s.judgeCaller(r.Caller, r.Urgent, occupation)
	if code == 0 {
		return true
	}
	s.refuse(r, code, message, wait)
	return false
}

// admitCall applies the caller's limit to a call that takes no engine time.
func (s *Scheduler) admitCall(e ServiceCalled) {
	code, message, wait := s.judgeCaller(e.Caller, e.Urgent, 0)
	if code == 0 {
		return
	}
	refusal := refuser.NewRefusal(code, refuser.NotRun, message)
	refusal.RetryAfterMS = int(wait / time.Millisecond)
	s.act(Refuse{Request: e.Request, Refusal: *refusal})
}

// judgeCaller returns why a caller's request is refused; the code is zero when it is admitted.
func (s *Scheduler) judgeCaller(
	caller identifier.CallerID, urgent bool, occupation float64,
) (code refuser.Code, message string, wait time.Duration) {
	verdict, wait := s.admitter.Admit(s.now, caller, urgent, occupation)
	switch verdict {
	case admitter.OverLimit:
		return refuser.CallerOverLimit, "the caller's request rate is used up", wait
	case admitter.OverShare:
		return refuser.Overloaded, "the caller takes more than its share of an overloaded fleet", wait
	default:
		return 0, "", 0
	}
}

// place dispatches a request that has no running attempt, lets it wait at the instance, or refuses it.
func (s *Scheduler) place(r *request, choice router.Choice) {
	best := choice.Best
	remaining := r.Deadline.Sub(s.now).Seconds()
	switch {
	case best != nil && (best.Late <= 0 || s.worthTrying(best, remaining)) && !s.held(r):
		s.dispatch(r, choice, false)
	case best == nil && len(s.engines) == 0:
		s.refuse(r, refuser.NoUpstream, "no engine is known", retryAfterFull)
	case remaining <= s.shortest(r):
		s.shed(r, "no engine can answer within the deadline")
	default:
		s.wait(r)
	}
}

// worthTrying tells whether a request that may be late by a careful prediction is dispatched all the same: the answer
// of usual length is in time.
func (s *Scheduler) worthTrying(best *router.Candidate, remaining float64) bool {
	return best.Finish <= remaining
}

// held tells whether bulk work waits at the instance because long urgent prompts come near to being late.
func (s *Scheduler) held(r *request) bool {
	if r.Urgent || r.ExpectedOutput < s.settings.Tunables.Route.LongAnswer {
		return false
	}
	t := &s.settings.Tunables
	share := max(t.LeastHoldShare, t.HoldShare-t.HoldGain*max(0, s.urgentLoss-t.HoldTolerance))
	return s.urgentLevel > share*s.urgentDeadline.Value(math.Inf(1))
}

// noteUrgent follows the share of long urgent prompts that were not answered in time.
func (s *Scheduler) noteUrgent(r *request, lost bool) {
	const memory = 0.05
	if !r.Urgent || s.router.Preferred(r.Prompt) {
		return
	}
	s.urgentLoss -= memory * s.urgentLoss
	if lost {
		s.urgentLoss += memory
	}
}

// levelUrgent reckons how long a usual long urgent prompt would take at present, with the cost of the harm it does.
func (s *Scheduler) levelUrgent() {
	if s.urgentDeadline.Count() == 0 {
		return
	}
	prompt := identifier.Tokens(s.urgentPrompt.Value(0))
	q := router.Request{
		Model: s.urgentModel, Urgent: true, Deadline: s.now.Add(seconds(s.urgentDeadline.Value(0))), Prompt: prompt,
		Output: 1, LongOutput: 1, Allowed: s.allowed.Value(0), Others: s.others(),
	}
	s.urgentLevel = s.router.Level(s.now, q, s.engines, s.usable(&request{}))
}

// others reckons the flow of the other instances from the own one.
func (s *Scheduler) others() router.Flow {
	count := float64(s.settings.Instances - 1)
	return router.Flow{
		Prefill:   s.prefillSent.PerSecond(s.now) * count,
		Sequences: s.sequencesSent.PerSecond(s.now) * count,
	}
}

// shortest returns the seconds that the answer takes at least, on the fastest engine without any queue.
func (s *Scheduler) shortest(r *request) float64 {
	q := s.routed(r)
	shortest := 0.0
	found := false
	for _, e := range s.engines {
		if e.Listed || !e.Serves(r.Model) {
			continue
		}
		least := e.Prefill(s.now, q.Prompt, q.Prefix, true).Length + float64(q.Output-1)*e.StepAt(e.Decoding()+1)
		if !found || least < shortest {
			shortest, found = least, true
		}
	}
	if !found {
		return r.Deadline.Sub(s.now).Seconds()
	}
	return shortest
}

// wait puts a request into the instance's queue; when that is full the least important request is shed.
func (s *Scheduler) wait(r *request) {
	pushedOut, full := s.queue.Push(admitter.Waiter{Request: r.Request, Priority: r.Priority, Deadline: r.Deadline})
	if !full {
		return
	}
	s.shed(s.requests[pushedOut], "too many requests wait")
}

// shed refuses a request for lack of capacity.
func (s *Scheduler) shed(r *request, message string) {
	s.admitter.Decided(s.now, true)
	code := refuser.DeadlineUnreachable
	if r.seen {
		code = refuser.DeadlineExceeded
	}
	s.refuse(r, code, message, retryAfterFull)
}

// drainQueue tries waiting requests again, the most important first.
func (s *Scheduler) drainQueue(tries int) {
	if s.queue.Len() == 0 {
		return
	}
	for i, id := range s.queue.Ordered() {
		if i >= tries {
			return
		}
		r := s.requests[id]
		s.place(r, s.choose(r))
	}
}

// routed returns what the router needs to know of a request.
func (s *Scheduler) routed(r *request) router.Request {
	likely, long := s.lengths[r.Class].Likely(r.ExpectedOutput, r.MaxOutput)
	return router.Request{
		Model:      r.Model,
		Urgent:     r.Urgent,
		Deadline:   r.Deadline,
		Prompt:     r.Prompt + r.output,
		Output:     max(1, likely-r.output),
		LongOutput: max(1, long-r.output),
		Prefix:     r.Prefix,
		Allowed:    s.allowed.Value(0),
		Others:     s.others(),
		Instances:  float64(s.settings.Instances),
	}
}

func (s *Scheduler) choose(r *request) router.Choice {
	choice := s.router.Choose(s.now, s.routed(r), s.engines, s.usable(r))
	if choice.Best == nil && len(r.tried) > 0 {
		r.tried = r.tried[:0]
		choice = s.router.Choose(s.now, s.routed(r), s.engines, s.usable(r))
	}
	return choice
}

func (s *Scheduler) dispatch(r *request, choice router.Choice, hedge bool) {
	best := choice.Best
	s.sequence++
	a := &attempt{
		id:      identifier.AttemptID(string(s.settings.Instance) + "-" + strconv.FormatUint(s.sequence, 36)),
		request: r,
		prefill: best.Prefill,
		decode:  best.Decode,
		course:  *best,
		sent:    s.now,
		last:    s.now,
	}
	q := s.routed(r)
	a.work = estimator.Work{Prefill: max(0, q.Prompt-best.PrefillForecast.Cached), Output: q.Output}
	a.work.Tight = r.Urgent && q.LongOutput >= tightOutput
	s.attempts[a.id] = a
	r.attempts = append(r.attempts, a)
	r.started++
	s.queue.Remove(r.Request)
	s.admitter.Decided(s.now, false)
	s.measure(a, q)
	s.count(a)
	s.act(Dispatch{
		Request:    r.Request,
		Attempt:    a.id,
		Prefill:    a.prefill.ID,
		Decode:     a.decode.ID,
		Priority:   s.enginePriority(r, q),
		SkipOutput: r.output,
		Hedge:      hedge,
		Reason:     explain(choice),
	})
}

// tightOutput is the output from which on an urgent answer needs short steps.
const tightOutput = 8

// measure adds an attempt to the instance's flow of work. Preferred prompts pass the queues and don't count.
func (s *Scheduler) measure(a *attempt, q router.Request) {
	r := a.request
	if !s.router.Preferred(q.Prompt) {
		s.prefillSent.Add(s.now, a.course.PrefillForecast.Occupation)
		if r.Urgent {
			s.urgentModel = r.Model
			s.urgentPrompt.Observe(float64(a.work.Prefill))
			s.urgentDeadline.Observe(r.Deadline.Sub(r.Now).Seconds())
		}
	}
	if q.Output >= s.settings.Tunables.Route.LongAnswer {
		s.sequencesSent.Add(s.now, 1)
		s.allowed.Observe(r.Deadline.Sub(s.now).Seconds() / float64(q.LongOutput))
	}
}

const (
	// preferredPriority is added to the engine priority of short prompts: they delay longer ones by next to nothing.
	preferredPriority = 1000
	// briefPriority is added to that of short answers: they give their place in a batch back soon.
	briefPriority = 1000
)

// enginePriority returns the priority that orders the queues of an engine.
func (s *Scheduler) enginePriority(r *request, q router.Request) identifier.Priority {
	priority := r.Priority
	if s.router.Preferred(q.Prompt) {
		priority += preferredPriority
		if q.LongOutput < s.settings.Tunables.Route.LongAnswer {
			priority += briefPriority
		}
	}
	return priority
}

// count adds the attempt to the own work at its engines.
func (s *Scheduler) count(a *attempt) {
	s.ejector.Sent(a.prefill.ID)
	if a.prefill == a.decode {
		a.prefill.Dispatched(s.now, a.work, a.request.Prefix)
		return
	}
	s.ejector.Sent(a.decode.ID)
	a.prefill.Dispatched(s.now, estimator.Work{Prefill: a.work.Prefill}, a.request.Prefix)
	a.decode.Dispatched(s.now, estimator.Work{Output: a.work.Output, Tight: a.work.Tight}, nil)
}

func explain(choice router.Choice) Decision {
	d := Decision{Cause: choice.Cause, Candidates: make([]Candidate, 0, len(choice.Considered))}
	for _, c := range choice.Considered {
		d.Candidates = append(d.Candidates, Candidate{
			Upstream: c.Decode.ID,
			Finish:   seconds(c.Finish),
			Cached:   c.PrefillForecast.Cached,
			Cost:     c.Cost,
		})
	}
	d.ReportAge = seconds(min(choice.Best.PrefillForecast.Age, maxAgeSeconds))
	return d
}

// maxAgeSeconds stands for the age of a report that never came.
const maxAgeSeconds = 3600

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// refuse ends a request at once with a refusal and cancels what still runs for it.
func (s *Scheduler) refuse(r *request, code refuser.Code, message string, retryAfter time.Duration) {
	effect := refuser.NotRun
	if r.seen || len(r.attempts) > 0 {
		effect = refuser.OutcomeUnknown
	}
	s.noteUrgent(r, code != refuser.CallerGone)
	s.close(r, nil)
	refusal := refuser.NewRefusal(code, effect, message)
	refusal.RetryAfterMS = int(retryAfter / time.Millisecond)
	s.act(Refuse{Request: r.Request, Refusal: *refusal})
}

// close forgets a request and cancels every running attempt but the kept one.
func (s *Scheduler) close(r *request, kept *attempt) {
	for _, a := range r.attempts {
		if a == kept {
			continue
		}
		s.act(Cancel{Attempt: a.id})
		s.giveUp(a)
	}
	r.attempts = nil
	r.closed = true
	s.queue.Remove(r.Request)
	delete(s.requests, r.Request)
}

// giveUp forgets an attempt that neither answered nor failed.
func (s *Scheduler) giveUp(a *attempt) {
	s.release(a)
	s.ejector.Abandoned(a.prefill.ID)
	if a.prefill != a.decode {
		s.ejector.Abandoned(a.decode.ID)
	}
}

// release takes an attempt out of the own work at its engines.
func (s *Scheduler) release(a *attempt) {
	delete(s.attempts, a.id)
	decoding := !a.first.IsZero()
	if a.prefill == a.decode {
		a.prefill.Ended(s.now, a.work, a.output, decoding)
		return
	}
	if !decoding {
		a.prefill.Ended(s.now, estimator.Work{Prefill: a.work.Prefill}, 0, false)
	}
	a.decode.Ended(s.now, estimator.Work{Output: a.work.Output, Tight: a.work.Tight}, a.output, decoding)
}
