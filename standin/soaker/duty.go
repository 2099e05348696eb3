package soaker

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rosemaryspool.example/standin/emulator"
)

// Limits of the duty in the gateways' settings, and how long after a pause a call may still arrive.
const (
	leaseLimit   = time.Second
	thawLimit    = 300 * time.Millisecond
	reportWindow = time.Second
	reportDelay  = 10 * time.Second
	// usageTolerance is the relative error that reports may have.
	usageTolerance = 0.05
)

// auditDuty checks what the platform was told: one report for each window, by one instance at a time, under tokens that
// rise, of no more requests than upstreams got.
func (h *history) auditDuty(sent map[string]*attempt) []Violation {
	var violations []Violation
	report := func(c emulator.UsageCall, format string, values ...any) {
		violations = append(violations, Violation{InvariantDuty, fmt.Sprint("window ", c.Window), fmt.Sprintf(format, values...)})
	}
	bodies, holders, counts := map[int]string{}, map[uint64]string{}, map[string]int{}
	var accepted []emulator.UsageCall
	var highest uint64
	for _, c := range h.calls {
		if holder, found := holders[c.Token]; found && holder != c.Holder {
			report(c, "%s and %s had token %d", holder, c.Holder, c.Token)
		}
		holders[c.Token] = c.Holder
		if c.Refused {
			continue
		}
		excused := !h.subjectUndisturbed(subjectOf(c.Holder), c.At.Add(-thawLimit), c.At)
		if c.Token < highest && !excused {
			report(c, "%s called with token %d after %d", c.Holder, c.Token, highest)
		}
		highest = max(highest, c.Token)
		if body, found := bodies[c.Window]; !found {
			for account, n := range c.Counts {
				counts[account] += n
			}
		} else if body != c.Body {
			report(c, "reported %s and %s", body, c.Body)
		}
		bodies[c.Window] = c.Body
		if accepted = append(accepted, c); !excused && takesTurns(accepted) {
			report(c, "%s called before and after another within %v", c.Holder, leaseLimit)
		}
	}
	ran := map[string]int{}
	for _, r := range h.arrivals {
		if a := sent[r.Header.Get(emulator.HeaderAttempt)]; a != nil && a.key != nil && !r.rejected && !r.PrefillOnly {
			ran[a.key.account]++
		}
	}
	for account, n := range counts {
		if n > ran[account] {
			violations = append(violations, Violation{
				InvariantDuty, account, fmt.Sprintf("%d requests were reported, %d reached upstreams", n, ran[account]),
			})
		}
	}
	return violations
}

// takesTurns reports whether the holder of the last call made one before another holder's, less than leaseLimit earlier.
func takesTurns(calls []emulator.UsageCall) bool {
	last := calls[len(calls)-1]
	between := false
	for i := len(calls) - 2; i >= 0 && last.At.Sub(calls[i].At) < leaseLimit; i-- {
		if calls[i].Holder != last.Holder {
			between = true
		} else if between {
			return true
		}
	}
	return false
}

// subjectOf returns the subject of disturbances of a gateway by its name.
func subjectOf(name string) string {
	// A name that isn't a gateway's has no disturbances.
	n, _ := strconv.Atoi(strings.TrimPrefix(name, gatewayName))
	return instanceSubject(n - 1)
}
