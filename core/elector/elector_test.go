package elector

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

const duty Duty = "arbiter/model"

var start = time.Unix(1000, 0)

func numbered(i int) Member {
	capacity := 192
	if i%10 == 0 {
		capacity = 800
	}
	return Member{
		Instance: identifier.InstanceID(fmt.Sprint("spool-", i)), Address: "127.0.0.1:1", Capacity: capacity,
		DataCentre: []identifier.DataCentre{"here", "there"}[i%2], StartedMs: 5,
	}
}

// newSystem returns the electors of a system in which each instance knows all others.
func newSystem(count int) []*Elector {
	var electors []*Elector
	for i := range count {
		e := NewElector(numbered(i))
		for other := range count {
			e.SetMember(start, numbered(other))
		}
		electors = append(electors, e)
	}
	return electors
}

func TestAllInstancesChooseTheSameOrder(t *testing.T) {
	electors := newSystem(40)
	want := electors[0].Trusted(start, duty, 40)
	require.Len(t, want, 40)
	for _, e := range electors {
		require.Equal(t, want, e.Trusted(start, duty, 40))
	}
	require.Equal(t, 800, want[0].Capacity)
	require.Equal(t, 800, want[3].Capacity, "strong members come first")
	require.Equal(t, 192, want[4].Capacity)
	require.NotEqual(t, want, electors[0].Trusted(start, "arbiter/other", 40), "duties are spread over the members")
}

func TestSilentMembersArePassedOver(t *testing.T) {
	e := newSystem(8)[7]
	order := e.Trusted(start, duty, 3)
	first := order[0].Instance
	for _, c := range []struct {
		name   string
		at     time.Duration
		action func(time.Time)
		want   identifier.InstanceID
	}{
		{"trusted", 0, func(time.Time) {}, first},
		{"silent", 0, func(now time.Time) { require.True(t, e.Suspect(now, first)) }, order[1].Instance},
		{"suspected already", 0, func(now time.Time) { require.False(t, e.Suspect(now, first)) }, order[1].Instance},
		{"tried again later", baseSuspicion, func(time.Time) {}, first},
		{"silent again", baseSuspicion, func(now time.Time) { e.Suspect(now, first) }, order[1].Instance},
		{"for a longer time", 2 * baseSuspicion, func(time.Time) {}, order[1].Instance},
		{"heard", 2 * baseSuspicion, func(now time.Time) { e.Heard(now, first, false, false) }, first},
		{"leaving", 2 * baseSuspicion, func(now time.Time) { e.Heard(now, first, true, false) }, order[1].Instance},
	} {
		c.action(start.Add(c.at))
		require.Equal(t, c.want, e.Trusted(start.Add(c.at), duty, 1)[0].Instance, c.name)
	}
	require.Equal(t, 7, e.Count())
}

func TestSuspectedPeersAreNamedApart(t *testing.T) {
	e := NewElector(Member{Instance: "self", DataCentre: "a"})
	for _, m := range []Member{{Instance: "near", DataCentre: "a"}, {Instance: "far", DataCentre: "b"}, {Instance: "silent", DataCentre: "a"}, {Instance: "leaving", DataCentre: "a"}} {
		e.SetMember(start, m)
	}
	e.Suspect(start, "silent")
	e.Heard(start, "leaving", true, false)
	near, far, suspected := e.Peers(start)
	for _, c := range []struct {
		want identifier.InstanceID
		got  []Member
	}{{"near", near}, {"far", far}, {"silent", suspected}} {
		require.Len(t, c.got, 1)
		require.Equal(t, c.want, c.got[0].Instance)
	}
	near, _, suspected = e.Peers(start.Add(baseSuspicion))
	require.Len(t, near, 2)
	require.Empty(t, suspected)
}

// An arbiter that has just started would place requests without knowing the engines' rates and caches.
func TestRecentlyStartedMembersComeLast(t *testing.T) {
	e := newSystem(4)[0]
	order := e.Trusted(start, duty, 4)
	e.Heard(start, order[0].Instance, false, true)
	require.Equal(t, []Member{order[1], order[2], order[3], order[0]}, e.Trusted(start, duty, 4))
	require.Equal(t, []Member{order[1], order[2]}, e.Trusted(start, duty, 2))
	for _, m := range order {
		e.Heard(start, m.Instance, false, true)
	}
	e.SetWarming(start, true)
	require.Equal(t, order, e.Trusted(start, duty, 4), "if all have just started, all count")
	e.Heard(start, order[0].Instance, false, false)
	e.SetWarming(start, false)
	require.Contains(t, []identifier.InstanceID{order[0].Instance, "spool-0"}, e.Trusted(start, duty, 1)[0].Instance)
}

func TestInstanceNeverSuspectsItself(t *testing.T) {
	e := NewElector(numbered(0))
	require.False(t, e.Suspect(start, "spool-0"))
	require.Equal(t, []Member{numbered(0)}, e.Trusted(start, duty, 2))
}

func TestRestartedMembersReplaceEarlierProcesses(t *testing.T) {
	restarted := numbered(1)
	restarted.StartedMs, restarted.Address = 9, "127.0.0.1:2"
	earlier := numbered(1)
	earlier.StartedMs = 3
	for _, c := range []struct {
		name    string
		record  Member
		after   time.Duration
		changed bool
	}{
		{"same record", numbered(1), 0, false},
		{"later process", restarted, 0, true},
		{"late record of an earlier process", earlier, 0, false},
		{"process that started after the clock went back", earlier, replaceAfter, true},
		{"record of the instance itself", numbered(0), 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewElector(numbered(0))
			require.True(t, e.SetMember(start, numbered(1)))
			e.Suspect(start, "spool-1")
			require.Equal(t, c.changed, e.SetMember(start.Add(c.after), c.record))
			m, known := e.Member(c.record.Instance)
			require.True(t, known)
			require.Equal(t, c.changed, m == c.record && c.record != numbered(1) && m.Instance != "spool-0")
		})
	}
}

func TestNeighboursShareReads(t *testing.T) {
	for _, c := range []struct {
		members    int
		neighbours int
	}{
		{SmallSystem, SmallSystem - 1},
		{40, 19},
	} {
		ranks := map[int]int{}
		for _, e := range newSystem(c.members) {
			require.Len(t, e.Neighbours(), c.neighbours)
			ranks[e.Rank(start, "reader")]++
		}
		groups := c.members / (c.neighbours + 1)
		require.Len(t, ranks, c.neighbours+1)
		for rank, count := range ranks {
			require.Equal(t, groups, count, rank)
		}
	}
}

// TestInstancesThatStartTogetherChooseOneArbiter plays the return of all instances after a loss of power: each has a
// request placed every tenth of a second, and hears of others only what they answer.
func TestInstancesThatStartTogetherChooseOneArbiter(t *testing.T) {
	const warmUp = 10 * time.Second
	tests := []struct {
		name string
		// survivors is how many instances, the last ones, have run all the while.
		survivors int
		// most is the largest number of arbiters in any second after the first one.
		most int
	}{
		{"all have lost power", 0, 1},
		{"most have lost power", 4, 2},
		{"none has lost power", 40, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			electors := newSystem(40)
			warming := func(i int, at time.Duration) bool {
				return i < 40-test.survivors && at < warmUp+time.Duration(i)*5*time.Millisecond
			}
			for i, e := range electors {
				e.SetWarming(start, warming(i, 0))
			}
			index := map[identifier.InstanceID]int{}
			for i, e := range electors {
				index[e.self.Instance] = i
			}
			chosen := map[int]map[identifier.InstanceID]bool{}
			for at := time.Duration(0); at < 14*time.Second; at += 100 * time.Millisecond {
				now := start.Add(at)
				for i, e := range electors {
					e.SetWarming(now, warming(i, at))
					arbiter := e.Trusted(now, duty, 1)[0].Instance
					second := int(at / time.Second)
					if chosen[second] == nil {
						chosen[second] = map[identifier.InstanceID]bool{}
					}
					chosen[second][arbiter] = true
					if other := index[arbiter]; other != i {
						e.Heard(now, arbiter, false, warming(other, at))
						electors[other].Heard(now, e.self.Instance, false, warming(i, at))
					}
				}
			}
			for second, arbiters := range chosen {
				// Instances end their warm-up one after the other in second 10.
				if second > 0 && second != int(warmUp/time.Second) {
					require.LessOrEqual(t, len(arbiters), test.most, "second %d", second)
				}
			}
		})
	}
}

func TestCopiesAreAskedOfTheFirstAndOfAnyOther(t *testing.T) {
	for _, c := range []struct {
		members int
		sources int
	}{{1, 0}, {2, 1}, {3, 2}, {60, 29}} {
		e := newSystem(c.members)[0]
		var neighbours []Member
		for _, m := range e.Trusted(start, duty, c.members) {
			if m.Instance != e.self.Instance && (m.DataCentre == e.self.DataCentre || c.members <= SmallSystem) {
				neighbours = append(neighbours, m)
			}
		}
		asked := map[identifier.InstanceID]int{}
		for try := range 600 {
			m, found := e.Source(start, duty, try)
			require.Equal(t, c.sources > 0, found)
			if !found {
				break
			}
			require.NotEqual(t, e.self.Instance, m.Instance)
			asked[m.Instance]++
			if try < min(firstSources, len(neighbours)) {
				require.Equal(t, neighbours[try], m)
			}
		}
		require.Len(t, asked, c.sources, "%d members", c.members)
	}
}
