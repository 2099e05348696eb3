package soaker

import (
	"fmt"
	"strings"
	"time"

	"rosemaryspool.example/standin/emulator"
)

// minResumptions is how many streams must be taken up in a soak test before the share that goes on is checked.
const minResumptions = 12

// life is the time in which an upstream serves: until its crash or until it begins to drain. to is zero if it still does.
type life struct {
	upstream string
	from     time.Time
	to       time.Time
}

// auditVersions checks that streams were resumed only at the version of the upstream whose signature the response has that
// brought the first event.
func (h *history) auditVersions(sent map[string]*attempt) []Violation {
	var violations []Violation
	for _, r := range h.arrivals {
		a := sent[r.Header.Get(emulator.HeaderAttempt)]
		if a == nil || r.rejected || r.PrefillOnly || r.Header.Get(emulator.HeaderLastEvent) == "" {
			continue
		}
		first := sent[a.stream()]
		if first == nil || first.signature == "" {
			continue
		}
		began := h.versions[strings.TrimSuffix(first.signature, ".1")]
		if version := h.versions[r.upstream]; version != began {
			violations = append(violations, Violation{
				InvariantVersion, a.id, fmt.Sprintf("began at %s and went on at %s on %s", began, version, r.upstream),
			})
		}
	}
	return violations
}

// auditResumptions compares the streams that callers take up with the new ones, at undisturbed instances.
func (h *history) auditResumptions(sent map[string]*attempt) []Violation {
	var resumed, wentOn, begun, isNew int
	for _, a := range h.attempts {
		if !a.kind.resumable || a.abandoned || a.part == fatalPart ||
			!h.instanceUndisturbed(a.instance, a.sent.Add(-settleTime), a.ended) {
			continue
		}
		numbers, err := eventNumbers(a.content)
		hasEvents := err == nil && len(numbers) > 0
		if a.resumes == "" {
			isNew++
			if hasEvents {
				begun++
			}
			continue
		}
		first := sent[a.stream()]
		if first == nil || h.enginesServing(h.versions[strings.TrimSuffix(first.signature, ".1")], a) < 2 {
			continue
		}
		resumed++
		if hasEvents {
			wentOn++
		}
	}
	if resumed < minResumptions || 2*wentOn*isNew >= resumed*begun {
		return nil
	}
	return []Violation{{
		InvariantResumed, "streams", fmt.Sprintf("%d of %d went on, %d of %d new ones began", wentOn, resumed, begun, isNew),
	}}
}

// enginesServing returns the number of undisturbed engines of a version that serve while a request runs.
func (h *history) enginesServing(version string, a *attempt) int {
	count := 0
	for _, l := range h.engines {
		if h.versions[l.upstream] == version && l.from.Before(a.sent.Add(-settleTime)) &&
			(l.to.IsZero() || l.to.After(a.ended)) && h.subjectUndisturbed(l.upstream, a.sent.Add(-settleTime), a.ended) {
			count++
		}
	}
	return count
}
