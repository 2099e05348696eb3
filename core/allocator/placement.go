package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

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
	// incarnation is that of Upstream, prefillerIncarnation that of Prefiller; later ones know nothing of the request.
	incarnation          uint64
	prefillerIncarnation uint64
	placed               time.Time
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
	if u := a.upstreams[p.Prefiller]; u != nil {
		p.prefillerIncarnation = u.entry.Incarnation
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
