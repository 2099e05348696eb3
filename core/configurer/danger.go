package configurer

import (
	"fmt"
	"slices"
	"strings"

	"rosemaryspool.example/core/identifier"
)

// Danger is a risky effect of a change that an operator must accept by name before the change is published.
type Danger struct {
	// Name is the stable name of the danger, such as "classRemoved:fittingVerdict".
	Name string
	// Cost describes the impact of the change.
	Cost string
}

// maxListedCallers limits how many callers the cost of one danger lists.
const maxListedCallers = 5

// Dangers returns the dangers of replacing the old document with the next one, sorted by name. The old document is nil
// if nothing is configured yet; then there are none.
func Dangers(old, next *Document) []Danger {
	if old == nil {
		return nil
	}
	l := &dangerList{old: old, next: next}
	l.compareModels()
	l.compareEngines()
	l.compareServices()
	l.compareClasses()
	l.compareCallers()
	l.compareBounds()
	slices.SortFunc(l.dangers, func(a, b Danger) int { return strings.Compare(a.Name, b.Name) })
	return l.dangers
}

// Unaccepted returns the dangers whose names are not in accepted.
func Unaccepted(dangers []Danger, accepted []string) []Danger {
	return slices.DeleteFunc(slices.Clone(dangers), func(d Danger) bool { return slices.Contains(accepted, d.Name) })
}

// dangerList collects the dangers of replacing one document with another.
type dangerList struct {
	old, next *Document
	dangers   []Danger
}

func (l *dangerList) add(kind, name, format string, values ...any) {
	l.dangers = append(l.dangers, Danger{Name: kind + ":" + name, Cost: fmt.Sprintf(format, values...)})
}

func (l *dangerList) compareModels() {
	for _, m := range l.old.Models {
		next, ok := l.next.Model(m.Name)
		engines := countEngines(l.next, m.Name)
		switch {
		case !ok:
			l.add("modelRemoved", string(m.Name), "requests for the model are refused; %d engines served it", countEngines(l.old, m.Name))
		case next.Version != m.Version:
			l.add("modelVersionChanged", string(m.Name), "%d engines reload from version %s to %s, one at a time", engines, m.Version, next.Version)
		case !slices.Equal(next.Adapters, m.Adapters):
			l.add("adaptersChanged", string(m.Name), "%d engines load adapters [%s] instead of [%s], one at a time", engines,
				strings.Join(next.Adapters, " "), strings.Join(m.Adapters, " "))
		}
	}
}

func (l *dangerList) compareEngines() {
	for _, e := range l.old.Engines {
		next, ok := l.next.Engine(e.ID)
		share := percentage(1, countEngines(l.old, e.Model))
		switch {
		case !ok:
			l.add("engineRemoved", string(e.ID), "%s of the capacity of model %s is lost", share, e.Model)
			continue
		case next.Model != e.Model:
			l.add("engineModelChanged", string(e.ID), "the engine reloads; %s of the capacity of model %s moves to %s", share, e.Model, next.Model)
		case next.Role != e.Role:
			l.add("engineRoleChanged", string(e.ID),
				"the engine is unavailable for seconds while it changes from %s to %s, %s of the capacity of model %s",
				e.Role, next.Role, share, e.Model)
		}
		if next.ChecksTokens && !e.ChecksTokens {
			l.add("tokenCheckClaimed", string(e.ID), "orders rely on the engine to refuse old tokens; conflicting orders may take effect if it does not")
		}
	}
}

func (l *dangerList) compareServices() {
	for _, s := range l.old.Services {
		next, ok := l.next.Service(s.Name)
		if !ok {
			l.add("serviceRemoved", string(s.Name), "calls to the service are refused; %d upstreams served it", len(s.Upstreams))
			continue
		}
		for _, u := range s.Upstreams {
			if !slices.Contains(next.Upstreams, u) {
				l.add("upstreamRemoved", string(u), "%s of the capacity of service %s is lost",
					percentage(1, len(s.Upstreams)), s.Name)
			}
		}
		for _, status := range next.NotRunStatuses {
			if !slices.Contains(s.NotRunStatuses, status) {
				l.add("notRunStatusAdded", fmt.Sprintf("%s/%d", s.Name, status),
					"callers are told that a call with status %d was not run and may send it again; work runs twice if that is wrong", status)
			}
		}
	}
}

func (l *dangerList) compareClasses() {
	for _, c := range l.old.Classes {
		next, ok := l.next.Class(c.Name)
		if !ok {
			l.add("classRemoved", string(c.Name), "every request of the class is refused; its deadline was %s and its priority %d", c.Deadline, c.Priority)
			continue
		}
		l.compareClass(c, next)
	}
}

func (l *dangerList) compareClass(old, next Class) {
	name := string(old.Name)
	if next.Model != old.Model || next.Service != old.Service {
		l.add("classMoved", name, "the class moves from %s%s to %s%s", old.Model, old.Service, next.Model, next.Service)
	}
	if next.Idempotent && !old.Idempotent {
		l.add("idempotencyChanged", name, "requests may be retried after a failure and run more than once")
	}
	if !next.Idempotent && old.Idempotent {
		l.add("idempotencyChanged", name, "requests without an idempotency key are refused")
	}
	if next.Deadline < old.Deadline {
		l.add("deadlineShortened", name, "answers that took between %s and %s are lost", next.Deadline, old.Deadline)
	}
	if next.Priority < old.Priority {
		l.add("priorityLowered", name,
			"the priority of the class drops from %d to %d; under load other classes are served first",
			old.Priority, next.Priority)
	}
	if old.Urgent && !next.Urgent {
		l.add("urgencyRemoved", name, "the class loses the capacity that is reserved for urgent work")
	}
	if next.Model != "" && next.MaxOutput < old.MaxOutput {
		l.add("maxOutputLowered", name, "answers end after %d tokens instead of %d", next.MaxOutput, old.MaxOutput)
	}
}

func (l *dangerList) compareCallers() {
	var removed, lowered []identifier.CallerID
	for _, c := range l.old.Callers {
		next, ok := find(l.next.Callers, string(c.ID), callerName)
		switch {
		case !ok:
			removed = append(removed, c.ID)
		case isStricter(next, c):
			lowered = append(lowered, c.ID)
		}
	}
	if len(removed) > 0 {
		l.add("callersRemoved", fmt.Sprint(len(removed)), "%s fall under the limits of the default caller, or are refused without one", listCallers(removed))
	}
	if len(lowered) > 0 {
		l.add("callerLimitsLowered", fmt.Sprint(len(lowered)), "%s may send less than before", listCallers(lowered))
	}
}

// isStricter reports whether the next limits allow less than the old ones; a rate of zero means unlimited.
func isStricter(next, old Caller) bool {
	if next.RequestsPerSecond == 0 {
		return false
	}
	return old.RequestsPerSecond == 0 || next.RequestsPerSecond < old.RequestsPerSecond || next.Burst < old.Burst
}

func (l *dangerList) compareBounds() {
	if l.next.Keys.Window < l.old.Keys.Window {
		l.add("keyWindowShortened", l.next.Keys.Window.String(),
			"retries of requests issued between %s and %s ago are refused", l.next.Keys.Window, l.old.Keys.Window)
	}
	if l.next.Placement.FixedRoles && !l.old.Placement.FixedRoles {
		l.add("rolesFixed", "placement", "engine roles no longer adapt to the mix of prompt and output tokens")
	}
}

func countEngines(document *Document, model identifier.ModelName) int {
	count := 0
	for _, e := range document.Engines {
		if e.Model == model {
			count++
		}
	}
	return count
}

// percentage formats part as a percentage of total, without decimals.
func percentage(part, total int) string {
	return fmt.Sprintf("%.0f %%", 100*float64(part)/float64(max(total, 1)))
}

func listCallers(callers []identifier.CallerID) string {
	names := make([]string, 0, maxListedCallers+1)
	for _, c := range callers[:min(len(callers), maxListedCallers)] {
		names = append(names, string(c))
	}
	if more := len(callers) - maxListedCallers; more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return strings.Join(names, ", ")
}
