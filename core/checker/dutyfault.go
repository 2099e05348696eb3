package checker

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// nextStep injects one fault and schedules the next.
func (sm *dutySimulation) nextStep() {
	sm.step++
	if sm.step > sm.steps {
		return
	}
	sm.injectFault()
	sm.clock.After(sm.randomDuration(0, 2*meanDutyStep), sm.nextStep)
}

// injectFault injects one random fault, in half of the cases at the machine whose call was carried out last.
func (sm *dutySimulation) injectFault() {
	sm.result.Faults++
	p := sm.processes[sm.rng.IntN(dutyProcessCount)]
	if calls := sm.platform.calls[dutyScopes[sm.rng.IntN(len(dutyScopes))]]; len(calls) > 0 && sm.chance(50) {
		p = sm.processes[calls[len(calls)-1].machine]
	}
	until := sm.clock.Now + sm.randomDuration(time.Second, 9*time.Second)
	switch sm.rng.IntN(13) {
	case 0, 1:
		sm.kill(p)
	case 2, 3:
		p.freeze(sm.randomDuration(500*time.Millisecond, 9*time.Second))
	case 4:
		p.cutUntil = until
	case 5:
		p.refusedUntil = until
	case 6:
		sm.storeDownUntil = sm.clock.Now + sm.randomDuration(time.Second, 5*time.Second)
	case 7:
		sm.storeLateUntil = until
	case 8, 9:
		sm.callsLateUntil, sm.callsLatePercent = until, 30
		if sm.chance(50) {
			sm.callsLatePercent = 95
		}
	case 10:
		sm.callsLostUntil = until
	case 11:
		sm.handBack(p)
	default:
		if sm.chance(50) {
			sm.platform.outdateTokens(sm.randomScope())
			return
		}
		sm.store.restore(sm.rng.IntN(12))
	}
}

// handBack makes the store turn a machine away until another one holds its leases, and then all others until it holds them
// again, while calls are carried out late.
func (sm *dutySimulation) handBack(p *dutyProcess) {
	away := sm.randomDuration(dutyLease+dutyMargin, 2*dutyLease)
	p.refusedUntil = sm.clock.Now + away
	sm.callsLateUntil, sm.callsLatePercent = sm.clock.Now+2*away, 95
	sm.clock.After(away, func() {
		for _, other := range sm.processes {
			if other.slot != p.slot {
				other.refusedUntil = sm.clock.Now + away
			}
		}
	})
}

func (sm *dutySimulation) randomScope() identifier.Scope {
	return dutyScopes[sm.rng.IntN(len(dutyScopes))]
}

// outdateTokens makes a platform that checks tokens refuse the latest one, as if it had seen a higher one.
func (p *dutyPlatform) outdateTokens(scope identifier.Scope) {
	if p.checksTokens && p.highest[scope] > 0 {
		p.highest[scope]++
	}
}

// kill ends a process and starts another on its machine later. Calls that it has sent are still carried out.
func (sm *dutySimulation) kill(p *dutyProcess) {
	if !p.alive {
		return
	}
	p.alive = false
	incarnation := int(p.sender.StartedMs) + 1
	sm.clock.After(sm.randomDuration(200*time.Millisecond, 3*time.Second), func() { sm.start(p.slot, incarnation) })
}

// freeze makes a machine stand still for a while. What arrives meanwhile is handled afterwards.
func (p *dutyProcess) freeze(length time.Duration) {
	if !p.alive || p.frozen {
		return
	}
	p.frozen = true
	p.simulation.clock.After(length, func() {
		p.frozen = false
		p.thawedAt = p.simulation.clock.Now
		if p.simulation.variant == VariantSuspendedClock {
			p.standstill += length
		}
		backlog := p.backlog
		p.backlog = nil
		for _, run := range backlog {
			p.runOrDefer(run)
		}
	})
}
