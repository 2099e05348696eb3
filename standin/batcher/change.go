package batcher

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// roleChange is a role change under way: first the engine empties, then it is absent.
type roleChange struct {
	role          identifier.Role
	downtime      time.Duration
	drainDeadline time.Time
	// back is when the engine serves again; zero while it empties.
	resumesAt time.Time
}

// next returns when the change moves on by itself.
func (c *roleChange) nextTransition() time.Time {
	if c.resumesAt.IsZero() {
		return c.drainDeadline
	}
	return c.resumesAt
}

// ChangeRole orders a role change. The engine takes nothing new, serves what it holds until it is empty or the
// patience is over, drops the rest, and is then absent. Its cache is empty when it comes back.
func (e *Engine) ChangeRole(now time.Time, role identifier.Role, absence, patience time.Duration) error {
	e.runUntil(now)
	if e.down {
		return ErrDown
	}
	if e.change != nil {
		return ErrChanging
	}
	e.change = &roleChange{role: role, downtime: absence, drainDeadline: now.Add(patience)}
	e.proceed(now)
	return nil
}

// moveChange starts the absence once the engine is empty or the patience is over, and ends it in time.
func (e *Engine) advanceRoleChange(now time.Time) {
	c := e.change
	if c == nil {
		return
	}
	if c.resumesAt.IsZero() {
		if !e.Idle() && now.Before(c.drainDeadline) {
			return
		}
		e.dropAll(now, CauseRoleChange)
		c.resumesAt = now.Add(c.downtime)
	}
	if now.Before(c.resumesAt) {
		return
	}
	e.role = c.role
	e.change = nil
	e.draining = false
	e.cache.clear()
	e.events = append(e.events, RoleChanged{At: c.resumesAt, Role: c.role})
}

// absent reports whether a role change keeps the engine away from work.
func (e *Engine) offline() bool { return e.change != nil && !e.change.resumesAt.IsZero() }

// Drain stops the engine from taking new sequences, or lets it take them again; what it holds goes on.
func (e *Engine) Drain(now time.Time, draining bool) {
	e.runUntil(now)
	e.draining = draining
}

// Leave marks the engine as leaving for good: it takes nothing new and ends what it holds.
func (e *Engine) Leave(now time.Time) {
	e.runUntil(now)
	e.leaving = true
}

// Crash ends the engine's process; a role change under way is lost and the old role comes back with Restart.
func (e *Engine) Crash(now time.Time) {
	e.runUntil(now)
	e.dropAll(now, CauseCrash)
	e.down = true
	e.change = nil
	e.draining = false
}

// Restart starts a crashed engine with an empty cache.
func (e *Engine) Restart(now time.Time) {
	if !e.down {
		return
	}
	e.down = false
	e.cache.clear()
	e.proceed(now)
}

// SetSlowness makes steps that start from now on last longer by a factor; 1 is the engine's usual speed.
func (e *Engine) SetSlowness(now time.Time, factor float64) {
	e.runUntil(now)
	e.slowness = factor
}

// drop ends every sequence without its end mark and forgets exported caches.
func (e *Engine) dropAll(now time.Time, cause Cause) {
	for _, queue := range [][]*sequence{e.waiting, e.imports, e.running} {
		for _, s := range queue {
			e.events = append(e.events, Dropped{At: now, Attempt: s.Attempt, Output: s.produced, Cause: cause})
		}
	}
	e.waiting, e.imports, e.running = nil, nil, nil
	e.prefilling = 0
	e.step = nil
	clear(e.exports)
}
