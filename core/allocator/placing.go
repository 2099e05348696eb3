package allocator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// Ask describes a request that needs a place.
type Ask struct {
	Service identifier.ServiceName
	// Engine is true for requests to language models.
	Engine bool
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank   int
	Prompt []Part
	// Output is the expected length of the answer.
	Output identifier.Tokens
	// ToTarget is the time until the answer no longer counts as in time; negative for a request that is late already.
	ToTarget time.Duration
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

	placed time.Time
	long   bool
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
	// RetryAfter is when there will be room, by the work that is counted now.
	RetryAfter time.Duration
	// Predicted is the time to the first event at the best upstream.
	Predicted time.Duration
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
		return Place{}, &Refusal{Reason: ReasonBusy, RetryAfter: a.settings.RetryAfter, Predicted: best.predicted}
	}
	place := Place{
		Upstream:  best.upstream.entry.Upstream,
		Predicted: best.predicted,
		Ahead:     best.upstream.total(),
		placed:    now,
		long:      a.long(ask),
	}
	if place.long {
		best.upstream.own.Long++
	} else {
		best.upstream.own.Short++
	}
	if best.reader != nil {
		place.Reader = best.reader.entry.Upstream
		place.ReaderAhead = best.reader.total()
		best.reader.own.Reading++
	}
	a.health.Sent(place.Upstream)
	return place, nil
}

// option is one way to serve a request.
type option struct {
	upstream *upstream
	reader   *upstream
	// predicted is the time to the first event, cost also counts what the choice does to others.
	predicted time.Duration
	cost      time.Duration
}

func (a *Allocator) options(now time.Time, ask Ask) []option {
	p := a.paceOf(ask.Service)
	var runners, readers []*upstream
	for _, u := range a.services[ask.Service] {
		switch {
		case !a.usable(now, u, ask.Tried):
		case u.entry.Role == tracker.Prefill:
			readers = append(readers, u)
		default:
			runners = append(runners, u)
		}
	}
	subject := subjectOf(ask.Prompt)
	reader := a.bestReader(p, readers, subject)
	options := make([]option, 0, 2*len(runners))
	for _, u := range runners {
		wait := a.wait(p, u)
		remote := a.remoteCost(u)
		if !ask.Engine {
			options = append(options, option{upstream: u, predicted: p.residence + wait, cost: wait + remote})
			continue
		}
		direct := p.direct
		if subject != 0 && u == preferred(runners, subject) {
			direct = direct * 2 / 3
		}
		others := time.Duration(u.total().Short+u.total().Long) * direct / time.Duration(2*max(1, u.entry.Slots))
		options = append(options, option{
			upstream: u, predicted: wait + direct + p.first, cost: wait + direct + others + remote,
		})
		if reader == nil || ask.Whole {
			continue
		}
		reading := a.readTime(p, reader)
		// The slot frees while the prompt is read elsewhere.
		options = append(options, option{
			upstream: u, reader: reader,
			predicted: max(wait, reading) + p.first,
			cost:      max(wait, reading) + wait/4 + remote + a.remoteCost(reader),
		})
	}
	return options
}

// readTime predicts when one more prompt is read at an engine that only reads.
func (a *Allocator) readTime(p *pace, u *upstream) time.Duration {
	return time.Duration(u.total().Reading+1) * p.read
}

// wait predicts when a slot is free for one more request.
func (a *Allocator) wait(p *pace, u *upstream) time.Duration {
	t := u.total()
	// Long answers keep their slots; what is left turns over with the short ones.
	turning := max(1, u.entry.Slots-t.Long)
	ahead := t.Short - turning + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * p.residence / time.Duration(turning)
}

func (a *Allocator) remoteCost(u *upstream) time.Duration {
	if u.entry.DataCentre == a.dataCentre {
		return 0
	}
	return a.settings.RemoteCost
}

func (a *Allocator) bestReader(p *pace, readers []*upstream, subject uint64) *upstream {
	var best *upstream
	var least time.Duration
	home := preferred(readers, subject)
	for _, u := range readers {
		cost := a.readTime(p, u) + a.remoteCost(u)
		if u == home {
			cost -= p.read / 2
		}
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	return best
}

// admissible tells whether the best option serves the request in a way that is worth the slot. A request that can still
// be in time must be predicted to be; one that is late already gets what would otherwise stay free.
func (a *Allocator) admissible(ask Ask, best option) bool {
	if best.predicted > ask.Left {
		return false
	}
	if a.long(ask) || ask.Resumed {
		return true
	}
	if ask.ToTarget <= 0 {
		return best.predicted-a.paceOf(ask.Service).first <= 2*a.settings.ReadTime
	}
	return best.predicted <= time.Duration(a.settings.TargetShare*float64(ask.ToTarget))
}

func (a *Allocator) long(ask Ask) bool { return ask.Engine && ask.Output >= a.settings.LongOutput }

// ReadEnded tells that the prompt's read of a place ended, well or not.
func (a *Allocator) ReadEnded(now time.Time, p Place, whole bool) {
	u := a.upstreams[p.Reader]
	if u == nil {
		return
	}
	u.own.Reading = max(0, u.own.Reading-1)
	if whole {
		pace := a.paceOf(u.entry.Service)
		pace.move(&pace.read, now.Sub(p.placed)/time.Duration(p.ReaderAhead.Reading+1))
		a.health.Succeeded(now, p.Reader, 0)
	}
}

// Progressed tells when the first event of a place arrived.
func (a *Allocator) Progressed(now time.Time, p Place) {
	u := a.upstreams[p.Upstream]
	if u == nil || p.Ahead.Short+p.Ahead.Long >= u.entry.Slots {
		return
	}
	pace := a.paceOf(u.entry.Service)
	if p.Reader == "" {
		pace.move(&pace.first, now.Sub(p.placed)-pace.direct)
		return
	}
	pace.move(&pace.first, now.Sub(p.placed)-time.Duration(p.ReaderAhead.Reading+1)*pace.read)
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

// Ended takes back the work of a place and learns from its outcome.
func (a *Allocator) Ended(now time.Time, p Place, outcome Outcome) {
	u := a.upstreams[p.Upstream]
	if u == nil {
		return
	}
	if p.long {
		u.own.Long = max(0, u.own.Long-1)
	} else {
		u.own.Short = max(0, u.own.Short-1)
	}
	switch outcome {
	case OutcomeWhole:
		a.health.Succeeded(now, p.Upstream, 0)
		if pace := a.paceOf(u.entry.Service); !p.long && p.Ahead.Short+p.Ahead.Long < u.entry.Slots {
			pace.move(&pace.residence, now.Sub(p.placed))
		}
	default:
		a.failed(now, p.Upstream, outcome)
	}
}

// ReadFailed tells how a prompt's read failed.
func (a *Allocator) ReadFailed(now time.Time, p Place, outcome Outcome) {
	a.failed(now, p.Reader, outcome)
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

// subjectOf returns a hash of the longest shared part of a prompt: the last part is the request's own.
func subjectOf(prompt []Part) uint64 {
	if len(prompt) < 2 {
		return 0
	}
	return hash(prompt[len(prompt)-2].ID)
}

// preferred returns the upstream that all instances choose for a subject, by rendezvous hashing.
func preferred(us []*upstream, subject uint64) *upstream {
	var best *upstream
	var most uint64
	for _, u := range us {
		weight := mix(u.hash ^ subject)
		if best == nil || weight > most {
			best, most = u, weight
		}
	}
	return best
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// mix spreads a combined hash over all bits; it is the finalizer of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
