package resumer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// A stream goes on at the version of the entry only once a list that still has the entry was read after its process began.
func TestProcessIsConfirmedByALaterList(t *testing.T) {
	before := tracker.Entry{Upstream: "u0", Service: model, Version: "v1", Incarnation: 7}
	after := tracker.Entry{Upstream: "u0", Service: model, Version: "v2", Incarnation: 8}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	list := func(e ...tracker.Entry) []tracker.Entry { return append([]tracker.Entry{}, e...) }
	for _, c := range []struct {
		name string
		// The list with before was read at 0. since is from when on the process has run, refused when the upstream refused a
		// connection, zero if it didn't.
		since, refused time.Duration
		// next is the list that was read at nextAt; nil if none was.
		next   []tracker.Entry
		nextAt time.Duration
		want   Confirmation
	}{
		{"it ran before the list was read", -ms(200), 0, nil, 0, Confirmed},
		{"it ran before, and is replaced later", -ms(200), 0, list(after), ms(900), Confirmed},
		{"it ran before, and is gone later", -ms(200), 0, list(), ms(900), Confirmed},
		{"it began to run too shortly before", -ms(50), 0, nil, 0, Pending},
		{"it began to run since", ms(100), 0, nil, 0, Pending},
		{"the next list has its entry", ms(100), 0, list(before), ms(900), Confirmed},
		{"the next list has another entry", ms(100), 0, list(after), ms(900), Refuted},
		{"the next list lacks the upstream", ms(100), 0, list(), ms(900), Refuted},
		{"the next list was read too soon", ms(100), 0, list(before), ms(150), Pending},
		{"the upstream refused connections before", ms(100), ms(50), list(before), ms(900), Pending},
		{"it refused connections long before the list", ms(100), ms(50), list(before), ms(1200), Confirmed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, now := NewResumer(true), time.Now()
			r.SetUpstreams(now, list(before))
			r.Listed(now)
			if c.refused != 0 {
				r.Refused(Refusal{Upstream: "u0", Incarnation: 7, At: now.Add(c.refused)})
			}
			if c.next != nil {
				r.SetUpstreams(now, c.next)
				r.Listed(now.Add(c.nextAt))
			}
			process := NewProcess(before, now.Add(c.since))
			require.Equal(t, c.want, r.Confirm(process))

			o := Origin{Stream: 1, Service: model, Version: "v1", Process: process, Until: now.Add(time.Minute)}
			r.Began(now, o)
			got, known := r.Origin(now, 1)
			require.True(t, known)
			switch c.want {
			case Confirmed:
				require.Equal(t, Origin{Stream: 1, Service: model, Version: "v1", Until: o.Until}, got)
			case Refuted:
				require.Equal(t, Origin{Stream: 1, Service: model, Version: identifier.UnknownVersion, Until: o.Until}, got)
			default:
				require.Equal(t, o, got)
			}
		})
	}
}

// An instance whose list is older than the entry waits for it; one that starts later never learns of the process.
func TestProcessOfAnEntryThatWasNeverListed(t *testing.T) {
	r, now := NewResumer(true), time.Now()
	process := NewProcess(tracker.Entry{Upstream: "new", Version: "v1", Incarnation: 9}, now.Add(500*time.Millisecond))
	r.Listed(now)
	require.Equal(t, Pending, r.Confirm(process))
	r.Listed(now.Add(time.Second))
	require.Equal(t, Refuted, r.Confirm(process))
}

func TestReplacedEntriesAreForgotten(t *testing.T) {
	r, now := NewResumer(true), time.Now()
	for i := range uint64(10) {
		r.SetUpstreams(now, []tracker.Entry{{Upstream: "u0", Service: model, Incarnation: i}})
		r.Listed(now)
	}
	require.Len(t, r.unlisted, 9)
	r.Expire(now.Add(memory))
	require.Empty(t, r.unlisted)
}
