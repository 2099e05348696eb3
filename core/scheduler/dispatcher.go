package scheduler

import (
	"strconv"
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/core/router"
)

// retryAfterFull is the pause in milliseconds that a caller is asked for when the engines are full.
const retryAfterFull = 1000

func (s *Scheduler) arrive(e RequestArrived) {
	if s.requests[e.Request] != nil {
		return
	}
	r := &request{RequestArrived: e}
	s.requests[e.Request] = r
	s.place(r)
}

// place dispatches a request that has no running attempt, leaves it waiting, or refuses it.
func (s *Scheduler) place(r *request) {
	choice := s.choose(r)
	switch {
	case choice.Best == nil:
		s.refuse(r, refuser.NoUpstream, "no engine can take the request")
	case choice.Best.Late > 0 && s.hopeless(r, choice.Best):
		s.refuse(r, refuser.DeadlineUnreachable, "no engine can answer within the deadline")
	default:
		s.dispatch(r, choice, false)
	}
}

// hopeless tells whether even the likely course misses the deadline.
func (s *Scheduler) hopeless(r *request, c *router.Candidate) bool {
	return c.Forecast.Finish() > r.Deadline.Sub(s.now).Seconds()
}

func (s *Scheduler) choose(r *request) router.Choice {
	likely, long := s.lengths[r.Class].Likely(r.ExpectedOutput, r.MaxOutput)
	q := router.Request{
		Model:      r.Model,
		Urgent:     r.Urgent,
		Deadline:   r.Deadline,
		Prompt:     r.Prompt + r.output,
		Output:     max(1, likely-r.output),
		LongOutput: max(1, long-r.output),
		Prefix:     r.Prefix,
	}
	return s.router.Choose(s.now, q, s.engines, func(e *estimator.Engine) bool { return !r.hasTried(e.ID) })
}

func (s *Scheduler) dispatch(r *request, choice router.Choice, hedge bool) {
	best := choice.Best
	s.sequence++
	a := &attempt{
		id:       identifier.AttemptID(string(s.settings.Instance) + "-" + strconv.FormatUint(s.sequence, 36)),
		request:  r,
		prefill:  best.Prefill,
		decode:   best.Decode,
		forecast: best.Forecast,
		cached:   best.Forecast.Cached,
		sent:     s.now,
		hedge:    hedge,
	}
	likely, _ := s.lengths[r.Class].Likely(r.ExpectedOutput, r.MaxOutput)
	a.work = estimator.Work{
		Prefill: max(0, r.Prompt+r.output-a.cached),
		Output:  max(1, likely-r.output),
	}
	s.attempts[a.id] = a
	r.attempts = append(r.attempts, a)
	r.started++
	r.waiting = false
	s.count(a)
	s.act(Dispatch{
		Request:    r.Request,
		Attempt:    a.id,
		Prefill:    a.prefill.ID,
		Decode:     a.decode.ID,
		Priority:   r.Priority,
		SkipOutput: r.output,
		Hedge:      hedge,
		Reason:     explain(choice),
	})
}

// count adds the attempt to the own work at its engines.
func (s *Scheduler) count(a *attempt) {
	if a.prefill == a.decode {
		a.prefill.Dispatched(s.now, a.work, a.request.Prefix)
		return
	}
	a.prefill.Dispatched(s.now, estimator.Work{Prefill: a.work.Prefill}, a.request.Prefix)
	a.decode.Dispatched(s.now, estimator.Work{Output: a.work.Output}, nil)
}

func explain(choice router.Choice) Decision {
	d := Decision{Cause: choice.Cause, Candidates: make([]Candidate, 0, len(choice.Considered))}
	for _, c := range choice.Considered {
		d.Candidates = append(d.Candidates, Candidate{
			Upstream: c.Decode.ID,
			Finish:   seconds(c.Forecast.Finish()),
			Cached:   c.Forecast.Cached,
			Cost:     c.Cost,
		})
	}
	d.ReportAge = seconds(min(choice.Best.Forecast.Age, maxAgeSeconds))
	return d
}

// maxAgeSeconds stands for the age of a report that never came.
const maxAgeSeconds = 3600

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// refuse ends a request at once with a refusal and cancels what still runs for it.
func (s *Scheduler) refuse(r *request, code refuser.Code, message string) {
	effect := refuser.NotRun
	if r.seen || len(r.attempts) > 0 {
		effect = refuser.OutcomeUnknown
	}
	s.close(r, nil)
	refusal := refuser.NewRefusal(code, effect, message)
	refusal.RetryAfterMS = retryAfterFull
	s.act(Refuse{Request: r.Request, Refusal: *refusal})
}

// close forgets a request and cancels every running attempt but the kept one.
func (s *Scheduler) close(r *request, kept *attempt) {
	for _, a := range r.attempts {
		if a != kept {
			s.act(Cancel{Attempt: a.id})
			s.release(a)
		}
	}
	r.attempts = nil
	delete(s.requests, r.Request)
}

// release takes an attempt out of the own work at its engines.
func (s *Scheduler) release(a *attempt) {
	delete(s.attempts, a.id)
	if a.first.IsZero() {
		a.prefill.Prefilled(s.now, a.work)
	}
	a.decode.Decoded(s.now, max(0, a.work.Output-a.output))
	a.decode.Ended(s.now)
	if a.prefill != a.decode && a.first.IsZero() {
		a.prefill.Ended(s.now)
	}
}
