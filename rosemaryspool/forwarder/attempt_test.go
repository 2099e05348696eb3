package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
