package speedometer

import (
	"cmp"
	"math"
	"slices"

	"rosemaryspool.example/core/identifier"
)

// Speed is what one instance has learned of the steady speed of an upstream.
type Speed struct {
	Upstream identifier.UpstreamID
	Identity Identity
	// Factors are the times for the kinds of work relative to the usual ones; 0 where unknown.
	Factors [Works]float64
}

// maxLearnedWindows is the number of windows of this instance's own measurements until which those of another one count, and
// until which an engine's mixed prefills stand for its decoding.
const maxLearnedWindows = 15

// Handover returns at most limit upstreams whose speed is not the usual one, from where the previous call ended, for the
// instance that stands by.
func (s *Speedometer) Handover(limit int) []Speed {
	var speeds []Speed
	for id, u := range s.upstreams {
		speed := Speed{Upstream: id, Identity: u.identity}
		unusual := false
		for work := range Works {
			g := &u.gauges[work]
			if distance, known := g.distance(s.usual[work]); known {
				speed.Factors[work] = math.Exp(distance)
				unusual = unusual || g.class != Usual
			}
		}
		if unusual {
			speeds = append(speeds, speed)
		}
	}
	slices.SortFunc(speeds, func(x, y Speed) int { return cmp.Compare(x.Upstream, y.Upstream) })
	if len(speeds) <= limit {
		return speeds
	}
	first, _ := slices.BinarySearchFunc(speeds, s.turn, func(x Speed, id identifier.UpstreamID) int {
		if x.Upstream <= id {
			return -1
		}
		return 1
	})
	turned := append(slices.Clone(speeds[first:]), speeds[:first]...)[:limit]
	s.turn = turned[limit-1].Upstream
	return turned
}

// Learn takes over what another instance knows of an upstream, unless this one has measured that itself or knows another
// start of the upstream.
func (s *Speedometer) Learn(speed Speed) {
	u := s.upstreams[speed.Upstream]
	if u == nil || u.identity != speed.Identity {
		return
	}
	for work := range Works {
		g := &u.gauges[work]
		if factor := speed.Factors[work]; factor > 0 {
			learned := math.Log(bound(factor))
			g.learned = &learned
			s.reclassify(speed.Upstream, work)
		}
	}
}
