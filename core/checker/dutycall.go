package checker

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/meterer"
)

// dutyOutcome is how a call to the platform ended for its sender.
type dutyOutcome int

const (
	dutyAccepted dutyOutcome = iota
	// dutyRefused means that the platform has seen a higher token.
	dutyRefused
	// dutyUnknown means that there was no answer.
	dutyUnknown
)

// permit returns the lease under which calls of a scope may be made now.
func (p *dutyProcess) permit(scope identifier.Scope) (leaser.HeldLease, bool) {
	if p.calling[scope] {
		return leaser.HeldLease{}, false
	}
	now := p.now()
	lease, held := p.leaser.Held(now, scope)
	if p.simulation.variant == VariantRefusedTokenUsed {
		return lease, held && !now.Before(p.permitter.UsableFrom(scope))
	}
	return lease, held && p.permitter.Permits(now, lease)
}

// giveOrder makes an order's call now and then.
func (p *dutyProcess) giveOrder() {
	if lease, permitted := p.permit(scopeOrders); permitted && p.simulation.chance(30) {
		p.call(lease, func() {}, func(dutyOutcome) {})
	}
}

// reportUsage records or sends the report that is due.
func (p *dutyProcess) reportUsage() {
	lease, permitted := p.permit(scopeUsage)
	if !permitted {
		return
	}
	task, err := p.ledger.Decide(p.wallNow(), true, p.collector.Total)
	if err != nil {
		return
	}
	switch t := task.(type) {
	case meterer.Record:
		p.recordReport(t)
	case meterer.Send:
		body := string(t.Body)
		p.call(lease, func() { p.simulation.platform.takeReport(t.Window, body) }, func(o dutyOutcome) {
			if o == dutyAccepted {
				p.ledger.Accepted(t.Window)
				return
			}
			p.ledger.Failed(p.wallNow(), t.Window)
		})
	}
}

// recordReport appends the intent of a report, which is sent once it is read back.
func (p *dutyProcess) recordReport(t meterer.Record) {
	if p.simulation.variant == VariantNoIntent {
		p.ledger.Recorded(t.Window, t.Body, t.Digest)
		return
	}
	if p.storeBusy || p.state == nil || p.unsure {
		return
	}
	p.appendRecords([]dutyRecord{{scope: scopeUsage, intent: &dutyIntent{window: t.Window, body: t.Body, digest: t.Digest}}})
}

// call makes a call under a lease. effect takes place when the platform carries it out; ended is called with what the
// process learns of it within the call's time limit, which ends before the lease does.
func (p *dutyProcess) call(lease leaser.HeldLease, effect func(), ended func(dutyOutcome)) {
	sm := p.simulation
	limit := min(dutyCallLimit, lease.ExpiresAt.Sub(p.now()))
	if sm.variant == VariantUnboundedCall {
		limit = 2 * dutyCallLimit
	}
	if limit < minDutyCall {
		return
	}
	p.calling[lease.Scope] = true
	open := true
	end := func(o dutyOutcome) {
		p.runOrDefer(func() {
			if !open {
				return
			}
			open = false
			delete(p.calling, lease.Scope)
			if o == dutyRefused && sm.variant != VariantRefusedTokenUsed && p.permitter.Refused(lease.Scope, lease.Token) {
				p.leaser.ReplaceToken(lease.Scope)
			}
			ended(o)
		})
	}
	sent := sm.clock.Now
	deliver := func(answered bool) {
		outcome := dutyRefused
		made := dutyCall{sent: sent, at: sm.clock.Now, machine: p.slot, token: lease.Token}
		if sm.platform.carryOut(lease.Scope, made, sm.clock.Now-p.thawedAt <= dutyThaw, answered) {
			outcome = dutyAccepted
			effect()
		}
		if answered {
			sm.clock.After(sm.networkDelay(), func() { end(outcome) })
		}
	}
	sm.clock.After(limit, func() { end(dutyUnknown) })
	switch {
	case sm.step > 0 && sm.step <= sm.steps && sm.chance(1) && sm.chance(30):
		// The machine stands still between the check and the call.
		p.freeze(sm.randomDuration(500*time.Millisecond, 9*time.Second))
		p.runOrDefer(func() { sm.clock.After(sm.networkDelay(), func() { deliver(true) }) })
	case sent < sm.callsLateUntil && sm.chance(sm.callsLatePercent):
		sm.clock.After(sm.randomDuration(0, limit+sm.flight()-dutyMargin/10), func() { deliver(false) })
	case sent < sm.callsLostUntil && sm.chance(50):
	default:
		sm.clock.After(sm.networkDelay(), func() { deliver(true) })
	}
}
