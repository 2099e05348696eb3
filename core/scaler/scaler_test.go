package scaler

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

// load is a demand at a time, in busy prefill engines and taken slots.
type load func(at time.Duration) (prefill, places float64)

const meanPrefill, meanPlaces = 7.4, 100

func steady(time.Duration) (float64, float64) { return meanPrefill, meanPlaces }

// bursts has twice or three times the mean load for 3 s of each 20 s, from one moment to the next.
func bursts(factor float64) load {
	return func(at time.Duration) (float64, float64) {
		if at%(20*time.Second) >= 17*time.Second {
			return factor * meanPrefill, factor * meanPlaces
		}
		return meanPrefill, meanPlaces
	}
}

// shifting has long prompts and long answers by turns.
func shifting(at time.Duration) (float64, float64) {
	if at/(2800*time.Millisecond)%2 == 0 {
		return 1.9 * meanPrefill, 0.6 * meanPlaces
	}
	return 0.4 * meanPrefill, 1.9 * meanPlaces
}

// growing has a mean that doubles within a minute.
func growing(at time.Duration) (float64, float64) {
	factor := 1 + min(1, at.Seconds()/60)
	return factor * meanPrefill, factor * meanPlaces
}

// early begins with a burst of 10 s.
func early(at time.Duration) (float64, float64) {
	if at < 10*time.Second {
		return 4 * meanPrefill, 4 * meanPlaces
	}
	return meanPrefill, meanPlaces
}

// play lets a scaler order servers under a load, and the same load meet a fleet that stays as it is.
func play(t *testing.T, f *fleet, l load, length time.Duration, during func(at time.Duration)) (fixed *fleet) {
	t.Helper()
	fixed = newFleet(48, f.bounds.SpotPrice)
	s := NewScaler(DefaultSettings())
	for f.now.Sub(f.began) < length {
		at := f.step()
		if during != nil {
			during(at)
		}
		prefill, places := l(at)
		f.serve(prefill, places)
		fixed.serve(prefill, places)
		s.Observe(f.now, Demand{Prefill: prefill, MixedSpeed: 0.5, Places: places, Requests: 100}, f.entries())
		orders, _ := s.Decide(f.now, f.bounds, f.entries())
		for _, o := range orders {
			require.GreaterOrEqual(t, o.Count, 0)
			s.Ended(f.now, f.now, o, f.order(o))
		}
		for d := range f.bounds.Prices {
			both := f.desired[Pool{d, false}] + f.desired[Pool{d, true}]
			require.LessOrEqual(t, both, f.bounds.Max, "%s at %s", d, at)
			require.GreaterOrEqual(t, both, f.bounds.Min, "%s at %s", d, at)
		}
	}
	return fixed
}

func TestCallersGetWhatAFixedFleetGivesForLess(t *testing.T) {
	down := func(from, to time.Duration, outcome Outcome, delay time.Duration) func(time.Duration, Order) (Outcome, time.Duration) {
		return func(at time.Duration, _ Order) (Outcome, time.Duration) {
			if at >= from && at < to {
				return outcome, delay
			}
			return OutcomeAccepted, 0
		}
	}
	none := func(_ time.Duration, o Order) (Outcome, time.Duration) {
		if o.Pool.Spot {
			return OutcomeNone, 0
		}
		return OutcomeAccepted, 0
	}
	tests := []struct {
		name      string
		load      load
		spotPrice float64
		answer    func(at time.Duration, o Order) (Outcome, time.Duration)
		// reclaim is a data centre that is reclaimed at 60 s; none are to be had anywhere for 10 s if dry.
		reclaim identifier.DataCentre
		dry     bool
		// most is the largest share of the fixed fleet's price.
		most float64
		// least is the smallest share that is served, besides what the fixed fleet serves.
		least float64
	}{
		{name: "steady", load: steady, spotPrice: 0.15, most: 0.6},
		{name: "peaks of twice the mean", load: bursts(2), spotPrice: 0.15, most: 0.7},
		{name: "peaks of three times the mean", load: bursts(3), spotPrice: 0.15, most: 0.8},
		{name: "peaks that the fixed fleet can't serve", load: bursts(5), spotPrice: 0.15, most: 0.8, least: 0.98},
		{name: "the mix shifts", load: shifting, spotPrice: 0.15, most: 0.8},
		{name: "growing", load: growing, spotPrice: 0.15, most: 1},
		{name: "a data centre is reclaimed", load: bursts(2), spotPrice: 0.15, reclaim: "b", most: 0.8},
		{name: "a data centre is reclaimed, no others to be had", load: bursts(2), spotPrice: 0.15, reclaim: "b", dry: true, most: 0.8},
		// These peaks last long enough to be worth the price of normal servers for twice the mean.
		{name: "spot servers nowhere to be had", load: bursts(2), spotPrice: 0.15, answer: none, most: 1.05},
		{name: "no spot servers", load: bursts(2), most: 1.05},
		{
			name: "the platform is down", load: bursts(2), spotPrice: 0.15, most: 1,
			answer: down(0, 30*time.Second, OutcomeUncertain, 0),
		},
		{
			name: "the platform is too busy", load: bursts(2), spotPrice: 0.15, most: 1,
			answer: down(2*time.Second, 30*time.Second, OutcomeRefused, 0),
		},
		{
			name: "calls are carried out late", load: growing, spotPrice: 0.15, most: 1,
			answer: down(0, 40*time.Second, OutcomeUncertain, 6*time.Second),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(48, test.spotPrice)
			f.answer = test.answer
			fixed := play(t, f, test.load, 2*time.Minute, func(at time.Duration) {
				if test.reclaim == "" || at != time.Minute {
					return
				}
				f.reclaim(test.reclaim)
				f.answer = func(now time.Duration, o Order) (Outcome, time.Duration) {
					gone := test.dry || o.Pool.DataCentre == test.reclaim
					if o.Pool.Spot && gone && now < 70*time.Second {
						return OutcomeNone, 0
					}
					return OutcomeAccepted, 0
				}
			})
			t.Logf("served %.4f (fixed fleet %.4f) for %.2f of its price, %d orders",
				f.served/f.offered, fixed.served/fixed.offered, f.paid/fixed.paid, f.ordered)
			require.GreaterOrEqual(t, f.served/f.offered, max(test.least, 0.99*fixed.served/fixed.offered))
			require.LessOrEqual(t, f.paid/fixed.paid, test.most)
		})
	}
}

func TestNormalServersReplaceReclaimedOnesOnlyAsFarAsNeeded(t *testing.T) {
	atReclaim := func(at time.Duration) (float64, float64) {
		if at > 57*time.Second && at <= time.Minute {
			return 4 * meanPrefill, 4 * meanPlaces
		}
		return meanPrefill, meanPlaces
	}
	// The spot servers that are left serve the demand; both bursts are over before a new server has started.
	for _, l := range []load{early, atReclaim} {
		f := newFleet(48, 0.15)
		normal := func() int {
			sum := 0
			for d := range f.bounds.Prices {
				sum += f.desired[Pool{DataCentre: d}]
			}
			return sum
		}
		before, most := 0, 0
		play(t, f, l, 80*time.Second, func(at time.Duration) {
			switch {
			case at == time.Minute:
				before = normal()
				f.reclaim("b")
				f.answer = func(_ time.Duration, o Order) (Outcome, time.Duration) {
					if o.Pool.Spot && o.Pool.DataCentre == "b" && o.Count > 0 {
						return OutcomeNone, 0
					}
					return OutcomeAccepted, 0
				}
			case at > time.Minute:
				most = max(most, normal())
			}
		})
		// A burst to four times the mean for 3 s of 60 s raises the mean by 15 %, and with it the least number of normal ones.
		require.LessOrEqual(t, float64(most), 1.15*(1+DefaultSettings().Tolerance)*float64(before))
	}
}

func TestAllSpotServersMayBeLost(t *testing.T) {
	f := newFleet(48, 0.15)
	lost := 40 * time.Second
	offered, served := 0.0, 0.0
	play(t, f, func(at time.Duration) (float64, float64) {
		if at == lost+4*time.Second {
			offered, served = f.offered, f.served
		}
		return steady(at)
	}, lost+20*time.Second, func(at time.Duration) {
		if at != lost {
			return
		}
		f.answer = func(_ time.Duration, o Order) (Outcome, time.Duration) {
			if o.Pool.Spot && o.Count > 0 {
				return OutcomeNone, 0
			}
			return OutcomeAccepted, 0
		}
		for d := range f.bounds.Prices {
			f.reclaim(d)
		}
	})
	// Normal servers have started within the boot time after the notice.
	require.Greater(t, (f.served-served)/(f.offered-offered), 0.95)
}

// TestServersThatStartWithTheSystemAreFound begins to decide before the servers are listed, as nobody has held the lease
// before. They come within six seconds.
func TestServersThatStartWithTheSystemAreFound(t *testing.T) {
	f := newFleet(48, 0.15)
	for i, server := range f.servers {
		server.readyAt = f.now.Add(time.Duration(1+i%6) * time.Second)
	}
	s := NewScaler(DefaultSettings())
	s.Begin(f.now)
	var plan Plan
	for at := f.step(); at < 10*time.Second; at = f.step() {
		orders, p := s.Decide(f.now, f.bounds, f.entries())
		if len(orders) > 0 && at < 6*time.Second {
			t.Fatalf("%v ordered after %v", orders, at)
		}
		for _, o := range orders {
			s.Ended(f.now, f.now, o, f.order(o))
		}
		plan = p
	}
	require.Positive(t, f.ordered)
	require.GreaterOrEqual(t, plan.Mean, 0.9*DefaultSettings().FoundUse*48)
}

func TestLateOrdersForFewerServersAreCorrected(t *testing.T) {
	f := newFleet(48, 0.15)
	s := NewScaler(DefaultSettings())
	decide := func() []Order {
		s.Observe(f.now, Demand{Prefill: meanPrefill, MixedSpeed: 0.5, Requests: 1}, f.entries())
		orders, _ := s.Decide(f.now, f.bounds, f.entries())
		return orders
	}
	pool := Pool{DataCentre: "a"}
	decide()
	// A call for fewer gets no response, a later one for more is accepted.
	s.Ended(f.now, f.now, Order{Pool: pool, Count: 3}, OutcomeUncertain)
	s.Ended(f.now, f.now, Order{Pool: pool, Count: 12}, OutcomeAccepted)
	f.now = f.now.Add(5 * time.Second)
	require.Contains(t, decide(), Order{Pool: pool, Count: 12, Before: 12, Cause: CauseUncertain})
	f.now = f.now.Add(DefaultSettings().LateTime)
	for _, o := range decide() {
		require.NotEqual(t, CauseUncertain, o.Cause)
	}
}

func TestMoreServersThanTheLimitMayBeFound(t *testing.T) {
	f := newFleet(48, 0.15)
	f.carryOut(Order{Pool: Pool{DataCentre: "a", Spot: true}, Count: 14})
	f.now = f.now.Add(f.bounds.BootTime)
	s := NewScaler(DefaultSettings())
	ordered := map[Pool]int{}
	for pool, count := range f.desired {
		ordered[pool] = min(count, 12)
	}
	f.answer = func(_ time.Duration, o Order) (Outcome, time.Duration) {
		if o.Pool.Spot && o.Count > len(f.in(o.Pool)) {
			return OutcomeNone, 0
		}
		return OutcomeAccepted, 0
	}
	for i := range 100 {
		f.now = f.now.Add(testStep)
		if i == 10 {
			f.in(Pool{DataCentre: "a", Spot: true})[0].Leaving = true
		}
		s.Observe(f.now, Demand{Prefill: 4 * meanPrefill, MixedSpeed: 0.5, Requests: 1}, f.entries())
		orders, _ := s.Decide(f.now, f.bounds, f.entries())
		for _, o := range orders {
			require.LessOrEqual(t, o.Count+ordered[Pool{o.Pool.DataCentre, !o.Pool.Spot}], f.bounds.Max)
			outcome := f.order(o)
			s.Ended(f.now, f.now, o, outcome)
			if outcome == OutcomeAccepted {
				ordered[o.Pool] = o.Count
			}
		}
	}
}

func TestServersWithoutPriceAreLeftAlone(t *testing.T) {
	f := newFleet(48, 0.15)
	for _, price := range []map[identifier.DataCentre]float64{nil, {"a": 1}} {
		s := NewScaler(DefaultSettings())
		f.bounds.Prices = price
		for range 40 {
			f.now = f.now.Add(testStep)
			orders, _ := s.Decide(f.now, f.bounds, f.entries())
			for _, o := range orders {
				require.Equal(t, identifier.DataCentre("a"), o.Pool.DataCentre)
				s.Ended(f.now, f.now, o, OutcomeAccepted)
			}
		}
	}
}

func TestExpectedBursts(t *testing.T) {
	s := DefaultSettings()
	require.InDelta(t, s.BurstFactor*10, s.expected(s.BurstShare, 10), 1e-9)
	require.InDelta(t, 10, s.expected(1, 10), 1e-9)
	// Four times the mean is as much rarer than three times as three times is than twice.
	two, three := math.Pow(s.BurstShare, 0.5), s.BurstShare
	require.InDelta(t, 40, s.expected(three*three/two, 10), 1e-9)
}

// normalServers returns how many normal servers are in force.
func (f *fleet) normalServers() int {
	sum := 0
	for d := range f.bounds.Prices {
		sum += f.desired[Pool{DataCentre: d}]
	}
	return sum
}

// TestNormalServersCoverWhatALossLeaves plays the loss of two data centres' spot servers at once, where no others are to
// be had for a while.
func TestNormalServersCoverWhatALossLeaves(t *testing.T) {
	tests := []struct {
		dataCentres []identifier.DataCentre
		// most is the largest number of normal servers before the loss: one in each data centre where the others' spot
		// servers are enough, else for a third of the mean demand of about 25.
		most int
	}{
		{[]identifier.DataCentre{"a", "b", "c", "d"}, 4},
		{[]identifier.DataCentre{"a", "b", "c"}, 3},
		{[]identifier.DataCentre{"a", "b"}, 10},
		{[]identifier.DataCentre{"a"}, 10},
	}
	for _, test := range tests {
		f := newFleet(48, 0.15)
		prices := map[identifier.DataCentre]float64{}
		for _, d := range test.dataCentres {
			prices[d] = f.bounds.Prices[d]
		}
		f.bounds.Prices, f.bounds.Max = prices, 96/len(prices)
		f.servers, f.desired = nil, map[Pool]int{}
		for _, d := range test.dataCentres {
			f.carryOut(Order{Pool: Pool{DataCentre: d}, Count: 48 / len(prices)})
		}
		for _, s := range f.servers {
			s.readyAt = f.now
		}
		var offered, served float64
		play(t, f, steady, 80*time.Second, func(at time.Duration) {
			switch at {
			case time.Minute:
				require.LessOrEqual(t, f.normalServers(), test.most)
				require.GreaterOrEqual(t, f.normalServers(), len(prices))
				offered, served = f.offered, f.served
				for _, d := range test.dataCentres[:min(2, len(prices))] {
					f.reclaim(d)
				}
				f.answer = func(_ time.Duration, o Order) (Outcome, time.Duration) {
					if o.Pool.Spot && o.Count > len(f.in(o.Pool)) {
						return OutcomeNone, 0
					}
					return OutcomeAccepted, 0
				}
			case 70 * time.Second:
				share := (f.served - served) / (f.offered - offered)
				if len(prices) > 2 {
					require.Greater(t, share, 0.99)
				} else {
					// All are lost, and others start 4 s after the notice; a third is served meanwhile.
					require.Greater(t, share, 0.8)
				}
			}
		})
	}
}
