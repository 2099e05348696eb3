package placer

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/identifier"
)

// candidate is a role change whose expected gain exceeds its cost. Both are in engine seconds.
type candidate struct {
	upstream identifier.UpstreamID
	role     identifier.Role
	gain     float64
	cost     float64
}

func (c candidate) reason() string {
	return fmt.Sprintf("to %s: gains %.1f engine seconds at a cost of %.1f", c.role, c.gain, c.cost)
}

// bestRoleChange returns the role change with the largest difference between gain and cost, or an empty candidate. A
// change never removes the last engine of a phase. The gain is the additional work served over the horizon without the
// downtime; the cost is the work not served during the downtime and a tenth of the downtime itself.
func (p *pool) bestRoleChange(now time.Time, s *Settings) candidate {
	found := candidate{}
	current := p.servingRoles()
	d := p.demand()
	served := d.servedShare(current, s.MixedOverhead)
	if served >= 1 || current.total() < 2 {
		return found
	}
	total := d.prefill + d.decode
	downtime := p.downtimeSeconds(s)
	for _, e := range p.engines {
		if !e.isServing() || !e.changeStartedAt.IsZero() && now.Sub(e.changeStartedAt) < s.MinimumDwell {
			continue
		}
		without := current.add(e.Role, -1)
		if !without.coversAllPhases() {
			continue
		}
		lost := (served - d.servedShare(without, s.MixedOverhead)) * total * downtime
		for _, role := range []identifier.Role{identifier.RoleMixed, identifier.RolePrefill, identifier.RoleDecode} {
			if role == e.Role {
				continue
			}
			added := d.servedShare(without.add(role, 1), s.MixedOverhead) - served
			c := candidate{
				upstream: e.Upstream, role: role,
				gain: added * total * (s.Horizon.Seconds() - downtime), cost: lost + downtime/10,
			}
			if c.gain > s.Hysteresis*c.cost && c.gain-c.cost > found.gain-found.cost+1e-9 {
				found = c
			}
		}
	}
	return found
}

// downtimeSeconds returns the expected downtime of a change.
func (p *pool) downtimeSeconds(s *Settings) float64 {
	if p.downtime > 0 {
		return p.downtime
	}
	return s.InitialDowntime.Seconds()
}

// nextVersionUpdate returns the engine that should load the target version next, nil when none should now. An unhealthy
// engine is always eligible. Another one is eligible only if the remaining engines cover all phases and either they can
// carry the load or MaxUpdateDelay has passed.
func (p *pool) nextVersionUpdate(now time.Time, s *Settings) *engine {
	if p.targetVersion == "" {
		return nil
	}
	current := p.servingRoles()
	for _, e := range p.engines {
		if e.Version == p.targetVersion || e.Changing || e.Leaving {
			continue
		}
		if !e.Healthy {
			return e
		}
		without := current.add(e.Role, -1)
		if !without.coversAllPhases() {
			continue
		}
		d := p.demand()
		spare := (d.prefill+d.decode)/s.MaxLoadDuringUpdate <= float64(without.total())
		if spare || now.Sub(p.targetSetAt) > s.MaxUpdateDelay {
			return e
		}
	}
	return nil
}
