package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

func entry(incarnation uint64, leaving bool) Entry {
	return Entry{Upstream: "u", Service: "s", Incarnation: incarnation, Leaving: leaving}
}

func TestLeavingIsSticky(t *testing.T) {
	for _, c := range []struct {
		name    string
		records []Entry
		listed  bool
		leaving bool
	}{
		{"late record doesn't reset it", []Entry{entry(1, false), entry(1, true), entry(1, false)}, true, true},
		{"new incarnation resets it", []Entry{entry(1, true), entry(2, false)}, true, false},
		{"record of an earlier incarnation is ignored", []Entry{entry(2, false), entry(1, true)}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker()
			for i, e := range c.records {
				tr.Update(e, uint64(i))
			}
			require.Len(t, tr.Entries(), 1)
			require.Equal(t, c.leaving, tr.Entries()[0].Leaving)
		})
	}
}

func TestDeletedRecords(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		run  func(*Tracker)
		want int
	}{
		{"removed immediately while the store is available", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.Delete(now, "u", 2)
		}, 0},
		{"kept during the grace period after an outage", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.StoreUnavailable(now.Add(-time.Second))
			tr.StoreAvailable(now)
			tr.Delete(now, "u", 2)
			tr.Expire(now.Add(time.Second))
		}, 1},
		{"removed after the grace period", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.StoreUnavailable(now.Add(-time.Second))
			tr.StoreAvailable(now)
			tr.Delete(now, "u", 2)
			tr.Expire(now.Add(RelistGracePeriod))
		}, 0},
		{"removed soon after the return, though reads took long to succeed", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.StoreUnavailable(now.Add(-1800 * time.Millisecond))
			tr.StoreAvailable(now)
			tr.Delete(now, "u", 2)
			tr.Expire(now.Add(900 * time.Millisecond))
		}, 0},
		{"another outage doesn't keep it", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.StoreUnavailable(now)
			tr.StoreAvailable(now)
			tr.Delete(now, "u", 2)
			tr.StoreUnavailable(now.Add(time.Second))
			tr.StoreAvailable(now.Add(time.Second))
			tr.Expire(now.Add(1700 * time.Millisecond))
		}, 0},
		{"leaving upstream is removed immediately after an outage", func(tr *Tracker) {
			tr.Update(entry(1, true), 1)
			tr.StoreUnavailable(now)
			tr.StoreAvailable(now)
			tr.Delete(now, "u", 2)
		}, 0},
		{"deletion with a lower offset is ignored", func(tr *Tracker) {
			tr.Update(entry(1, false), 5)
			tr.Delete(now, "u", 2)
		}, 1},
		{"late record of a removed upstream is ignored", func(tr *Tracker) {
			tr.Update(entry(1, true), 1)
			tr.Delete(now, "u", 2)
			tr.Update(entry(1, false), 3)
		}, 0},
		{"full read removes upstreams that it doesn't contain", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.Retain(now, nil, 2)
		}, 0},
		{"full read of earlier records doesn't remove a later one", func(tr *Tracker) {
			tr.Update(entry(1, false), 5)
			tr.Retain(now, nil, 5)
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker()
			c.run(tr)
			require.Len(t, tr.Entries(), c.want)
		})
	}
}

func TestOlderCopyDoesNotListRemovedUpstreamsAgain(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		run  func(*Tracker)
		want int
	}{
		{"entry of the copy", func(tr *Tracker) {
			tr.StoreReturned(now)
			tr.Update(entry(1, false), 3)
			tr.Retain(now, map[identifier.UpstreamID]bool{"u": true}, 5)
		}, 0},
		{"entry of the copy in a later full read", func(tr *Tracker) {
			tr.StoreReturned(now)
			tr.Retain(now, nil, 5)
			tr.Update(entry(1, false), 3)
			tr.Retain(now, map[identifier.UpstreamID]bool{"u": true}, 9)
		}, 0},
		{"entry of a second copy", func(tr *Tracker) {
			tr.StoreReturned(now)
			tr.Retain(now, nil, 5)
			tr.StoreReturned(now)
			tr.Update(entry(1, false), 6)
		}, 0},
		{"entry that was written after the return", func(tr *Tracker) {
			tr.StoreReturned(now)
			tr.Update(entry(1, false), 3)
			tr.Retain(now, map[identifier.UpstreamID]bool{"u": true}, 5)
			tr.Update(entry(1, false), 5)
		}, 1},
		{"new incarnation", func(tr *Tracker) {
			tr.StoreReturned(now)
			tr.Update(entry(2, false), 3)
		}, 1},
		{"entry that expired in an outage without a return from a copy", func(tr *Tracker) {
			tr.Update(entry(1, false), 3)
		}, 1},
		{"entry that expired after the return", func(tr *Tracker) {
			tr.StoreReturned(now)
			tr.Retain(now, nil, 5)
			tr.Update(entry(1, false), 5)
			tr.Delete(now.Add(RelistGracePeriod), "u", 6)
			tr.Update(entry(1, false), 7)
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker()
			tr.Update(entry(1, false), 5)
			tr.Delete(now, "u", 9)
			c.run(tr)
			require.Len(t, tr.Entries(), c.want)
		})
	}
}

func TestRemovalThatAnotherInstanceKnows(t *testing.T) {
	now := time.Now()
	started := func() *Tracker {
		tr := NewTracker()
		tr.StoreReturned(now)
		tr.Update(entry(1, false), 3)
		tr.Retain(now, map[identifier.UpstreamID]bool{"u": true}, 5)
		return tr
	}
	tr := started()
	require.False(t, tr.MarkRemoved("u", 2, 0), "another incarnation")
	require.True(t, tr.MarkRemoved("u", 1, 0))
	require.False(t, tr.MarkRemoved("u", 1, 0), "known already")
	require.Empty(t, tr.Entries())
	require.Len(t, tr.CopiedRemoved(), 1)
	tr.Update(entry(1, false), 4)
	require.Empty(t, tr.Entries())
	tr.Delete(now, "u", 6)
	require.Empty(t, tr.CopiedRemoved(), "the removal has been written again")

	tr = started()
	tr.Update(entry(1, false), 5)
	require.False(t, tr.MarkRemoved("u", 1, 0), "the upstream has written since")
	require.Len(t, tr.Entries(), 1)
}

func TestUpstreamsOwnWordIsKept(t *testing.T) {
	tr := NewTracker()
	tr.Update(entry(1, false), 1)
	require.False(t, tr.MarkLeaving("u", 2), "another incarnation")
	require.True(t, tr.MarkLeaving("u", 1))
	require.False(t, tr.MarkLeaving("u", 1), "known already")
	require.Len(t, tr.NoticedLeaving(), 1)
	tr.Update(entry(1, false), 2)
	require.True(t, tr.Entries()[0].Leaving, "the list still says ready")
	tr.Update(entry(2, false), 3)
	require.False(t, tr.Entries()[0].Leaving, "a new incarnation")
	require.Empty(t, tr.NoticedLeaving())
	tr.MarkLeaving("u", 2)
	tr.Delete(time.Now(), "u", 4)
	require.Empty(t, tr.NoticedLeaving())
}

func report(incarnation, sequence uint64) Entry {
	e := entry(incarnation, false)
	e.Sequence = sequence
	return e
}

// A report that was sent before the upstream left doesn't list it again; one of a live upstream that lapsed does at once.
func TestReportsThatWereSentBeforeTheRemoval(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		run  func(*Tracker)
		want int
	}{
		{"sent before the removal", func(tr *Tracker) {
			tr.Update(report(7, 1), 1)
			tr.Heard(report(7, 8))
			tr.Delete(now, "u", 20)
			tr.Update(report(7, 5), 21)
		}, 0},
		{"the last one before the removal, again", func(tr *Tracker) {
			tr.Update(report(7, 8), 1)
			tr.Delete(now, "u", 20)
			tr.Update(report(7, 8), 21)
		}, 0},
		{"the upstream was listed again and removed again", func(tr *Tracker) {
			tr.Update(report(7, 8), 1)
			tr.Delete(now, "u", 20)
			tr.Update(report(7, 9), 21)
			tr.Delete(now, "u", 22)
			tr.Update(report(7, 9), 23)
		}, 0},
		{"another instance has read more reports", func(tr *Tracker) {
			tr.Update(report(7, 1), 1)
			tr.LastBefore("u", 20, 8)
			tr.Delete(now, "u", 20)
			tr.Update(report(7, 5), 21)
		}, 0},
		{"another instance knows the removal", func(tr *Tracker) {
			tr.Update(report(7, 5), 21)
			tr.MarkRemoved("u", 7, 8)
		}, 0},
		{"the upstream is alive", func(tr *Tracker) {
			tr.Update(report(7, 8), 1)
			tr.Delete(now, "u", 20)
			tr.Update(report(7, 9), 21)
		}, 1},
		{"the upstream has started again", func(tr *Tracker) {
			tr.Update(report(7, 8), 1)
			tr.Delete(now, "u", 20)
			tr.Update(report(8, 1), 21)
		}, 1},
		{"it has written since the removal that another instance knows", func(tr *Tracker) {
			tr.Update(report(7, 9), 21)
			tr.MarkRemoved("u", 7, 8)
		}, 1},
		{"the deletion is older than its return", func(tr *Tracker) {
			tr.Update(report(7, 9), 21)
			tr.LastBefore("u", 20, 8)
			tr.Delete(now, "u", 20)
		}, 1},
		{"it doesn't count its reports", func(tr *Tracker) {
			tr.Update(entry(7, false), 1)
			tr.Delete(now, "u", 20)
			tr.Update(entry(7, false), 21)
		}, 1},
		{"its start is unknown", func(tr *Tracker) {
			tr.Update(report(0, 8), 1)
			tr.Delete(now, "u", 20)
			tr.Update(report(0, 1), 21)
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker()
			c.run(tr)
			require.Len(t, tr.Entries(), c.want)
			for _, e := range tr.Entries() {
				require.Zero(t, e.Sequence)
			}
		})
	}
}

func TestLateReportOfAListedUpstreamChangesNothing(t *testing.T) {
	tr := NewTracker()
	tr.Update(report(7, 8), 1)
	late := report(7, 5)
	late.Address = "earlier"
	require.False(t, tr.Update(late, 2))
	require.Empty(t, tr.Entries()[0].Address)
	require.False(t, report(7, 9).Changes(report(7, 8)), "a report that says nothing new")
}
