// Package scaler decides how many servers of a service run in each data centre, and of which kind: normal ones, and spot
// servers, which cost less and may be reclaimed at short notice, all of a data centre at once.
//
// It is built for bursts that are over before a new server has started: what they need has to be there before. It orders
// more servers at once and fewer slowly.
package scaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/core/tracker"
)

// Settings holds the tunables of the decision.
type Settings struct {
	// LossWeight is what callers lose while a server is lacking, in units of a normal server's price for the same time. A
	// server is worth its price if it is needed for a larger share of the time than its price divided by this.
	LossWeight float64
	// BurstFactor and BurstShare describe the bursts to be ready for: the demand relative to its mean, and the share of the
	// time.
	BurstFactor float64
	BurstShare  float64
	// Utilisation is the largest share of the time that servers are busy without making requests wait for long.
	Utilisation float64
	// MixedUse is the share of the time that an engine which decodes has left for prefills.
	MixedUse float64
	// SafeShare is the share of the mean demand that is served while the spot servers of LostDataCentres are lost at once,
	// until others have started. Normal servers serve what the other data centres' spot servers can't.
	SafeShare       float64
	LostDataCentres int
	// FoundUse is the share of the servers found at first that the mean demand is expected to need, ExpectedTrust how long
	// the demand has to be observed to count as much as that. An instance that has observed it for LearnTime when it begins
	// expects nothing. HistoryLength is how long demand is remembered.
	FoundUse      float64
	ExpectedTrust time.Duration
	LearnTime     time.Duration
	HistoryLength time.Duration
	// Tolerance is the relative change of a number that is passed over.
	Tolerance float64
	// ShrinkDelay is how long fewer servers have to be enough before fewer are ordered, ShrinkInterval the time between two
	// such orders, and ShrinkShare the largest share that one of them removes in a data centre.
	ShrinkDelay    time.Duration
	ShrinkInterval time.Duration
	ShrinkShare    float64
	// SettleTime is how long the list of servers must have had no new ones before the first order, while nobody sends
	// requests yet: at the first start of a system its servers start, too.
	SettleTime time.Duration
	// LullTime is how long the demand has to be low before servers are exchanged for others that have to start first.
	LullTime time.Duration
	// FollowTime is how long after an order and the servers' boot time the list has to follow it.
	FollowTime time.Duration
	// LateTime is how long after a call without a response it may still be carried out.
	LateTime time.Duration
	// ScarceTime is the time until spot servers are ordered again where there were none; it doubles up to MaxScarceTime.
	// FailedPause is the time until the next order after a failed call.
	ScarceTime    time.Duration
	MaxScarceTime time.Duration
	FailedPause   time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		LossWeight:  10,
		BurstFactor: 3,
		BurstShare:  0.05,
		Utilisation: 0.6,
		MixedUse:    0.5,
		SafeShare:   1.0 / 3,

		LostDataCentres: 2,

		FoundUse:       0.5,
		ExpectedTrust:  30 * time.Second,
		LearnTime:      5 * time.Second,
		HistoryLength:  2 * time.Minute,
		Tolerance:      0.1,
		ShrinkDelay:    15 * time.Second,
		ShrinkInterval: 3 * time.Second,
		ShrinkShare:    0.5,
		SettleTime:     2 * time.Second,
		LullTime:       5 * time.Second,
		FollowTime:     3 * time.Second,
		LateTime:       12 * time.Second,
		ScarceTime:     2 * time.Second,
		MaxScarceTime:  4 * time.Second,
		FailedPause:    time.Second,
	}
}

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

// Plan is what a decision is based on.
type Plan struct {
	// Needed is the latest demand in servers, Mean its mean; Total is the number of servers to have, and Normal the smallest
	// number of normal ones among them.
	Needed float64
	Mean   float64
	Total  int
	Normal int
	// Usual is the number that serves the demand but for bursts.
	Usual int
	// Current is the number that serves the demand of the last seconds, or its mean if that is larger.
	Current int
	// Least is the number of servers that has to be ready while some are exchanged for others.
	Least int
	// Ready is the number of servers that are listed and don't leave, of both kinds.
	Ready     int
	ReadySpot int
	// Scarce lists the data centres where no spot servers are to be had.
	Scarce []identifier.DataCentre
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

// Scaler decides for one service. It is not safe for concurrent use.
type Scaler struct {
	settings Settings
	history  history
	pools    map[Pool]*poolState
	// total and normal are the numbers of servers to have, and of normal ones among them.
	total  level
	normal level
	// trust is the time for which the demand expected from the servers found counts.
	trust time.Duration
	// foundAt is when this instance began or another server was last found before the first order, ordered is true after it.
	foundAt time.Time
	ordered bool
	// shrunkAt is when fewer servers were last ordered.
	shrunkAt time.Time
	// reclaimedAt is when spot servers last began to leave without an order.
	reclaimedAt time.Time
}

// NewScaler returns a scaler that knows nothing of the demand yet.
func NewScaler(settings Settings) *Scaler {
	return &Scaler{
		settings: settings, history: history{settings: settings}, pools: map[Pool]*poolState{},
		trust: settings.ExpectedTrust,
	}
}

// Begin forgets the numbers in force, which another instance may have changed. What is known of the demand is kept.
func (s *Scaler) Begin(now time.Time) {
	s.pools, s.total, s.normal = map[Pool]*poolState{}, level{}, level{}
	s.trust = 0
	if s.history.length(now) < s.settings.LearnTime {
		s.trust = s.settings.ExpectedTrust
	}
	s.shrunkAt, s.reclaimedAt = time.Time{}, time.Time{}
	s.foundAt, s.ordered = now, false
}

// Observe records the demand over the last period, given the listed servers.
func (s *Scaler) Observe(now time.Time, d Demand, servers []tracker.Entry) {
	if d.Requests == 0 && s.history.first.IsZero() {
		// Nobody has sent requests yet.
		return
	}
	s.history.add(now, s.needed(d, servers))
}

// needed returns the number of servers that a demand needs, with the roles in the proportion that they have now.
func (s *Scaler) needed(d Demand, servers []tracker.Entry) float64 {
	var ready, prefillers, slots float64
	for _, e := range servers {
		switch {
		case e.Leaving:
		case e.Role == tracker.RolePrefill:
			prefillers++
			ready++
		default:
			slots += float64(e.Slots)
			ready++
		}
	}
	if ready == 0 || slots == 0 {
		return 0
	}
	forPlaces := d.Places * ready / slots / s.settings.Utilisation
	prefillShare := prefillers / ready
	speed := s.settings.Utilisation * (prefillShare + (1-prefillShare)*s.settings.MixedUse*d.MixedSpeed)
	if d.Prefill == 0 || speed == 0 {
		return forPlaces
	}
	return max(forPlaces, d.Prefill/speed)
}

// Decide returns the orders to be made now, and what they are based on. The caller reports each one's outcome to Ended.
func (s *Scaler) Decide(now time.Time, bounds matcher.Scaling, servers []tracker.Entry) ([]Order, Plan) {
	if bounds.Max <= 0 || len(bounds.Prices) == 0 {
		return nil, Plan{}
	}
	s.count(now, bounds, servers)
	plan := s.plan(now, bounds)
	if !s.ordered && s.history.first.IsZero() && now.Sub(s.foundAt) < s.settings.SettleTime {
		return nil, plan
	}
	s.ordered = true
	targets := s.distribute(bounds, plan)
	return s.orders(now, bounds, targets, plan), plan
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

// plan returns how many servers there should be, and how many normal ones among them at least.
func (s *Scaler) plan(now time.Time, bounds matcher.Scaling) Plan {
	found, foundNormal := 0, 0
	plan := Plan{Needed: s.history.latest()}
	for pool, p := range s.pools {
		found += p.found
		plan.Ready += p.ready
		if !pool.Spot {
			foundNormal += p.found
		}
		if pool.Spot {
			plan.ReadySpot += p.ready
			if now.Before(p.scarceUntil) {
				plan.Scarce = append(plan.Scarce, pool.DataCentre)
			}
		}
	}
	slices.Sort(plan.Scarce)
	expected := s.settings.FoundUse * float64(found)
	if bounds.SpotPrice > 0 && found > foundNormal {
		// An instance that knew the demand has ordered them.
		expected = min(expected, float64(found)/s.settings.expected(bounds.SpotPrice/s.settings.LossWeight, 1))
	}
	plan.Mean = s.history.mean(now, expected, s.trust)
	// The last server to be added is worth its price for this share of the time; a normal one for usualShare.
	usualShare := 1 / s.settings.LossWeight
	// For bursts that were not seen yet, no more normal servers are kept than there were.
	usual := max(
		s.history.seen(usualShare), plan.Mean, min(float64(found), s.settings.expected(usualShare, plan.Mean)),
	)
	var total, normal float64
	if bounds.SpotPrice > 0 {
		share := bounds.SpotPrice * usualShare
		total = max(s.history.seen(share), s.settings.expected(share, plan.Mean))
	} else {
		total = usual
	}
	dataCentres := len(bounds.Prices)
	most := bounds.Max * dataCentres
	if n := float64(dataCentres); n > 1 {
		// The other data centres serve the mean demand when one is lost.
		total = max(total, plan.Mean*n/(n-1))
	}
	if bounds.SpotPrice <= 0 {
		normal = total
	} else {
		left := max(0, 1-float64(s.settings.LostDataCentres)/float64(dataCentres)) * min(total, float64(most))
		normal = max(s.settings.SafeShare*plan.Mean-left, float64(bounds.Min*dataCentres))
	}
	plan.Usual = int(math.Ceil(usual))
	recent, peak := s.history.recent(now, s.settings.LullTime)
	plan.Current, plan.Least = int(math.Ceil(max(plan.Mean, recent))), int(math.Ceil(max(plan.Mean, peak)))
	plan.Total = min(most, s.total.follow(now, int(math.Ceil(total)), s.settings))
	plan.Normal = min(most, s.normal.follow(now, int(math.Ceil(normal)), s.settings))
	return plan
}

// distribute returns the number of servers of each pool: the data centres get the same number of them if they can, and
// cheaper ones what is left over.
func (s *Scaler) distribute(bounds matcher.Scaling, plan Plan) map[Pool]int {
	dataCentres := make([]identifier.DataCentre, 0, len(bounds.Prices))
	for dataCentre := range bounds.Prices {
		dataCentres = append(dataCentres, dataCentre)
	}
	slices.SortFunc(dataCentres, func(a, b identifier.DataCentre) int {
		if c := cmp.Compare(bounds.Prices[a], bounds.Prices[b]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	targets := map[Pool]int{}
	used := func(d identifier.DataCentre) int { return targets[Pool{d, false}] + targets[Pool{d, true}] }
	placed := func() int {
		sum := 0
		for _, d := range dataCentres {
			sum += used(d)
		}
		return sum
	}
	fill := func(count int, spot bool, excluded []identifier.DataCentre) {
		for ; count > 0; count-- {
			var best identifier.DataCentre
			for _, d := range dataCentres {
				if used(d) < bounds.Max && !slices.Contains(excluded, d) && (best == "" || used(d) < used(best)) {
					best = d
				}
			}
			if best == "" {
				return
			}
			targets[Pool{best, spot}]++
		}
	}
	fill(plan.Normal, false, nil)
	if bounds.SpotPrice > 0 {
		// Where none are to be had, those that are there stay.
		for _, d := range plan.Scarce {
			targets[Pool{d, true}] = min(s.pools[Pool{d, true}].ready, bounds.Max-targets[Pool{d, false}])
		}
		fill(plan.Total-placed(), true, plan.Scarce)
		// Normal ones serve the current demand while a data centre has no spot servers, and the usual one while none has.
		bridged := plan.Current
		if len(plan.Scarce) == len(bounds.Prices) {
			bridged = plan.Usual
		}
		fill(bridged-placed(), false, nil)
	}
	for _, d := range dataCentres {
		for used(d) < bounds.Min {
			targets[Pool{d, false}]++
		}
	}
	return targets
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
// a data centre has no room for the servers that replace them, enough for the demand of the last time will do.
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
