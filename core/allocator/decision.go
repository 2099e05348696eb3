package allocator

import (
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/sharer"
	"rosemaryspool.example/core/tracker"
)

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

// best returns the option with the lowest cost; its upstream is nil if there is none. At engines, options that cost more are
// not tried if this one is not admissible: they take more from other requests than the request is worth.
func (d *decision) best() option {
	runners, prefillers := d.candidates()
	if !d.req.Engine {
		return d.bestPlain(runners)
	}
	var best option
	aff := newAffinity(d.req.Prompt, runners, prefillers)
	for _, u := range runners {
		if !d.deferred || d.mayDefer(u) {
			best = best.orCheaper(d.directOption(u, aff))
		}
	}
	if d.req.SingleUpstream || len(prefillers) == 0 {
		return best
	}
	byVersion := d.leastLoaded(runners)
	for _, u := range prefillers {
		// An engine can't use what another version has prefilled.
		if runner := byVersion[u.entry.Version]; runner != nil && (!d.deferred || d.mayDefer(u)) {
			best = best.orCheaper(d.splitOption(u, runner, aff))
		}
	}
	return best
}

// candidates returns the usable upstreams: those that run requests and those that only prefill. Ejected ones are better than
// none: the fault may be at this instance.
func (d *decision) candidates() (runners, prefillers []*upstream) {
	runners, prefillers = d.filter(false)
	if len(runners) == 0 && len(d.waiting) == 0 {
		return d.filter(true)
	}
	return runners, prefillers
}

// filter returns the usable upstreams, with the ejected ones or without. Leaving ones, those of another version than the
// request needs, those that it excludes and those that want no request now are never usable.
func (d *decision) filter(includeEjected bool) (runners, prefillers []*upstream) {
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
