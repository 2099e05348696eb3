package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
		{"a late record doesn't bring it back", []Entry{entry(1, false), entry(1, true), entry(1, false)}, true, true},
		{"a new start does", []Entry{entry(1, true), entry(2, false)}, true, false},
		{"a record of an earlier start is ignored", []Entry{entry(2, false), entry(1, true)}, true, false},
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
		{"gone at once while the store is steady", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.Delete(now, "u", 2)
		}, 0},
		{"kept for its return after an outage", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.StoreUnavailable(now.Add(-time.Second))
			tr.StoreAvailable(now)
			tr.Delete(now, "u", 2)
			tr.Expire(now.Add(time.Second))
		}, 1},
		{"gone when it did not return", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.StoreUnavailable(now.Add(-time.Second))
			tr.StoreAvailable(now)
			tr.Delete(now, "u", 2)
			tr.Expire(now.Add(RelistGracePeriod))
		}, 0},
		{"a leaving one is gone also after an outage", func(tr *Tracker) {
			tr.Update(entry(1, true), 1)
			tr.StoreUnavailable(now)
			tr.StoreAvailable(now)
			tr.Delete(now, "u", 2)
		}, 0},
		{"an older end of the record is ignored", func(tr *Tracker) {
			tr.Update(entry(1, false), 5)
			tr.Delete(now, "u", 2)
		}, 1},
		{"a late record after it left lists nobody", func(tr *Tracker) {
			tr.Update(entry(1, true), 1)
			tr.Delete(now, "u", 2)
			tr.Update(entry(1, false), 3)
		}, 0},
		{"a whole reading drops those that it doesn't name", func(tr *Tracker) {
			tr.Update(entry(1, false), 1)
			tr.Retain(now, nil)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker()
			c.run(tr)
			require.Len(t, tr.Entries(), c.want)
		})
	}
}
