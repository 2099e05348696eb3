package scaler

import (
	"cmp"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/core/tracker"
)

// Pool is the servers of one kind in one data centre. They are ordered by number.
type Pool struct {
	DataCentre identifier.DataCentre
	Spot       bool
}

// Cause is why a number is ordered.
type Cause string

// Causes of orders.
const (
	// CauseDemand means that the number follows the demand.
	CauseDemand Cause = "demand"
	// CauseCheaper means that servers of the other kind do the same for less.
	CauseCheaper Cause = "cheaper"
	// CauseReclaimed means that spot servers of some data centre leave.
	CauseReclaimed Cause = "reclaimed"
	// CauseNotFollowed means that the list of servers does not follow an earlier order.
	CauseNotFollowed Cause = "notFollowed"
	// CauseUncertain means that an earlier call without a response may still be carried out.
	CauseUncertain Cause = "uncertain"
)

// Order is a number of servers to be ordered for a pool.
type Order struct {
	Pool  Pool
	Count int
	// Before is the number that was ordered last, or found.
	Before int
	Cause  Cause
}

// Outcome is how an order's call ended.
type Outcome int

// Outcomes of a call.
const (
	// OutcomeAccepted means that the platform carries the order out.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeNone means that the platform has no such servers there at the moment.
	OutcomeNone
	// OutcomeRefused means that the call was not carried out for another reason.
	OutcomeRefused
	// OutcomeUncertain means that the call may have been carried out, or may be later.
	OutcomeUncertain
)

// String returns the name of the outcome as written in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeAccepted:
		return "accepted"
	case OutcomeNone:
		return "noneAvailable"
	case OutcomeRefused:
		return "refused"
	default:
		return "uncertain"
	}
}

// uncertainCall is a call without a response: it may be carried out until a time.
type uncertainCall struct {
	count int
	until time.Time
}

type poolState struct {
	// desired is the number in force: the last one that was ordered, or that was found.
	desired   int
	orderedAt time.Time
	// shrunkAt is when fewer were last ordered; servers that leave then are not reclaimed.
	shrunkAt  time.Time
	uncertain []uncertainCall
	// repeat is set while the last call failed.
	repeat bool
	// pausedUntil is when the next order may be made after a failed call. scarceUntil is until when the platform is taken to
	// have no such servers; scarcity is for how long that was assumed the last time.
	pausedUntil time.Time
	scarceUntil time.Time
	scarcity    time.Duration
	ready       int
	leaving     int
	// found is the number of servers that were there before the first order.
	found int
	// aboveSince is since when there are more than needed; zero if there aren't.
	aboveSince time.Time
}

// count updates the pools from the list of servers.
func (s *Scaler) count(now time.Time, bounds matcher.Scaling, servers []tracker.Entry) {
	listed := map[Pool]*poolState{}
	at := func(p Pool) *poolState {
		if listed[p] == nil {
			listed[p] = &poolState{}
		}
		return listed[p]
	}
	for dataCentre := range bounds.Prices {
		at(Pool{DataCentre: dataCentre})
		if bounds.SpotPrice > 0 {
			at(Pool{DataCentre: dataCentre, Spot: true})
		}
	}
	for _, e := range servers {
		p := at(Pool{DataCentre: e.DataCentre, Spot: e.Spot})
		if e.Leaving {
			p.leaving++
		} else {
			p.ready++
		}
	}
	for pool, seen := range listed {
		known := s.pools[pool]
		if known == nil {
			known = &poolState{}
			s.pools[pool] = known
		}
		if known.orderedAt.IsZero() {
			// The list may not be complete at first.
			if seen.ready > known.found {
				known.found, s.foundAt = seen.ready, now
			}
			known.desired = known.found
		}
		leaves := seen.leaving > known.leaving && seen.ready < known.ready
		if pool.Spot && leaves && now.Sub(known.shrunkAt) > s.settings.LateTime {
			s.reclaimedAt = now
			known.scarceUntil = now.Add(s.settings.ScarceTime)
		}
		known.ready, known.leaving = seen.ready, seen.leaving
	}
	for pool, p := range s.pools {
		// While servers are replaced, more than the limit may be there.
		most := bounds.Max
		if normal := s.pools[Pool{DataCentre: pool.DataCentre}]; pool.Spot && normal != nil {
			most -= min(normal.desired, most)
		}
		p.desired = min(p.desired, most)
	}
}

// orders returns the orders that lead from the numbers in force to the targets.
func (s *Scaler) orders(now time.Time, bounds matcher.Scaling, targets map[Pool]int, plan Plan) []Order {
	pools := make([]Pool, 0, len(s.pools))
	for pool := range s.pools {
		if _, priced := bounds.Prices[pool.DataCentre]; priced && (!pool.Spot || bounds.SpotPrice > 0) {
			pools = append(pools, pool)
		}
	}
	slices.SortFunc(pools, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(bounds.Prices[a.DataCentre], bounds.Prices[b.DataCentre]),
			cmp.Compare(a.DataCentre, b.DataCentre))
	})
	var orders []Order
	for _, pool := range pools {
		if o, due := s.order(now, pool, bounds, targets, plan); due {
			orders = append(orders, o)
			if o.Count < s.pools[pool].ready {
				plan.Ready -= s.pools[pool].ready - o.Count
			}
		}
	}
	return orders
}

// order returns the order for one pool, and false if none is due.
func (s *Scaler) order(
	now time.Time, pool Pool, bounds matcher.Scaling, targets map[Pool]int, plan Plan,
) (Order, bool) {
	p := s.pools[pool]
	p.uncertain = slices.DeleteFunc(p.uncertain, func(c uncertainCall) bool { return !now.Before(c.until) })
	switch {
	case now.Before(p.pausedUntil):
		return Order{}, false
	case now.Before(p.scarceUntil):
		return s.release(now, pool, bounds, targets)
	}
	target := min(targets[pool], bounds.Max-s.occupied(Pool{pool.DataCentre, !pool.Spot}))
	switch {
	case target >= p.desired:
		p.aboveSince = time.Time{}
	case p.aboveSince.IsZero():
		p.aboveSince = now
	}
	o := Order{Pool: pool, Count: p.desired, Before: p.desired}
	overdue := now.Sub(p.orderedAt)
	switch {
	case target > p.desired:
		o.Count, o.Cause = target, s.growCause(now, pool, plan)
	case target < p.desired && s.mayShrink(now, pool, p, bounds):
		o.Count, o.Cause = s.shrink(pool, target, targets, plan), CauseDemand
		if !pool.Spot && bounds.SpotPrice > 0 {
			o.Cause = CauseCheaper
		}
		return o, o.Count < p.desired
	case p.repeat, p.mayShrinkLate() && overdue > s.settings.FollowTime:
		o.Cause = CauseUncertain
	case p.ready != p.desired && overdue > bounds.BootTime+s.settings.FollowTime:
		o.Cause = CauseNotFollowed
	default:
		return Order{}, false
	}
	return o, true
}

// growCause returns why more servers are ordered for a pool.
func (s *Scaler) growCause(now time.Time, pool Pool, plan Plan) Cause {
	switch {
	case pool.Spot && plan.Total <= plan.Ready:
		return CauseCheaper
	case now.Sub(s.reclaimedAt) < s.settings.LateTime:
		return CauseReclaimed
	default:
		return CauseDemand
	}
}

// occupied returns how many places of a data centre a pool takes.
func (s *Scaler) occupied(pool Pool) int {
	if p := s.pools[pool]; p != nil {
		return max(p.desired, p.ready)
	}
	return 0
}

// release returns an order for no more spot servers than there are, if others are not to be had and normal ones are to take
// their places.
func (s *Scaler) release(now time.Time, pool Pool, bounds matcher.Scaling, targets map[Pool]int) (Order, bool) {
	p, normal := s.pools[pool], Pool{DataCentre: pool.DataCentre}
	switch {
	case !pool.Spot || p.repeat || p.ready >= p.desired:
		return Order{}, false
	case now.Before(s.pools[normal].pausedUntil) || targets[normal] <= bounds.Max-s.occupied(pool):
		return Order{}, false
	}
	return Order{Pool: pool, Count: p.ready, Before: p.desired, Cause: CauseReclaimed}, true
}

// mayShrinkLate reports whether a call that asks for fewer servers than the number in force may still be carried out.
func (p *poolState) mayShrinkLate() bool {
	return slices.ContainsFunc(p.uncertain, func(c uncertainCall) bool { return c.count < p.desired })
}

// mayShrink reports whether fewer servers may be ordered for a pool now: not while the outcome of an earlier call is open,
// in steps, and not before they have been too many for a while. Spot servers replace normal ones sooner, and at once while
// nobody sends requests yet.
func (s *Scaler) mayShrink(now time.Time, pool Pool, p *poolState, bounds matcher.Scaling) bool {
	delay := s.settings.ShrinkDelay
	if !pool.Spot && bounds.SpotPrice > 0 {
		delay = s.settings.ShrinkInterval
		if s.history.first.IsZero() {
			delay = 0
		}
	}
	return !p.repeat && len(p.uncertain) == 0 && now.Sub(p.aboveSince) >= delay &&
		now.Sub(s.shrunkAt) >= s.settings.ShrinkInterval
}

// shrink returns the number to which a pool may be reduced now: what is ready without the removed servers is enough. While
// a data centre has no room for the servers that replace them, it only has to be enough for the demand of the last seconds.
func (s *Scaler) shrink(pool Pool, target int, targets map[Pool]int, plan Plan) int {
	p := s.pools[pool]
	if p.ready <= target {
		// No server leaves.
		return target
	}
	wanted := 0
	for _, count := range targets {
		wanted += count
	}
	other := Pool{pool.DataCentre, !pool.Spot}
	if o := s.pools[other]; o != nil && targets[other] > o.desired {
		wanted = min(wanted, plan.Least)
	}
	step := min(p.ready-target, plan.Ready-wanted, max(1, int(s.settings.ShrinkShare*float64(p.desired))))
	if step <= 0 {
		return p.desired
	}
	return p.ready - step
}

// Ended records how the call of an order ended that began at sent.
func (s *Scaler) Ended(now, sent time.Time, o Order, outcome Outcome) {
	p := s.pools[o.Pool]
	if p == nil {
		return
	}
	switch outcome {
	case OutcomeAccepted:
		p.repeat, p.scarcity = false, 0
	case OutcomeNone:
		p.repeat = false
		p.scarcity = min(max(s.settings.ScarceTime, 2*p.scarcity), s.settings.MaxScarceTime)
		p.scarceUntil, p.pausedUntil = now.Add(p.scarcity), now.Add(s.settings.FailedPause)
		return
	case OutcomeRefused:
		p.pausedUntil = now.Add(s.settings.FailedPause)
		return
	case OutcomeUncertain:
		p.repeat = true
		p.pausedUntil = now.Add(s.settings.FailedPause)
		p.uncertain = append(p.uncertain, uncertainCall{count: o.Count, until: sent.Add(s.settings.LateTime)})
	}
	if o.Count < p.desired {
		p.shrunkAt, s.shrunkAt = now, now
	}
	p.desired, p.orderedAt = o.Count, now
}
