package switcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

type faults struct{ count int }

func counter(f *faults) *int { return &f.count }

func TestTakeCountsDown(t *testing.T) {
	s := NewSwitches(faults{count: 2}, nil)
	require.Equal(t, []bool{true, true, false}, []bool{s.Take(counter), s.Take(counter), s.Take(counter)})
	require.Zero(t, s.Get().count)
}

func TestSetNotifiesAndApplies(t *testing.T) {
	var applied faults
	s := NewSwitches(faults{}, func(f faults) { applied = f })
	changed := s.Changed()
	s.Set(faults{count: 3})
	<-changed
	require.Equal(t, faults{count: 3}, applied)
}

func TestSleep(t *testing.T) {
	cases := []struct {
		name    string
		delayMS int
		timeout time.Duration
		want    error
		elapsed time.Duration
	}{
		{"no delay", 0, time.Second, nil, 0},
		{"delay", 500, time.Second, nil, 500 * time.Millisecond},
		{"context ends first", 1500, time.Second, context.DeadlineExceeded, time.Second},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			start := time.Now()
			require.ErrorIs(t, Sleep(ctx, c.delayMS), c.want, c.name)
			require.Equal(t, c.elapsed, time.Since(start), c.name)
		})
	}
}
