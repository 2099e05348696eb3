package allocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

const model identifier.ServiceName = "model"

// newTestAllocator returns an allocator with engines of both roles in two data centres; its own one is "here".
func newTestAllocator(runners, prefillers int) *Allocator {
	a := NewAllocator(DefaultSettings(), "here")
	var entries []tracker.Entry
	for i := range runners + prefillers {
		e := tracker.Entry{
			Upstream: identifier.UpstreamID(fmt.Sprintf("u%d", i)), Service: model, Slots: 6, Role: tracker.RoleDecode,
			DataCentre: []identifier.DataCentre{"here", "there"}[i%2],
		}
		if i >= runners {
			e.Role = tracker.RolePrefill
		}
		entries = append(entries, e)
	}
	a.SetUpstreams(entries)
	return a
}

// longPromptRequest returns a request with a long prompt and a short answer. own is the number of prompt tokens that no
// other request shares.
func longPromptRequest(topic int, own identifier.Tokens) Request {
	return Request{
		Service: model, Engine: true, Output: 70, TimeToTarget: 120 * time.Millisecond, Target: 120 * time.Millisecond,
		TimeToDeadline: 2 * time.Second,
		Prompt: []PromptPart{
			{Hash: hash("root"), Tokens: 2500},
			{Hash: hash(fmt.Sprintf("s%d", topic)), Tokens: 3800},
			{Hash: hash(fmt.Sprintf("own%d", topic)), Tokens: own},
		},
	}
}

// unsharedRequest returns a request whose prompt no other request shares.
func unsharedRequest(number int, tokens identifier.Tokens) Request {
	req := longPromptRequest(number, 0)
	req.Prompt = []PromptPart{{Hash: hash(fmt.Sprint("unshared", number)), Tokens: tokens}}
	return req
}

func TestIdleFleetAdmitsDespiteBadMeasurements(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(4, 1)
	tm := a.timingsOf(model)
	for _, e := range []*estimate{&tm.firstEventDelay, &tm.slotHoldTime} {
		e.value = time.Second
	}
	for _, l := range []*line{&tm.prefill, &tm.mixedPrefill} {
		l.base, l.perToken = time.Second, float64(time.Millisecond)
	}
	_, refusal := a.Place(now, longPromptRequest(1, 3000))
	require.Nil(t, refusal, "only requests that are sent correct the measurements")
}

func TestBusyFleetRefusesOnArrival(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(4, 1)
	placed := 0
	for i := range 500 {
		if _, refusal := a.Place(now, longPromptRequest(i, 3000)); refusal == nil {
			placed++
			continue
		}
		break
	}
	require.Less(t, placed, 100)
	_, refusal := a.Place(now, longPromptRequest(1000, 3000))
	require.NotNil(t, refusal)
	require.Equal(t, ReasonBusy, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
}

func TestPeerLoadsCount(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	loads := Loads{"u0": {Short: 12, QueuedPrefill: 60000}, "u1": {Short: 1}}
	a.UpdatePeer(now, "other", model, loads, 1)
	place, refusal := a.Place(now, longPromptRequest(1, 3000))
	require.Nil(t, refusal)
	require.Equal(t, identifier.UpstreamID("u1"), place.Upstream)
	a.UpdatePeer(now, "other", model, Loads{
		"u0": {Short: 40, QueuedPrefill: 60000}, "u1": {Short: 40, QueuedPrefill: 60000},
	}, 1)
	_, refusal = a.Place(now, longPromptRequest(2, 3000))
	require.NotNil(t, refusal)
	a.ExpirePeers(now.Add(2 * time.Second))
	_, refusal = a.Place(now.Add(2*time.Second), longPromptRequest(2, 3000))
	require.Nil(t, refusal, "the load of an instance that stopped reporting expires")
}

func TestLongPromptsAreAdmittedLikeShortOnes(t *testing.T) {
	now := time.Now()
	for _, own := range []identifier.Tokens{500, 3000, 12000} {
		a := newTestAllocator(4, 1)
		for id := range a.upstreams {
			a.UpdatePeer(now, identifier.InstanceID(id), model, Loads{id: {Short: 2, QueuedPrefill: 4000}}, 1)
		}
		_, refusal := a.Place(now, longPromptRequest(1, own))
		require.Nil(t, refusal, own)
	}
}

func TestEndedRemovesLoad(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		first   bool
	}{
		{"completed", OutcomeCompleted, true},
		{"cancelled before its first event", OutcomeCancelled, false},
		{"failed after its first event", OutcomeFailed, true},
		{"unreachable", OutcomeUnreachable, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			a := newTestAllocator(3, 2)
			for i := range 12 {
				place, refusal := a.Place(now, longPromptRequest(i, 3000))
				require.Nil(t, refusal)
				if place.Prefiller != "" {
					a.PrefillEnded(now, &place, OutcomeCompleted)
				}
				if c.first {
					a.FirstEventArrived(now, now, &place)
				}
				a.Ended(now, now, place, c.outcome)
				if c.outcome != OutcomeCompleted {
					break
				}
			}
			require.Empty(t, a.OwnLoads(model))
		})
	}
}

func TestLeavingAndTriedUpstreamsAreSkipped(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	a.SetUpstreams([]tracker.Entry{
		{Upstream: "u0", Service: model, Slots: 6, Role: tracker.RoleDecode, Leaving: true},
		{Upstream: "u1", Service: model, Slots: 6, Role: tracker.RoleDecode},
	})
	req := longPromptRequest(1, 3000)
	place, refusal := a.Place(now, req)
	require.Nil(t, refusal)
	require.Equal(t, identifier.UpstreamID("u1"), place.Upstream)
	req.Excluded = []identifier.UpstreamID{"u1"}
	_, refusal = a.Place(now, req)
	require.NotNil(t, refusal)
	require.Equal(t, ReasonNoUpstream, refusal.Reason)
}

func TestCacheAffinityIsTheSameAtAllInstances(t *testing.T) {
	now := time.Now()
	count := map[identifier.UpstreamID]int{}
	for i := range 200 {
		first, _ := newTestAllocator(5, 2).Place(now, longPromptRequest(i, 3000))
		second, _ := newTestAllocator(5, 2).Place(now, longPromptRequest(i, 9000))
		require.Equal(t, first.Prefiller == "", second.Prefiller == "")
		chosen := first.Upstream
		if first.Prefiller != "" {
			chosen = first.Prefiller
			require.Equal(t, first.Prefiller, second.Prefiller)
		}
		count[chosen]++
	}
	require.Greater(t, len(count), 1, "different prompts are spread over the engines")
}

func TestLateRequestOnlyGetsFreeCapacity(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	late := longPromptRequest(1, 3000)
	late.TimeToTarget = 0
	_, refusal := a.Place(now, late)
	require.Nil(t, refusal)
	for _, id := range []identifier.UpstreamID{"u0", "u1"} {
		a.UpdatePeer(now, identifier.InstanceID(id), model, Loads{id: {Short: 6, QueuedPrefill: 12000}}, 1)
	}
	_, refusal = a.Place(now, late)
	require.NotNil(t, refusal)
}

func TestRequestsAwaitingPrefillHoldNoSlot(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(1, 0)
	a.UpdatePeer(now, "other", model, Loads{"u0": {Short: 2, AwaitingPrefill: 8}}, 1)
	place, refusal := a.Place(now, longPromptRequest(1, 3000))
	require.Nil(t, refusal)
	idle, _ := newTestAllocator(1, 0).Place(now, longPromptRequest(1, 3000))
	require.Equal(t, idle.Predicted, place.Predicted)
}

func TestEjectedUpstreamsAreUsedAsLastResort(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	for range 20 {
		for _, id := range []identifier.UpstreamID{"u0", "u1"} {
			a.record(now, a.upstreams[id], Observation{Event: EventEnded, Outcome: OutcomeFailed})
		}
	}
	require.NotEmpty(t, a.EjectionCause("u0"))
	require.NotEmpty(t, a.EjectionCause("u1"))
	_, refusal := a.Place(now, longPromptRequest(1, 3000))
	require.Nil(t, refusal)
}

func TestPeerReportsReplaceEarlierOnes(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	for i := range 50 {
		for _, peer := range []identifier.InstanceID{"a", "b"} {
			a.UpdatePeer(now, peer, model, Loads{
				"u0": {Short: i, AwaitingPrefill: 1, Long: 2, QueuedPrefill: 100}, "gone": {Short: 9},
			}, 1)
		}
	}
	require.Equal(t, Load{Short: 98, AwaitingPrefill: 2, Long: 4, QueuedPrefill: 200}, a.upstreams["u0"].load())
	a.SetUpstreams([]tracker.Entry{
		{Upstream: "u1", Service: model, Slots: 6, Role: tracker.RoleDecode}, {Upstream: "gone", Service: model, Slots: 6},
	})
	require.Equal(t, Load{Short: 18}, a.upstreams["gone"].load())
	a.ExpirePeers(now.Add(2 * time.Second))
	require.Zero(t, a.upstreams["gone"].load())
}

func TestRemoteEnginesTakeOverflow(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// queued is the queued prefill of the local engine.
		queued identifier.Tokens
		want   identifier.UpstreamID
	}{
		{"both idle", 0, "u0"},
		{"local engine nearly idle", 300, "u0"},
		{"local engine busy", 8000, "u1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAllocator(2, 0)
			a.UpdatePeer(now, "other", model, Loads{"u0": {QueuedPrefill: c.queued}}, 1)
			place, refusal := a.Place(now, unsharedRequest(1, 3000))
			require.Nil(t, refusal)
			require.Equal(t, c.want, place.Upstream)
		})
	}
}

// The arbiter counts a placement at once, long before the instance that asked reports it.
func TestArbiterCountsPlacementsUntilTheyAreReported(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(4, 0)
	chosen := map[identifier.UpstreamID]int{}
	for number := uint64(1); number <= 4; number++ {
		place, refusal := a.PlaceFor(now, "other", "here", number, unsharedRequest(int(number), 3000))
		require.Nil(t, refusal)
		chosen[place.Upstream]++
	}
	require.Len(t, chosen, 4, "placements in the same instant go to different engines")
	for _, c := range []struct {
		name         string
		loads        Loads
		firstPending uint64
		want         int
	}{
		{"report from before the replies", Loads{}, 1, 4},
		{"first two replies reported", Loads{"u0": {Short: 1}, "u1": {Short: 1}}, 3, 4},
		{"one of them ended", Loads{"u0": {Short: 1}}, 3, 3},
		{"all replies received or given up", Loads{"u0": {Short: 1}}, 5, 1},
	} {
		a.UpdatePeer(now, "other", model, c.loads, c.firstPending)
		total := 0
		for _, u := range a.upstreams {
			total += u.load().Short
		}
		require.Equal(t, c.want, total, c.name)
	}
}

func TestPlacementsForSilentInstancesExpire(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(1, 0)
	_, refusal := a.PlaceFor(now, "other", "here", 1, longPromptRequest(1, 3000))
	require.Nil(t, refusal)
	require.Empty(t, a.ExpirePeers(now.Add(a.settings.PeerTTL)))
	require.Equal(t, 1, a.upstreams["u0"].load().Short)
	require.Equal(t, []identifier.InstanceID{"other"}, a.ExpirePeers(now.Add(2*a.settings.PeerTTL)))
	require.Zero(t, a.upstreams["u0"].load())
}

func TestWorkOfOtherServicesIsKept(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(1, 0)
	a.SetUpstreams(append(a.entries(), tracker.Entry{Upstream: "plain", Service: "orders", Slots: 6}))
	a.UpdatePeer(now, "other", model, Loads{"u0": {Short: 2}}, 1)
	a.UpdatePeer(now, "other", "orders", Loads{"plain": {Short: 3}}, 1)
	a.UpdatePeer(now, "other", "orders", Loads{}, 1)
	require.Equal(t, 2, a.upstreams["u0"].load().Short)
	require.Zero(t, a.upstreams["plain"].load())
}

func (a *Allocator) entries() []tracker.Entry {
	var entries []tracker.Entry
	for _, u := range a.upstreams {
		entries = append(entries, u.entry)
	}
	return entries
}

// Some faults affect only the callers of one data centre.
func TestHealthIsJudgedForEachDataCentre(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	for range 10 {
		a.Observe(now, "peer", "there", Observation{Upstream: "u1", Event: EventEnded, Outcome: OutcomeFailed})
	}
	for _, c := range []struct {
		from identifier.DataCentre
		want identifier.UpstreamID
	}{
		{"there", "u0"},
		{"here", "u1"},
	} {
		a.UpdatePeer(now, "other", model, Loads{"u0": {QueuedPrefill: 4000}}, 1)
		place, refusal := a.PlaceFor(now, "asker", c.from, 1, unsharedRequest(len(c.from), 3000))
		require.Nil(t, refusal)
		require.Equal(t, c.want, place.Upstream, c.from)
	}
}

// A shared part goes where it is kept already, also if the requests come through different instances.
func TestPromptsFollowTheirCachedParts(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// busy is the queued prefill of the engine that keeps the part.
		busy identifier.Tokens
		same bool
	}{
		{"engine free", 0, true},
		{"engine slightly busy", 1000, true},
		{"engine overloaded", 60000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAllocator(6, 0)
			first, refusal := a.PlaceFor(now, "one", "here", 1, longPromptRequest(1, 3000))
			require.Nil(t, refusal)
			a.UpdatePeer(now, "one", model, Loads{first.Upstream: {QueuedPrefill: c.busy}}, 2)
			req := longPromptRequest(1, 500)
			req.Prompt[2].Hash = hash("another request")
			second, refusal := a.PlaceFor(now, "two", "there", 1, req)
			require.Nil(t, refusal)
			require.Equal(t, c.same, first.Upstream == second.Upstream)
			if c.same {
				require.EqualValues(t, 500, second.Tokens, "the shared parts need not be prefilled again")
			}
		})
	}
}

// Engines of one service differ in speed, and some turn slow.
func TestSlowEnginesGetLessWork(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 2)
	for range 30 {
		for id, perToken := range map[identifier.UpstreamID]time.Duration{"u2": time.Microsecond, "u3": 5 * time.Microsecond} {
			a.Observe(now, "peer", "here", Observation{
				Upstream: id, Event: EventPrefilled, Outcome: OutcomeCompleted,
				Took: 5000 * perToken, Tokens: 5000,
			})
		}
	}
	count := map[identifier.UpstreamID]int{}
	for number := range uint64(4) {
		req := unsharedRequest(int(number), 3000)
		place, refusal := a.PlaceFor(now, "other", "here", number, req)
		require.Nil(t, refusal)
		count[place.Prefiller]++
	}
	require.Greater(t, count["u2"], count["u3"])
	require.InDelta(t, 1, a.pace(now.Add(20*time.Second), a.upstreams["u3"].entry), 0.05, "a slow engine is tried again later")
}

func TestLateEndOfAnEarlierIncarnationChangesNothing(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(1, 0)
	before, refusal := a.Place(now, longPromptRequest(1, 3000))
	require.Nil(t, refusal)
	entries := a.entries()
	entries[0].Incarnation++
	a.SetUpstreams(entries)
	after, refusal := a.Place(now, longPromptRequest(2, 3000))
	require.Nil(t, refusal)
	a.Ended(now, now, before, OutcomeCompleted)
	require.Equal(t, 1, a.upstreams["u0"].load().Short)
	a.Ended(now, now, after, OutcomeCompleted)
	require.Zero(t, a.upstreams["u0"].load().Short)
}

func TestRemoteEngineServesWhenNoLocalOneIsUsable(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	req := longPromptRequest(1, 3000)
	req.Excluded = []identifier.UpstreamID{"u0"}
	place, refusal := a.Place(now, req)
	require.Nil(t, refusal)
	require.Equal(t, identifier.UpstreamID("u1"), place.Upstream)
}

// A long answer is late if a single gap between two of its events is too long, and each prefill at its engine causes
// such a gap.
func TestPrefillAvoidsEnginesWithLongAnswers(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// queued is the queued prefill of the engine without long answers.
		queued identifier.Tokens
		want   identifier.UpstreamID
	}{
		{"other engine idle", 0, "u0"},
		{"other engine slightly busier", 2000, "u0"},
		{"other engine much busier", 40000, "u1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAllocator(2, 0)
			a.SetUpstreams([]tracker.Entry{
				{Upstream: "u0", Service: model, Slots: 6, Role: tracker.RoleDecode, DataCentre: "here"},
				{Upstream: "u1", Service: model, Slots: 6, Role: tracker.RoleDecode, DataCentre: "here"},
			})
			a.UpdatePeer(now, "other", model, Loads{"u0": {QueuedPrefill: c.queued}, "u1": {Long: 2}}, 1)
			req := longPromptRequest(1, 3000)
			req.Prompt = []PromptPart{{Hash: hash("own"), Tokens: 3000}}
			place, refusal := a.Place(now, req)
			require.Nil(t, refusal)
			require.Equal(t, c.want, place.Upstream)
		})
	}
}

func TestStreamGoesOnOnlyAtItsVersion(t *testing.T) {
	now := time.Now()
	entry := func(id identifier.UpstreamID, version identifier.SoftwareVersion, leaving bool) tracker.Entry {
		return tracker.Entry{
			Upstream: id, Service: model, Slots: 6, Role: tracker.RoleDecode, DataCentre: "here", Version: version, Leaving: leaving,
		}
	}
	for _, c := range []struct {
		name     string
		entries  []tracker.Entry
		excluded []identifier.UpstreamID
		upstream identifier.UpstreamID
	}{
		{"one has it", []tracker.Entry{entry("a", "v2", false), entry("b", "v1", false), entry("c", "", false)}, nil, "b"},
		{"none has it", []tracker.Entry{entry("a", "v2", false), entry("b", "", false)}, nil, ""},
		{"the one that has it leaves", []tracker.Entry{entry("a", "v2", false), entry("b", "v1", true)}, nil, ""},
		{
			"it broke off where it began",
			[]tracker.Entry{entry("a", "v1", false), entry("b", "v1", false), entry("c", "v2", false)},
			[]identifier.UpstreamID{"a"},
			"b",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := NewAllocator(DefaultSettings(), "here")
			a.SetUpstreams(c.entries)
			version := identifier.SoftwareVersion("v1")
			req := longPromptRequest(1, 3000)
			req.Version, req.Excluded = &version, c.excluded
			for range 20 {
				place, refusal := a.Place(now, req)
				if c.upstream == "" {
					require.Equal(t, ReasonNoVersion, refusal.Reason)
					require.Positive(t, refusal.RetryAfter)
					continue
				}
				require.Nil(t, refusal)
				require.Equal(t, c.upstream, place.Upstream)
				a.Ended(now, now, place, OutcomeCompleted)
			}
		})
	}
}

func TestPromptsArePrefilledAtTheVersionThatDecodes(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(4, 2)
	entries := make([]tracker.Entry, 0, 6)
	for i, u := range a.services[model] {
		e := u.entry
		e.Version = []identifier.SoftwareVersion{"v1", "v2", "v3"}[i%3]
		if e.Role == tracker.RolePrefill {
			// One of them has no decode engine of its version.
			e.Version = []identifier.SoftwareVersion{"v2", "v4"}[i%2]
		}
		entries = append(entries, e)
	}
	a.SetUpstreams(entries)
	split := 0
	for i := range 30 {
		place, refusal := a.Place(now, longPromptRequest(i, 3000))
		if refusal != nil {
			break
		}
		if place.Prefiller == "" {
			continue
		}
		split++
		decoder, _ := a.Entry(place.Upstream)
		prefiller, _ := a.Entry(place.Prefiller)
		require.Equal(t, decoder.Version, prefiller.Version)
	}
	require.Positive(t, split)
}
