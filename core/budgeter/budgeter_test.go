package budgeter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetriesOfAllInstancesStayWithinBudgetInEveryWindow(t *testing.T) {
	settings := Settings{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}
	const instances = 7
	var all []*Budgeter
	for range instances {
		b := NewBudgeter(settings)
		b.SetInstances(time.Now(), instances)
		all = append(all, b)
	}
	start := time.Now()
	var requests, retries []time.Duration
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < 40*time.Second; at += step {
		for i, b := range all {
			now := start.Add(at)
			// Requests alternate between even and odd instances every 5 s.
			if int(at/(5*time.Second))%2 == i%2 {
				b.CountRequest(now, "s")
				requests = append(requests, at)
			}
			for b.TryRetry(now, "s") {
				retries = append(retries, at)
			}
		}
	}
	for from := time.Duration(0); from < 30*time.Second; from += 500 * time.Millisecond {
		budget := settings.Ratio*float64(countInWindow(requests, from, settings.Window)) + settings.Extra
		require.LessOrEqual(t, float64(countInWindow(retries, from, settings.Window)), budget, from)
	}
	require.NotEmpty(t, retries)
}

func countInWindow(times []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// spend sends as many retries as the budget allows, and returns their number.
func spend(b *Budgeter, now time.Time) int {
	spent := 0
	for b.TryRetry(now, "s") {
		spent++
	}
	return spent
}

func TestServiceWithoutRequestsGetsItsShareOfExtra(t *testing.T) {
	b := NewBudgeter(Settings{Ratio: 0.2, Extra: 500, Window: 10 * time.Second})
	now := time.Now()
	require.Zero(t, spend(b, now), "the number of instances is not known")
	b.SetInstances(now, 5)
	require.Equal(t, 7, spend(b, now), "the process before may have spent the share")
	now = now.Add(10 * time.Second)
	require.Equal(t, 63, spend(b, now), "the whole share with what was spent at the start")
	require.Equal(t, 7, spend(b, now.Add(time.Second)), "retries no longer count after a window")
	require.Equal(t, 63, spend(b, now.Add(11*time.Second)))
}

func TestShareGrowsAWindowAfterInstancesHaveLeft(t *testing.T) {
	b := NewBudgeter(Settings{Extra: 500, Window: 10 * time.Second})
	now := time.Now()
	b.SetInstances(now, 5)
	now = now.Add(11 * time.Second)
	b.SetInstances(now, 1)
	require.Equal(t, 70, spend(b, now), "those that have left may have spent their shares")
	b.SetInstances(now.Add(5*time.Second), 2)
	now = now.Add(11 * time.Second)
	require.Equal(t, 70, spend(b, now))
	now = now.Add(11 * time.Second)
	require.Equal(t, 175, spend(b, now))
	b.SetInstances(now, 50)
	require.Zero(t, spend(b, now), "the share of those that come is theirs at once")
}

func TestSetSettingsKeepsRetryCounts(t *testing.T) {
	for _, c := range []struct {
		name    string
		changed Settings
		allowed bool
	}{
		{"larger budget", Settings{Extra: 100, Window: 10 * time.Second}, true},
		{"smaller budget", Settings{Extra: 1, Window: 10 * time.Second}, false},
		{"same budget with a longer window", Settings{Extra: 10, Window: 20 * time.Second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			b := NewBudgeter(Settings{Extra: 10, Window: 10 * time.Second})
			b.SetInstances(now, 1)
			now = now.Add(10 * time.Second)
			for b.TryRetry(now, "s") {
				now = now.Add(10 * time.Millisecond)
			}
			b.SetSettings(now, c.changed)
			require.Equal(t, c.allowed, b.TryRetry(now, "s"))
		})
	}
}
