package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// Ask describes a request that needs a place.
type Ask struct {
	Service identifier.ServiceName
	// Engine is true for requests to language models.
	Engine bool
	Prompt []Part
	// Output is the expected length of the answer.
	Output identifier.Tokens
	// ToTarget is the time until the answer no longer counts as in time; negative for a request that is late already.
	ToTarget time.Duration
	// Target is the time in which the route's answers are in time.
	Target time.Duration
	// Left is the time until nobody waits any more.
	Left time.Duration
	// Tried lists the upstreams that failed the request.
	Tried []identifier.UpstreamID
	// Whole is true where the request must be run by one upstream alone, without another that reads the prompt.
	Whole bool
	// Resumed is true for a stream of which the caller has a part already.
	Resumed bool
}

// Place is where a request runs. The allocator counts its work until it is told of the end.
type Place struct {
	// Upstream runs the request.
	Upstream identifier.UpstreamID
	// Reader reads the prompt first; empty where Upstream reads it itself.
	Reader identifier.UpstreamID
	// Predicted is the time to the first event that the choice rests on.
	Predicted time.Duration
	// Ahead is the work of all instances that was counted at Upstream, and at Reader, before this request.
	Ahead       Load
	ReaderAhead Load
	// PeerAge is the age of the oldest report of another instance that counts in them.
	PeerAge time.Duration

	tokens identifier.Tokens
	placed time.Time
	long   bool
	// read is true once the prompt's read by Reader ended, started once the first event arrived.
	read    bool
	started bool
}

// Reason tells why a request has no place.
type Reason string

// Reasons of refusals.
const (
	// ReasonNoUpstream means that no upstream of the service may be used.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonBusy means that every upstream has more work than lets the request be served in time.
	ReasonBusy Reason = "busy"
)

// Refusal tells that a request can't be served now.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
	// Predicted is the time to the first event at the best upstream, Upstream, which has the work Ahead.
	Predicted time.Duration
	Upstream  identifier.UpstreamID
	Ahead     Load
	// PeerAge is the age of the oldest report that counts in Ahead.
	PeerAge time.Duration
}

// Place finds a place for a request, or refuses it.
func (a *Allocator) Place(now time.Time, ask Ask) (Place, *Refusal) {
	var best option
	for _, o := range a.options(now, ask) {
		if best.upstream == nil || o.cost < best.cost {
			best = o
		}
	}
	if best.upstream == nil {
		return Place{}, &Refusal{Reason: ReasonNoUpstream, RetryAfter: a.settings.RetryAfter}
	}
	if !a.admissible(ask, best) {
		return Place{}, &Refusal{
			Reason: ReasonBusy, RetryAfter: a.settings.RetryAfter, Predicted: best.predicted,
			Upstream: best.upstream.entry.Upstream, Ahead: best.upstream.total(), PeerAge: a.peerAge(now),
		}
	}
	place := Place{
		Upstream:  best.upstream.entry.Upstream,
		Predicted: best.predicted,
		Ahead:     best.upstream.total(),
		PeerAge:   a.peerAge(now),
		tokens:    best.tokens,
		placed:    now,
		long:      a.long(ask),
	}
	switch {
	case place.long:
		best.upstream.own.Long++
	case best.reader != nil:
		best.upstream.own.Coming++
	default:
		best.upstream.own.Short++
	}
	if best.reader != nil {
		place.Reader = best.reader.entry.Upstream
		place.ReaderAhead = best.reader.total()
		best.reader.own.Reading += best.tokens
	} else {
		best.upstream.own.Reading += best.tokens
	}
	a.health.Sent(place.Upstream)
	return place, nil
}

// peerAge returns the age of the oldest report of another instance that still counts.
func (a *Allocator) peerAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range a.peers {
		oldest = max(oldest, now.Sub(p.heard))
	}
	return oldest
}

// option is one way to serve a request.
type option struct {
	upstream *upstream
	reader   *upstream
	// tokens is the part of the prompt that is expected to be read.
	tokens identifier.Tokens
	// queued is the time behind other requests.
	queued time.Duration
	// predicted is the time to the first event, cost also counts what the choice does to others.
	predicted time.Duration
	cost      time.Duration
}

func (a *Allocator) options(now time.Time, ask Ask) []option {
	p := a.paceOf(ask.Service)
	runners, readers := a.candidates(now, ask, false)
	if len(runners) == 0 {
		// Upstreams that look sick are better than none: the fault may be on this side.
		runners, readers = a.candidates(now, ask, true)
	}
	options := make([]option, 0, len(runners)+len(readers))
	if !ask.Engine {
		for _, u := range runners {
			options = append(options, a.plain(p, u))
		}
		return options
	}
	homes := newHomes(ask.Prompt, a.homeCandidates(runners), a.homeCandidates(readers))
	for _, u := range runners {
		options = append(options, a.direct(p, ask, u, homes))
	}
	runner := a.leastWaiting(p, ask, runners)
	if runner == nil || ask.Whole {
		return options
	}
	for _, u := range readers {
		options = append(options, a.split(p, ask, u, runner, homes))
	}
	return options
}

// plain is the option that an upstream other than an engine runs the request.
func (a *Allocator) plain(p *pace, u *upstream) option {
	wait := a.wait(p, u, 0)
	return option{upstream: u, queued: wait, predicted: p.residence + wait, cost: wait + a.remoteCost(u)}
}

// candidates returns the upstreams that may get the request, those that answer and those that only read prompts.
func (a *Allocator) candidates(now time.Time, ask Ask, sick bool) (runners, readers []*upstream) {
	for _, u := range a.services[ask.Service] {
		switch {
		case !a.usable(now, u, ask.Tried, sick):
		case u.entry.Role == tracker.RolePrefill:
			readers = append(readers, u)
		default:
			runners = append(runners, u)
		}
	}
	return runners, readers
}

// direct is the option that an engine reads the prompt itself.
func (a *Allocator) direct(p *pace, ask Ask, u *upstream, h homes) option {
	tokens := a.uncached(ask, u, h)
	queued := a.wait(p, u, 0) + time.Duration(u.total().Reading)*p.directToken
	work := time.Duration(tokens) * p.directToken
	predicted := queued + p.base + work + p.first
	return option{
		upstream: u, tokens: tokens, queued: queued, predicted: predicted,
		cost: predicted + a.weigh(work) + disturb(u, work) + a.remoteCost(u) + a.spread(ask, u),
	}
}

// disturb is the cost of reading a prompt to the long answers at an engine: each of them stands still for about that time,
// and a pause may make it late as a whole.
func disturb(u *upstream, work time.Duration) time.Duration {
	return time.Duration(u.total().Long) * work
}

// split is the option that one engine reads the prompt and another makes the answer.
func (a *Allocator) split(p *pace, ask Ask, reader, runner *upstream, h homes) option {
	tokens := a.uncached(ask, reader, h)
	ahead := time.Duration(reader.total().Reading) * p.readToken
	work := time.Duration(tokens) * p.readToken
	// Slots free while the prompt is read elsewhere, and others whose prompts are read take them.
	wait := a.wait(p, runner, runner.total().Coming)
	predicted := max(wait, p.base+ahead+work) + p.first
	return option{
		upstream: runner, reader: reader, tokens: tokens, queued: max(ahead, wait-work, 0), predicted: predicted,
		cost: predicted + a.weigh(work) + a.remoteCost(reader) + a.remoteCost(runner) + a.spread(ask, runner),
	}
}

func (a *Allocator) weigh(work time.Duration) time.Duration {
	return time.Duration(a.settings.WorkWeight * float64(work))
}

// spread is the cost of one more long answer at an engine.
func (a *Allocator) spread(ask Ask, u *upstream) time.Duration {
	if !a.long(ask) {
		return 0
	}
	return time.Duration(u.total().Long) * a.settings.LongSpread
}

// leastWaiting returns the engine with the shortest wait for a slot; among equals the one in this data centre, then the
// one with the fewest answers.
func (a *Allocator) leastWaiting(p *pace, ask Ask, runners []*upstream) *upstream {
	var best *upstream
	var least time.Duration
	for _, u := range runners {
		t := u.total()
		cost := a.wait(p, u, t.Coming) + a.remoteCost(u) + time.Duration(t.Short+t.Coming)*time.Millisecond +
			time.Duration(t.Reading)*p.directToken/4 + a.spread(ask, u)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	return best
}

// wait predicts when a slot is free for one more request behind those that are there and some that are coming.
func (a *Allocator) wait(p *pace, u *upstream, coming int) time.Duration {
	t := u.total()
	// Long answers keep their slots; what is left turns over with the short ones.
	turning := max(1, u.entry.Slots-t.Long)
	ahead := t.Short + coming - turning + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * p.residence / time.Duration(turning)
}

func (a *Allocator) remoteCost(u *upstream) time.Duration {
	if u.entry.DataCentre == a.dataCentre {
		return 0
	}
	return a.settings.RemoteCost + time.Duration(a.settings.AgeWeight*float64(a.remoteAge))
}

// lateShare is the share of its target that a late request may spend behind others: it gets only what fresh ones leave.
const lateShare = 0.2

// admissible tells whether the best option serves the request in a way that is worth the slot. The queue decides, not the
// request's own length: long prompts must not starve. Where nothing is queued the request is always sent, since only
// requests that are sent correct the measurements.
func (a *Allocator) admissible(ask Ask, best option) bool {
	switch {
	case best.queued == 0 || a.long(ask) || ask.Resumed:
		return true
	case best.predicted > ask.Left:
		return false
	case ask.ToTarget <= 0:
		return best.queued <= time.Duration(lateShare*float64(ask.Target))
	default:
		return best.predicted <= ask.ToTarget && best.queued <= time.Duration(a.settings.QueueShare*float64(ask.ToTarget))
	}
}

func (a *Allocator) long(ask Ask) bool { return ask.Engine && ask.Output >= a.settings.LongOutput }

// ReadEnded tells that the prompt's read of a place ended, well or not: the request goes on to Upstream. It must be told
// once for a place with a reader.
func (a *Allocator) ReadEnded(now time.Time, p *Place, outcome Outcome) {
	p.read = true
	if u := a.upstreams[p.Upstream]; u != nil && !p.long {
		u.own.Coming = max(0, u.own.Coming-1)
		u.own.Short++
	}
	u := a.upstreams[p.Reader]
	if u == nil {
		return
	}
	u.own.Reading = max(0, u.own.Reading-p.tokens)
	if outcome != OutcomeWhole {
		a.failed(now, p.Reader, outcome)
		return
	}
	pace := a.paceOf(u.entry.Service)
	pace.learnToken(&pace.readToken, now.Sub(p.placed), p.ReaderAhead.Reading+p.tokens)
	a.health.Succeeded(now, p.Reader, 0)
}

// Progressed tells when the first event of a place arrived; sent is when the request was sent to Upstream. It must be told
// at most once.
func (a *Allocator) Progressed(now, sent time.Time, p *Place) {
	u := a.upstreams[p.Upstream]
	if u == nil || p.started {
		return
	}
	p.started = true
	pace := a.paceOf(u.entry.Service)
	if p.Reader == "" {
		u.own.Reading = max(0, u.own.Reading-p.tokens)
	}
	if p.Ahead.Short+p.Ahead.Long >= u.entry.Slots {
		return
	}
	if p.Reader == "" {
		pace.learnToken(&pace.directToken, now.Sub(sent)-pace.first, p.Ahead.Reading+p.tokens)
		return
	}
	pace.move(&pace.first, now.Sub(sent))
}

// Outcome tells how a place's work ended.
type Outcome int

// Outcomes of a place's work.
const (
	// OutcomeWhole is a whole answer.
	OutcomeWhole Outcome = iota + 1
	// OutcomeUnreachable means that no connection could be opened.
	OutcomeUnreachable
	// OutcomeBroken is an answer that failed, ended early or never came.
	OutcomeBroken
	// OutcomeRejected means that the upstream refused the work.
	OutcomeRejected
	// OutcomeAbandoned means that the caller left.
	OutcomeAbandoned
)

// Ended takes back the work of a place and learns from its outcome; sent is when the request was sent to Upstream, zero
// when it was not.
func (a *Allocator) Ended(now, sent time.Time, p Place, outcome Outcome) {
	u := a.upstreams[p.Upstream]
	if u == nil {
		return
	}
	if p.Reader == "" && !p.started {
		u.own.Reading = max(0, u.own.Reading-p.tokens)
	}
	switch {
	case p.long:
		u.own.Long = max(0, u.own.Long-1)
	case p.Reader != "" && !p.read:
		u.own.Coming = max(0, u.own.Coming-1)
	default:
		u.own.Short = max(0, u.own.Short-1)
	}
	if outcome != OutcomeWhole {
		a.failed(now, p.Upstream, outcome)
		return
	}
	a.health.Succeeded(now, p.Upstream, 0)
	if pace := a.paceOf(u.entry.Service); !p.long && !sent.IsZero() && p.Ahead.Short+p.Ahead.Long < u.entry.Slots {
		pace.move(&pace.residence, now.Sub(sent))
	}
}

func (a *Allocator) failed(now time.Time, id identifier.UpstreamID, outcome Outcome) {
	switch outcome {
	case OutcomeUnreachable:
		a.health.Unreachable(now, id)
	case OutcomeBroken:
		a.health.Broken(now, id)
	case OutcomeRejected:
		a.health.Rejected(now, id)
	default:
		a.health.Abandoned(id)
	}
}
