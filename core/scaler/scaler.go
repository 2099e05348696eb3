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
