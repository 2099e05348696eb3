package checker

import (
	"time"

	"rosemaryspool.example/core/controller"
)

// injectFault starts one fault.
func (w *world) injectFault() {
	w.result.Faults++
	p := w.processes[w.random.IntN(len(w.processes))]
	switch w.random.IntN(9) {
	case 0:
		w.kill(p)
	case 1, 2:
		w.pause(p, w.between(500*time.Millisecond, 14*time.Second))
	case 3:
		p.logCutUntil = w.now + w.last(2*time.Second, 15*time.Second)
	case 4:
		p.workCutUntil = w.now + w.last(2*time.Second, 10*time.Second)
	case 5:
		w.lossyUntil = w.now + w.last(2*time.Second, 10*time.Second)
	case 6:
		w.logDownUntil = w.now + w.last(2*time.Second, 20*time.Second)
	case 7:
		w.control.trim(w.random.IntN(80))
		w.claims.trim(w.random.IntN(20))
	default:
		w.slowUntil = w.now + w.last(2*time.Second, 10*time.Second)
		w.engines[w.random.IntN(engineCount)].crash(w.now, w.between(0, 4*time.Second), w.chance(50))
	}
	if w.variant == VariantWallClock {
		p.jump += w.between(0, 8*time.Second)
	}
}

// last counts a fault as one of those that last until it is over.
func (w *world) last(low, high time.Duration) time.Duration {
	lasts := w.between(low, high)
	w.faults++
	w.after(lasts, func() { w.faults-- })
	return lasts
}

// kill ends a process; another takes its slot after a while. What it wrote stays on its way.
func (w *world) kill(p *process) {
	if !p.alive {
		return
	}
	p.alive = false
	w.after(w.last(500*time.Millisecond, 6*time.Second), func() { w.start(p.slot, p.incarnation+1) })
}

// pause stops a process. Some of its events carry a time from before the pause, and some of its decisions were made
// before it and are carried out after it.
func (w *world) pause(p *process, lasts time.Duration) {
	if !p.alive || p.paused {
		return
	}
	stale := p.localNow()
	switch w.random.IntN(3) {
	case 0:
		p.backlog = append(p.backlog, func() { p.run(p.controller.Handle(controller.Ticked{Now: stale})) })
	case 1:
		if !p.logCut() {
			decided := p.controller.Handle(p.controlEvent())
			p.backlog = append(p.backlog, func() { p.run(decided) })
		}
	}
	p.paused = true
	w.faults++
	w.after(lasts, func() {
		w.faults--
		p.resume()
	})
}

func (p *process) resume() {
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, run := range backlog {
		p.do(run)
	}
}
