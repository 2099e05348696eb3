package allocator

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/core/sharer"
	"rosemaryspool.example/core/tracker"
)

// Request describes a request that has to be placed.
type Request struct {
	Service identifier.ServiceName
	// Engine is true for requests to engines of language models, false for those to plain services.
	Engine bool
	Prompt []PromptPart
	// Content is the trait of the request as a whole; zero if it has none.
	Content isolator.Trait
	// Output is the expected length of the answer in tokens.
	Output identifier.Tokens
	// TimeToTarget is the time left until the response counts as late; negative for a request that is late already.
	TimeToTarget time.Duration
	// Target is the route's latency target.
	Target time.Duration
	// TimeToDeadline is the time left until the caller no longer waits for the response.
	TimeToDeadline time.Duration
	// Excluded lists the upstreams at which attempts of the request have failed, or that the instance can't use.
	Excluded []identifier.UpstreamID
	// SingleUpstream is true if one upstream must run the whole request, so prefill and decode can't be split.
	SingleUpstream bool
	// RateShare is the share of the upstreams' rate limits that the deciding instance uses.
	RateShare float64
	// Resumed is true for a stream of which the caller has received a part already, and for a request that was lost at an
	// upstream: new requests give way to them.
	Resumed bool
	// Version is the software version of the stream that the request resumes; nil if any will do.
	Version *identifier.SoftwareVersion
	// Caller is the account that the request belongs to; empty if it has none.
	Caller identifier.CallerID
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Returned is true if the caller comes back after a refusal.
	Returned bool
	// Repeatable is true for a request that may run again elsewhere.
	Repeatable bool
}

// Traits returns what the request may have in common with others that crash upstreams: all parts of its prompt but the
// last one, and its whole content.
func (r Request) Traits() []isolator.Trait {
	traits := make([]isolator.Trait, 0, len(r.Prompt)+1)
	if r.Content != 0 {
		traits = append(traits, r.Content)
	}
	for _, part := range r.Prompt[:max(0, len(r.Prompt)-1)] {
		traits = append(traits, isolator.NewPartTrait(part.Hash))
	}
	return traits
}

func (r Request) promptTokens() identifier.Tokens {
	total := identifier.Tokens(0)
	for _, part := range r.Prompt {
		total += part.Tokens
	}
	return total
}

// Accepts reports whether an upstream has the version that the request needs.
func (r Request) Accepts(e tracker.Entry) bool { return r.Version == nil || *r.Version == e.Version }

// Placement is where a request runs. The allocator counts its work until Ended is called.
type Placement struct {
	// Upstream runs the request.
	Upstream identifier.UpstreamID
	// Prefiller prefills the prompt first; it is empty if Upstream does so itself.
	Prefiller identifier.UpstreamID
	// Predicted is the predicted time to the first event.
	Predicted time.Duration
	// Tokens is the number of prompt tokens that are expected to be prefilled.
	Tokens identifier.Tokens
	// Long is true for a long answer.
	Long bool
	// Deferred is true for a request that is late in any case: it runs after those in time.
	Deferred bool
	// Ahead and PrefillerAhead are the loads of all instances at Upstream and at Prefiller before this request.
	Ahead          Load
	PrefillerAhead Load
	// Arbiter is the instance that placed the request; empty if this one did so alone.
	Arbiter identifier.InstanceID

	// Level is the urgency of an account's request at an engine; 0 if it has no account. Reordered is true if it and
	// other requests are likely to overtake each other, so that its times don't show an upstream's speed.
	Level     Level
	Reordered bool
	// incarnation is that of Upstream; a later one knows nothing of the request.
	incarnation uint64
	placed      time.Time
	// prefillDone is true once the prefill at Prefiller has ended, started once the first event has arrived.
	prefillDone bool
	started     bool
}

// loads returns the work of a new placement.
func (p Placement) loads() Loads {
	at, atPrefiller := Load{}, Load{}
	switch {
	case p.Long:
		at.Long = 1
	case p.Prefiller != "":
		at.AwaitingPrefill = 1
	default:
		at.Short = 1
	}
	if p.Prefiller == "" {
		p.addPrefill(&at, 1)
		return Loads{p.Upstream: at}
	}
	p.addPrefill(&atPrefiller, 1)
	return Loads{p.Upstream: at, p.Prefiller: atPrefiller}
}

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonNoUpstream means that the service has no usable upstream.
	ReasonNoUpstream Reason = "noUpstream"
	// ReasonBusy means that every upstream has too much load to serve the request in time.
	ReasonBusy Reason = "busy"
	// ReasonShare means that there is too little room for all, and that the account has had its share.
	ReasonShare Reason = "share"
	// ReasonLimited means that every upstream has got as many requests as it has asked for.
	ReasonLimited Reason = "limited"
	// ReasonWaiting means that every upstream has asked this instance to send no requests for a while.
	ReasonWaiting Reason = "waiting"
	// ReasonNoVersion means that no usable upstream has the version at which the stream began.
	ReasonNoVersion Reason = "noVersion"
	// ReasonSuspected means that requests like this one may have crashed upstreams, and that one of them is tried already.
	ReasonSuspected Reason = "suspected"
	// ReasonQuarantined means that requests like this one crash upstreams.
	ReasonQuarantined Reason = "quarantined"
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
	// Arbiter is the instance that refused the request; empty if this one did so alone.
	Arbiter identifier.InstanceID
}

// Place chooses the option with the lowest cost for a request of this instance and counts the request's work there, or
// refuses the request if even that option is not admissible.
func (a *Allocator) Place(now time.Time, req Request) (Placement, *Refusal) {
	place, refusal := a.choose(now, "", a.dataCentre, req)
	if refusal != nil {
		return Placement{}, refusal
	}
	a.Adopt(now, &place, req.Prompt)
	return place, nil
}

// PlaceFor does the same for another instance. The work counts until a report of that instance includes it.
func (a *Allocator) PlaceFor(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, number uint64, req Request,
) (Placement, *Refusal) {
	place, refusal := a.choose(now, instance, dataCentre, req)
	if refusal != nil {
		return Placement{}, refusal
	}
	p, isNew := a.peerOf(instance, req.Service)
	if isNew {
		p.lastReport = now
	}
	p.grants[number] = place.loads()
	a.addPeerLoads(p.grants[number], 1)
	a.healthOf(dataCentre).Sent(place.Upstream)
	a.useCaches(place, req.Prompt)
	return place, nil
}

// Adopt counts the work of a placement for a request of this instance.
func (a *Allocator) Adopt(now time.Time, p *Placement, prompt []PromptPart) {
	p.placed = now
	for id, l := range p.loads() {
		if u := a.upstreams[id]; u != nil {
			u.own.add(l, 1)
		}
	}
	if u := a.upstreams[p.Upstream]; u != nil {
		p.incarnation = u.entry.Incarnation
	}
	a.healthOf(a.dataCentre).Sent(p.Upstream)
	a.useCaches(*p, prompt)
}

// useCaches records that the engines of a placement keep its prompt. A decode engine keeps what it fetches from a
// prefill engine.
func (a *Allocator) useCaches(p Placement, prompt []PromptPart) {
	for _, id := range []identifier.UpstreamID{p.Prefiller, p.Upstream} {
		if u := a.upstreams[id]; u != nil && len(prompt) > 0 {
			u.cache.use(prompt)
		}
	}
}

// choose decides about a request of an instance in a data centre; the empty one is this instance.
func (a *Allocator) choose(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, req Request,
) (Placement, *Refusal) {
	d := a.newDecision(now, instance, dataCentre, req)
	v := d.decide()
	d.countDemand(v.inTime, v.busy)
	if v.best.upstream == nil {
		return Placement{}, d.refuseWithoutOption()
	}
	d.record(v.best, v.reason == "")
	if v.reason != "" {
		return Placement{}, &Refusal{
			Reason: v.reason, RetryAfter: d.retryAfter(v.best, v.late), Predicted: v.best.predicted,
			Upstream: v.best.upstream.entry.Upstream, Ahead: v.best.upstream.load(),
		}
	}
	best := v.best
	place := Placement{
		Upstream: best.upstream.entry.Upstream, Predicted: best.predicted, Tokens: best.tokens, Long: d.isLong(),
		Ahead: best.upstream.load(), Deferred: d.deferred,
	}
	if best.prefiller != nil {
		place.Prefiller = best.prefiller.entry.Upstream
		place.PrefillerAhead = best.prefiller.load()
		best.prefiller.limiter.Take(now, req.RateShare)
	}
	d.describeLevel(&place, best)
	best.upstream.limiter.Take(now, req.RateShare)
	return place, nil
}

func (a *Allocator) newDecision(
	now time.Time, instance identifier.InstanceID, dataCentre identifier.DataCentre, req Request,
) *decision {
	return &decision{
		allocator: a, now: now, instance: instance, dataCentre: dataCentre, req: req, timings: a.timingsOf(req.Service),
	}
}

// verdict is the result of a decision: the option with the lowest cost, and why the request is refused, if it is.
type verdict struct {
	best option
	// inTime is the best option that isn't deferred, late the best deferred one if one was tried.
	inTime option
	late   option
	reason Reason
	// busy is true if the request can't be answered in time.
	busy bool
}

// decide weighs the options. It places nothing.
func (d *decision) decide() verdict {
	d.setShare()
	v := verdict{best: d.best()}
	v.inTime = v.best
	v.busy = v.best.upstream == nil || !d.admissible(v.best)
	if v.best.upstream == nil {
		return v
	}
	if v.busy {
		possible := false
		if v.late, possible = d.deferredOption(); possible {
			v.best = v.late
		} else {
			v.reason = ReasonBusy
		}
	}
	if v.reason == "" && !d.withinShare(v.best) {
		v.reason = ReasonShare
	}
	return v
}

// decision is the choice for one request.
type decision struct {
	allocator *Allocator
	now       time.Time
	// instance sends the request; empty if it is this one.
	instance   identifier.InstanceID
	dataCentre identifier.DataCentre
	req        Request
	timings    *timings
	// sharer divides the service among accounts; nil if the request belongs to none. exceeds is true if the request is
	// beyond its account's share, level is its urgency at an engine.
	sharer  *sharer.Sharer
	exceeds bool
	level   Level
	// deferred is true while the options are those behind all requests in time.
	deferred bool
	// waiting holds the upstreams that could run the request but want none now.
	waiting []*upstream
}

// wish returns how long an upstream wants no request of the instance that sends this one, and why.
func (d *decision) wish(u *upstream) (time.Duration, Reason) {
	if d.instance == "" && d.now.Before(u.waitUntil) {
		return u.waitUntil.Sub(d.now), ReasonWaiting
	}
	if wait := u.limiter.Wait(d.now, d.req.RateShare); wait > 0 {
		// The request that the limit permits next is for one of many callers.
		return max(wait, d.allocator.settings.RetryAfter), ReasonLimited
	}
	return 0, ""
}

// refuseWithoutOption returns the refusal of a request that no upstream may get. Where upstreams only want none now, a
// retry is worthwhile as soon as one of them takes requests again.
func (d *decision) refuseWithoutOption() *Refusal {
	r := &Refusal{Reason: ReasonNoUpstream, RetryAfter: d.allocator.settings.RetryAfter}
	if d.req.Version != nil {
		r.Reason = ReasonNoVersion
	}
	for i, u := range d.waiting {
		if wait, reason := d.wish(u); i == 0 || wait < r.RetryAfter {
			r.RetryAfter, r.Reason, r.Upstream, r.Ahead = wait, reason, u.entry.Upstream, u.load()
		}
	}
	return r
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

// best returns the option with the lowest cost; its upstream is nil if there is none. At engines, options that cost more are
// not tried if this one is not admissible: they take more from other requests than the request is worth.
func (d *decision) best() option {
	runners, prefillers := d.candidates(false)
	if len(runners) == 0 && len(d.waiting) == 0 {
		// Ejected upstreams are better than none: the fault may be at this instance.
		runners, prefillers = d.candidates(true)
	}
	if !d.req.Engine {
		return d.bestPlain(runners)
	}
	var best option
	consider := func(o option) {
		if best.upstream == nil || o.cost < best.cost {
			best = o
		}
	}
	aff := newAffinity(d.req.Prompt, runners, prefillers)
	for _, u := range runners {
		if !d.deferred || d.mayDefer(u) {
			consider(d.directOption(u, aff))
		}
	}
	if d.req.SingleUpstream || len(prefillers) == 0 {
		return best
	}
	byVersion := d.leastLoaded(runners)
	for _, u := range prefillers {
		// An engine can't use what another version has prefilled.
		if runner := byVersion[u.entry.Version]; runner != nil && (!d.deferred || d.mayDefer(u)) {
			consider(d.splitOption(u, runner, aff))
		}
	}
	return best
}

// candidates returns the usable upstreams: those that run requests and those that only prefill. Leaving ones, those of
// another version than the request needs, those that it excludes and those that want no request now are never usable.
func (d *decision) candidates(includeEjected bool) (runners, prefillers []*upstream) {
	d.waiting = nil
	for _, u := range d.allocator.services[d.req.Service] {
		wait, _ := d.wish(u)
		switch {
		case u.entry.Leaving || !d.req.Accepts(u.entry) || slices.Contains(d.req.Excluded, u.entry.Upstream):
		case !includeEjected && d.allocator.isExcluded(d.now, d.instance, d.dataCentre, u):
		case wait > 0:
			if u.entry.Role != tracker.RolePrefill {
				d.waiting = append(d.waiting, u)
			}
		case u.entry.Role == tracker.RolePrefill:
			prefillers = append(prefillers, u)
		default:
			runners = append(runners, u)
		}
	}
	return d.withoutFull(runners), d.withoutFull(prefillers)
}

// directOption is the option to prefill and decode at the same engine.
func (d *decision) directOption(u *upstream, aff affinity) option {
	tokens := d.allocator.uncachedTokens(d.req, u, aff)
	queued := d.slotWait(u, 0) + d.paced(u, d.timings.mixedPrefill.slope(d.ahead(u)))
	work := d.paced(u, d.timings.mixedPrefill.slope(tokens))
	predicted := queued + d.timings.mixedPrefill.base + work + d.timings.firstEventDelay.value
	return option{
		upstream: u, tokens: tokens, queued: queued, predicted: predicted,
		cost: predicted + d.engineTimeCost(work) + d.interferenceCost(u, work) + d.remoteCost(u) + d.longAnswerCost(u),
	}
}

// interferenceCost is the cost of a prefill to the answers that an engine decodes: each of them stalls for about that
// time, and one stall may make a whole answer late.
func (d *decision) interferenceCost(u *upstream, work time.Duration) time.Duration {
	load := u.load()
	short := d.allocator.settings.InterferenceWeight * float64(load.Short+load.AwaitingPrefill)
	return time.Duration((float64(load.Long) + short) * float64(work))
}

// splitOption is the option to prefill at one engine and decode at another.
func (d *decision) splitOption(prefiller, runner *upstream, aff affinity) option {
	tokens := d.allocator.uncachedTokens(d.req, prefiller, aff)
	ahead := d.paced(prefiller, d.timings.prefill.slope(d.ahead(prefiller)))
	work := d.paced(prefiller, d.timings.prefill.slope(tokens))
	// Slots become free during the prefill elsewhere, but the other requests that await their prefill elsewhere take
	// slots too.
	wait := d.slotWait(runner, runner.load().AwaitingPrefill)
	predicted := max(wait, d.timings.prefill.base+ahead+work) + d.timings.firstEventDelay.value
	return option{
		upstream: runner, prefiller: prefiller, tokens: tokens, queued: max(ahead, wait-work, 0), predicted: predicted,
		cost: predicted + d.engineTimeCost(work) + d.remoteCost(prefiller) + d.remoteCost(runner) +
			d.longAnswerCost(runner),
	}
}

func (d *decision) engineTimeCost(work time.Duration) time.Duration {
	return time.Duration(d.allocator.settings.EngineTimeWeight * float64(work))
}

// leastLoaded returns the engine of each version with the lowest cost of decoding a prompt that another engine prefills:
// mainly the wait for a slot, the cost of another data centre and, for a long answer, of the long answers there; then 1 ms
// for each short answer, also for those that await their prefill elsewhere, and a quarter of the queued prefill's time.
func (d *decision) leastLoaded(runners []*upstream) map[identifier.SoftwareVersion]*upstream {
	best := map[identifier.SoftwareVersion]*upstream{}
	least := map[identifier.SoftwareVersion]time.Duration{}
	for _, u := range runners {
		version := u.entry.Version
		load := u.load()
		cost := d.slotWait(u, load.AwaitingPrefill) + d.remoteCost(u) +
			time.Duration(load.Short+load.AwaitingPrefill)*time.Millisecond +
			d.paced(u, d.timings.mixedPrefill.slope(d.queuedPrefill(u)))/4 + d.longAnswerCost(u)
		if best[version] == nil || cost < least[version] {
			best[version], least[version] = u, cost
		}
	}
	return best
}

// slotWait predicts the wait for a slot behind the requests at an upstream and a number of requests that await their
// prefill elsewhere.
func (d *decision) slotWait(u *upstream, awaiting int) time.Duration {
	load := u.load()
	// Long answers keep their slots; only the other slots become free as short answers end.
	slots := max(1, u.entry.Slots-load.Long)
	ahead := load.Short + awaiting - slots + 1
	if ahead <= 0 {
		return 0
	}
	return d.paced(u, time.Duration(ahead)*d.timings.slotHoldTime.value/time.Duration(slots))
}

func (d *decision) remoteCost(u *upstream) time.Duration {
	if u.entry.DataCentre == d.dataCentre {
		return 0
	}
	return d.allocator.settings.RemoteCost
}

// lateQueueShare is the share of its target that a late request may wait in a queue. It is small, so that late requests
// get only the capacity that requests in time don't use.
const lateQueueShare = 0.2

// admissible reports whether an option serves the request early enough to be worth the slot: its first event must
// be predicted in time, and its queueing time is limited to a share of the time left. Its own prefill doesn't count as
// queueing, so that long prompts don't starve. A request that would not queue is always admitted, because only requests
// that are sent correct the measurements; so are long answers and resumed streams.
func (d *decision) admissible(o option) bool {
	req := d.req
	switch {
	case o.queued == 0 || d.isLong() || req.Resumed:
		return true
	case o.predicted > req.TimeToDeadline:
		return false
	case req.TimeToTarget <= 0:
		return o.queued <= time.Duration(lateQueueShare*float64(req.Target))
	default:
		return o.predicted <= req.TimeToTarget &&
			o.queued <= time.Duration(d.allocator.settings.MaxQueueShare*float64(req.TimeToTarget))
	}
}

func (d *decision) isLong() bool {
	return d.req.Engine && d.req.Output >= d.allocator.settings.LongOutput
}
