package governor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// Each change of a list of 3,000 upstreams wrote a line of 100 KB.
func TestChangeOfALongListIsLoggedWithoutTheRest(t *testing.T) {
	var written bytes.Buffer
	g := NewGovernor(Settings{
		Retry: budgeter.Settings{Window: time.Second}, Allocator: allocator.DefaultSettings(),
	}, zerolog.New(&written))
	now := time.Now()
	// update applies a change and returns what was logged of it.
	update := func(change func(*tracker.Tracker) bool) (entries, removed []string, upstreams int) {
		written.Reset()
		g.UpdateUpstreams(now, Origin{}, change)
		for line := range bytes.Lines(written.Bytes()) {
			var listed struct {
				Event            string
				Entries, Removed []string
				Upstreams        int
			}
			require.NoError(t, json.Unmarshal(line, &listed))
			if listed.Event == "upstreamsListed" {
				return listed.Entries, listed.Removed, listed.Upstreams
			}
		}
		return nil, nil, 0
	}
	entry := func(n int, incarnation uint64) tracker.Entry {
		return tracker.Entry{
			Upstream: identifier.UpstreamID(fmt.Sprintf("u%04d", n)), Service: "s", Slots: 1, Incarnation: incarnation, Version: "v1",
		}
	}
	entries, removed, upstreams := update(func(list *tracker.Tracker) bool {
		for n := range 3000 {
			list.Update(entry(n, 1), uint64(n))
		}
		return true
	})
	require.Len(t, entries, 3000)
	require.Empty(t, removed)
	require.Equal(t, 3000, upstreams)
	entries, removed, upstreams = update(func(list *tracker.Tracker) bool {
		return list.Update(entry(17, 2), 3000) && list.Update(entry(3000, 1), 3001) && list.Delete(now, "u0042", 3002)
	})
	require.Equal(t, []string{"u0017:none:ready:2:v1", "u3000:none:ready:1:v1"}, entries)
	require.Equal(t, []string{"u0042"}, removed)
	require.Equal(t, 3000, upstreams)
}
