// Package speedometer learns how fast the upstreams of a service are, apart for each kind of work. What is steady, such as
// an older machine, is kept; what passes, such as a noisy neighbour, is forgotten within seconds.
package speedometer

import (
	"math"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Work is a kind of work at which an upstream has a speed of its own.
type Work int

// Kinds of work.
const (
	// Prefill is the prefill of prompts at an engine that only prefills.
	Prefill Work = iota
	// MixedPrefill is the prefill of prompts at an engine that also decodes.
	MixedPrefill
	// Decode is the time from one event of a stream to the next.
	Decode
	// Hold is how long a request holds a slot of an upstream that is not an engine.
	Hold
	// Works is the number of kinds.
	Works
)

// String returns the name of the work as written in logs.
func (w Work) String() string {
	return [Works]string{"prefill", "mixedPrefill", "decode", "hold"}[w]
}

// Class is an upstream's steady speed compared with the others of its service.
type Class int

// Classes of speed.
const (
	Usual Class = iota
	Quick
	Slow
)

// String returns the name of the class as written in logs.
func (c Class) String() string {
	return [...]string{"usual", "quick", "slow"}[c]
}

// Identity tells one start of an upstream, with one version of its software, from others. What is known of one says
// nothing about another.
type Identity struct {
	Incarnation uint64
	Version     identifier.SoftwareVersion
}

// Change is an upstream's change from one class to another.
type Change struct {
	Upstream identifier.UpstreamID
	Work     Work
	From, To Class
	// Factor is the upstream's time for its work relative to the usual one.
	Factor float64
}

// usualInterval is the time between two computations of what is usual.
const usualInterval = 250 * time.Millisecond

// maxChanges bounds the changes that wait to be taken.
const maxChanges = 64

// Speedometer holds the speeds of a service's upstreams. It is not safe for concurrent use.
type Speedometer struct {
	upstreams map[identifier.UpstreamID]*upstream
	// usual is the median of the steady factors, as logarithm.
	usual   [Works]float64
	usualAt time.Time
	changes []Change
	// turn is the last upstream that was handed on.
	turn identifier.UpstreamID
}

type upstream struct {
	identity Identity
	gauges   [Works]gauge
}

// NewSpeedometer returns a speedometer without upstreams.
func NewSpeedometer() *Speedometer {
	return &Speedometer{upstreams: map[identifier.UpstreamID]*upstream{}}
}

// Add starts to follow an upstream. Another identity starts anew.
func (s *Speedometer) Add(id identifier.UpstreamID, identity Identity) {
	if u := s.upstreams[id]; u == nil || u.identity != identity {
		s.upstreams[id] = &upstream{identity: identity}
	}
}

// Remove stops to follow an upstream.
func (s *Speedometer) Remove(id identifier.UpstreamID) { delete(s.upstreams, id) }

// Observe records a measurement: ratio is the time taken relative to the service's estimate for that work.
func (s *Speedometer) Observe(now time.Time, id identifier.UpstreamID, work Work, ratio float64) {
	u := s.upstreams[id]
	if u == nil || ratio <= 0 {
		return
	}
	g := &u.gauges[work]
	g.observe(now, ratio, s.Steady(id, work))
	if now.Sub(s.usualAt) >= usualInterval {
		s.usualAt = now
		s.refresh()
	}
}

// refresh computes what is usual and the classes.
func (s *Speedometer) refresh() {
	steady := make([]float64, 0, len(s.upstreams))
	for work := range Works {
		steady = steady[:0]
		for _, u := range s.upstreams {
			if u.gauges[work].known() {
				steady = append(steady, u.gauges[work].steady)
			}
		}
		if len(steady) == 0 {
			continue
		}
		slices.Sort(steady)
		s.usual[work] = steady[len(steady)/2]
		for id := range s.upstreams {
			s.reclassify(id, work)
		}
	}
}

// reclassify updates the class of an upstream.
func (s *Speedometer) reclassify(id identifier.UpstreamID, work Work) {
	g := &s.upstreams[id].gauges[work]
	from, to := g.class, g.classify(s.usual[work])
	if from == to {
		return
	}
	s.setClass(id, work, to)
	distance, _ := g.distance(s.usual[work])
	if len(s.changes) < maxChanges {
		s.changes = append(s.changes, Change{Upstream: id, Work: work, From: from, To: to, Factor: math.Exp(distance)})
	}
}

// setClass changes an upstream's class. What the new one says lasts is no longer taken for something that passes.
func (s *Speedometer) setClass(id identifier.UpstreamID, work Work, to Class) {
	u := s.upstreams[id]
	before := [Works]float64{}
	for w := range Works {
		before[w] = s.Steady(id, w)
	}
	u.gauges[work].class = to
	for w := range Works {
		g := &u.gauges[w]
		g.disturbance = boundDisturbance(g.disturbance * before[w] / s.Steady(id, w))
	}
}

// Steady returns an upstream's time for its work relative to the usual one, without what passes. While too little of its
// decoding has been measured, an engine is presumed to decode as quickly as it prefills: prompts show its speed seconds
// before long answers do.
func (s *Speedometer) Steady(id identifier.UpstreamID, work Work) float64 {
	u := s.upstreams[id]
	if u == nil {
		return 1
	}
	if work == Decode && u.gauges[Decode].class == Usual && u.gauges[Decode].windows < maxLearnedWindows {
		work = MixedPrefill
	}
	return u.gauges[work].factor(s.usual[work])
}

// Factor returns an upstream's time for its work relative to the usual one, as it is now.
func (s *Speedometer) Factor(now time.Time, id identifier.UpstreamID, work Work) float64 {
	u := s.upstreams[id]
	if u == nil {
		return 1
	}
	return bound(s.Steady(id, work) * u.gauges[work].passing(now))
}

// TakeChanges returns the changes of classes since the last call, at most maxChanges of them.
func (s *Speedometer) TakeChanges() []Change {
	taken := s.changes
	s.changes = nil
	return taken
}

// Count returns how many upstreams are in a class; it is Usual where the speed is unknown.
func (s *Speedometer) Count(work Work, class Class) int {
	count := 0
	for _, u := range s.upstreams {
		if u.gauges[work].class == class {
			count++
		}
	}
	return count
}
