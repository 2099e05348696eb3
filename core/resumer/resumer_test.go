package resumer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

const model identifier.ServiceName = "model"

// list returns the entries of upstreams with these versions.
func list(versions ...identifier.SoftwareVersion) []tracker.Entry {
	var entries []tracker.Entry
	for i, v := range versions {
		entries = append(entries, tracker.Entry{
			Upstream: identifier.UpstreamID(fmt.Sprint("u", i)), Service: model, Version: v,
		})
	}
	return entries
}

func TestSoleVersion(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name string
		// lists are the lists of upstreams, one second apart; the version is asked for after a further time.
		lists [][]tracker.Entry
		after time.Duration
		sole  identifier.SoftwareVersion
		known bool
	}{
		{"no upstream yet", nil, 0, "", false},
		{"one version", [][]tracker.Entry{list("v1", "v1")}, 0, "v1", true},
		{"unnamed version", [][]tracker.Entry{list("")}, 0, "", true},
		{"two versions", [][]tracker.Entry{list("v1", "v2")}, 0, "", false},
		{"the other one has just gone", [][]tracker.Entry{list("v1", "v2"), list("v2")}, time.Second, "", false},
		{"the other one is gone for long", [][]tracker.Entry{list("v1", "v2"), list("v2")}, memory, "v2", true},
		{"all have just gone", [][]tracker.Entry{list("v1"), list()}, time.Second, "v1", true},
		{"came back", [][]tracker.Entry{list("v1"), list("v2"), list("v1")}, time.Second, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewResumer(true)
			now := start
			for _, entries := range c.lists {
				now = now.Add(time.Second)
				r.SetUpstreams(now, entries)
			}
			now = now.Add(c.after)
			r.Listed(now)
			sole, known := r.Versions(now, model).Sole()
			require.Equal(t, c.known, known)
			if known {
				require.Equal(t, c.sole, sole)
			}
		})
	}
}

func TestVersionThatWasGoneBeforeTheStartIsNotRuledOut(t *testing.T) {
	r := NewResumer(false)
	now := time.Now()
	r.SetUpstreams(now, list("v2"))
	for _, c := range []struct {
		after time.Duration
		known bool
	}{{0, false}, {memory - time.Second, false}, {memory, true}} {
		r.Listed(now.Add(c.after))
		_, known := r.Versions(now.Add(c.after), model).Sole()
		require.Equal(t, c.known, known, c.after)
	}
}

func TestVersionsOfAnOldListAreNotComplete(t *testing.T) {
	r := NewResumer(true)
	now := time.Now()
	r.SetUpstreams(now, list("v1"))
	r.Listed(now)
	_, known := r.Versions(now.Add(maxListAge), model).Sole()
	require.True(t, known)
	_, known = r.Versions(now.Add(maxListAge+time.Millisecond), model).Sole()
	require.False(t, known)
}

func TestInstancesAddTheVersionsThatTheyKnow(t *testing.T) {
	two := []identifier.SoftwareVersion{"v1", "v2"}
	one := two[:1]
	for _, c := range []struct {
		name       string
		own, other Versions
		sole       bool
	}{
		{"both know one", Versions{one, true}, Versions{one, true}, true},
		{"the other one has just started", Versions{one, true}, Versions{one, false}, true},
		{"this one has just started", Versions{one, false}, Versions{one, true}, true},
		{"both have just started", Versions{one, false}, Versions{one, false}, false},
		{"the other one knows a further one", Versions{one, true}, Versions{two, false}, false},
		{"the other one knows another one", Versions{one, false}, Versions{two[1:], true}, false},
		{"the other one knows no upstream", Versions{one, true}, Versions{nil, false}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, sole := c.own.Add(c.other).Sole()
			require.Equal(t, c.sole, sole)
			_, sole = c.other.Add(c.own).Sole()
			require.Equal(t, c.sole, sole)
		})
	}
}

func TestOriginsAreKnownUntilCallersGiveUp(t *testing.T) {
	now := time.Now()
	r := NewResumer(true)
	id := NewStreamID("s1")
	r.Began(now, Origin{Stream: id, Service: model, Version: "v1", Until: now.Add(2 * time.Second)})
	o, known := r.Origin(now.Add(time.Second), id)
	require.True(t, known)
	require.Equal(t, identifier.SoftwareVersion("v1"), o.Version)
	require.Equal(t, model, o.Service)
	_, known = r.Origin(now.Add(2*time.Second), id)
	require.False(t, known)
	r.Expire(now.Add(3 * time.Second))
	require.Empty(t, r.origins)
}

func TestEachRecipientIsToldOnceOfStreams(t *testing.T) {
	now := time.Now()
	r := NewResumer(true)
	r.SetUpstreams(now, list("v1"))
	r.Listed(now)
	began := func(id identifier.RequestID, lifetime time.Duration) Origin {
		o := Origin{Stream: NewStreamID(id), Service: model, Version: "v1", Until: now.Add(lifetime)}
		r.Began(now, o)
		return o
	}
	began("short", time.Second)
	long := began("long", time.Minute)
	arbiter, standBy := Recipient{"arbiter", 5}, Recipient{"standBy", 6}
	require.Empty(t, r.TakeReport(now, model, arbiter, false), "there is only one version")
	now = now.Add(2 * time.Second)
	r.SetUpstreams(now, list("v1", "v2"))
	require.Equal(t, []Origin{long}, r.TakeReport(now, model, arbiter, false))
	require.Empty(t, r.TakeReport(now, model, arbiter, false))
	require.Equal(t, []Origin{long}, r.TakeReport(now, model, standBy, false))
	for i := range maxReported + 1 {
		began(identifier.RequestID(fmt.Sprint(i)), time.Minute)
	}
	require.Len(t, r.TakeReport(now, model, arbiter, false), maxReported)
	require.Len(t, r.TakeReport(now, model, arbiter, false), 1)
}

func TestOriginsAreBounded(t *testing.T) {
	now := time.Now()
	r := NewResumer(true)
	r.SetUpstreams(now, list("v1", "v2"))
	for i := range 2 * maxOrigins {
		r.Began(now, Origin{Stream: StreamID(i), Service: model, Version: "v1", Until: now.Add(time.Minute)})
	}
	require.Len(t, r.origins, maxOrigins)
	require.Len(t, r.services[model].journal.entries, maxJournal)
	// Room is made as soon as streams are no longer resumed.
	now = now.Add(time.Minute)
	r.Began(now, Origin{Stream: 1 << 40, Service: model, Version: "v2", Until: now.Add(time.Minute)})
	_, known := r.Origin(now, 1<<40)
	require.True(t, known)
}

// What an instance knows of streams is told to the next process of an instance that is stopped, and to each other one that takes
// its place. It was told once to the two that were chosen then.
func TestEachProcessIsToldOfStreams(t *testing.T) {
	now := time.Now()
	r := NewResumer(true)
	r.SetUpstreams(now, list("v1", "v2"))
	r.Listed(now)
	own := Origin{Stream: 1, Service: model, Version: "v1", Until: now.Add(time.Minute)}
	other := Origin{Stream: 2, Service: model, Version: "v2", Until: now.Add(time.Minute)}
	r.Began(now, own)
	r.Learn(now, other)
	for _, c := range []struct {
		name string
		to   Recipient
		all  bool
		want []Origin
	}{
		{"first process", Recipient{"a", 5}, false, []Origin{own}},
		{"again", Recipient{"a", 5}, false, nil},
		{"another instance", Recipient{"b", 5}, false, []Origin{own}},
		{"next process", Recipient{"a", 6}, false, []Origin{own}},
		{"next process, whose clock was set back", Recipient{"a", 4}, false, []Origin{own}},
		{"this instance tells all streams from now on", Recipient{"a", 4}, true, []Origin{own, other}},
		{"again", Recipient{"a", 4}, true, nil},
		{"it doesn't for a while", Recipient{"a", 4}, false, nil},
		{"and does again", Recipient{"a", 4}, true, []Origin{own, other}},
		{"next process", Recipient{"a", 7}, true, []Origin{own, other}},
	} {
		require.Equal(t, c.want, r.TakeReport(now, model, c.to, c.all), c.name)
	}
	// What is known already is not told again.
	r.Learn(now, other, own)
	require.Empty(t, r.TakeReport(now, model, Recipient{"a", 7}, true))
	now = now.Add(time.Minute)
	r.Expire(now)
	require.Empty(t, r.services[model].journal.entries)
	require.Empty(t, r.TakeReport(now, model, Recipient{"a", 8}, true))
}

func TestUncertainOriginsAreBounded(t *testing.T) {
	now := time.Now()
	r := NewResumer(true)
	r.SetUpstreams(now, list("v1", "v2"))
	for i := range 2 * maxJournal {
		r.Began(now, Origin{Stream: StreamID(i), Service: model, Version: identifier.UnknownVersion, Until: now.Add(time.Minute)})
	}
	r.Expire(now.Add(2 * expiryInterval))
	require.Equal(t, maxJournal, len(r.services[model].journal.uncertain))
	r.Expire(now.Add(time.Minute))
	require.Empty(t, r.services[model].journal.uncertain)
}
