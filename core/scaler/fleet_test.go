package scaler

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/core/tracker"
)

// fleet is a service's servers and the platform that orders them, for tests.
type fleet struct {
	now     time.Time
	bounds  matcher.Scaling
	desired map[Pool]int
	servers []*server
	// late holds orders that are carried out after their caller has given up.
	late []lateOrder
	// answer decides about a call; nil accepts all.
	answer func(at time.Duration, o Order) (Outcome, time.Duration)
	began  time.Time
	serial int

	offered, served, paid float64
	ordered               int
}

type server struct {
	tracker.Entry
	readyAt time.Time
	leftAt  time.Time
}

type lateOrder struct {
	at    time.Time
	order Order
}

const (
	testSlots = 24
	// testStep is the time between two decisions.
	testStep = 250 * time.Millisecond
	// testDrain is how long a server that leaves is still paid.
	testDrain = 3 * time.Second
)

func newFleet(count int, spotPrice float64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), desired: map[Pool]int{},
		bounds: matcher.Scaling{
			Min: 1, Max: 24, BootTime: 4 * time.Second, SpotPrice: spotPrice,
			Prices: map[identifier.DataCentre]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
		},
	}
	f.began = f.now
	for d := range f.bounds.Prices {
		f.carryOut(Order{Pool: Pool{DataCentre: d}, Count: count / len(f.bounds.Prices)})
	}
	for _, s := range f.servers {
		s.readyAt = f.now
	}
	return f
}

func (f *fleet) in(p Pool) []*server {
	var servers []*server
	for _, s := range f.servers {
		if s.DataCentre == p.DataCentre && s.Spot == p.Spot && !s.Leaving {
			servers = append(servers, s)
		}
	}
	return servers
}

func (f *fleet) carryOut(o Order) {
	f.desired[o.Pool] = o.Count
	servers := f.in(o.Pool)
	for _, s := range servers[min(len(servers), o.Count):] {
		s.Leaving, s.leftAt = true, f.now.Add(testDrain)
	}
	for i := len(servers); i < o.Count; i++ {
		f.serial++
		role := tracker.RoleDecode
		if f.serial%3 == 0 {
			role = tracker.RolePrefill
		}
		f.servers = append(f.servers, &server{readyAt: f.now.Add(f.bounds.BootTime), Entry: tracker.Entry{
			Upstream: identifier.UpstreamID(fmt.Sprint(f.serial)), DataCentre: o.Pool.DataCentre, Slots: testSlots,
			Role: role, Spot: o.Pool.Spot,
		}})
	}
}

// reclaim takes away all spot servers of a data centre two seconds after the notice.
func (f *fleet) reclaim(d identifier.DataCentre) {
	for _, s := range f.in(Pool{DataCentre: d, Spot: true}) {
		s.Leaving, s.leftAt = true, f.now.Add(2*time.Second)
	}
}

func (f *fleet) entries() []tracker.Entry {
	var entries []tracker.Entry
	for _, s := range f.servers {
		if !f.now.Before(s.readyAt) {
			entries = append(entries, s.Entry)
		}
	}
	return entries
}

// serve plays one step of a demand in busy prefill engines and taken slots.
func (f *fleet) serve(prefill, places float64) {
	kept := f.servers[:0]
	var speed, slots float64
	for _, s := range f.servers {
		if s.Leaving && !f.now.Before(s.leftAt) {
			continue
		}
		kept = append(kept, s)
		price := f.bounds.Prices[s.DataCentre]
		if s.Spot {
			price *= f.bounds.SpotPrice
		}
		f.paid += price * testStep.Seconds()
		switch {
		case f.now.Before(s.readyAt) || s.Leaving:
		case s.Role == tracker.RolePrefill:
			speed++
		default:
			speed += 0.25
			slots += testSlots
		}
	}
	f.servers = kept
	f.offered += prefill + places/testSlots
	f.served += min(prefill, speed) + min(places, slots)/testSlots
}

// order makes a call and returns how it ended.
func (f *fleet) order(o Order) Outcome {
	f.ordered++
	outcome, delay := OutcomeAccepted, time.Duration(0)
	if f.answer != nil {
		outcome, delay = f.answer(f.now.Sub(f.began), o)
	}
	switch {
	case outcome == OutcomeAccepted:
		f.carryOut(o)
	case outcome == OutcomeUncertain && delay > 0:
		f.late = append(f.late, lateOrder{at: f.now.Add(delay), order: o})
	}
	return outcome
}

// step carries out late orders and returns the time since the beginning.
func (f *fleet) step() time.Duration {
	f.now = f.now.Add(testStep)
	waiting := f.late[:0]
	for _, l := range f.late {
		if f.now.Before(l.at) {
			waiting = append(waiting, l)
			continue
		}
		f.carryOut(l.order)
	}
	f.late = waiting
	return f.now.Sub(f.began)
}
