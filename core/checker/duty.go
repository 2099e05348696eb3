package checker

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/meterer"
)

// Scopes of the duties. The holder of the first one gives orders, that of the second one reports usage.
const (
	scopeOrders identifier.Scope = "orders"
	scopeUsage  identifier.Scope = "usage"
)

var dutyScopes = []identifier.Scope{scopeOrders, scopeUsage}

// Sizes and times of a duty history.
const (
	dutyProcessCount = 4
	// meanDutyStep is the mean time between two faults.
	meanDutyStep = 2 * time.Second
	dutyLease    = 3 * time.Second
	dutyMargin   = 250 * time.Millisecond
	// dutyFlight is the longest time that a call may be under way after its time limit where tokens are not checked, and
	// checkedFlight where they are.
	dutyFlight    = 4 * time.Second
	checkedFlight = 3500 * time.Millisecond
	// dutyThaw is how long after a pause a process's calls are excused.
	dutyThaw      = 300 * time.Millisecond
	dutyCallLimit = time.Second
	minDutyCall   = 200 * time.Millisecond
	// storeLimit is the time limit of a call to the store, maxStoreDelay how late one may be carried out.
	storeLimit    = time.Second
	maxStoreDelay = 5 * time.Second
	// dutyPoll is the time between two reads of the topic.
	dutyPoll    = 300 * time.Millisecond
	usageWindow = time.Second
	usageDelay  = 10 * time.Second
)

// dutySimulation is one history of duties: the fakes of the platform and its store, and the processes.
type dutySimulation struct {
	history

	store     *dutyStore
	platform  *dutyPlatform
	processes [dutyProcessCount]*dutyProcess
	// Until these times the store or the platform answers late or not at all.
	storeDownUntil, storeLateUntil, callsLateUntil, callsLostUntil time.Duration
	// callsLatePercent is how many calls in a hundred the platform carries out late meanwhile.
	callsLatePercent int
}

// RunDutyHistory simulates the duties of several processes for one seed, which is reproducible. The platform checks
// fencing tokens in every second history.
func RunDutyHistory(seed uint64, steps int, variant Variant) Result {
	sm := newDutySimulation(seed, steps, variant)
	for i := range sm.processes {
		sm.start(i, 0)
	}
	sm.clock.After(sm.randomDuration(5*time.Second, 15*time.Second), sm.nextStep)
	sm.clock.RunUntil(time.Duration(steps)*meanDutyStep + 40*time.Second)
	sm.result.Histories = 1
	sm.result.Steps = min(sm.step, steps)
	return sm.result
}

func newDutySimulation(seed uint64, steps int, variant Variant) *dutySimulation {
	sm := &dutySimulation{history: newHistory(seed, steps, variant), store: &dutyStore{}}
	sm.platform = newDutyPlatform(&sm.history, seed%2 == 0)
	return sm
}

// flight returns how long a call may be under way after its time limit.
func (sm *dutySimulation) flight() time.Duration {
	if sm.platform.checksTokens {
		return checkedFlight
	}
	return dutyFlight
}

// permitSettings returns what a process waits for, changed for the broken variants.
func (sm *dutySimulation) permitSettings() leaser.PermitSettings {
	s := leaser.PermitSettings{ReturnWait: dutyLease, ReturnTime: 30 * time.Second}
	if !sm.platform.checksTokens {
		s.Flight = dutyFlight
	}
	switch sm.variant {
	case VariantNoFlightWait:
		s.Flight, s.ReturnWait = 0, 0
	case VariantNoReturnWait:
		s.ReturnWait = 0
	}
	return s
}

// leaserSettings returns the settings of a process's leases, changed for the broken variants.
func (sm *dutySimulation) leaserSettings(holder string) leaser.Settings {
	s := leaser.Settings{
		Holder: holder, Duration: dutyLease, RenewEvery: dutyLease / 3, Margin: dutyMargin,
		RetryEvery: 300 * time.Millisecond, Stagger: 500 * time.Millisecond,
	}
	if sm.variant == VariantNegativeLeaseMargin {
		s.Margin = -3 * time.Second
	}
	return s
}

// dutyRecord is a record of the topic. A claim's key contains its era.
type dutyRecord struct {
	scope identifier.Scope
	era   identifier.Era
	claim []byte
	// intent is set in place of a claim.
	intent *dutyIntent
}

// dutyIntent is the record of a report that is about to be sent.
type dutyIntent struct {
	window meterer.Window
	body   []byte
	digest meterer.Digest
}

// dutyStore is a fake of the platform's store with one topic; offsets start at 0 and anew in each era.
type dutyStore struct {
	records []dutyRecord
	era     identifier.Era
}

// append appends records if the topic ends at an offset, and reports whether it does.
func (s *dutyStore) append(at uint64, records []dutyRecord) bool {
	if at != uint64(len(s.records)) {
		return false
	}
	s.records = append(s.records, records...)
	return true
}

// restore makes the store return from a copy that lacks its latest records.
func (s *dutyStore) restore(lost int) {
	keep := max(0, len(s.records)-lost)
	s.records = s.records[:keep:keep]
	s.era++
}

// dutyCall is a call as it arrives at the platform.
type dutyCall struct {
	sent, at time.Duration
	machine  int
	token    identifier.Token
}

// dutyPlatform is a fake of the platform. It judges the calls by what it sees.
type dutyPlatform struct {
	history      *history
	checksTokens bool
	calls        map[identifier.Scope][]dutyCall
	highest      map[identifier.Scope]identifier.Token
	reports      map[meterer.Window]string
	// refused holds when each machine first learned that a token of a scope is refused.
	refused map[refusal]time.Duration
}

type refusal struct {
	scope   identifier.Scope
	machine int
	token   identifier.Token
}

func newDutyPlatform(h *history, checksTokens bool) *dutyPlatform {
	return &dutyPlatform{
		history: h, checksTokens: checksTokens, calls: map[identifier.Scope][]dutyCall{},
		highest: map[identifier.Scope]identifier.Token{}, reports: map[meterer.Window]string{},
		refused: map[refusal]time.Duration{},
	}
}

// carryOut carries out a call, and returns false if it is refused for its token; answered is true if the sender learns of
// that. A call that is excused is not judged.
func (p *dutyPlatform) carryOut(scope identifier.Scope, call dutyCall, excused, answered bool) bool {
	if p.checksTokens && call.token < p.highest[scope] {
		p.refuse(scope, call, excused, answered)
		return false
	}
	if !excused {
		p.judge(scope, call)
	}
	p.history.result.DutyCalls++
	return true
}

// refuse records a violation if the machine knows for longer than a lease that this token is refused.
func (p *dutyPlatform) refuse(scope identifier.Scope, call dutyCall, excused, answered bool) {
	key := refusal{scope: scope, machine: call.machine, token: call.token}
	first, found := p.refused[key]
	switch {
	case found && call.sent-first > dutyLease && !excused:
		p.history.recordViolation(InvariantRefusedToken, "%s: machine %d calls with token %d at %s, refused at %s",
			scope, call.machine, call.token, call.sent, first)
	case !found && answered:
		p.refused[key] = call.at
	}
}

// judge records violations by a call that is carried out.
func (p *dutyPlatform) judge(scope identifier.Scope, call dutyCall) {
	h := p.history
	if call.token < p.highest[scope] {
		h.recordViolation(InvariantDutyToken, "%s: token %d of machine %d after %d", scope, call.token, call.machine, p.highest[scope])
	}
	p.highest[scope] = max(p.highest[scope], call.token)
	calls := p.calls[scope]
	other := -1
	for i := len(calls) - 1; i >= 0 && call.at-calls[i].at < dutyLease; i-- {
		before := calls[i]
		switch {
		case before.machine != call.machine && before.token == call.token:
			h.recordViolation(InvariantDutyToken, "%s: token %d of machines %d and %d", scope, call.token, before.machine, call.machine)
		case before.machine != call.machine:
			other = before.machine
		case other >= 0:
			h.recordViolation(InvariantDutyTurns, "%s: machines %d, %d and %d within %s", scope, call.machine, other,
				call.machine, call.at-before.at)
			other = -1
		}
	}
	p.calls[scope] = append(calls, call)
}

// takeReport takes the report of a window.
func (p *dutyPlatform) takeReport(w meterer.Window, body string) {
	known, found := p.reports[w]
	if found && known != body {
		p.history.recordViolation(InvariantSingleReport, "window %d is reported as %s and %s", w, known, body)
	}
	if !found {
		p.reports[w] = body
		p.history.result.Reports++
	}
}
