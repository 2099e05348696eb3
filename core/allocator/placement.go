package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// Request describes a request that has to be placed.
type Request struct {
	Service identifier.ServiceName
	// Engine is true for requests to engines of language models, false for those to plain services.
	Engine bool
	Prompt []PromptPart
	// Output is the expected length of the answer in tokens.
	Output identifier.Tokens
	// TimeToTarget is the time left until the response counts as late; negative for a request that is late already.
	TimeToTarget time.Duration
	// Target is the route's latency target.
	Target time.Duration
	// TimeToDeadline is the time left until the caller no longer waits for the response.
	TimeToDeadline time.Duration
	// Tried lists the upstreams at which attempts of the request have failed.
	Tried []identifier.UpstreamID
	// SingleUpstream is true if one upstream must run the whole request, so prefill and decode can't be split.
	SingleUpstream bool
	// Resumed is true for a stream of which the caller has received a part already.
	Resumed bool
}

// Placement is where a request runs. The allocator counts its work until Ended is called.
type Placement struct {
	// Upstream runs the request.
	Upstream identifier.UpstreamID
	// Prefiller prefills the prompt first; it is empty if Upstream does so itself.
	Prefiller identifier.UpstreamID
	// Predicted is the predicted time to the first event.
	Predicted time.Duration
	// Ahead and PrefillerAhead are the loads of all instances at Upstream and at Prefiller before this request.
	Ahead          Load
	PrefillerAhead Load
	// PeerAge is the age of the oldest work report from another instance that counts in these loads.
	PeerAge time.Duration

	tokens identifier.Tokens
	placed time.Time
	long   bool
	// prefillDone is true once the prefill at Prefiller has ended, started once the first event has arrived.
	prefillDone bool
	started     bool
}

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonNoUpstream means that the service has no usable upstream.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonBusy means that every upstream has too much load to serve the request in time.
	ReasonBusy Reason = "busy"
)

// Refusal is the result for a request that is shed.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Predicted is the predicted time to the first event at the best upstream, Upstream, whose load is Ahead.
	Predicted time.Duration
	Upstream  identifier.UpstreamID
	Ahead     Load
	// PeerAge is the age of the oldest work report from another instance that counts in Ahead.
	PeerAge time.Duration
}

// Place chooses the option with the lowest cost for a request and counts the request's work there, or refuses the
// request if even that option is not admissible.
func (a *Allocator) Place(now time.Time, req Request) (Placement, *Refusal) {
	var best option
	for _, opt := range a.options(now, req) {
		if best.upstream == nil || opt.cost < best.cost {
			best = opt
		}
	}
	if best.upstream == nil {
		return Placement{}, &Refusal{Reason: ReasonNoUpstream, RetryAfter: a.settings.RetryAfter}
	}
	if !a.admissible(req, best) {
		return Placement{}, &Refusal{
			Reason: ReasonBusy, RetryAfter: a.settings.RetryAfter, Predicted: best.predicted,
			Upstream: best.upstream.entry.Upstream, Ahead: best.upstream.total(), PeerAge: a.peerAge(now),
		}
	}
	place := Placement{
		Upstream:  best.upstream.entry.Upstream,
		Predicted: best.predicted,
		Ahead:     best.upstream.total(),
		PeerAge:   a.peerAge(now),
		tokens:    best.tokens,
		placed:    now,
		long:      a.isLong(req),
	}
	switch {
	case place.long:
		best.upstream.own.Long++
	case best.prefiller != nil:
		best.upstream.own.AwaitingPrefill++
	default:
		best.upstream.own.Short++
	}
	if best.prefiller != nil {
		place.Prefiller = best.prefiller.entry.Upstream
		place.PrefillerAhead = best.prefiller.total()
		best.prefiller.own.QueuedPrefill += best.tokens
	} else {
		best.upstream.own.QueuedPrefill += best.tokens
	}
	a.health.Sent(place.Upstream)
	return place, nil
}

// peerAge returns the age of the oldest unexpired report from another instance.
func (a *Allocator) peerAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range a.peers {
		oldest = max(oldest, now.Sub(p.lastReport))
	}
	return oldest
}

// option is one way to serve a request: at one upstream, or with the prefill at another engine than the decode.
type option struct {
	upstream  *upstream
	prefiller *upstream
	// tokens is the number of prompt tokens that are expected to be prefilled.
	tokens identifier.Tokens
	// queued is the time spent waiting for other requests.
	queued time.Duration
	// predicted is the time to the first event; cost adds the delay that the option causes for other requests.
	predicted time.Duration
	cost      time.Duration
}

func (a *Allocator) options(now time.Time, req Request) []option {
	t := a.timingsOf(req.Service)
	runners, prefillers := a.candidates(now, req, false)
	if len(runners) == 0 {
		// Ejected upstreams are better than none: the fault may be at this instance.
		runners, prefillers = a.candidates(now, req, true)
	}
	options := make([]option, 0, len(runners)+len(prefillers))
	if !req.Engine {
		for _, u := range runners {
			options = append(options, a.plainOption(t, u))
		}
		return options
	}
	aff := newAffinity(req.Prompt, a.affinityCandidates(runners), a.affinityCandidates(prefillers))
	for _, u := range runners {
		options = append(options, a.directOption(t, req, u, aff))
	}
	runner := a.leastLoaded(t, req, runners)
	if runner == nil || req.SingleUpstream {
		return options
	}
	for _, u := range prefillers {
		options = append(options, a.splitOption(t, req, u, runner, aff))
	}
	return options
}

// plainOption is the option to run the request at an upstream that is not an engine.
func (a *Allocator) plainOption(t *timings, u *upstream) option {
	wait := a.slotWait(t, u, 0)
	return option{upstream: u, queued: wait, predicted: t.slotHoldTime + wait, cost: wait + a.remoteCost(u)}
}

// candidates returns the usable upstreams: those that run requests and those that only prefill.
func (a *Allocator) candidates(now time.Time, req Request, includeEjected bool) (runners, prefillers []*upstream) {
	for _, u := range a.services[req.Service] {
		switch {
		case !a.usable(now, u, req.Tried, includeEjected):
		case u.entry.Role == tracker.RolePrefill:
			prefillers = append(prefillers, u)
		default:
			runners = append(runners, u)
		}
	}
	return runners, prefillers
}

// directOption is the option to prefill and decode at the same engine.
func (a *Allocator) directOption(t *timings, req Request, u *upstream, aff affinity) option {
	tokens := a.uncachedTokens(req, u, aff)
	queued := a.slotWait(t, u, 0) + time.Duration(u.total().QueuedPrefill)*t.mixedPrefillPerToken
	work := time.Duration(tokens) * t.mixedPrefillPerToken
	predicted := queued + t.prefillBase + work + t.firstEventDelay
	return option{
		upstream: u, tokens: tokens, queued: queued, predicted: predicted,
		cost: predicted + a.engineTimeCost(work) + interferenceCost(u, work) + a.remoteCost(u) +
			a.longAnswerCost(req, u),
	}
}

// interferenceCost is the cost of a prefill to the long answers at an engine: each of them stalls for about that time,
// and one stall may make the whole answer late.
func interferenceCost(u *upstream, work time.Duration) time.Duration {
	return time.Duration(u.total().Long) * work
}

// splitOption is the option to prefill at one engine and decode at another.
func (a *Allocator) splitOption(t *timings, req Request, prefiller, runner *upstream, aff affinity) option {
	tokens := a.uncachedTokens(req, prefiller, aff)
	ahead := time.Duration(prefiller.total().QueuedPrefill) * t.prefillPerToken
	work := time.Duration(tokens) * t.prefillPerToken
	// Slots become free during the prefill elsewhere, but the other requests that await their prefill elsewhere take
	// slots too.
	wait := a.slotWait(t, runner, runner.total().AwaitingPrefill)
	predicted := max(wait, t.prefillBase+ahead+work) + t.firstEventDelay
	return option{
		upstream: runner, prefiller: prefiller, tokens: tokens, queued: max(ahead, wait-work, 0), predicted: predicted,
		cost: predicted + a.engineTimeCost(work) + a.remoteCost(prefiller) + a.remoteCost(runner) +
			a.longAnswerCost(req, runner),
	}
}

func (a *Allocator) engineTimeCost(work time.Duration) time.Duration {
	return time.Duration(a.settings.EngineTimeWeight * float64(work))
}

// longAnswerCost is the cost of one more long answer at an engine; it spreads long answers over the engines.
func (a *Allocator) longAnswerCost(req Request, u *upstream) time.Duration {
	if !a.isLong(req) {
		return 0
	}
	return time.Duration(u.total().Long) * a.settings.LongAnswerPenalty
}

// leastLoaded returns the engine with the lowest cost of decoding: mainly the wait for a slot, the cost of another data
// centre and, for a long answer, of the long answers there; then 1 ms for each short answer, also for those that await
// their prefill elsewhere, and a quarter of the queued prefill's time.
func (a *Allocator) leastLoaded(t *timings, req Request, runners []*upstream) *upstream {
	var best *upstream
	var least time.Duration
	for _, u := range runners {
		load := u.total()
		cost := a.slotWait(t, u, load.AwaitingPrefill) + a.remoteCost(u) +
			time.Duration(load.Short+load.AwaitingPrefill)*time.Millisecond +
			time.Duration(load.QueuedPrefill)*t.mixedPrefillPerToken/4 + a.longAnswerCost(req, u)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	return best
}

// slotWait predicts the wait for a slot behind the requests at an upstream and a number of requests that await their
// prefill elsewhere.
func (a *Allocator) slotWait(t *timings, u *upstream, awaiting int) time.Duration {
	load := u.total()
	// Long answers keep their slots; only the other slots become free as short answers end.
	slots := max(1, u.entry.Slots-load.Long)
	ahead := load.Short + awaiting - slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * t.slotHoldTime / time.Duration(slots)
}

func (a *Allocator) remoteCost(u *upstream) time.Duration {
	if u.entry.DataCentre == a.dataCentre {
		return 0
	}
	return a.settings.RemoteCost + time.Duration(a.settings.ReportAgeWeight*float64(a.remoteAge))
}

// lateQueueShare is the share of its target that a late request may wait in a queue. It is small, so that late requests
// get only the capacity that requests in time don't use.
const lateQueueShare = 0.2

// admissible reports whether the best option serves the request early enough to be worth the slot: its first event must
// be predicted in time, and its queueing time is limited to a share of the time left. Its own prefill doesn't count as
// queueing, so that long prompts don't starve. A request that would not queue is always admitted, because only requests
// that are sent correct the measurements; so are long answers and resumed streams.
func (a *Allocator) admissible(req Request, best option) bool {
	switch {
	case best.queued == 0 || a.isLong(req) || req.Resumed:
		return true
	case best.predicted > req.TimeToDeadline:
		return false
	case req.TimeToTarget <= 0:
		return best.queued <= time.Duration(lateQueueShare*float64(req.Target))
	default:
		return best.predicted <= req.TimeToTarget &&
			best.queued <= time.Duration(a.settings.MaxQueueShare*float64(req.TimeToTarget))
	}
}

func (a *Allocator) isLong(req Request) bool {
	return req.Engine && req.Output >= a.settings.LongOutput
}

// PrefillEnded records the end of the prefill at Prefiller, successful or not; the request then moves to Upstream. It
// must be called exactly once for a placement with a prefiller.
func (a *Allocator) PrefillEnded(now time.Time, p *Placement, outcome Outcome) {
	p.prefillDone = true
	if u := a.upstreams[p.Upstream]; u != nil && !p.long {
		u.own.AwaitingPrefill = max(0, u.own.AwaitingPrefill-1)
		u.own.Short++
	}
	u := a.upstreams[p.Prefiller]
	if u == nil {
		return
	}
	u.own.QueuedPrefill = max(0, u.own.QueuedPrefill-p.tokens)
	if outcome != OutcomeCompleted {
		a.recordFailure(now, p.Prefiller, outcome)
		return
	}
	t := a.timingsOf(u.entry.Service)
	t.observePrefill(&t.prefillPerToken, now.Sub(p.placed), p.PrefillerAhead.QueuedPrefill+p.tokens)
	a.health.Succeeded(now, p.Prefiller, 0)
}

// FirstEventArrived records the arrival of a placement's first event; sent is when the request was sent to Upstream. It
// must be called at most once.
func (a *Allocator) FirstEventArrived(now, sent time.Time, p *Placement) {
	u := a.upstreams[p.Upstream]
	if u == nil || p.started {
		return
	}
	p.started = true
	t := a.timingsOf(u.entry.Service)
	if p.Prefiller == "" {
		u.own.QueuedPrefill = max(0, u.own.QueuedPrefill-p.tokens)
	}
	if p.Ahead.Short+p.Ahead.Long >= u.entry.Slots {
		return
	}
	if p.Prefiller == "" {
		t.observePrefill(&t.mixedPrefillPerToken, now.Sub(sent)-t.firstEventDelay, p.Ahead.QueuedPrefill+p.tokens)
		return
	}
	t.smooth(&t.firstEventDelay, now.Sub(sent))
}

// Outcome is how the work of a placement, or its prefill, ended.
type Outcome int

// Outcomes of a placement.
const (
	// OutcomeCompleted is a complete response.
	OutcomeCompleted Outcome = iota + 1
	// OutcomeUnreachable means that no connection could be opened.
	OutcomeUnreachable
	// OutcomeFailed is a response that failed, was truncated or never arrived.
	OutcomeFailed
	// OutcomeRejected means that the upstream refused the work.
	OutcomeRejected
	// OutcomeCancelled means that the caller cancelled the request or disconnected.
	OutcomeCancelled
)

// Ended removes the work of a placement from the load, and updates health and timings by its outcome. sent is when the
// request was sent to Upstream, zero if it was not.
func (a *Allocator) Ended(now, sent time.Time, p Placement, outcome Outcome) {
	u := a.upstreams[p.Upstream]
	if u == nil {
		return
	}
	if p.Prefiller == "" && !p.started {
		u.own.QueuedPrefill = max(0, u.own.QueuedPrefill-p.tokens)
	}
	switch {
	case p.long:
		u.own.Long = max(0, u.own.Long-1)
	case p.Prefiller != "" && !p.prefillDone:
		u.own.AwaitingPrefill = max(0, u.own.AwaitingPrefill-1)
	default:
		u.own.Short = max(0, u.own.Short-1)
	}
	if outcome != OutcomeCompleted {
		a.recordFailure(now, p.Upstream, outcome)
		return
	}
	a.health.Succeeded(now, p.Upstream, 0)
	if t := a.timingsOf(u.entry.Service); !p.long && !sent.IsZero() && p.Ahead.Short+p.Ahead.Long < u.entry.Slots {
		t.smooth(&t.slotHoldTime, now.Sub(sent))
	}
}

func (a *Allocator) recordFailure(now time.Time, id identifier.UpstreamID, outcome Outcome) {
	switch outcome {
	case OutcomeUnreachable:
		a.health.Unreachable(now, id)
	case OutcomeFailed:
		a.health.Failed(now, id)
	case OutcomeRejected:
		a.health.Rejected(now, id)
	default:
		a.health.Abandoned(id)
	}
}
