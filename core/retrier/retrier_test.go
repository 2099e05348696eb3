package retrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetryKeepsToItsBudget(t *testing.T) {
	r := NewRetrier(DefaultSettings())
	failure := Failure{Started: 1, Remaining: time.Second}
	granted := 0
	for range 100 {
		if r.Retry(failure) {
			granted++
		}
	}
	require.Equal(t, 20, granted)
	for range 100 {
		r.Requested()
	}
	granted = 0
	for r.Retry(failure) {
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
		{"in time", Failure{Started: 1, Remaining: time.Second}, true},
		{"deadline passed", Failure{Started: 1}, false},
		{"too many attempts", Failure{Started: 4, Remaining: time.Second}, false},
		{"free attempts count less", Failure{Started: 4, Remaining: time.Second, Free: true}, true},
		{"free attempts end too", Failure{Started: 12, Remaining: time.Second, Free: true}, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, NewRetrier(DefaultSettings()).Retry(c.failure), c.name)
	}
}

func TestHedgeOnlyWhereItPays(t *testing.T) {
	slow := Slow{
		Urgent: true, Waited: 5 * time.Second, Predicted: time.Second,
		Occupation: time.Second, Finish: 2 * time.Second, Remaining: 4 * time.Second,
	}
	cases := []struct {
		name   string
		change func(*Slow)
		want   bool
	}{
		{"overdue", func(*Slow) {}, true},
		{"not urgent", func(s *Slow) { s.Urgent = false }, false},
		{"not overdue", func(s *Slow) { s.Waited = 4 * time.Second }, false},
		{"hedged already", func(s *Slow) { s.Hedged = true }, false},
		{"long work", func(s *Slow) { s.Occupation = time.Minute }, false},
		{"too late anyway", func(s *Slow) { s.Remaining = time.Second }, false},
	}
	for _, c := range cases {
		changed := slow
		c.change(&changed)
		require.Equal(t, c.want, NewRetrier(DefaultSettings()).Hedge(changed), c.name)
	}
}
