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

// fleet returns an allocator with engines of both roles in two data centres.
func fleet(runners, readers int) *Allocator {
	a := NewAllocator(DefaultSettings(), "here")
	var entries []tracker.Entry
	for i := range runners + readers {
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

// verdict is a long prompt with a short answer.
func verdict(subject int, own identifier.Tokens) Ask {
	return Ask{
		Service: model, Engine: true, Output: 70, ToTarget: 120 * time.Millisecond, Target: 120 * time.Millisecond,
		Left: 2 * time.Second,
		Prompt: []Part{
			{ID: "root", Tokens: 2500}, {ID: fmt.Sprintf("s%d", subject), Tokens: 3800}, {ID: fmt.Sprintf("own%d", subject), Tokens: own},
		},
	}
}

func TestAnIdleFleetAdmitsWhateverWasMeasured(t *testing.T) {
	now := time.Now()
	a := fleet(4, 1)
	p := a.paceOf(model)
	for _, estimate := range []*time.Duration{&p.first, &p.residence, &p.readToken, &p.directToken} {
		*estimate = time.Second
	}
	_, refusal := a.Place(now, verdict(1, 3000))
	require.Nil(t, refusal, "measurements can only be corrected by requests that are sent")
}

func TestABusyFleetRefusesOnArrival(t *testing.T) {
	now := time.Now()
	a := fleet(4, 1)
	placed := 0
	for i := range 500 {
		if _, refusal := a.Place(now, verdict(i, 3000)); refusal == nil {
			placed++
			continue
		}
		break
	}
	require.Less(t, placed, 100)
	_, refusal := a.Place(now, verdict(1, 3000))
	require.NotNil(t, refusal)
	require.Equal(t, ReasonBusy, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
}

func TestWorkOfOtherInstancesCounts(t *testing.T) {
	now := time.Now()
	a := fleet(2, 0)
	loads := map[identifier.UpstreamID]Load{"u0": {Short: 12, Reading: 60000}, "u1": {Short: 1}}
	a.Learn(now, "other", loads)
	place, refusal := a.Place(now, verdict(1, 3000))
	require.Nil(t, refusal)
	require.Equal(t, identifier.UpstreamID("u1"), place.Upstream)
	a.Learn(now, "other", map[identifier.UpstreamID]Load{"u0": {Short: 40, Reading: 60000}, "u1": {Short: 40, Reading: 60000}})
	_, refusal = a.Place(now, verdict(2, 3000))
	require.NotNil(t, refusal)
	a.Expire(now.Add(2 * time.Second))
	_, refusal = a.Place(now.Add(2*time.Second), verdict(2, 3000))
	require.Nil(t, refusal, "work of an instance that fell silent is forgotten")
}

func TestLongPromptsAreAdmittedLikeShortOnes(t *testing.T) {
	now := time.Now()
	for _, own := range []identifier.Tokens{500, 3000, 12000} {
		a := fleet(4, 1)
		for id := range a.upstreams {
			a.Learn(now, identifier.InstanceID(id), map[identifier.UpstreamID]Load{id: {Short: 2, Reading: 4000}})
		}
		_, refusal := a.Place(now, verdict(1, own))
		require.Nil(t, refusal, own)
	}
}

func TestEveryEndOfAPlaceTakesItsWorkBack(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		first   bool
	}{
		{"whole", OutcomeWhole, true},
		{"abandoned before its first event", OutcomeAbandoned, false},
		{"broken after its first event", OutcomeBroken, true},
		{"unreachable", OutcomeUnreachable, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			a := fleet(3, 2)
			for i := range 12 {
				place, refusal := a.Place(now, verdict(i, 3000))
				require.Nil(t, refusal)
				if place.Reader != "" {
					a.ReadEnded(now, &place, OutcomeWhole)
				}
				if c.first {
					a.Progressed(now, now, &place)
				}
				a.Ended(now, now, place, c.outcome)
				if c.outcome != OutcomeWhole {
					break
				}
			}
			require.Empty(t, a.OwnLoads())
		})
	}
}

func TestLeavingAndFailedUpstreamsGetNothing(t *testing.T) {
	now := time.Now()
	a := fleet(2, 0)
	a.SetUpstreams([]tracker.Entry{
		{Upstream: "u0", Service: model, Slots: 6, Role: tracker.RoleDecode, Leaving: true},
		{Upstream: "u1", Service: model, Slots: 6, Role: tracker.RoleDecode},
	})
	ask := verdict(1, 3000)
	place, refusal := a.Place(now, ask)
	require.Nil(t, refusal)
	require.Equal(t, identifier.UpstreamID("u1"), place.Upstream)
	ask.Tried = []identifier.UpstreamID{"u1"}
	_, refusal = a.Place(now, ask)
	require.NotNil(t, refusal)
	require.Equal(t, ReasonNoUpstream, refusal.Reason)
}

func TestAPromptsHomeIsTheSameAtAllInstances(t *testing.T) {
	now := time.Now()
	count := map[identifier.UpstreamID]int{}
	for i := range 200 {
		first, _ := fleet(5, 2).Place(now, verdict(i, 3000))
		second, _ := fleet(5, 2).Place(now, verdict(i, 9000))
		require.Equal(t, first.Reader == "", second.Reader == "")
		home := first.Upstream
		if first.Reader != "" {
			home = first.Reader
			require.Equal(t, first.Reader, second.Reader)
		}
		count[home]++
	}
	require.Greater(t, len(count), 1, "homes are spread")
}

func TestALateRequestGetsOnlyWhatIsFree(t *testing.T) {
	now := time.Now()
	a := fleet(2, 0)
	late := verdict(1, 3000)
	late.ToTarget = 0
	_, refusal := a.Place(now, late)
	require.Nil(t, refusal)
	for _, id := range []identifier.UpstreamID{"u0", "u1"} {
		a.Learn(now, identifier.InstanceID(id), map[identifier.UpstreamID]Load{id: {Short: 6, Reading: 12000}})
	}
	_, refusal = a.Place(now, late)
	require.NotNil(t, refusal)
}

func TestRequestsWhosePromptIsReadElsewhereHoldNoSlot(t *testing.T) {
	now := time.Now()
	a := fleet(1, 0)
	a.Learn(now, "other", map[identifier.UpstreamID]Load{"u0": {Short: 2, Coming: 8}})
	place, refusal := a.Place(now, verdict(1, 3000))
	require.Nil(t, refusal)
	idle, _ := fleet(1, 0).Place(now, verdict(1, 3000))
	require.Equal(t, idle.Predicted, place.Predicted)
}

func TestUpstreamsThatLookSickAreBetterThanNone(t *testing.T) {
	now := time.Now()
	a := fleet(2, 0)
	for range 20 {
		for _, id := range []identifier.UpstreamID{"u0", "u1"} {
			a.failed(now, id, OutcomeBroken)
		}
	}
	require.NotEmpty(t, a.Ejected("u0"))
	require.NotEmpty(t, a.Ejected("u1"))
	_, refusal := a.Place(now, verdict(1, 3000))
	require.Nil(t, refusal)
}

func TestReportsReplaceEachOther(t *testing.T) {
	now := time.Now()
	a := fleet(2, 0)
	for i := range 50 {
		for _, peer := range []identifier.InstanceID{"a", "b"} {
			a.Learn(now, peer, map[identifier.UpstreamID]Load{"u0": {Short: i, Coming: 1, Long: 2, Reading: 100}, "gone": {Short: 9}})
		}
	}
	require.Equal(t, Load{Short: 98, Coming: 2, Long: 4, Reading: 200}, a.upstreams["u0"].total())
	a.SetUpstreams([]tracker.Entry{{Upstream: "u1", Service: model, Slots: 6, Role: tracker.RoleDecode}, {Upstream: "gone", Service: model, Slots: 6}})
	require.Equal(t, Load{Short: 18}, a.upstreams["gone"].total())
	a.Expire(now.Add(2 * time.Second))
	require.Zero(t, a.upstreams["gone"].total())
}

func TestFarEnginesServeAsOverflowWhereTheirWorkIsKnownLate(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		age  time.Duration
		near bool
	}{
		{"known at once: the less loaded one", 0, false},
		{"known late: the near one while it has room", 125 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := fleet(2, 0)
			a.SetRemoteAge(c.age)
			a.Learn(now, "other", map[identifier.UpstreamID]Load{"u0": {Short: 2, Reading: 4000}})
			place, refusal := a.Place(now, Ask{Service: model, Engine: true, Output: 70, ToTarget: 150 * time.Millisecond, Target: 150 * time.Millisecond, Left: time.Second, Prompt: []Part{{ID: "own", Tokens: 200}}})
			require.Nil(t, refusal)
			require.Equal(t, c.near, place.Upstream == "u0")
			a.Learn(now, "other", map[identifier.UpstreamID]Load{"u0": {Short: 12, Reading: 40000}})
			place, refusal = a.Place(now, verdict(2, 3000))
			require.Nil(t, refusal)
			require.Equal(t, identifier.UpstreamID("u1"), place.Upstream)
		})
	}
}

func TestHomesAreNearWhereFarWorkIsKnownLate(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		far  bool
	}{
		{"known at once: homes are spread over all engines", 0, true},
		{"known late: homes are in the own data centre", 125 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := fleet(6, 2)
			a.SetRemoteAge(c.age)
			far := 0
			for i := range 200 {
				homes := newHomes(verdict(i, 3000).Prompt, a.homeCandidates(a.services[model][:6]), a.homeCandidates(a.services[model][6:]))
				if homes.runner.entry.DataCentre == "there" || homes.reader.entry.DataCentre == "there" {
					far++
				}
			}
			require.Equal(t, c.far, far > 0)
		})
	}
}

func TestAFarEngineServesWhereNoNearOneIsLeft(t *testing.T) {
	now := time.Now()
	a := fleet(2, 0)
	a.SetRemoteAge(125 * time.Millisecond)
	ask := verdict(1, 3000)
	ask.Tried = []identifier.UpstreamID{"u0"}
	place, refusal := a.Place(now, ask)
	require.Nil(t, refusal)
	require.Equal(t, identifier.UpstreamID("u1"), place.Upstream)
}

// Long answers are late by a pause between two events, and each prompt that is read at their engine is one.
func TestPromptsAreReadAwayFromLongAnswersWhileThereIsRoom(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// reading is what the engine without long answers has to read already.
		reading identifier.Tokens
		want    identifier.UpstreamID
	}{
		{"the other engine is free", 0, "u0"},
		{"the other engine is a little busier", 2000, "u0"},
		{"the other engine is far busier", 40000, "u1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := fleet(2, 0)
			a.SetUpstreams([]tracker.Entry{
				{Upstream: "u0", Service: model, Slots: 6, Role: tracker.RoleDecode, DataCentre: "here"},
				{Upstream: "u1", Service: model, Slots: 6, Role: tracker.RoleDecode, DataCentre: "here"},
			})
			a.Learn(now, "other", map[identifier.UpstreamID]Load{"u0": {Reading: c.reading}, "u1": {Long: 2}})
			ask := verdict(1, 3000)
			ask.Prompt = []Part{{ID: "own", Tokens: 3000}}
			place, refusal := a.Place(now, ask)
			require.Nil(t, refusal)
			require.Equal(t, c.want, place.Upstream)
		})
	}
}
