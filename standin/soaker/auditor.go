package soaker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/standin/platformer"
)

// Promise is one that the pages make to callers and upstreams. The names are those that docs/TESTING.md explains.
type Promise string

// Promises that a soak checks.
const (
	PromiseOnce      Promise = "once"
	PromiseNotRun    Promise = "notRun"
	PromiseOwnAnswer Promise = "ownAnswer"
	PromiseUnchanged Promise = "unchanged"
	PromiseOrder     Promise = "order"
	PromiseRoute     Promise = "route"
	PromiseLeaving   Promise = "leaving"
	PromiseBudget    Promise = "budget"
	PromiseStop      Promise = "stop"
	PromiseTimeout   Promise = "timeout"
	PromiseLeft      Promise = "left"
	PromiseRecovery  Promise = "recovery"
)

// Breach is a promise that was not kept.
type Breach struct {
	Promise Promise
	Attempt string
	Detail  string
}

// String is one line of a report.
func (b Breach) String() string { return fmt.Sprintf("%s %s: %s", b.Promise, b.Attempt, b.Detail) }

const (
	// contact is how long an instance and the store must have been undisturbed before bounds hold.
	settleTime = 3 * time.Second
	// finalSlack is how much later than a route's time the final answer may come.
	finalSlack = 500 * time.Millisecond
	// cancelSlack is how much later than its caller's leaving a request may still reach an upstream.
	abandonSlack = 500 * time.Millisecond
	// leftLimit is how many may reach one later still.
	lateArrivalLimit = 3
)

// arrival is a request that reached an upstream.
type arrival struct {
	platformer.Run
	upstream string
	service  string
	rejected bool
}

// span is a time in which something was disturbed.
type disturbance struct {
	subject string
	from    time.Time
	to      time.Time
}

// change is a write of the operator or of an upstream, from its confirmation on.
type plannedChange struct {
	at time.Time
	// service is what the plain routes lead to from then on; leaving is the upstream that leaves.
	service string
	draining string
	// stopped is the number of the instance that is told to stop, counted from one; zero for none.
	stoppedInstance int
}

// history is all that callers, upstreams and the soak itself have seen.
type history struct {
	attempts []*attempt
	arrivals []arrival
	disturbances    []disturbance
	changes  []plannedChange
	streamEvents   int
}

// storeSubject is the store as the subject of a disturbance.
const storeSubject = "store"

func instanceSubject(instance int) string { return fmt.Sprint("instance ", instance) }

// calm tells whether an instance and the store were undisturbed.
func (h *history) instanceUndisturbed(instance int, from, to time.Time) bool {
	return !slices.ContainsFunc(h.disturbances, func(s disturbance) bool {
		return (s.subject == storeSubject || s.subject == instanceSubject(instance)) && s.from.Before(to) && s.to.After(from)
	})
}

// undisturbed tells whether an upstream worked.
func (h *history) upstreamUndisturbed(upstream string, from, to time.Time) bool {
	return !slices.ContainsFunc(h.disturbances, func(s disturbance) bool {
		return s.subject == upstream && s.from.Before(to) && s.to.After(from)
	})
}

// audit returns all breaches.
func (h *history) audit() []Breach {
	slices.SortFunc(h.arrivals, func(a, b arrival) int { return a.At.Compare(b.At) })
	sent := map[string]*attempt{}
	for _, a := range h.attempts {
		sent[a.id] = a
	}
	runs := map[string][]arrival{}
	var breaches []Breach
	for _, r := range h.arrivals {
		id := r.Header.Get(platformer.HeaderAttempt)
		a := sent[id]
		if detail := describeAlteration(a, r); detail != "" {
			breaches = append(breaches, Breach{PromiseUnchanged, id, detail})
			continue
		}
		if !r.rejected {
			breaches = append(breaches, h.auditDestination(a, r)...)
		}
		if !r.rejected && !r.PrefillOnly {
			runs[id] = append(runs[id], r)
		}
	}
	for _, a := range h.attempts {
		breaches = append(breaches, h.auditAttempt(a, runs[a.id])...)
	}
	return append(breaches, append(h.auditBudget(sent), h.auditAbandoned(sent)...)...)
}

// changed tells how a request differs from what its caller sent.
func describeAlteration(a *attempt, r arrival) string {
	switch {
	case a == nil:
		return "no caller sent it"
	case r.Method != a.kind.method || r.URI != a.uri || r.Body != a.body:
		return fmt.Sprintf("%s %s with %d bytes became %s %s with %d", a.kind.method, a.uri, len(a.body), r.Method, r.URI, len(r.Body))
	case r.Header.Get(platformer.HeaderPin) == forgedPin:
		return "a header that only instances may set was passed on"
	case a.kind.stream != (r.Header.Get(platformer.HeaderModel) == "m"):
		return "the model's name was lost"
	}
	return ""
}

func (h *history) auditDestination(a *attempt, r arrival) []Breach {
	var breaches []Breach
	newest := plannedChange{}
	for _, c := range h.changes {
		if c.service != "" && a.sent.After(c.at.Add(applyLimit)) && h.instanceUndisturbed(a.instance, c.at.Add(-settleTime), a.sent) {
			newest = c
		}
		if c.draining == r.upstream && r.At.After(c.at.Add(drainLimit)) && h.instanceUndisturbed(a.instance, c.at.Add(-settleTime), r.At) {
			breaches = append(breaches, Breach{PromiseLeaving, a.id, fmt.Sprintf("reached %s %v after its leaving", r.upstream, r.At.Sub(c.at))})
		}
	}
	if newest.service == "" || a.kind.stream || r.service == newest.service {
		return breaches
	}
	for _, c := range h.changes {
		if c.service == r.service && c.at.After(newest.at) {
			return breaches
		}
	}
	return append(breaches, Breach{PromiseRoute, a.id, fmt.Sprintf("ran at %s %v after its route led to %s", r.service, a.sent.Sub(newest.at), newest.service)})
}

// promisesNotRun tells whether a status states that the request did not run and never will.
func promisesNotRun(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

func (h *history) auditAttempt(a *attempt, runs []arrival) []Breach {
	var breaches []Breach
	breach := func(p Promise, format string, values ...any) {
		breaches = append(breaches, Breach{p, a.id, fmt.Sprintf(format, values...)})
	}
	if !a.kind.repeatable && len(runs) > 1 {
		breach(PromiseOnce, "ran %d times: at %s and %s", len(runs), runs[0].upstream, runs[1].upstream)
	}
	if !a.kind.repeatable && promisesNotRun(a.status) && len(runs) > 0 {
		breach(PromiseNotRun, "answered %d but ran at %s", a.status, runs[0].upstream)
	}
	if a.status != 0 && a.answerID != "" && a.answerID != a.id {
		breach(PromiseOwnAnswer, "got the answer of %s", a.answerID)
	}
	if a.complete && a.status == 200 {
		if a.signature == "" || len(runs) == 0 || a.answerID != a.id {
			breach(PromiseOwnAnswer, "success with signature %q of %q after %d runs", a.signature, a.answerID, len(runs))
		}
		if !a.kind.stream && a.content != platformer.AnswerBody {
			breach(PromiseOwnAnswer, "success with another body of %d bytes", len(a.content))
		}
	}
	if a.kind.stream && a.status == 200 {
		if detail := h.orderBreach(a); detail != "" {
			breach(PromiseOrder, "%s", detail)
		}
	}
	if took := a.ended.Sub(a.sent); !a.abandoned && took > a.kind.timeout+finalSlack && h.instanceUndisturbed(a.instance, a.sent.Add(-settleTime), a.ended) {
		breach(PromiseTimeout, "ended after %v with status %d", took, a.status)
	}
	if a.unanswered() && len(runs) > 0 && h.overlapsStop(a) && h.instanceUndisturbed(a.instance, a.sent.Add(-settleTime), a.ended) &&
		h.upstreamUndisturbed(runs[0].upstream, a.sent.Add(-settleTime), a.ended) {
		breach(PromiseStop, "ran at %s, and its connection ended during a planned stop", runs[0].upstream)
	}
	return breaches
}

func (h *history) orderBreach(a *attempt) string {
	numbers, err := eventNumbers(a.content)
	if err != nil {
		return err.Error()
	}
	for i, n := range numbers {
		if n != i+1 {
			return fmt.Sprintf("event %d stands in place %d", n, i+1)
		}
	}
	if a.complete && len(numbers) != h.streamEvents {
		return fmt.Sprintf("the stream ended as complete after %d of %d events", len(numbers), h.streamEvents)
	}
	return ""
}

// planned tells whether an attempt was under way while its instance was told to stop.
func (h *history) overlapsStop(a *attempt) bool {
	return slices.ContainsFunc(h.changes, func(c plannedChange) bool {
		return c.stoppedInstance == a.instance+1 && a.sent.Before(c.at.Add(stopLimit)) && a.ended.After(c.at)
	})
}

// auditBudget checks the repeats of all instances together in each sliding window.
func (h *history) auditBudget(sent map[string]*attempt) []Breach {
	repeats, requests := map[string][]time.Time{}, map[string][]time.Time{}
	seen, read := map[string]bool{}, map[string]bool{}
	for _, r := range h.arrivals {
		id := r.Header.Get(platformer.HeaderAttempt)
		if sent[id] == nil {
			continue
		}
		switch {
		case r.PrefillOnly && !r.rejected && !read[id]:
			read[id] = true
		case seen[id]:
			repeats[r.service] = append(repeats[r.service], r.At)
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
	var breaches []Breach
	for service, times := range repeats {
		for i, at := range times {
			count := i + 1 - countUntil(times, at.Add(-retryWindow))
			most := 0
			for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
				until := at.Add(-back)
				most = max(most, countUntil(requests[service], until)-countUntil(requests[service], until.Add(-retryWindow)))
			}
			if float64(count) > retryRatio*float64(most)+retryExtra {
				breaches = append(breaches, Breach{PromiseBudget, service, fmt.Sprintf("%d repeats for %d requests", count, most)})
				break
			}
		}
	}
	return breaches
}

// routed returns the service to which the plain routes lead.
func (h *history) plainServiceAt(at time.Time) string {
	service := ""
	for _, c := range h.changes {
		if c.service != "" && !c.at.After(at) {
			service = c.service
		}
	}
	return service
}

// within returns how many of the sorted times are not after an end.
func countUntil(times []time.Time, end time.Time) int {
	n, _ := slices.BinarySearchFunc(times, end, func(t, end time.Time) int { return cmp.Or(t.Compare(end), -1) })
	return n
}

// auditLeft checks that requests whose caller has left reach no upstream.
func (h *history) auditAbandoned(sent map[string]*attempt) []Breach {
	var late []string
	for _, r := range h.arrivals {
		a := sent[r.Header.Get(platformer.HeaderAttempt)]
		if a != nil && a.abandoned && !a.complete && r.At.After(a.ended.Add(abandonSlack)) && h.instanceUndisturbed(a.instance, a.sent.Add(-settleTime), r.At) {
			late = append(late, a.id)
		}
	}
	if len(late) <= lateArrivalLimit {
		return nil
	}
	return []Breach{{PromiseLeft, strings.Join(late, " "), "reached an upstream after their callers had left"}}
}
