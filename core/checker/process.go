package checker

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// process is one instance: the controller and the deduplicator, whose actions are carried out against the fakes.
type process struct {
	simulation   *simulation
	slot         int
	incarnation  int
	alive        bool
	controller   *controller.Controller
	deduplicator *deduplicator.Deduplicator
	// The process's monotonic clock: its start, its drift in thousandths and the jumps that a broken variant adds.
	// wallOffset is the error of its wall clock.
	clockStart time.Time
	drift      time.Duration
	clockJump  time.Duration
	wallOffset time.Duration

	paused bool
	// backlog holds what arrived during a pause.
	backlog                   []func()
	logUnreachableUntil       time.Duration
	upstreamsUnreachableUntil time.Duration
	revisionInForce           identifier.Revision
	lastRequest               identifier.RequestID
}

// start starts a new process in a slot with a random clock drift. In 30 % of cases it bootstraps from a peer at once.
func (sm *simulation) start(slot, incarnation int) {
	p := &process{
		simulation:  sm,
		slot:        slot,
		incarnation: incarnation,
		alive:       true,
		clockStart:  time.Unix(int64(1000*(slot+1)+incarnation), 0),
		drift:       time.Duration(sm.rng.IntN(7) - 3),
		wallOffset:  sm.randomDuration(-2*time.Second, 2*time.Second),
	}
	name := fmt.Sprint(incarnation)
	if sm.variant == VariantSameIncarnation {
		name = "0"
	}
	instance := identifier.InstanceID(fmt.Sprintf("p%d", slot))
	p.controller = controller.NewController(sm.controllerSettings(instance, name))
	settings := deduplicator.NewSettings(instance, name, "claims")
	settings.Window = keyWindow
	settings.RunTimeout = 10 * time.Second
	settings.WatermarkEvery = 5 * time.Second
	p.deduplicator = deduplicator.NewDeduplicator(settings)
	sm.processes[slot] = p
	for _, scope := range scopeNames {
		p.runActions(p.controller.Handle(controller.ScopeWanted{Now: p.localNow(), Scope: identifier.Scope(scope)}))
	}
	if sm.chance(30) {
		p.bootstrap()
	}
	p.tick()
	p.poll()
}

// controllerSettings returns the settings of a process, changed for the broken variants that act through settings.
func (sm *simulation) controllerSettings(instance identifier.InstanceID, incarnation string) controller.Settings {
	s := controller.NewSettings("trial", instance, incarnation, compileSections)
	s.SnapshotEvery = 40
	// The histories send orders to engines that were not drained.
	s.PropagationDelay = 0
	switch sm.variant {
	case VariantNegativeLeaseMargin:
		s.Lease.Margin = -3 * time.Second
	case VariantNoSendWindow, VariantNoFence:
		s.Order.SendWindow = 0
		s.Order.ReportLag = 0
	}
	return s
}

// localNow returns the time of the process's monotonic clock.
func (p *process) localNow() time.Time {
	drifted := p.simulation.clock.Now + p.simulation.clock.Now*p.drift/1000
	return p.clockStart.Add(drifted + p.clockJump)
}

func (p *process) wallNow() time.Time { return wallStart.Add(p.simulation.clock.Now + p.wallOffset) }

// runOrDefer runs a function in the process now, or after its pause; a process that was killed drops it.
func (p *process) runOrDefer(run func()) {
	if !p.alive {
		return
	}
	if p.paused {
		p.backlog = append(p.backlog, run)
		return
	}
	run()
}

// runAfter runs a function in the process after a delay.
func (p *process) runAfter(delay time.Duration, run func()) {
	p.simulation.clock.After(delay, func() { p.runOrDefer(run) })
}

// tick handles one timer tick and schedules the next.
func (p *process) tick() {
	if !p.alive {
		return
	}
	if !p.paused {
		p.runActions(p.controller.Handle(controller.Ticked{Now: p.localNow()}))
		p.runClaimActions(p.deduplicator.Handle(deduplicator.Ticked{Now: p.localNow(), WallNow: p.wallNow()}))
	}
	p.simulation.clock.After(tickInterval, p.tick)
}

// logUnreachable reports whether the log is down or this process is cut off from it.
func (p *process) logUnreachable() bool {
	return p.simulation.logDown() || p.simulation.clock.Now < p.logUnreachableUntil
}

// poll reads both streams and schedules the next poll with jitter.
func (p *process) poll() {
	if !p.alive {
		return
	}
	if !p.paused && !p.logUnreachable() {
		p.runAfter(p.simulation.networkDelay(), p.readControl)
		p.runAfter(p.simulation.networkDelay(), p.readClaims)
	}
	p.simulation.clock.After(p.simulation.randomDuration(pollInterval/2, pollInterval*3/2), p.poll)
}

func (p *process) readControl() {
	p.runActions(p.controller.Handle(p.controlEvent()))
	p.compareWithReference()
}

// controlEvent reads the control stream and returns the event for the controller.
func (p *process) controlEvent() controller.Event {
	sm := p.simulation
	from := p.controller.NextOffset()
	entries, ok := sm.control.read(from, 1+sm.rng.IntN(60))
	if ok {
		return controller.RecordsRead{Now: p.localNow(), Entries: sm.withCurrentTokens(entries), End: sm.control.end()}
	}
	if sm.variant == VariantTrimmedAsEmpty {
		return controller.SnapshotLoaded{Now: p.localNow(), Snapshot: emptySnapshot(sm.control.first)}
	}
	return controller.LogTrimmed{Now: p.localNow(), First: sm.control.first}
}

// readClaims reads the claim stream and handles the result in the deduplicator.
func (p *process) readClaims() {
	sm := p.simulation
	entries, ok := sm.claims.read(p.deduplicator.NextOffset(), 1+sm.rng.IntN(60))
	if ok {
		p.runClaimActions(p.deduplicator.Handle(deduplicator.RecordsRead{
			Now: p.localNow(), WallNow: p.wallNow(), Entries: entries, End: sm.claims.end(),
		}))
		return
	}
	trimmed := deduplicator.LogTrimmed{Now: p.localNow(), WallNow: p.wallNow(), First: sm.claims.first}
	if sm.variant == VariantIgnoreTrimmedClaims {
		trimmed.WallNow = wallStart.Add(-time.Hour)
	}
	p.runClaimActions(p.deduplicator.Handle(trimmed))
}

// compareWithReference compares the process's replayed state with the reference model at the same offset.
func (p *process) compareWithReference() {
	state := p.controller.State()
	if state.Revision() < p.revisionInForce {
		p.simulation.recordViolation(InvariantNoRevert, "p%d: revision decreased from %d to %d",
			p.slot, p.revisionInForce, state.Revision())
	}
	if !state.Complete() {
		return
	}
	want := p.simulation.reference.views[state.Next()-1]
	got := stateViewOf(state)
	if uint64(state.Revision()) < want.revision {
		p.simulation.recordViolation(InvariantNoRevert, "p%d: revision is %d at offset %d, want %d",
			p.slot, state.Revision(), state.Next(), want.revision)
	}
	if got != want {
		p.simulation.recordViolation(InvariantNoStaleEffect, "p%d: state is %+v at offset %d, want %+v",
			p.slot, got, state.Next(), want)
	}
}

// stateViewOf returns the compared part of a process's state.
func stateViewOf(state *replayer.State) stateView {
	v := stateView{revision: uint64(state.Revision()), snapshotNext: uint64(state.SnapshotNext())}
	for i, name := range scopeNames {
		lease, _ := state.Lease(identifier.Scope(name))
		v.tokens[i] = uint64(lease.Token)
		v.released[i] = lease.Released
	}
	for i, name := range engineNames {
		e, _ := state.Engine(identifier.UpstreamID(name))
		if e.Unfinished != nil {
			v.unfinished[i] = string(e.Unfinished.ID())
		}
	}
	return v
}

// bootstrap loads the state of a random other process, unless that process was killed or is paused.
func (p *process) bootstrap() {
	sm := p.simulation
	peer := sm.processes[sm.rng.IntN(len(sm.processes))]
	if peer == nil || peer == p || !peer.alive || peer.paused {
		return
	}
	snapshot, err := peer.controller.State().Snapshot()
	if err != nil {
		return
	}
	p.runAfter(sm.networkDelay()*20, func() {
		p.runActions(p.controller.Handle(controller.SnapshotLoaded{Now: p.localNow(), Snapshot: snapshot}))
		p.compareWithReference()
	})
}

// runActions carries out the controller's actions.
func (p *process) runActions(actions []controller.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case controller.Append:
			p.appendControl(a)
		case controller.SendOrder:
			p.sendOrder(a)
		case controller.ReadEngine:
			p.readEngine(a)
		case controller.ConfigInForce:
			p.applyConfig(a)
		case controller.LeaseGained:
			p.simulation.result.LeaseGains++
			p.simulation.checkHolders()
		case controller.EngineDiverged:
			p.simulation.result.Diverged++
		case controller.HistoryIncomplete:
			if p.simulation.chance(60) {
				p.runAfter(p.simulation.randomDuration(50*time.Millisecond, time.Second), p.bootstrap)
			}
		case controller.HistoryRestored:
			p.simulation.result.Restored++
		}
	}
}

// applyConfig records the revision in force. It is a violation when the revision does not increase, has no document or
// was not accepted by the reference model.
func (p *process) applyConfig(a controller.ConfigInForce) {
	if a.Revision <= p.revisionInForce || a.Document == nil || !p.simulation.reference.revisions[uint64(a.Revision)] {
		p.simulation.recordViolation(InvariantNoRevert, "p%d: invalid revision %d came into force after %d",
			p.slot, a.Revision, p.revisionInForce)
	}
	p.revisionInForce = a.Revision
}

// appendControl carries out an append. A quarter of the snapshots are appended after a pause in which the holder loses
// its lease.
func (p *process) appendControl(a controller.Append) {
	sm := p.simulation
	if a.Urgency == throttler.UrgencySnapshot && sm.chance(25) && sm.activeFaults < maxActiveFaults && !p.paused {
		sm.result.Faults++
		sm.pause(p, sm.randomDuration(5*time.Second, 14*time.Second))
		p.backlog = append(p.backlog, func() { p.appendControlNow(a) })
		return
	}
	p.appendControlNow(a)
}

// appendControlNow appends records to the control stream and handles the result in the controller.
func (p *process) appendControlNow(a controller.Append) {
	p.append(p.simulation.control, a.Records, func(first identifier.Offset, failed, unknown bool) {
		if failed {
			p.runActions(p.controller.Handle(controller.AppendFailed{Now: p.localNow(), Records: a.IDs, Unknown: unknown}))
			return
		}
		p.runActions(p.controller.Handle(controller.AppendSucceeded{Now: p.localNow(), Records: a.IDs, First: first}))
	})
}

// append sends records to a stream. The response may be lost; an append with an unknown result may still be carried out
// later, or never.
func (p *process) append(s *stream, records [][]byte, endAppend func(first identifier.Offset, failed, unknown bool)) {
	sm := p.simulation
	fail := func(unknown bool) func() { return func() { endAppend(0, true, unknown) } }
	if p.logUnreachable() {
		if sm.chance(50) {
			p.runAfter(sm.networkDelay(), fail(false))
			return
		}
		if sm.chance(40) {
			sm.appendLate(s, records)
		}
		p.runAfter(sm.randomDuration(100*time.Millisecond, time.Second), fail(true))
		return
	}
	if sm.messageLost() {
		if sm.chance(70) {
			sm.appendLate(s, records)
		}
		p.runAfter(sm.randomDuration(10*time.Millisecond, time.Second), fail(true))
		return
	}
	sm.clock.After(sm.networkDelay(), func() {
		first := s.append(records)
		p.runAfter(sm.networkDelay(), func() { endAppend(first, false, false) })
	})
}

// appendLate appends records after a delay, unless the log is down then.
func (sm *simulation) appendLate(s *stream, records [][]byte) {
	delay := sm.networkDelay()
	if sm.chance(40) {
		delay = sm.randomDuration(0, 9*time.Second)
	}
	sm.clock.After(delay, func() {
		if !sm.logDown() {
			s.append(records)
		}
	})
}

// emptySnapshot returns a snapshot of an empty state that claims to contain all records before an offset.
func emptySnapshot(next identifier.Offset) *messenger.Snapshot {
	return newSnapshot(&messenger.FoldedState{Environment: "trial", NextOffset: uint64(next)})
}
