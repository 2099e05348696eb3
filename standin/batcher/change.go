package batcher

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// roleChange is a role change in progress: the engine first drains and is then offline for the downtime.
type roleChange struct {
	role          identifier.Role
	downtime      time.Duration
	drainDeadline time.Time
	// resumesAt is when the engine serves again; zero while it drains.
	resumesAt time.Time
}

// nextTransition returns when the change reaches its next phase at the latest: the end of the drain or of the downtime.
func (c *roleChange) nextTransition() time.Time {
	if c.resumesAt.IsZero() {
		return c.drainDeadline
	}
	return c.resumesAt
}

// ChangeRole starts a role change. The engine accepts no new sequences and drains until it is idle or the grace period
// is over. It then drops the remaining sequences and is offline for the downtime. It resumes with an empty cache.
func (e *Engine) ChangeRole(now time.Time, role identifier.Role, downtime, gracePeriod time.Duration) error {
	e.runUntil(now)
	if e.down {
		return ErrDown
	}
	if e.change != nil {
		return ErrChanging
	}
	e.change = &roleChange{role: role, downtime: downtime, drainDeadline: now.Add(gracePeriod)}
	e.proceed(now)
	return nil
}

// advanceRoleChange starts the downtime once the engine is idle or the grace period is over, and applies the new role
// when the downtime ends.
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

// offline reports whether the engine is in the downtime of a role change.
func (e *Engine) offline() bool { return e.change != nil && !e.change.resumesAt.IsZero() }

// Drain sets whether the engine refuses new sequences; sequences that it already holds continue.
func (e *Engine) Drain(now time.Time, draining bool) {
	e.runUntil(now)
	e.draining = draining
}

// Leave makes the engine refuse new sequences permanently; sequences that it already holds continue.
func (e *Engine) Leave(now time.Time) {
	e.runUntil(now)
	e.leaving = true
}

// Crash simulates the end of the engine's process. A role change in progress is lost: Restart resumes in the old role.
func (e *Engine) Crash(now time.Time) {
	e.runUntil(now)
	e.dropAll(now, CauseCrash)
	e.down = true
	e.change = nil
	e.draining = false
}

// Restart starts a crashed engine with an empty cache; it does nothing on a running one.
func (e *Engine) Restart(now time.Time) {
	if !e.down {
		return
	}
	e.down = false
	e.cache.clear()
	e.proceed(now)
}

// SetSlowness multiplies the duration of every step that starts from now on by a factor; 1 is normal speed.
func (e *Engine) SetSlowness(now time.Time, factor float64) {
	e.runUntil(now)
	e.slowness = factor
}

// dropAll ends every sequence without an end mark, emits a Dropped event for each and discards the exported caches.
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
