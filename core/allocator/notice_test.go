package allocator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/limiter"
)

func named(u string, perSecond float64, at time.Time) NamedLimit {
	return NamedLimit{
		Upstream: identifier.UpstreamID(u), Limit: limiter.Limit{Limited: true, PerSecond: perSecond, NamedAt: at},
	}
}

// Plays 20 s of verdicts, 50 a second, that one arbiter places at two engines of which one has named a limit.
func TestLimitedEngineGetsWhatItAskedFor(t *testing.T) {
	const perSecond, length, interval, running = 7.5, 20 * time.Second, 20 * time.Millisecond, 4
	a := newTestAllocator(2, 0)
	at := time.Unix(1000, 0)
	sent := 0
	var places []Placement
	for range length / interval {
		at = at.Add(interval)
		a.LearnLimit(named("u0", perSecond, at))
		req := unsharedRequest(len(places), 500)
		req.RateShare = 1
		place, refusal := a.Place(at, req)
		require.Nil(t, refusal, "the other engine has no limit")
		if place.Upstream == "u0" {
			sent++
		}
		places = append(places, place)
		if done := len(places) - running; done >= 0 {
			a.Ended(at, at.Add(-running*interval), places[done], OutcomeCompleted)
		}
	}
	require.InDelta(t, perSecond*length.Seconds(), sent, 0.1*perSecond*length.Seconds())
}

func TestRequestsAreRefusedAtOnceWhenAllLimitsAreUsedUp(t *testing.T) {
	a := newTestAllocator(2, 0)
	now := time.Unix(1000, 0)
	a.LearnLimit(named("u0", 2, now))
	a.LearnLimit(named("u1", 0.5, now))
	req := longPromptRequest(2, 3000)
	req.RateShare = 1
	_, refusal := a.Place(now, req)
	require.NotNil(t, refusal, "the limits have just begun")
	now = now.Add(2 * time.Second)
	for range 2 {
		_, refusal := a.Place(now, req)
		require.Nil(t, refusal)
		now = now.Add(time.Millisecond)
	}
	_, refusal = a.Place(now, req)
	require.NotNil(t, refusal)
	require.Equal(t, ReasonLimited, refusal.Reason)
	now = now.Add(refusal.RetryAfter)
	_, refusal = a.Place(now, req)
	require.Nil(t, refusal, "the caller is served when it returns as told")
}

func TestUpstreamAsksOneInstanceToWait(t *testing.T) {
	a := newTestAllocator(2, 0)
	now := time.Unix(1000, 0)
	for id, wait := range map[identifier.UpstreamID]time.Duration{"u0": 3 * time.Second, "u1": 2 * time.Second} {
		u, _ := a.Entry(id)
		a.Notify(u, Notice{RetryAfter: wait, Limit: limiter.Limit{NamedAt: now}})
	}
	require.Len(t, a.Unusable(now, model), 2)
	_, refusal := a.Place(now, longPromptRequest(2, 3000))
	require.NotNil(t, refusal)
	require.Equal(t, ReasonWaiting, refusal.Reason)
	require.Equal(t, 2*time.Second, refusal.RetryAfter, "the earliest of them")
	_, refusal = a.PlaceFor(now, "other", "here", 1, longPromptRequest(2, 3000))
	require.Nil(t, refusal, "the other instance was not asked to wait")
	now = now.Add(2 * time.Second)
	place, refusal := a.Place(now, longPromptRequest(2, 3000))
	require.Nil(t, refusal)
	require.EqualValues(t, "u1", place.Upstream)
}
