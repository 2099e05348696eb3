package soaker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/standin/emulator"
)

// Invariant names a guarantee that the product gives to callers and upstreams. docs/TESTING.md explains each by its
// name.
type Invariant string

// Invariants that a soak test checks.
const (
	// InvariantOnce: a request that isn't repeatable runs at most once.
	InvariantOnce Invariant = "once"
	// InvariantNotRun: a request that isn't repeatable has not run if its status says so.
	InvariantNotRun Invariant = "notRun"
	// InvariantOwnResponse: a response belongs to its request, and a success is complete, signed and follows a run.
	InvariantOwnResponse Invariant = "ownAnswer"
	// InvariantUnchanged: upstreams get the request as the caller sent it, without headers that only instances may set.
	InvariantUnchanged Invariant = "unchanged"
	// InvariantOrder: the events of a stream arrive in order without gaps, and a stream that ends normally is complete.
	InvariantOrder Invariant = "order"
	// InvariantVersion: a stream is resumed only at upstreams of the software version that began it.
	InvariantVersion Invariant = "version"
	// InvariantResumed: streams that callers take up go on about as often as new ones begin, while two engines of their
	// version serve.
	InvariantResumed Invariant = "resumed"
	// InvariantRoute: requests run on the service of the newest route once applyLimit has passed.
	InvariantRoute Invariant = "route"
	// InvariantLeaving: no request reaches a draining upstream once drainLimit has passed.
	InvariantLeaving Invariant = "leaving"
	// InvariantBudget: the retries of all gateways together stay within the retry budget.
	InvariantBudget Invariant = "budget"
	// InvariantStop: a planned stop of a gateway breaks no request in flight.
	InvariantStop Invariant = "stop"
	// InvariantTimeout: a request ends within its route's timeout.
	InvariantTimeout Invariant = "timeout"
	// InvariantAbandoned: requests that their callers have abandoned reach no upstream.
	InvariantAbandoned Invariant = "left"
	// InvariantContained: few requests that crash upstreams reach one once several have crashed.
	InvariantContained Invariant = "contained"
	// InvariantSound: no other request is refused as one of these.
	InvariantSound Invariant = "sound"
	// InvariantKey: requests reach upstreams only by a key that the configuration has, as those of its account and without
	// the key, and are not refused for one that it has.
	InvariantKey Invariant = "key"
	// InvariantDuty: the platform gets one report of usage for each window, by one instance at a time.
	InvariantDuty Invariant = "duty"
	// InvariantReleased: gateways hold no memory for requests that have ended, also those of slow callers.
	InvariantReleased Invariant = "released"
	// InvariantRecovery: all gateways are ready again within recoveryLimit of the last disturbance.
	InvariantRecovery Invariant = "recovery"
)

// Violation describes where an invariant did not hold. Attempt is the attempt ID, or the service or gateway concerned.
type Violation struct {
	Invariant Invariant
	Attempt   string
	Detail    string
}

// String returns the violation as one line of text.
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Invariant, v.Attempt, v.Detail) }

const (
	// settleTime is how long an instance and the store must have been undisturbed before time limits are checked.
	settleTime = 3 * time.Second
	// finalSlack is how long after its route's timeout a request may still end.
	finalSlack = 500 * time.Millisecond
	// abandonSlack is how long after its caller closed the connection a request may still reach an upstream.
	abandonSlack = 500 * time.Millisecond
	// lateArrivalLimit is how many requests of one soak test may reach an upstream later than that.
	lateArrivalLimit = 3
)

// arrival is a request that reached an upstream, which ran or rejected it.
type arrival struct {
	emulator.Run
	upstream string
	service  string
	rejected bool
}

// disturbance is a period in which a gateway, an upstream or the store was disturbed.
type disturbance struct {
	subject string
	from    time.Time
	to      time.Time
}

// plannedChange is a configuration change, the draining of an upstream or the planned stop of a gateway. Only the
// fields of its kind are set, and at is when the store had confirmed the write or the stop began.
type plannedChange struct {
	at time.Time
	// service is the new service of the plain routes; draining is the ID of the upstream that drains.
	service  string
	draining string
	// stoppedInstance is the number of the gateway that is stopped, counted from one; zero for none.
	stoppedInstance int
}

// history holds everything that callers and upstreams observed, and the disturbances and planned changes of the run.
type history struct {
	attempts     []*attempt
	arrivals     []arrival
	disturbances []disturbance
	changes      []plannedChange
	// crashes holds the crashes of upstreams under fatal requests, instances the number of gateways.
	crashes      []crash
	instances    int
	streamEvents int
	// versions holds the software version of each upstream.
	versions map[string]string
	// calls holds what the platform was told of usage.
	calls []emulator.UsageCall
	// engines holds the lives of the engines that run streams.
	engines []life
}

// storeSubject names the store as the subject of a disturbance.
const storeSubject = "store"

func instanceSubject(instance int) string { return fmt.Sprint("instance ", instance) }

// instanceUndisturbed reports whether neither the instance nor the store was disturbed in a period.
func (h *history) instanceUndisturbed(instance int, from, to time.Time) bool {
	return !slices.ContainsFunc(h.disturbances, func(d disturbance) bool {
		return (d.subject == storeSubject || d.subject == instanceSubject(instance)) && d.from.Before(to) && d.to.After(from)
	})
}

// subjectUndisturbed reports whether an upstream or an instance was not itself disturbed in a period.
func (h *history) subjectUndisturbed(subject string, from, to time.Time) bool {
	return !slices.ContainsFunc(h.disturbances, func(d disturbance) bool {
		return d.subject == subject && d.from.Before(to) && d.to.After(from)
	})
}

// audit checks all invariants except recovery and returns the violations.
func (h *history) audit() []Violation {
	slices.SortFunc(h.arrivals, func(a, b arrival) int { return a.At.Compare(b.At) })
	sent := map[string]*attempt{}
	for _, a := range h.attempts {
		sent[a.id] = a
	}
	runs := map[string][]arrival{}
	var violations []Violation
	for _, r := range h.arrivals {
		id := r.Header.Get(emulator.HeaderAttempt)
		a := sent[id]
		if detail := describeAlteration(a, r); detail != "" {
			violations = append(violations, Violation{InvariantUnchanged, id, detail})
			continue
		}
		if !r.rejected {
			violations = append(violations, h.auditDestination(a, r)...)
		}
		if !r.rejected && !r.PrefillOnly {
			runs[id] = append(runs[id], r)
		}
	}
	for _, a := range h.attempts {
		violations = append(violations, h.auditAttempt(a, runs[a.id])...)
	}
	violations = append(violations, h.auditContainment(sent)...)
	violations = append(violations, h.auditVersions(sent)...)
	violations = append(violations, h.auditKeys(sent)...)
	violations = append(violations, h.auditDuty(sent)...)
	violations = append(violations, h.auditResumptions(sent)...)
	return append(violations, append(h.auditBudget(sent), h.auditAbandoned(sent)...)...)
}

// describeAlteration describes how an arrival differs from the request that its caller sent. It returns the empty
// string if they are the same.
func describeAlteration(a *attempt, r arrival) string {
	switch {
	case a == nil:
		return "not sent by any caller"
	case r.Method != a.kind.method || r.URI != a.uri || r.Body != a.body:
		return fmt.Sprintf("%s %s with %d bytes arrived as %s %s with %d",
			a.kind.method, a.uri, len(a.body), r.Method, r.URI, len(r.Body))
	case r.Header.Get(emulator.HeaderPin) == forgedPin:
		return "a header that only instances may set was forwarded"
	case a.kind.stream != (r.Header.Get(emulator.HeaderModel) == "m"):
		return "the model header was lost or added"
	}
	return ""
}

// auditDestination checks that a request reached no draining upstream, and that it reached the service of its newest
// route or one that was configured later.
func (h *history) auditDestination(a *attempt, r arrival) []Violation {
	var violations []Violation
	newest := plannedChange{}
	for _, c := range h.changes {
		if c.service != "" && h.appliedBefore(c.at, a) {
			newest = c
		}
		if c.draining == r.upstream && r.At.After(c.at.Add(drainLimit)) &&
			h.subjectUndisturbed(storeSubject, c.at.Add(-settleTime), c.at) &&
			h.instanceUndisturbed(a.instance, r.At.Add(-settleTime), r.At) {
			violations = append(violations, Violation{
				InvariantLeaving, a.id, fmt.Sprintf("reached %s %v after it began to drain", r.upstream, r.At.Sub(c.at)),
			})
		}
	}
	if newest.service == "" || a.kind.stream || r.service == newest.service {
		return violations
	}
	for _, c := range h.changes {
		if c.service == r.service && c.at.After(newest.at) {
			return violations
		}
	}
	return append(violations, Violation{
		InvariantRoute, a.id,
		fmt.Sprintf("ran on %s %v after its route changed to %s", r.service, a.sent.Sub(newest.at), newest.service),
	})
}

// appliedBefore reports whether a change must have taken effect at the request's instance when the request was sent.
func (h *history) appliedBefore(change time.Time, a *attempt) bool {
	return !change.IsZero() && a.sent.After(change.Add(applyLimit)) &&
		h.instanceUndisturbed(a.instance, change.Add(-settleTime), a.sent) && !h.stoppedLately(a)
}

// stoppedLately reports whether a planned stop of the request's instance began shortly before the request was sent. The
// limits for changes hold without one.
func (h *history) stoppedLately(a *attempt) bool {
	return slices.ContainsFunc(h.changes, func(c plannedChange) bool {
		return c.stoppedInstance == a.instance+1 && !a.sent.Before(c.at) && a.sent.Before(c.at.Add(settleTime))
	})
}

// statesNotRun reports whether a status states that the request did not run and never will.
func statesNotRun(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

func (h *history) auditAttempt(a *attempt, runs []arrival) []Violation {
	var violations []Violation
	report := func(invariant Invariant, format string, values ...any) {
		violations = append(violations, Violation{invariant, a.id, fmt.Sprintf(format, values...)})
	}
	if !a.kind.repeatable && len(runs) > 1 {
		report(InvariantOnce, "ran %d times: on %s and %s", len(runs), runs[0].upstream, runs[1].upstream)
	}
	if !a.kind.repeatable && statesNotRun(a.status) && len(runs) > 0 {
		report(InvariantNotRun, "responded %d but ran on %s", a.status, runs[0].upstream)
	}
	if a.status != 0 && a.responseID != "" && a.responseID != a.id {
		report(InvariantOwnResponse, "received the response to %s", a.responseID)
	}
	if a.complete && a.status == 200 {
		if a.signature == "" || len(runs) == 0 || a.responseID != a.id {
			report(InvariantOwnResponse, "success with signature %q and attempt ID %q after %d runs",
				a.signature, a.responseID, len(runs))
		}
		if !a.kind.stream && a.content != emulator.ResponseBody {
			report(InvariantOwnResponse, "success with an unexpected body of %d bytes", len(a.content))
		}
	}
	if a.kind.stream && a.status == 200 {
		if detail := h.orderViolation(a); detail != "" {
			report(InvariantOrder, "%s", detail)
		}
	}
	if took := a.ended.Sub(a.sent); !a.abandoned && took > a.kind.timeout+finalSlack &&
		h.instanceUndisturbed(a.instance, a.sent.Add(-settleTime), a.ended) {
		report(InvariantTimeout, "ended after %v with status %d", took, a.status)
	}
	if a.incomplete() && len(runs) > 0 && h.overlapsStop(a) &&
		h.instanceUndisturbed(a.instance, a.sent.Add(-settleTime), a.ended) &&
		h.subjectUndisturbed(runs[0].upstream, a.sent.Add(-settleTime), a.ended) {
		report(InvariantStop, "ran on %s, but its connection ended during a planned stop", runs[0].upstream)
	}
	return violations
}

// orderViolation describes the first missing or misplaced event of a stream, or returns the empty string.
func (h *history) orderViolation(a *attempt) string {
	numbers, err := eventNumbers(a.content)
	if err != nil {
		return err.Error()
	}
	for i, n := range numbers {
		if n != a.lastEvent+i+1 {
			return fmt.Sprintf("event %d received at position %d", n, a.lastEvent+i+1)
		}
	}
	if a.complete && a.lastEvent+len(numbers) != h.streamEvents {
		return fmt.Sprintf("the stream ended normally after %d of %d events", a.lastEvent+len(numbers), h.streamEvents)
	}
	if !strings.HasPrefix(emulator.StreamEvents(a.lastEvent+1, h.streamEvents), a.content) {
		return fmt.Sprintf("%q is no part of a stream", a.content)
	}
	return ""
}

// overlapsStop reports whether an attempt was in flight at some time during a planned stop of its instance.
func (h *history) overlapsStop(a *attempt) bool {
	return slices.ContainsFunc(h.changes, func(c plannedChange) bool {
		return c.stoppedInstance == a.instance+1 && a.sent.Before(c.at.Add(stopLimit)) && a.ended.After(c.at)
	})
}

// auditBudget checks the retries of all instances together in the sliding window that ends at each retry. The budget
// follows from the largest number of requests in three windows: those that end at the retry, half a window before it
// and a full window before it.
func (h *history) auditBudget(sent map[string]*attempt) []Violation {
	retries, requests := map[string][]time.Time{}, map[string][]time.Time{}
	seen, prefilled := map[string]bool{}, map[string]bool{}
	for _, r := range h.arrivals {
		id := r.Header.Get(emulator.HeaderAttempt)
		if sent[id] == nil {
			continue
		}
		switch {
		case r.PrefillOnly && !r.rejected && !prefilled[id]:
			prefilled[id] = true
		case seen[id]:
			retries[r.service] = append(retries[r.service], r.At)
		default:
			seen[id] = true
		}
	}
	for _, a := range h.attempts {
		service := modelService
		if !a.kind.stream {
			service = h.plainServiceAt(a.sent)
		}
		requests[service] = append(requests[service], a.sent)
	}
	for _, times := range requests {
		slices.SortFunc(times, time.Time.Compare)
	}
	var violations []Violation
	for service, times := range retries {
		for i, at := range times {
			count := i + 1 - countUntil(times, at.Add(-retryWindow))
			maxRequests := 0
			for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
				until := at.Add(-shift)
				maxRequests = max(
					maxRequests, countUntil(requests[service], until)-countUntil(requests[service], until.Add(-retryWindow)),
				)
			}
			if float64(count) > retryRatio*float64(maxRequests)+retryExtra {
				violations = append(violations, Violation{
					InvariantBudget, service, fmt.Sprintf("%d retries for %d requests", count, maxRequests),
				})
				break
			}
		}
	}
	return violations
}

// plainServiceAt returns the service of the plain routes at a time.
func (h *history) plainServiceAt(at time.Time) string {
	service := ""
	for _, c := range h.changes {
		if c.service != "" && !c.at.After(at) {
			service = c.service
		}
	}
	return service
}

// countUntil returns how many of the sorted times are not after end.
func countUntil(times []time.Time, end time.Time) int {
	n, _ := slices.BinarySearchFunc(times, end, func(t, end time.Time) int { return cmp.Or(t.Compare(end), -1) })
	return n
}

// auditAbandoned checks that at most lateArrivalLimit requests reach an upstream after their caller abandoned them.
func (h *history) auditAbandoned(sent map[string]*attempt) []Violation {
	var late []string
	for _, r := range h.arrivals {
		a := sent[r.Header.Get(emulator.HeaderAttempt)]
		if a != nil && a.abandoned && !a.complete && r.At.After(a.ended.Add(abandonSlack)) &&
			h.instanceUndisturbed(a.instance, a.sent.Add(-settleTime), r.At) {
			late = append(late, a.id)
		}
	}
	if len(late) <= lateArrivalLimit {
		return nil
	}
	return []Violation{{
		InvariantAbandoned, strings.Join(late, " "), "reached an upstream after their callers had abandoned them",
	}}
}
