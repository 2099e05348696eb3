package retrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetriesStayWithinBudget(t *testing.T) {
	r := NewRetrier(DefaultSettings())
	failure := Failure{Attempts: 1, Remaining: time.Second}
	granted := 0
	for range 100 {
		if r.TryRetry(failure) {
			granted++
		}
	}
	require.Equal(t, 20, granted)
	for range 100 {
		r.CountRequest()
	}
	granted = 0
	for r.TryRetry(failure) {
		granted++
	}
	require.InDelta(t, 15, granted, 1)
}

func TestRetryConditions(t *testing.T) {
	cases := []struct {
		name    string
		failure Failure
		want    bool
	}{
		{"before the deadline", Failure{Attempts: 1, Remaining: time.Second}, true},
		{"deadline passed", Failure{Attempts: 1}, false},
		{"too many attempts", Failure{Attempts: 4, Remaining: time.Second}, false},
		{"more attempts after one not executed", Failure{Attempts: 4, Remaining: time.Second, NotExecuted: true}, true},
		{"too many attempts after one not executed", Failure{Attempts: 12, Remaining: time.Second, NotExecuted: true}, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, NewRetrier(DefaultSettings()).TryRetry(c.failure), c.name)
	}
}

func TestHedgeConditions(t *testing.T) {
	slow := SlowAttempt{
		Urgent: true, Elapsed: 5 * time.Second, PredictedFirstToken: time.Second,
		EngineTime: time.Second, Completion: 2 * time.Second, Remaining: 4 * time.Second,
	}
	cases := []struct {
		name   string
		change func(*SlowAttempt)
		want   bool
	}{
		{"overdue", func(*SlowAttempt) {}, true},
		{"not urgent", func(s *SlowAttempt) { s.Urgent = false }, false},
		{"not overdue", func(s *SlowAttempt) { s.Elapsed = 4 * time.Second }, false},
		{"already hedged", func(s *SlowAttempt) { s.Hedged = true }, false},
		{"hedge takes too much engine time", func(s *SlowAttempt) { s.EngineTime = time.Minute }, false},
		{"hedge would miss the deadline", func(s *SlowAttempt) { s.Remaining = time.Second }, false},
	}
	for _, c := range cases {
		changed := slow
		c.change(&changed)
		require.Equal(t, c.want, NewRetrier(DefaultSettings()).TryHedge(changed), c.name)
	}
}
