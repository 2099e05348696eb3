package governor

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

func TestScarcityIsLoggedWithTheLargestAccounts(t *testing.T) {
	log := &bytes.Buffer{}
	g := NewGovernor(Settings{
		Self:  elector.Member{Instance: "spool-1", StartedMs: 1},
		Retry: budgeter.Settings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, Allocator: allocator.DefaultSettings(),
	}, zerolog.New(log))
	now := time.Now()
	g.UpdateUpstreams(now, Origin{}, func(tr *tracker.Tracker) bool {
		return tr.Update(tracker.Entry{Upstream: "e1", Service: "model", Slots: 6, Role: tracker.RoleDecode}, 1)
	})
	for i := range 400 {
		caller := identifier.CallerID(fmt.Sprintf("account%02d", i%20))
		if i%2 == 0 {
			caller = "large"
		}
		g.Place(now, allocator.Request{
			Service: "model", Engine: true, Output: 2, Target: 200 * time.Millisecond, TimeToTarget: 200 * time.Millisecond,
			TimeToDeadline: time.Second, Caller: caller, Prompt: []allocator.PromptPart{{Hash: uint64(i), Tokens: 3000}},
		})
	}
	lines := func(event string) int { return strings.Count(log.String(), `"event":"`+event+`"`) }
	for range 20 {
		now = now.Add(60 * time.Millisecond)
		g.Expire(now)
	}
	require.Equal(t, 2, lines("serviceShared"), "one a second")
	line := log.String()[strings.Index(log.String(), "serviceShared"):]
	line = line[:strings.Index(line, "\n")]
	require.Contains(t, line, `["large:`)
	require.LessOrEqual(t, strings.Count(line, "account"), loggedShares)
	g.Expire(now.Add(10 * time.Second))
	g.Expire(now.Add(12 * time.Second))
	require.Equal(t, 1, lines("serviceUnshared"))
}
