package delegator

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/standin/emulator"
	"rosemaryspool.example/wire/messenger"
)

const service identifier.ServiceName = "plain"

// node is one instance without its front doors. A deaf one receives datagrams and ignores them.
type node struct {
	network   *emulator.Network
	governor  *governor.Governor
	delegator *Delegator
	registry  metrics.Registry
	deaf      atomic.Bool
	// beforeRequest is called before a placement request or a query of another instance is handled, if set.
	beforeRequest atomic.Pointer[func()]
	// stop ends the instance.
	stop func()
}

// newNodes starts instances that know each other and the upstreams, in the order in which they become arbiters.
func newNodes(t *testing.T, count, upstreams int) []*node {
	t.Helper()
	network := emulator.NewNetwork()
	var members []elector.Member
	for i := range count {
		members = append(members, newMember(i+1, fmt.Sprint("spool-", i+1), 800))
	}
	byInstance := map[identifier.InstanceID]*node{}
	for _, m := range members {
		byInstance[m.Instance] = newNode(t, network, m, members, upstreams)
	}
	var nodes []*node
	for _, m := range byInstance[members[0].Instance].governor.Arbiters(time.Now(), service, count) {
		nodes = append(nodes, byInstance[m.Instance])
	}
	return nodes
}

// newMember returns the member with a number, which is a part of its address.
func newMember(number int, name string, capacity int) elector.Member {
	return elector.Member{
		Instance: identifier.InstanceID(name), Address: fmt.Sprintf("10.0.0.%d:4000", number), Capacity: capacity, StartedMs: 5,
	}
}

func newGovernor(self elector.Member) *governor.Governor {
	return governor.NewGovernor(governor.Settings{
		Self:  self,
		Retry: budgeter.Settings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, Allocator: allocator.DefaultSettings(),
	}, zerolog.Nop())
}

func newNode(
	t *testing.T, network *emulator.Network, self elector.Member, members []elector.Member, upstreams int,
) *node {
	t.Helper()
	n := &node{network: network, registry: metrics.NewRegistry(), governor: newGovernor(self)}
	for _, m := range members {
		n.governor.SetMember(time.Now(), m)
	}
	n.governor.UpdateUpstreams(time.Now(), governor.Origin{}, func(tr *tracker.Tracker) bool {
		for i := range upstreams {
			tr.Update(tracker.Entry{Upstream: identifier.UpstreamID(fmt.Sprint("u", i)), Service: service, Slots: 1}, uint64(i+1))
		}
		return true
	})
	socket, err := network.ListenDatagrams(self.Address)
	require.NoError(t, err)
	c := courier.NewCourier(self, socket, zerolog.Nop(), n.registry)
	peers := gossiper.NewGossiper(n.governor, c, nil, 0, nil, zerolog.Nop(), n.registry)
	n.delegator = NewDelegator(n.governor, c, zerolog.Nop(), n.registry)
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx, func(r courier.Received) { n.handle(r, peers) })
	go peers.Run(ctx)
	n.stop = func() {
		cancel()
		<-c.Done()
		<-peers.Done()
	}
	t.Cleanup(n.stop)
	return n
}

func (n *node) handle(r courier.Received, peers *gossiper.Gossiper) {
	if n.deaf.Load() {
		return
	}
	n.governor.Heard(r.At, r.Sender, r.Leaving, r.Warming)
	switch body := r.Datagram.GetBody().(type) {
	case *messenger.Datagram_WorkReport:
		peers.HandleReport(r, body.WorkReport)
	case *messenger.Datagram_PlacementRequest:
		n.callBeforeRequest()
		peers.HandleReport(r, body.PlacementRequest.GetWorkReport())
		n.delegator.HandleRequest(r, body.PlacementRequest)
	case *messenger.Datagram_PlacementReply:
		n.delegator.HandleReply(r, body.PlacementReply)
	case *messenger.Datagram_StreamQuery:
		n.callBeforeRequest()
		n.delegator.HandleStreamQuery(r, body.StreamQuery)
	case *messenger.Datagram_StreamReport:
		peers.HandleStreamReport(r, body.StreamReport)
	case *messenger.Datagram_StreamReply:
		n.delegator.HandleStreamReply(r, body.StreamReply)
	}
}

func (n *node) callBeforeRequest() {
	if f := n.beforeRequest.Load(); f != nil {
		(*f)()
	}
}

func (n *node) place() (allocator.Placement, *allocator.Refusal) {
	return n.delegator.Place(context.Background(), allocator.Request{
		Service: service, Target: time.Second, TimeToTarget: time.Second, TimeToDeadline: 2 * time.Second,
	})
}

// requirePlacedAt requires that some requests, one after the other, are placed at an upstream.
func (n *node) requirePlacedAt(t *testing.T, want identifier.UpstreamID) {
	t.Helper()
	for range 4 {
		placement, refusal := n.place()
		require.Nil(t, refusal)
		require.Equal(t, want, placement.Upstream)
		n.governor.Ended(time.Now(), time.Now(), placement, allocator.OutcomeCancelled)
	}
}

func (n *node) placedAlone() int64 {
	return metrics.GetOrRegisterCounter("placedAlone", n.registry).Count()
}

// Instances that decide from their own work alone would all choose the same upstream.
func TestInstancesSpreadRequestsThroughTheArbiter(t *testing.T) {
	synctest.Test(t, testInstancesSpreadRequestsThroughTheArbiter)
}

func testInstancesSpreadRequestsThroughTheArbiter(t *testing.T) {
	const count = 6
	nodes := newNodes(t, count, count)
	chosen := map[identifier.UpstreamID]int{}
	for _, n := range nodes {
		placement, refusal := n.place()
		require.Nil(t, refusal)
		chosen[placement.Upstream]++
	}
	require.Len(t, chosen, count)
	for _, n := range nodes {
		require.Zero(t, n.placedAlone())
	}
}

func TestEndedWorkIsReportedToTheArbiter(t *testing.T) {
	synctest.Test(t, testEndedWorkIsReportedToTheArbiter)
}

func testEndedWorkIsReportedToTheArbiter(t *testing.T) {
	nodes := newNodes(t, 3, 1)
	now := time.Now()
	placement, refusal := nodes[2].place()
	require.Nil(t, refusal)
	nodes[2].governor.Ended(now, now, placement, allocator.OutcomeCompleted)
	require.Eventually(t, func() bool {
		placement, refusal := nodes[1].place()
		if refusal != nil {
			return false
		}
		nodes[1].governor.Ended(now, now, placement, allocator.OutcomeCompleted)
		return placement.Ahead == allocator.Load{}
	}, time.Second, 10*time.Millisecond)
}

func TestSilentArbiterIsPassedOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		deaf  int
		alone bool
		// limit bounds the first placement; later ones are immediate.
		limit time.Duration
	}{
		{"first arbiter silent", 1, false, 2 * replyTimeout},
		{"two arbiters silent", 2, true, 3 * replyTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := newNodes(t, 4, 2)
				for _, n := range nodes[:c.deaf] {
					n.deaf.Store(true)
				}
				asking := nodes[3]
				started := time.Now()
				_, refusal := asking.place()
				require.Nil(t, refusal)
				require.Less(t, time.Since(started), c.limit)
				require.Equal(t, c.alone, asking.placedAlone() > 0)
				started = time.Now()
				placement, refusal := asking.place()
				require.Nil(t, refusal)
				require.Less(t, time.Since(started), replyTimeout, "a suspected arbiter is not asked again")
				require.NotEmpty(t, placement.Arbiter)
			})
		})
	}
}

// A placement whose reply was lost must not count forever.
func TestUnansweredRequestsDoNotCount(t *testing.T) {
	synctest.Test(t, testUnansweredRequestsDoNotCount)
}

func testUnansweredRequestsDoNotCount(t *testing.T) {
	nodes := newNodes(t, 3, 1)
	nodes[2].deaf.Store(true)
	_, refusal := nodes[2].place()
	require.Nil(t, refusal)
	require.EqualValues(t, 1, nodes[2].placedAlone())
	require.Eventually(t, func() bool {
		placement, refusal := nodes[0].place()
		if refusal != nil {
			return false
		}
		nodes[0].governor.Ended(time.Now(), time.Now(), placement, allocator.OutcomeCancelled)
		return placement.Ahead.Short <= 1
	}, 2*time.Second, 10*time.Millisecond)
}

// An instance that has not heard of a better candidate yet learns of it from the arbiter that it asks.
func TestBetterArbiterIsAnnounced(t *testing.T) { synctest.Test(t, testBetterArbiterIsAnnounced) }

func testBetterArbiterIsAnnounced(t *testing.T) {
	nodes := newNodes(t, 3, 2)
	best := nodes[0].governor.Self()
	stranger := newNode(t, nodes[1].network, newMember(9, "stranger", 100), []elector.Member{nodes[1].governor.Self()}, 2)
	placement, refusal := stranger.place()
	require.Nil(t, refusal)
	require.Equal(t, nodes[1].governor.Self().Instance, placement.Arbiter)
	require.Eventually(t, func() bool {
		_, known := stranger.governor.Member(best.Instance)
		return known
	}, time.Second, time.Millisecond)
	placement, refusal = stranger.place()
	require.Nil(t, refusal)
	require.Equal(t, best.Instance, placement.Arbiter)
}

// setLeaving marks an upstream as leaving in the list of one instance.
func (n *node) setLeaving(id identifier.UpstreamID) {
	n.governor.UpdateUpstreams(time.Now(), governor.Origin{}, func(tr *tracker.Tracker) bool {
		return tr.Update(tracker.Entry{Upstream: id, Service: service, Slots: 1, Leaving: true}, 1000)
	})
}

func TestArbiterWithAnOlderListDoesNotPlaceAtLeavingUpstreams(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and during are called before the request, and while the arbiter has it.
		before, during func(arbiter, sender *node)
	}{
		{"sender knows that the upstream leaves", func(_, sender *node) { sender.setLeaving("u0") }, func(_, _ *node) {}},
		{
			"sender learns it while the arbiter decides",
			func(arbiter, _ *node) { arbiter.setLeaving("u1") },
			func(_, sender *node) { sender.setLeaving("u0") },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := newNodes(t, 3, 2)
				arbiter, sender := nodes[0], nodes[2]
				c.before(arbiter, sender)
				during := func() { c.during(arbiter, sender) }
				arbiter.beforeRequest.Store(&during)
				sender.requirePlacedAt(t, "u1")
			})
		})
	}
}

func TestManyLeavingUpstreamsFitIntoARequest(t *testing.T) {
	synctest.Test(t, testManyLeavingUpstreamsFitIntoARequest)
}

func testManyLeavingUpstreamsFitIntoARequest(t *testing.T) {
	const upstreams = 400
	nodes := newNodes(t, 3, upstreams)
	for _, n := range nodes {
		for i := 1; i < upstreams; i++ {
			n.setLeaving(identifier.UpstreamID(fmt.Sprint("u", i)))
		}
	}
	placement, refusal := nodes[2].place()
	require.Nil(t, refusal)
	require.EqualValues(t, "u0", placement.Upstream)
	require.Zero(t, nodes[2].placedAlone())
}

func TestOneInstanceThatHearsOfALeavingUpstreamTellsTheArbiter(t *testing.T) {
	synctest.Test(t, testOneInstanceThatHearsOfALeavingUpstreamTellsTheArbiter)
}

func testOneInstanceThatHearsOfALeavingUpstreamTellsTheArbiter(t *testing.T) {
	nodes := newNodes(t, 3, 2)
	listed, _ := nodes[2].governor.Entry("u0")
	nodes[2].governor.Notify(listed, allocator.Notice{Leaving: true})
	require.Eventually(t, func() bool { return !nodes[0].governor.AcceptsWork(time.Now(), "u0") }, 3*time.Second, time.Millisecond)
	nodes[1].requirePlacedAt(t, "u1")
}

func TestArbiterWithAnOlderListDoesNotMixVersions(t *testing.T) {
	synctest.Test(t, testArbiterWithAnOlderListDoesNotMixVersions)
}

func testArbiterWithAnOlderListDoesNotMixVersions(t *testing.T) {
	nodes := newNodes(t, 3, 2)
	version := identifier.SoftwareVersion("v1")
	for i, n := range nodes {
		n.governor.UpdateUpstreams(time.Now(), governor.Origin{}, func(tr *tracker.Tracker) bool {
			for _, e := range []tracker.Entry{
				{Upstream: "u0", Version: "v1", Incarnation: 1},
				{Upstream: "u1", Version: "v1", Incarnation: 1},
				{Upstream: "u0", Version: "v2", Incarnation: 2},
			} {
				// Only the sender knows that u0 has come back under another version.
				if e.Incarnation == 1 || i == 2 {
					e.Service, e.Slots = service, 1
					tr.Update(e, 1000+e.Incarnation)
				}
			}
			return true
		})
	}
	for range 4 {
		placement, refusal := nodes[2].delegator.Place(context.Background(), allocator.Request{
			Service: service, Target: time.Second, TimeToTarget: time.Second, TimeToDeadline: 2 * time.Second,
			Version: &version, Resumed: true,
		})
		require.Nil(t, refusal)
		require.EqualValues(t, "u1", placement.Upstream)
		nodes[2].governor.Ended(time.Now(), time.Now(), placement, allocator.OutcomeCancelled)
	}
}

// An upstream that has moved to another service gets no requests of the one before, although the arbiter has not read that yet.
func TestArbiterWithAnOlderListDoesNotPlaceAtAnotherService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(t, 3, 2)
		sender := nodes[2]
		sender.list([]tracker.Entry{{Upstream: "u0", Service: "other", Slots: 1, Incarnation: 2}})
		sender.requirePlacedAt(t, "u1")
	})
}

// The same holds for the engine that prefills.
func TestOutdatedPrefillersAreNotUsed(t *testing.T) {
	nodes := newNodes(t, 1, 2)
	d := nodes[0].delegator
	request := allocator.Request{Service: service}
	placement := allocator.Placement{Upstream: "u0", Prefiller: "u1"}
	require.False(t, d.isOutdated(request, placement, nil))
	nodes[0].list([]tracker.Entry{{Upstream: "u1", Service: "other", Incarnation: 2}})
	require.True(t, d.isOutdated(request, placement, nil))
}

func TestOriginOfAStreamIsFound(t *testing.T) {
	const count = 5
	id := resumer.NewStreamID("s")
	for _, c := range []struct {
		name string
		// knows holds the instances that know the origin, deaf those that get no datagrams.
		knows, deaf []int
		found       bool
	}{
		{"by the instance itself", []int{4}, []int{0, 1, 2, 3}, true},
		{"by the arbiter", []int{0}, nil, true},
		{"by the stand-by of a dead arbiter", []int{1}, []int{0}, true},
		{"by the instance at which it began", []int{3}, []int{0, 1}, true},
		{"by nobody", nil, nil, false},
		{"by a dead instance", []int{0}, []int{0}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := newNodes(t, count, 2)
				origin := resumer.Origin{Stream: id, Service: service, Version: "v1", Until: time.Now().Add(time.Minute)}
				for _, i := range c.knows {
					nodes[i].governor.LearnStream(time.Now(), origin)
				}
				for _, i := range c.deaf {
					nodes[i].deaf.Store(true)
				}
				started := time.Now()
				got, versions, found := nodes[count-1].delegator.StreamOrigin(context.Background(), service, id)
				require.Less(t, time.Since(started), 4*replyTimeout)
				require.Equal(t, c.found, found)
				_, sole := versions.Sole()
				require.False(t, sole, "no instance knows any upstream")
				if found {
					require.EqualValues(t, "v1", got.Version)
					require.Equal(t, service, got.Service)
				}
			})
		})
	}
}

func TestPlacementsSurviveEncoding(t *testing.T) {
	placement := allocator.Placement{
		Upstream: "u", Prefiller: "p", Predicted: 90 * time.Millisecond, Tokens: 4000, Long: true, Arbiter: "a",
		Ahead: allocator.Load{Short: 1, Long: 2}, PrefillerAhead: allocator.Load{QueuedPrefill: 7},
	}
	refusal := allocator.Refusal{
		Reason: allocator.ReasonBusy, RetryAfter: time.Second, Predicted: time.Millisecond, Upstream: "u", Arbiter: "a",
		Ahead: allocator.Load{Short: 9},
	}
	for _, c := range []struct {
		name      string
		placement allocator.Placement
		refusal   *allocator.Refusal
	}{
		{"placement", placement, nil},
		{"refusal", allocator.Placement{}, &refusal},
	} {
		got, gotRefusal := decodeReply(encodeReply(1, c.placement, c.refusal), "a")
		require.Equal(t, c.placement, got, c.name)
		require.Equal(t, c.refusal, gotRefusal, c.name)
	}
	version := identifier.SoftwareVersion("")
	request := allocator.Request{
		Version: &version,
		Service: service, Engine: true, Prompt: []allocator.PromptPart{{Hash: 1 << 63, Tokens: 5}}, Output: 7,
		TimeToTarget: -time.Second, Target: time.Second, TimeToDeadline: 2 * time.Second,
		Excluded: []identifier.UpstreamID{"x"}, SingleUpstream: true, Resumed: true,
	}
	require.Equal(t, request, decodeRequest(encodeRequest(1, request, nil)))
}
