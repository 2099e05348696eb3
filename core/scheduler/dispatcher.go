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

// retryAfterFull is the retry delay sent to callers when no engine has capacity.
const retryAfterFull = time.Second

func (s *Scheduler) handleArrival(e RequestArrived) {
	if s.requests[e.Request] != nil {
		return
	}
	r := &request{RequestArrived: e}
	s.requests[e.Request] = r
	s.openRequests = append(s.openRequests, r)
	s.retrier.CountRequest()
	choice := s.choose(r)
	if !s.admit(r, choice) {
		return
	}
	s.dispatchOrQueue(r, choice)
}

// admit refuses the request if its caller exceeds its rate limit or, under overload, its fair share. It reports whether
// the request is admitted.
func (s *Scheduler) admit(r *request, choice router.Choice) bool {
	occupation := 0.0
	if choice.Best != nil {
		occupation = choice.Best.Occupation(s.routingRequest(r).Output)
	}
	code, message, wait := s.checkCallerLimits(r.Caller, r.Urgent, occupation)
	if code == 0 {
		return true
	}
	s.refuse(r, code, message, wait)
	return false
}

// handleServiceCall applies the caller's rate limit to a call that takes no engine time.
func (s *Scheduler) handleServiceCall(e ServiceCalled) {
	code, message, wait := s.checkCallerLimits(e.Caller, e.Urgent, 0)
	if code == 0 {
		return
	}
	refusal := refuser.NewRefusal(code, refuser.NotRun, message)
	refusal.RetryAfterMS = int(wait / time.Millisecond)
	s.emit(Refuse{Request: e.Request, Refusal: *refusal})
}

// checkCallerLimits returns why a caller's request is refused; the code is zero when it is admitted.
func (s *Scheduler) checkCallerLimits(
	caller identifier.CallerID, urgent bool, occupation float64,
) (code refuser.Code, message string, wait time.Duration) {
	decision, wait := s.admitter.Admit(s.now, caller, urgent, occupation)
	switch decision {
	case admitter.OverLimit:
		return refuser.CallerOverLimit, "the caller's request rate is used up", wait
	case admitter.OverFairShare:
		return refuser.Overloaded, "the caller takes more than its share of an overloaded fleet", wait
	default:
		return 0, "", 0
	}
}

// dispatchOrQueue dispatches a request that has no running attempt, queues it at the instance, or refuses it.
func (s *Scheduler) dispatchOrQueue(r *request, choice router.Choice) {
	best := choice.Best
	remaining := r.Deadline.Sub(s.now).Seconds()
	switch {
	case best != nil && (best.Lateness <= 0 || s.likelyInTime(best, remaining)) && !s.shouldHold(r):
		s.dispatch(r, choice, false)
	case best == nil && len(s.engines) == 0:
		s.refuse(r, refuser.NoUpstream, "no engine is known", retryAfterFull)
	case remaining <= s.minServiceTime(r):
		s.shed(r, "no engine can answer within the deadline")
	default:
		s.enqueue(r)
	}
}

// likelyInTime reports whether an answer of the usual length meets the deadline. Such a request is dispatched even if
// the pessimistic prediction, for a long answer and with a safety margin, misses it.
func (s *Scheduler) likelyInTime(best *router.Candidate, remaining float64) bool {
	return best.Finish <= remaining
}

// shouldHold reports whether a request of bulk work (not urgent, long answer) stays queued because long urgent prompts
// are close to missing their deadlines.
func (s *Scheduler) shouldHold(r *request) bool {
	if r.Urgent || r.ExpectedOutput < s.settings.Tunables.Route.LongAnswer {
		return false
	}
	t := &s.settings.Tunables
	share := max(t.MinHoldShare, t.HoldShare-t.HoldGain*max(0, s.urgentLossRate-t.HoldTolerance))
	return s.urgentLevel > share*s.urgentDeadline.Value(math.Inf(1))
}

// recordUrgentOutcome updates the moving average of the share of long urgent prompts that are not answered in time.
func (s *Scheduler) recordUrgentOutcome(r *request, lost bool) {
	const smoothing = 0.05
	if !r.Urgent || s.router.IsShortPrompt(r.Prompt) {
		return
	}
	s.urgentLossRate -= smoothing * s.urgentLossRate
	if lost {
		s.urgentLossRate += smoothing
	}
}

// updateUrgentLevel estimates the current cost in seconds of a typical long urgent prompt: its time to the first token
// plus the cost of the delay it causes to other work.
func (s *Scheduler) updateUrgentLevel() {
	if s.urgentDeadline.Count() == 0 {
		return
	}
	prompt := identifier.Tokens(s.urgentPrompt.Value(0))
	q := router.Request{
		Model: s.urgentModel, Urgent: true, Deadline: s.now.Add(seconds(s.urgentDeadline.Value(0))), Prompt: prompt,
		Output: 1, LongOutput: 1, MaxTokenInterval: s.maxTokenInterval.Value(0), PeerArrivals: s.peerArrivals(),
	}
	s.urgentLevel = s.router.PrefillLevel(s.now, q, s.engines, s.usable(&request{}))
}

// peerArrivals estimates the arrival rate from the other instances: each is assumed to send as much as this one.
func (s *Scheduler) peerArrivals() router.ArrivalRate {
	count := float64(s.settings.Instances - 1)
	return router.ArrivalRate{
		Prefill:   s.prefillRate.PerSecond(s.now) * count,
		Sequences: s.sequenceRate.PerSecond(s.now) * count,
	}
}

// minServiceTime returns the shortest possible time in seconds to the complete answer: on the fastest engine, with an
// empty queue. Without a usable engine it returns the time left until the deadline.
func (s *Scheduler) minServiceTime(r *request) float64 {
	q := s.routingRequest(r)
	shortest := 0.0
	found := false
	for _, e := range s.engines {
		if e.ListedLeaving || !e.Serves(r.Model) {
			continue
		}
		least := e.Prefill(s.now, q.Prompt, q.Prefix, true).Duration + float64(q.Output-1)*e.StepAt(e.Decoding()+1)
		if !found || least < shortest {
			shortest, found = least, true
		}
	}
	if !found {
		return r.Deadline.Sub(s.now).Seconds()
	}
	return shortest
}

// enqueue adds a request to the instance's queue. When the queue is full it sheds the lowest-ranked request.
func (s *Scheduler) enqueue(r *request) {
	evicted, full := s.queue.Push(admitter.Waiter{Request: r.Request, Priority: r.Priority, Deadline: r.Deadline})
	if !full {
		return
	}
	s.shed(s.requests[evicted], "too many requests wait")
}

// shed refuses a request for lack of capacity (load shedding).
func (s *Scheduler) shed(r *request, message string) {
	s.admitter.RecordDecision(s.now, true)
	code := refuser.DeadlineUnreachable
	if r.mayHaveRun {
		code = refuser.DeadlineExceeded
	}
	s.refuse(r, code, message, retryAfterFull)
}

// retryQueued routes up to limit queued requests again, the highest-ranked first.
func (s *Scheduler) retryQueued(limit int) {
	if s.queue.Len() == 0 {
		return
	}
	for i, id := range s.queue.Ordered() {
		if i >= limit {
			return
		}
		r := s.requests[id]
		s.dispatchOrQueue(r, s.choose(r))
	}
}

// routingRequest returns the part of a request that a routing decision depends on.
func (s *Scheduler) routingRequest(r *request) router.Request {
	likely, long := s.lengths[r.Class].Likely(r.ExpectedOutput, r.MaxOutput)
	return router.Request{
		Model:            r.Model,
		Urgent:           r.Urgent,
		Deadline:         r.Deadline,
		Prompt:           r.Prompt + r.output,
		Output:           max(1, likely-r.output),
		LongOutput:       max(1, long-r.output),
		Prefix:           r.Prefix,
		MaxTokenInterval: s.maxTokenInterval.Value(0),
		PeerArrivals:     s.peerArrivals(),
		Instances:        float64(s.settings.Instances),
	}
}

func (s *Scheduler) choose(r *request) router.Choice {
	choice := s.router.Choose(s.now, s.routingRequest(r), s.engines, s.usable(r))
	if choice.Best == nil && len(r.tried) > 0 {
		// No untried engine can take the request, so those that it has tried may be used again.
		r.tried = r.tried[:0]
		choice = s.router.Choose(s.now, s.routingRequest(r), s.engines, s.usable(r))
	}
	return choice
}

func (s *Scheduler) dispatch(r *request, choice router.Choice, hedge bool) {
	best := choice.Best
	s.sequence++
	a := &attempt{
		id:           identifier.AttemptID(string(s.settings.Instance) + "-" + strconv.FormatUint(s.sequence, 36)),
		request:      r,
		prefill:      best.Prefill,
		decode:       best.Decode,
		forecast:     *best,
		sentAt:       s.now,
		progressedAt: s.now,
	}
	q := s.routingRequest(r)
	a.work = estimator.Work{Prefill: max(0, q.Prompt-best.PrefillForecast.Cached), Output: q.Output}
	a.work.LatencySensitive = r.Urgent && q.LongOutput >= minLatencySensitiveOutput
	s.attempts[a.id] = a
	r.attempts = append(r.attempts, a)
	r.attemptsStarted++
	s.queue.Remove(r.Request)
	s.admitter.RecordDecision(s.now, false)
	s.recordArrivalRate(a, q)
	s.countAttempt(a)
	s.emit(Dispatch{
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

// minLatencySensitiveOutput is the output in tokens from which on an urgent answer depends on short decode steps.
const minLatencySensitiveOutput = 8

// recordArrivalRate adds an attempt to the arrival rates of this instance. Short prompts bypass the prefill queues, so
// they don't count as prefill.
func (s *Scheduler) recordArrivalRate(a *attempt, q router.Request) {
	r := a.request
	if !s.router.IsShortPrompt(q.Prompt) {
		s.prefillRate.Add(s.now, a.forecast.PrefillForecast.EngineTime)
		if r.Urgent {
			s.urgentModel = r.Model
			s.urgentPrompt.Observe(float64(a.work.Prefill))
			s.urgentDeadline.Observe(r.Deadline.Sub(r.Now).Seconds())
		}
	}
	if q.Output >= s.settings.Tunables.Route.LongAnswer {
		s.sequenceRate.Add(s.now, 1)
		s.maxTokenInterval.Observe(r.Deadline.Sub(s.now).Seconds() / float64(q.LongOutput))
	}
}

const (
	// shortPromptPriority is added to the engine priority of short prompts, which hardly delay longer ones.
	shortPromptPriority = 1000
	// shortAnswerPriority is added as well if the answer is short: it frees its batch slot soon.
	shortAnswerPriority = 1000
)

// enginePriority returns the priority by which an engine orders its queues.
func (s *Scheduler) enginePriority(r *request, q router.Request) identifier.Priority {
	priority := r.Priority
	if s.router.IsShortPrompt(q.Prompt) {
		priority += shortPromptPriority
		if q.LongOutput < s.settings.Tunables.Route.LongAnswer {
			priority += shortAnswerPriority
		}
	}
	return priority
}

// countAttempt adds the attempt to this instance's work in flight at its engines.
func (s *Scheduler) countAttempt(a *attempt) {
	s.ejector.Sent(a.prefill.ID)
	if a.prefill == a.decode {
		a.prefill.Dispatched(s.now, a.work, a.request.Prefix)
		return
	}
	s.ejector.Sent(a.decode.ID)
	a.prefill.Dispatched(s.now, estimator.Work{Prefill: a.work.Prefill}, a.request.Prefix)
	a.decode.Dispatched(s.now, estimator.Work{Output: a.work.Output, LatencySensitive: a.work.LatencySensitive}, nil)
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
	d.ReportAge = seconds(min(choice.Best.PrefillForecast.Age, maxReportAgeSeconds))
	return d
}

// maxReportAgeSeconds bounds the logged report age. An engine that never reported is logged with this age.
const maxReportAgeSeconds = 3600

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// refuse ends a request with a refusal and cancels its running attempts.
func (s *Scheduler) refuse(r *request, code refuser.Code, message string, retryAfter time.Duration) {
	effect := refuser.NotRun
	if r.mayHaveRun || len(r.attempts) > 0 {
		effect = refuser.OutcomeUnknown
	}
	s.recordUrgentOutcome(r, code != refuser.CallerGone)
	s.closeRequest(r, nil)
	refusal := refuser.NewRefusal(code, effect, message)
	refusal.RetryAfterMS = int(retryAfter / time.Millisecond)
	s.emit(Refuse{Request: r.Request, Refusal: *refusal})
}

// closeRequest removes a request and cancels all its running attempts except the given one.
func (s *Scheduler) closeRequest(r *request, kept *attempt) {
	for _, a := range r.attempts {
		if a == kept {
			continue
		}
		s.emit(Cancel{Attempt: a.id})
		s.abandonAttempt(a)
	}
	r.attempts = nil
	r.closed = true
	s.queue.Remove(r.Request)
	delete(s.requests, r.Request)
}

// abandonAttempt removes an attempt that ended with neither a response nor a failure.
func (s *Scheduler) abandonAttempt(a *attempt) {
	s.releaseAttempt(a)
	s.ejector.Abandoned(a.prefill.ID)
	if a.prefill != a.decode {
		s.ejector.Abandoned(a.decode.ID)
	}
}

// releaseAttempt removes an attempt from this instance's work in flight at its engines.
func (s *Scheduler) releaseAttempt(a *attempt) {
	delete(s.attempts, a.id)
	decoding := !a.firstTokenAt.IsZero()
	if a.prefill == a.decode {
		a.prefill.Ended(s.now, a.work, a.output, decoding)
		return
	}
	if !decoding {
		a.prefill.Ended(s.now, estimator.Work{Prefill: a.work.Prefill}, 0, false)
	}
	a.decode.Ended(
		s.now, estimator.Work{Output: a.work.Output, LatencySensitive: a.work.LatencySensitive}, a.output, decoding,
	)
}
