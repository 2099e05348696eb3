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

// maxLearnedWindows bounds the weight of what another instance has learned, so that this one's measurements correct it.
const maxLearnedWindows = 15

// Handover returns at most limit upstreams whose speed is not the usual one, from where the previous call ended, for the
// instance that stands by.
func (s *Speedometer) Handover(limit int) []Speed {
	var speeds []Speed
	for id, u := range s.upstreams {
		speed := Speed{Upstream: id, Identity: u.identity}
		unusual := false
		for work := range Works {
			if g := &u.gauges[work]; g.known() {
				speed.Factors[work] = math.Exp(g.steady - s.usual[work])
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
		if factor := speed.Factors[work]; factor > 0 && g.windows < maxLearnedWindows {
			g.steady, g.windows = math.Log(bound(factor))+s.usual[work], max(g.windows, minWindows)
			if to := g.classify(s.usual[work]); to != g.class {
				s.changes = append(s.changes, Change{
					Upstream: speed.Upstream, Work: work, From: g.class, To: to, Factor: factor,
				})
				g.setClass(to, s.usual[work])
			}
		}
	}
}
