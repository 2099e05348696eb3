package checker

import (
	"time"

	"rosemaryspool.example/core/controller"
)

// injectFault injects one random fault: a killed or paused process, an unreachable log or upstream, lost messages, a
// log outage, a trimmed log, or slow delivery together with an engine crash.
func (sm *simulation) injectFault() {
	sm.result.Faults++
	p := sm.processes[sm.rng.IntN(len(sm.processes))]
	switch sm.rng.IntN(9) {
	case 0:
		sm.kill(p)
	case 1, 2:
		sm.pause(p, sm.randomDuration(500*time.Millisecond, 14*time.Second))
	case 3:
		p.logUnreachableUntil = sm.clock.Now + sm.beginTimedFault(2*time.Second, 15*time.Second)
	case 4:
		p.upstreamsUnreachableUntil = sm.clock.Now + sm.beginTimedFault(2*time.Second, 10*time.Second)
	case 5:
		sm.lossyUntil = sm.clock.Now + sm.beginTimedFault(2*time.Second, 10*time.Second)
	case 6:
		sm.logDownUntil = sm.clock.Now + sm.beginTimedFault(2*time.Second, 20*time.Second)
	case 7:
		sm.control.trim(sm.rng.IntN(80))
		sm.claims.trim(sm.rng.IntN(20))
	default:
		sm.slowUntil = sm.clock.Now + sm.beginTimedFault(2*time.Second, 10*time.Second)
		sm.engines[sm.rng.IntN(engineCount)].crash(sm.clock.Now, sm.randomDuration(0, 4*time.Second), sm.chance(50))
	}
	if sm.variant == VariantClockJump {
		p.clockJump += sm.randomDuration(0, 8*time.Second)
	}
}

// beginTimedFault draws a duration, counts a fault as active for that long and returns the duration.
func (sm *simulation) beginTimedFault(low, high time.Duration) time.Duration {
	duration := sm.randomDuration(low, high)
	sm.activeFaults++
	sm.clock.After(duration, func() { sm.activeFaults-- })
	return duration
}

// kill ends a process and starts another in its slot later. Messages that it already sent are still delivered.
func (sm *simulation) kill(p *process) {
	if !p.alive {
		return
	}
	p.alive = false
	sm.clock.After(sm.beginTimedFault(500*time.Millisecond, 6*time.Second), func() { sm.start(p.slot, p.incarnation+1) })
}

// pause suspends a process. At random, the process afterwards handles a tick stamped before the pause, or carries out
// actions that it decided on before the pause.
func (sm *simulation) pause(p *process, duration time.Duration) {
	if !p.alive || p.paused {
		return
	}
	staleNow := p.localNow()
	switch sm.rng.IntN(3) {
	case 0:
		p.backlog = append(p.backlog, func() { p.runActions(p.controller.Handle(controller.Ticked{Now: staleNow})) })
	case 1:
		if !p.logUnreachable() {
			actions := p.controller.Handle(p.controlEvent())
			p.backlog = append(p.backlog, func() { p.runActions(actions) })
		}
	}
	p.paused = true
	sm.activeFaults++
	sm.clock.After(duration, func() {
		sm.activeFaults--
		p.resume()
	})
}

// resume ends a pause and runs the backlog in order.
func (p *process) resume() {
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, run := range backlog {
		p.runOrDefer(run)
	}
}
