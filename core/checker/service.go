package checker

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/deduplicator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/wire/messenger"
)

// request is the checker's record of one call.
type request struct {
	key            string
	hash           uint64
	attempt        identifier.AttemptID
	reportedNotRun bool
	closed         bool
}

// service is a fake service whose calls are not idempotent; it records which calls it ran.
type service struct {
	simulation        *simulation
	runCounts         map[string]int
	requestHashes     map[string]uint64
	responses         map[string]string
	executedAttempts  map[identifier.AttemptID]bool
	requests          map[identifier.RequestID]*request
	requestsByAttempt map[identifier.AttemptID]*request
}

func newService(sm *simulation) *service {
	return &service{
		simulation:        sm,
		runCounts:         map[string]int{},
		requestHashes:     map[string]uint64{},
		responses:         map[string]string{},
		executedAttempts:  map[identifier.AttemptID]bool{},
		requests:          map[identifier.RequestID]*request{},
		requestsByAttempt: map[identifier.AttemptID]*request{},
	}
}

// execute runs a call and records a violation when its key already ran or its request was refused as not run.
func (s *service) execute(r *request, attempt identifier.AttemptID) {
	s.runCounts[r.key]++
	s.executedAttempts[attempt] = true
	s.simulation.result.Runs++
	if s.runCounts[r.key] > 1 {
		s.simulation.recordViolation(InvariantSingleRun, "key %s ran %d times, last in attempt %s",
			r.key, s.runCounts[r.key], attempt)
	} else {
		s.responses[r.key] = responseOf(r.key, attempt)
		s.requestHashes[r.key] = r.hash
	}
	if r.reportedNotRun {
		s.simulation.recordViolation(InvariantNotRun, "key %s ran in attempt %s after it was refused as not run",
			r.key, attempt)
	}
}

// responseOf returns the response of the run of a key; it is unique for each attempt.
func responseOf(key string, attempt identifier.AttemptID) string {
	return key + " by " + string(attempt)
}

// runClaimActions carries out the deduplicator's actions.
func (p *process) runClaimActions(actions []deduplicator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case deduplicator.Append:
			p.appendClaims(a)
		case deduplicator.Dispatch:
			p.dispatch(a)
		case deduplicator.Reply:
			p.checkReply(a)
		case deduplicator.Refuse:
			p.checkRefusal(a)
		}
	}
}

// appendClaims appends records to the claim stream and handles the result in the deduplicator.
func (p *process) appendClaims(a deduplicator.Append) {
	p.append(p.simulation.claims, a.Records, func(_ identifier.Offset, failed, unknown bool) {
		if failed {
			p.runClaimActions(p.deduplicator.Handle(deduplicator.AppendFailed{
				Now: p.localNow(), Records: a.IDs, Unknown: unknown,
			}))
			return
		}
		p.runClaimActions(p.deduplicator.Handle(deduplicator.AppendSucceeded{Now: p.localNow(), Records: a.IDs}))
	})
}

// dispatch sends a call to the service. The call runs, runs and fails, does not run, or has its response lost.
func (p *process) dispatch(a deduplicator.Dispatch) {
	sm, s := p.simulation, p.simulation.service
	r := s.requests[a.Request]
	if r == nil {
		sm.recordViolation(InvariantCorrectResponse, "dispatch for unknown request %s", a.Request)
		return
	}
	r.attempt = a.Attempt
	s.requestsByAttempt[a.Attempt] = r
	endDispatch := func(result messenger.DispatchResult, status int) func() {
		return func() {
			p.runClaimActions(p.deduplicator.Handle(deduplicator.DispatchEnded{
				Now: p.localNow(), Attempt: a.Attempt, Result: result, Status: status,
				ContentType: "text/plain", Body: []byte(responseOf(r.key, a.Attempt)),
			}))
		}
	}
	switch {
	case sm.clock.Now < p.upstreamsUnreachableUntil || sm.chance(10):
		p.runAfter(sm.networkDelay(), endDispatch(messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN, 0))
	case sm.messageLost() || sm.chance(10):
		p.loseResponse(r, a.Attempt, endDispatch)
	case sm.chance(10):
		sm.clock.After(sm.networkDelay(), func() { s.execute(r, a.Attempt) })
		p.runAfter(2*sm.networkDelay()+6*time.Millisecond, endDispatch(messenger.DispatchResult_DISPATCH_RESULT_FAILED, 422))
	default:
		delay := sm.randomDuration(time.Millisecond, time.Second)
		sm.clock.After(delay, func() { s.execute(r, a.Attempt) })
		p.runAfter(delay+sm.networkDelay(), endDispatch(messenger.DispatchResult_DISPATCH_RESULT_DONE, 200))
	}
}

// loseResponse runs a call within 6 s or never, and reports an unknown result.
func (p *process) loseResponse(
	r *request, attempt identifier.AttemptID, endDispatch func(messenger.DispatchResult, int) func(),
) {
	sm, s := p.simulation, p.simulation.service
	if sm.chance(75) {
		sm.clock.After(sm.randomDuration(0, 6*time.Second), func() { s.execute(r, attempt) })
	}
	result := messenger.DispatchResult_DISPATCH_RESULT_UNKNOWN
	switch sm.variant {
	case VariantUnknownAsNotRun:
		result = messenger.DispatchResult_DISPATCH_RESULT_NOT_RUN
	case VariantRetryDispatch:
		sm.clock.After(sm.networkDelay(), func() { s.execute(r, attempt) })
	}
	p.runAfter(sm.randomDuration(0, 2*time.Second), endDispatch(result, 0))
}

// checkReply compares a reply with the response of the run of its key. Each request gets one reply or refusal.
func (p *process) checkReply(a deduplicator.Reply) {
	sm, s := p.simulation, p.simulation.service
	id := a.Request
	if sm.variant == VariantMisroutedReplies && p.lastRequest != "" {
		id = p.lastRequest
	}
	r := s.requests[id]
	if r == nil || r.closed {
		sm.recordViolation(InvariantCorrectResponse, "reply for request %s, which is unknown or already closed", id)
		return
	}
	r.closed = true
	if a.Repeated {
		sm.result.Repeats++
	}
	if string(a.Body) != s.responses[r.key] || r.hash != s.requestHashes[r.key] {
		sm.recordViolation(InvariantCorrectResponse, "request %s of key %s got response %q, want %q",
			id, r.key, a.Body, s.responses[r.key])
	}
}

// checkRefusal checks that a call refused as not run has not run; execute checks that it does not run later.
func (p *process) checkRefusal(a deduplicator.Refuse) {
	sm, s := p.simulation, p.simulation.service
	r := s.requests[a.Request]
	if r == nil || r.closed {
		sm.recordViolation(InvariantCorrectResponse, "refusal for request %s, which is unknown or already closed", a.Request)
		return
	}
	r.closed = true
	sm.result.Refused++
	if a.Refusal.Effect != refuser.NotRun {
		return
	}
	r.reportedNotRun = true
	if r.attempt != "" && s.executedAttempts[r.attempt] {
		sm.recordViolation(InvariantNotRun, "request %s of key %s ran in attempt %s but was refused as not run with code %d",
			a.Request, r.key, r.attempt, a.Refusal.Code)
	}
}

// call sends a call with a new key or a repeat of an earlier call to a process.
func (sm *simulation) call(p *process) {
	var keyNumber int
	switch {
	case sm.keyCount == 0 || sm.chance(45):
		sm.keyCount++
		keyNumber = sm.keyCount
	case sm.chance(80):
		keyNumber = max(1, sm.keyCount-sm.rng.IntN(5))
	default:
		keyNumber = 1 + sm.rng.IntN(sm.keyCount)
	}
	sm.callWithKey(p, keyNumber)
}

// callWithKey sends a call with the given key. A repeat has the same issue time and, but for 4 % of the calls, the same
// request hash. In 8 % of the calls the caller disconnects before the response.
func (sm *simulation) callWithKey(p *process, keyNumber int) {
	key := fmt.Sprintf("key%d", keyNumber)
	issuedAt, ok := sm.keyIssuedAt[keyNumber]
	if !ok {
		issuedAt = wallStart.Add(sm.clock.Now + sm.randomDuration(-time.Second, time.Second))
		sm.keyIssuedAt[keyNumber] = issuedAt
	}
	hash := uint64(keyNumber)
	if sm.chance(4) {
		hash++
	}
	sm.requestCount++
	id := identifier.RequestID(fmt.Sprintf("request%d", sm.requestCount))
	sm.service.requests[id] = &request{key: key, hash: hash}
	p.runOrDefer(func() {
		p.runClaimActions(p.deduplicator.Handle(deduplicator.CallArrived{
			Now: p.localNow(), WallNow: p.wallNow(), Request: id, Caller: "caller", Key: identifier.IdempotencyKey(key),
			IssuedAt: issuedAt, RequestHash: hash, Service: "orders",
			Deadline: p.localNow().Add(sm.randomDuration(time.Second, 8*time.Second)),
		}))
		p.lastRequest = id
	})
	if sm.chance(8) {
		p.runAfter(sm.randomDuration(0, time.Second), func() {
			p.runClaimActions(p.deduplicator.Handle(deduplicator.CallerDisconnected{Now: p.localNow(), Request: id}))
		})
	}
}
