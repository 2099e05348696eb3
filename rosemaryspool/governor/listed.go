package governor

import (
	"fmt"

	"github.com/rs/zerolog"

	"rosemaryspool.example/core/tracker"
)

// logUpstreams logs how the list of upstreams differs from the one that was logged last.
func (g *Governor) logUpstreams(entries []tracker.Entry, origin Origin) {
	leaving := 0
	for _, e := range entries {
		if e.Leaving {
			leaving++
		}
	}
	cause := "records"
	if origin.Snapshot {
		cause = "snapshot"
	}
	changed, removed := compareEntries(g.loggedUpstreams, entries)
	g.loggedUpstreams = entries
	g.log.Info().Str("event", "upstreamsListed").Str("cause", cause).Str("sender", string(origin.Sender)).
		Uint64("followedTo", origin.FollowedTo).Int("upstreams", len(entries)).Int("leaving", leaving).
		Array("entries", changed).Strs("removed", removed).Msg("List of upstreams changed")
}

// compareEntries returns the entries that a list has and the one before it had not, and the upstreams of which it has none
// any more. Both lists are sorted by id.
func compareEntries(before, after []tracker.Entry) (changed entryList, removed []string) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].Upstream < after[0].Upstream:
			removed = append(removed, string(before[0].Upstream))
			before = before[1:]
		case len(before) == 0 || after[0].Upstream < before[0].Upstream:
			changed = append(changed, after[0])
			after = after[1:]
		default:
			if before[0] != after[0] {
				changed = append(changed, after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return changed, removed
}

// entryList is logged as an array of id:role:state:incarnation:version.
type entryList []tracker.Entry

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l entryList) MarshalZerologArray(a *zerolog.Array) {
	for _, e := range l {
		state := "ready"
		if e.Leaving {
			state = "leaving"
		}
		a.Str(fmt.Sprintf("%s:%s:%s:%d:%s", e.Upstream, e.Role, state, e.Incarnation, e.Version))
	}
}
