package placer

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
)

// plan is a role change that looks worth its cost.
type plan struct {
	upstream identifier.UpstreamID
	role     identifier.Role
	gain     float64
	cost     float64
}

func (c plan) reason() string {
	return fmt.Sprintf("to %s: gains %.1f engine seconds for %.1f", c.role, c.gain, c.cost)
}

// best returns the role change with the largest gain over its cost, or an empty plan.
func (p *pool) best(now time.Time, s *Settings) plan {
	found := plan{}
	current := p.fleet()
	d := p.demand()
	served := d.served(current, s.MixedLoss)
	if served >= 1 || current.size() < 2 {
		return found
	}
	total := d.prefill + d.decode
	absence := p.absenceSeconds(s)
	for _, e := range p.engines {
		if !e.serves() || !e.changedAt.IsZero() && now.Sub(e.changedAt) < s.MinimumDwell {
			continue
		}
		without := current.with(e.Role, -1)
		if !without.complete() {
			continue
		}
		lost := (served - d.served(without, s.MixedLoss)) * total * absence
		for _, role := range []identifier.Role{identifier.RoleMixed, identifier.RolePrefill, identifier.RoleDecode} {
			if role == e.Role {
				continue
			}
			better := d.served(without.with(role, 1), s.MixedLoss) - served
			c := plan{upstream: e.Upstream, role: role, gain: better * total * (s.Horizon.Seconds() - absence), cost: lost + absence/10}
			if c.gain > s.Hysteresis*c.cost && c.gain-c.cost > found.gain-found.cost+1e-9 {
				found = c
			}
		}
	}
	return found
}

func (p *pool) absenceSeconds(s *Settings) float64 {
	if p.absence > 0 {
		return p.absence
	}
	return s.AbsenceGuess.Seconds()
}

// outdated returns the engine that should load the wanted version next, nil when none should now.
func (p *pool) outdated(now time.Time, s *Settings) *engine {
	if p.wanted == "" {
		return nil
	}
	current := p.fleet()
	for _, e := range p.engines {
		if e.Version == p.wanted || e.Changing || e.Leaving {
			continue
		}
		if !e.Healthy {
			return e
		}
		without := current.with(e.Role, -1)
		if !without.complete() {
			continue
		}
		d := p.demand()
		spare := (d.prefill+d.decode)/s.LoadLimit <= float64(without.size())
		if spare || now.Sub(p.wantedAt) > s.LoadPatience {
			return e
		}
	}
	return nil
}
