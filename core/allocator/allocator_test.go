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
			{ID: "root", Tokens: 2500},
			{ID: fmt.Sprintf("s%d", topic), Tokens: 3800},
			{ID: fmt.Sprintf("own%d", topic), Tokens: own},
		},
	}
}

func TestIdleFleetAdmitsDespiteBadMeasurements(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(4, 1)
	tm := a.timingsOf(model)
	for _, estimate := range []*time.Duration{
		&tm.firstEventDelay, &tm.slotHoldTime, &tm.prefillPerToken, &tm.mixedPrefillPerToken,
	} {
		*estimate = time.Second
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
	_, refusal := a.Place(now, longPromptRequest(1, 3000))
	require.NotNil(t, refusal)
	require.Equal(t, ReasonBusy, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
}

func TestPeerLoadsCount(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	loads := map[identifier.UpstreamID]Load{"u0": {Short: 12, QueuedPrefill: 60000}, "u1": {Short: 1}}
	a.UpdatePeer(now, "other", loads)
	place, refusal := a.Place(now, longPromptRequest(1, 3000))
	require.Nil(t, refusal)
	require.Equal(t, identifier.UpstreamID("u1"), place.Upstream)
	a.UpdatePeer(now, "other", map[identifier.UpstreamID]Load{
		"u0": {Short: 40, QueuedPrefill: 60000}, "u1": {Short: 40, QueuedPrefill: 60000},
	})
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
			a.UpdatePeer(now, identifier.InstanceID(id), map[identifier.UpstreamID]Load{id: {Short: 2, QueuedPrefill: 4000}})
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
			require.Empty(t, a.OwnLoads())
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
	req.Tried = []identifier.UpstreamID{"u1"}
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
		a.UpdatePeer(now, identifier.InstanceID(id), map[identifier.UpstreamID]Load{id: {Short: 6, QueuedPrefill: 12000}})
	}
	_, refusal = a.Place(now, late)
	require.NotNil(t, refusal)
}

func TestRequestsAwaitingPrefillHoldNoSlot(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(1, 0)
	a.UpdatePeer(now, "other", map[identifier.UpstreamID]Load{"u0": {Short: 2, AwaitingPrefill: 8}})
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
			a.recordFailure(now, id, OutcomeFailed)
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
			a.UpdatePeer(now, peer, map[identifier.UpstreamID]Load{
				"u0": {Short: i, AwaitingPrefill: 1, Long: 2, QueuedPrefill: 100}, "gone": {Short: 9},
			})
		}
	}
	require.Equal(t, Load{Short: 98, AwaitingPrefill: 2, Long: 4, QueuedPrefill: 200}, a.upstreams["u0"].total())
	a.SetUpstreams([]tracker.Entry{
		{Upstream: "u1", Service: model, Slots: 6, Role: tracker.RoleDecode}, {Upstream: "gone", Service: model, Slots: 6},
	})
	require.Equal(t, Load{Short: 18}, a.upstreams["gone"].total())
	a.ExpirePeers(now.Add(2 * time.Second))
	require.Zero(t, a.upstreams["gone"].total())
}

func TestRemoteEnginesTakeOverflowWhenReportsAreLate(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name  string
		age   time.Duration
		local bool
	}{
		{"reports without delay: the less loaded engine", 0, false},
		{"late reports: the local engine while it has capacity", 125 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAllocator(2, 0)
			a.SetRemoteAge(c.age)
			a.UpdatePeer(now, "other", map[identifier.UpstreamID]Load{"u0": {Short: 2, QueuedPrefill: 4000}})
			place, refusal := a.Place(now, Request{
				Service: model, Engine: true, Output: 70, TimeToTarget: 150 * time.Millisecond,
				Target: 150 * time.Millisecond, TimeToDeadline: time.Second,
				Prompt: []PromptPart{{ID: "own", Tokens: 200}},
			})
			require.Nil(t, refusal)
			require.Equal(t, c.local, place.Upstream == "u0")
			a.UpdatePeer(now, "other", map[identifier.UpstreamID]Load{"u0": {Short: 12, QueuedPrefill: 40000}})
			place, refusal = a.Place(now, longPromptRequest(2, 3000))
			require.Nil(t, refusal)
			require.Equal(t, identifier.UpstreamID("u1"), place.Upstream)
		})
	}
}

func TestCacheAffinityIsLocalWhenRemoteReportsAreLate(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    time.Duration
		remote bool
	}{
		{"reports without delay: over all engines", 0, true},
		{"late reports: only in the own data centre", 125 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newTestAllocator(6, 2)
			a.SetRemoteAge(c.age)
			remote := 0
			for i := range 200 {
				aff := newAffinity(
					longPromptRequest(i, 3000).Prompt,
					a.affinityCandidates(a.services[model][:6]), a.affinityCandidates(a.services[model][6:]),
				)
				if aff.runner.entry.DataCentre == "there" || aff.prefiller.entry.DataCentre == "there" {
					remote++
				}
			}
			require.Equal(t, c.remote, remote > 0)
		})
	}
}

func TestRemoteEngineServesWhenNoLocalOneIsUsable(t *testing.T) {
	now := time.Now()
	a := newTestAllocator(2, 0)
	a.SetRemoteAge(125 * time.Millisecond)
	req := longPromptRequest(1, 3000)
	req.Tried = []identifier.UpstreamID{"u0"}
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
			a.UpdatePeer(now, "other", map[identifier.UpstreamID]Load{"u0": {QueuedPrefill: c.queued}, "u1": {Long: 2}})
			req := longPromptRequest(1, 3000)
			req.Prompt = []PromptPart{{ID: "own", Tokens: 3000}}
			place, refusal := a.Place(now, req)
			require.Nil(t, refusal)
			require.Equal(t, c.want, place.Upstream)
		})
	}
}
