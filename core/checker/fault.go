package checker

import (
	"time"

	"rosemaryspool.example/core/controller"
)

// injectFault starts one fault.
func (w *simulation) injectFault() {
	w.result.Faults++
	p := w.processes[w.rng.IntN(len(w.processes))]
	switch w.rng.IntN(9) {
	case 0:
		w.kill(p)
	case 1, 2:
		w.pause(p, w.randomDuration(500*time.Millisecond, 14*time.Second))
	case 3:
		p.logUnreachableUntil = w.now + w.beginTimedFault(2*time.Second, 15*time.Second)
	case 4:
		p.upstreamsUnreachableUntil = w.now + w.beginTimedFault(2*time.Second, 10*time.Second)
	case 5:
		w.lossyUntil = w.now + w.beginTimedFault(2*time.Second, 10*time.Second)
	case 6:
		w.logDownUntil = w.now + w.beginTimedFault(2*time.Second, 20*time.Second)
	case 7:
		w.control.trim(w.rng.IntN(80))
		w.claims.trim(w.rng.IntN(20))
	default:
		w.slowUntil = w.now + w.beginTimedFault(2*time.Second, 10*time.Second)
		w.engines[w.rng.IntN(engineCount)].crash(w.now, w.randomDuration(0, 4*time.Second), w.chance(50))
	}
	if w.variant == VariantClockJump {
		p.clockJump += w.randomDuration(0, 8*time.Second)
	}
}

// last counts a fault as one of those that last until it is over.
func (w *simulation) beginTimedFault(low, high time.Duration) time.Duration {
	lasts := w.randomDuration(low, high)
	w.activeFaults++
	w.after(lasts, func() { w.activeFaults-- })
	return lasts
}

// kill ends a process; another takes its slot after a while. What it wrote stays on its way.
func (w *simulation) kill(p *process) {
	if !p.alive {
		return
	}
	p.alive = false
	w.after(w.beginTimedFault(500*time.Millisecond, 6*time.Second), func() { w.start(p.slot, p.incarnation+1) })
}

// pause stops a process. Some of its events carry a time from before the pause, and some of its decisions were made
// before it and are carried out after it.
func (w *simulation) pause(p *process, lasts time.Duration) {
	if !p.alive || p.paused {
		return
	}
	stale := p.localNow()
	switch w.rng.IntN(3) {
	case 0:
		p.backlog = append(p.backlog, func() { p.runActions(p.controller.Handle(controller.Ticked{Now: stale})) })
	case 1:
		if !p.logUnreachable() {
			decided := p.controller.Handle(p.controlEvent())
			p.backlog = append(p.backlog, func() { p.runActions(decided) })
		}
	}
	p.paused = true
	w.activeFaults++
	w.after(lasts, func() {
		w.activeFaults--
		p.resume()
	})
}

func (p *process) resume() {
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, run := range backlog {
		p.runOrDefer(run)
	}
}
