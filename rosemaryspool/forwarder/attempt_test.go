package forwarder

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/rosemaryspool/connector"
)

func TestLongestPauseBetweenEvents(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name   string
		events []time.Duration
		want   time.Duration
	}{
		{"one event", []time.Duration{5 * time.Millisecond}, 0},
		{"pause between events", []time.Duration{
			5 * time.Millisecond, 10 * time.Millisecond, 210 * time.Millisecond, 215 * time.Millisecond,
		}, 200 * time.Millisecond},
		{"pause before the end of the stream", []time.Duration{
			5 * time.Millisecond, 10 * time.Millisecond, 3010 * time.Millisecond,
		}, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a attempt
			for _, at := range c.events {
				a.recordActivity(start.Add(at))
			}
			require.Equal(t, c.want, a.longestPause)
		})
	}
}

func TestOutcomesOfFailedExchanges(t *testing.T) {
	left, leave := context.WithCancel(t.Context())
	leave()
	aborted := fmt.Errorf("%w: %w", connector.ErrDialAborted, context.Canceled)
	for _, c := range []struct {
		name    string
		request context.Context
		err     error
		took    time.Duration
		want    allocator.Outcome
	}{
		{"no free connection", t.Context(), connector.ErrNoConnection, 0, allocator.OutcomeCancelled},
		{"refused", t.Context(), connector.ErrRefused, 0, allocator.OutcomeUnreachable},
		{"the caller has left", left, aborted, time.Second, allocator.OutcomeCancelled},
		{"a connection that does not open", t.Context(), aborted, minOverdue, allocator.OutcomeUnreachable},
		{"no time to open a connection", t.Context(), aborted, minOverdue / 2, allocator.OutcomeCancelled},
		{"broken off", t.Context(), errors.New("EOF"), 0, allocator.OutcomeFailed},
	} {
		require.Equal(t, c.want, failureOutcome(c.request, c.err, c.took), c.name)
	}
}
