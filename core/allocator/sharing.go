package allocator

import (
	"math"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/sharer"
)

// Level is the urgency of an account's request at an engine; 1 is the most urgent. The level 0 is that of requests without
// an account, which engines run in the order of their arrival as far as the allocator is concerned.
type Level int

// lastLevel is the least urgent level.
const lastLevel Level = sharer.Levels

// NewLevel returns the level with a number. Those that this version doesn't know count as the nearest one.
func NewLevel(number int) Level { return Level(max(0, min(number, int(lastLevel)))) }

// Level returns the urgency of a request that is within its account's share.
func (r Request) Level() Level {
	if r.Caller == "" {
		return 0
	}
	return Level(min(max(r.Rank, 0), sharer.Levels-1) + 1)
}

const (
	// pressureWindow is the time constant of the share of an engine's time that urgent prefills take. It is a few times
	// the time that a request may wait.
	pressureWindow = 500 * time.Millisecond
	// maxPressure bounds that share, as a short peak says little about the time to come.
	maxPressure = 0.8
	// overtakenPressure is the share from which on the times of less urgent requests don't show an engine's speed.
	overtakenPressure = 0.1
	// smallPrefill is the number of tokens below which the rest of a less urgent prefill's chunk, which an engine ends first,
	// takes a notable part of the time.
	smallPrefill identifier.Tokens = 4096
	// spareQueueShare is the share of its target that may be queued with a request beyond its account's share of the service.
	// It keeps engines busy, and leaves the rest of the queue, up to MaxQueueShare, to the other accounts.
	spareQueueShare = 0.35
	// longAnswerHolds is how many times as long as a short answer a long one is assumed to hold its slot.
	longAnswerHolds = 10
	// Callers honour a Retry-After up to about a third of the time that they have left. Longer waits than they would honour
	// are spread over the later part of what they do.
	returnShare = 0.3
	minReturn   = 20 * time.Millisecond
)

// pressure is how much of an engine's time prefills of each level of urgency have taken lately, discounted by age.
type pressure struct {
	updated time.Time
	work    [sharer.Levels]float64
}

func (p *pressure) age(now time.Time) {
	elapsed := now.Sub(p.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(pressureWindow))
	for i := range p.work {
		p.work[i] *= factor
	}
	p.updated = now
}

func (p *pressure) add(now time.Time, level Level, work time.Duration) {
	p.age(now)
	p.work[level-1] += float64(work) / float64(pressureWindow)
}

// above returns the share of the engine's time that prefills take which overtake those of a level.
func (p *pressure) above(now time.Time, level Level) float64 {
	p.age(now)
	share := 0.0
	for _, work := range p.work[:level-1] {
		share += work
	}
	return min(share, maxPressure)
}

// aheadOf returns the queued prefill that an engine does before that of a request of a level.
func (l Load) aheadOf(level Level) identifier.Tokens {
	ahead := l.QueuedPrefill
	if level > 0 {
		for _, tokens := range l.Levels[level:] {
			ahead -= tokens
		}
	}
	return max(0, ahead)
}

// ahead returns the tokens that an engine prefills before the request: those that are queued ahead of it, and those of
// the more urgent requests that will come while it waits.
func (d *decision) ahead(u *upstream) identifier.Tokens {
	level, load := d.level, u.load()
	queued := d.queuedPrefill(u)
	if d.deferred {
		return queued
	}
	ahead := queued - load.QueuedPrefill + load.aheadOf(level)
	if level <= 1 || ahead == 0 {
		return ahead
	}
	return identifier.Tokens(float64(ahead) / (1 - u.pressure.above(d.now, level)))
}

// setShare finds out whether the request is beyond its account's share of the service, and how urgent that makes it.
func (d *decision) setShare() {
	d.level = d.req.Level()
	if d.level == 0 {
		return
	}
	d.sharer = d.allocator.sharerOf(d.req.Service)
	d.exceeds = !d.req.Resumed && d.sharer.Exceeds(d.now, d.req.Caller, int(d.level-1))
	if d.exceeds {
		d.level = max(d.level, Level(d.sharer.LeastUrgent(d.now)+1))
	}
}

func (a *Allocator) sharerOf(service identifier.ServiceName) *sharer.Sharer {
	s := a.sharers[service]
	if s == nil {
		s = sharer.NewSharer()
		a.sharers[service] = s
	}
	return s
}

// engineTime returns how much of an upstream's time the request takes: its prefill, and its slot for as long as it holds
// it.
func (d *decision) engineTime(o option) time.Duration {
	hold := d.timings.slotHoldTime.value
	if d.isLong() {
		hold *= longAnswerHolds
	}
	return d.prefillTime(o) + hold/time.Duration(max(1, o.upstream.entry.Slots))
}

func (d *decision) prefillTime(o option) time.Duration {
	switch {
	case !d.req.Engine:
		return 0
	case o.prefiller != nil:
		return d.paced(o.prefiller, d.timings.prefill.slope(o.tokens))
	default:
		return d.paced(o.upstream, d.timings.mixedPrefill.slope(o.tokens))
	}
}

// backlog returns the time that an option's upstreams need for all requests that are there already, urgent or not.
func (d *decision) backlog(o option) time.Duration {
	switch {
	case !d.req.Engine:
		return o.queued
	case o.prefiller != nil:
		return max(o.queued, d.paced(o.prefiller, d.timings.prefill.slope(o.prefiller.load().QueuedPrefill)))
	default:
		return max(o.queued, d.slotWait(o.upstream, 0)+
			d.paced(o.upstream, d.timings.mixedPrefill.slope(o.upstream.load().QueuedPrefill)))
	}
}

// withinShare reports whether the request is one that its account may have at this time. Beyond its share an account only
// gets what is left over: places behind a short queue.
func (d *decision) withinShare(o option) bool {
	if !d.exceeds {
		return true
	}
	backlog := d.backlog(o)
	return backlog == 0 || backlog+d.prefillTime(o) <= time.Duration(spareQueueShare*float64(d.req.Target))
}

// record counts the decision on the request for its account and for the engine that gets it.
func (d *decision) record(o option, admitted bool) {
	if d.sharer == nil {
		return
	}
	d.sharer.Record(d.now, d.req.Caller, int(d.req.Level()-1), d.engineTime(o), admitted)
	if !admitted || !d.req.Engine || d.deferred {
		return
	}
	o.reader().pressure.add(d.now, d.level, d.prefillTime(o))
}

// retryAfter returns when a refused request should return: when there will be room for it, behind the account's others
// that were refused before. Those that can't wait so long are spread over time. late is the best deferred option, if the
// request may be deferred.
func (d *decision) retryAfter(o, late option) time.Duration {
	switch {
	case d.sharer == nil && late.upstream == nil:
		return d.allocator.settings.RetryAfter
	case d.sharer == nil:
		return d.comeBackAfter(late)
	}
	wait := max(minReturn, d.sharer.Reserve(d.now, d.req.Caller, d.engineTime(o)))
	longest := max(minReturn, time.Duration(returnShare*float64(d.req.TimeToDeadline)))
	if wait <= longest {
		return wait
	}
	return longest - d.allocator.nextSpread(longest/2)
}

// describeLevel sets what a placement says of its urgency, and of the work that comes before it.
func (d *decision) describeLevel(p *Placement, o option) {
	p.Level = d.level
	if p.Level == 0 {
		return
	}
	reader := o.reader()
	load := reader.load()
	ahead := load.aheadOf(p.Level)
	p.Ahead.QueuedPrefill = o.upstream.load().aheadOf(p.Level)
	if o.prefiller != nil {
		p.PrefillerAhead.QueuedPrefill = ahead
	}
	overtakes := load.QueuedPrefill > ahead && ahead+o.tokens < smallPrefill
	overtaken := ahead > 0 && reader.pressure.above(d.now, p.Level) > overtakenPressure
	p.Reordered = overtakes || overtaken
}

// Learn counts another instance's decision on a request of this one, so that this instance knows the shares when it has to
// decide itself.
func (a *Allocator) Learn(now time.Time, req Request, admitted bool) {
	if req.Caller == "" {
		return
	}
	t := a.timingsOf(req.Service)
	cost := t.slotHoldTime.value
	if req.Engine {
		cost = t.prefill.slope(req.promptTokens())
	}
	a.sharerOf(req.Service).Record(now, req.Caller, int(req.Level()-1), cost, admitted)
}

// ShareLimit returns the limit on one account's part of a service, infinite while there is room for all.
func (a *Allocator) ShareLimit(now time.Time, service identifier.ServiceName) float64 {
	if s := a.sharers[service]; s != nil {
		return s.Limit(now)
	}
	return math.Inf(1)
}

// Shares returns the accounts that ask for most of a service, at most count of them, and the limit on one account's part;
// infinite while there is room for all. There are none where requests belong to no accounts.
func (a *Allocator) Shares(now time.Time, service identifier.ServiceName, count int) (largest []sharer.Share, limit float64) {
	s := a.sharers[service]
	if s == nil {
		return nil, math.Inf(1)
	}
	return s.Shares(now, count)
}
