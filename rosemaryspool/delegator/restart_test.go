package delegator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/standin/emulator"
)

// freeze has a node stand still with its next placement request or query, and what arrives after it, until the returned
// function is called.
func (n *node) freeze() (wake func()) {
	woken := make(chan struct{})
	wait := func() { <-woken }
	n.beforeRequest.Store(&wait)
	return func() { close(woken) }
}

// newFrozenArbiter returns an arbiter of all services and another instance.
func newFrozenArbiter(t *testing.T, upstreams []tracker.Entry) (arbiter, entry *node) {
	t.Helper()
	members := []elector.Member{newMember(1, "arbiter", 1000), newMember(2, "entry", 100)}
	network := emulator.NewNetwork()
	arbiter, entry = newNode(t, network, members[0], members, 0), newNode(t, network, members[1], members, 0)
	arbiter.list(upstreams)
	entry.list(upstreams)
	return arbiter, entry
}

func (n *node) list(entries []tracker.Entry) {
	n.governor.UpdateUpstreams(time.Now(), governor.Origin{}, func(tr *tracker.Tracker) bool {
		for i, e := range entries {
			tr.Update(e, uint64(1000+i))
		}
		return true
	})
}

// restart ends the node's process and starts another one that knows the same.
func (n *node) restart(t *testing.T, others []elector.Member, entries []tracker.Entry, later int64) *node {
	t.Helper()
	n.stop()
	self := n.governor.Self()
	self.StartedMs += later
	restarted := newNode(t, n.network, self, others, 0)
	restarted.list(entries)
	return restarted
}

// An arbiter that stood still answers what an earlier process of an instance had asked. The later process must not take that
// for the answer to its own request: it ran orders at another service.
func TestRepliesToAnEarlierProcessAreNotTaken(t *testing.T) {
	const first, second identifier.ServiceName = "first", "second"
	entries := []tracker.Entry{
		{Upstream: "u-first", Service: first, Slots: 4}, {Upstream: "u-second", Service: second, Slots: 4},
	}
	request := func(service identifier.ServiceName) allocator.Request {
		return allocator.Request{
			Service: service, Target: time.Second, TimeToTarget: time.Second, TimeToDeadline: 2 * time.Second,
		}
	}
	for _, c := range []struct {
		name string
		// later is the difference between the start times of the two processes; it is negative if the clock was set back.
		later int64
	}{
		{"later start", 800},
		{"clock set back", -800},
	} {
		t.Run("placement/"+c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				arbiter, entry := newFrozenArbiter(t, entries)
				wake := arbiter.freeze()
				for range 8 {
					go entry.delegator.Place(context.Background(), request(first))
				}
				time.Sleep(2 * replyTimeout)
				entry = entry.restart(t, []elector.Member{arbiter.governor.Self()}, entries, c.later)
				placements := make(chan allocator.Placement, 8)
				for range cap(placements) {
					go func() {
						placement, _ := entry.delegator.Place(context.Background(), request(second))
						placements <- placement
					}()
				}
				synctest.Wait()
				wake()
				for range cap(placements) {
					placement := <-placements
					require.EqualValues(t, "u-second", placement.Upstream)
					require.EqualValues(t, "arbiter", placement.Arbiter)
				}
			})
		})
		t.Run("origin of a stream/"+c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				arbiter, entry := newFrozenArbiter(t, entries)
				earlier, later := resumer.NewStreamID("earlier"), resumer.NewStreamID("later")
				for _, o := range []resumer.Origin{
					{Stream: earlier, Service: first, Version: "v1"}, {Stream: later, Service: first, Version: "v2"},
				} {
					o.Until = time.Now().Add(time.Minute)
					arbiter.governor.LearnStream(time.Now(), o)
				}
				wake := arbiter.freeze()
				entry.delegator.StreamOrigin(context.Background(), first, earlier)
				entry = entry.restart(t, []elector.Member{arbiter.governor.Self()}, entries, c.later)
				found := make(chan resumer.Origin)
				go func() {
					o, _, _ := entry.delegator.StreamOrigin(context.Background(), first, later)
					found <- o
				}()
				synctest.Wait()
				wake()
				require.EqualValues(t, "v2", (<-found).Version)
			})
		})
	}
}

// What an arbiter has placed for a process that is gone, and what that process reports late, is no load.
func TestWorkOfAnEarlierProcessDoesNotCount(t *testing.T) {
	const service identifier.ServiceName = "plain"
	arbiter := newNodes(t, 1, 1)[0].governor
	request := allocator.Request{
		Service: service, Target: time.Hour, TimeToTarget: time.Hour, TimeToDeadline: time.Hour,
	}
	ahead := func(of string) int {
		placement, refusal := arbiter.PlaceFor(time.Now(), identifier.InstanceID(of), "", 1, request)
		require.Nil(t, refusal)
		arbiter.ApplyReport(time.Now(), elector.Member{Instance: identifier.InstanceID(of)}, governor.Report{Service: service, FirstPending: 2})
		return placement.Ahead.Short
	}
	for _, later := range []int64{800, -800} {
		earlier := elector.Member{Instance: identifier.InstanceID(fmt.Sprint("killed", later)), Address: "10.0.0.9:4000", StartedMs: 5000}
		current := earlier
		current.StartedMs += later
		heardAt := time.Now().Add(-time.Minute)
		arbiter.Heard(heardAt, earlier, false, false)
		for i := range uint64(3) {
			_, refusal := arbiter.PlaceFor(time.Now(), earlier.Instance, "", earlier.FirstNumber()+i, request)
			require.Nil(t, refusal)
		}
		require.Equal(t, 3, ahead("probe"))
		arbiter.Heard(heardAt.Add(2*time.Second), current, false, false)
		arbiter.ApplyReport(time.Now(), current, governor.Report{Service: service, FirstPending: current.FirstNumber()})
		require.Zero(t, ahead("probe"), "grants of the earlier process")

		// A late datagram of the earlier process, which was leaving.
		if later > 0 {
			arbiter.Heard(heardAt.Add(2*time.Second), earlier, true, false)
			arbiter.ApplyReport(time.Now(), earlier, governor.Report{
				Service: service, Loads: allocator.Loads{"u0": {Short: 7}}, FirstPending: earlier.FirstNumber(),
			})
			require.Zero(t, ahead("probe"), "late report of the earlier process")
			require.Equal(t, 2, arbiter.Instances(), "the instance isn't leaving")
		}
	}
}

// Numbers of two processes differ even if the first one has used many.
func TestProcessesNumberTheirRequestsDifferently(t *testing.T) {
	seen := map[uint64]bool{}
	for _, startedMs := range []int64{1796679116000, 1796679116001, 1796679116800, 0, 1} {
		g := newGovernor(elector.Member{Instance: "spool-1", StartedMs: startedMs})
		last := uint64(0)
		for range 10_000 {
			number := g.BeginRequest()
			require.Greater(t, number, last, "numbers increase")
			require.False(t, seen[number], fmt.Sprint(startedMs))
			seen[number], last = true, number
		}
	}
}
