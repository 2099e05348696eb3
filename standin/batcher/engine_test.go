package batcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// testSettings uses round numbers: 1,000 prefill tokens a second, and a decode step of 10 ms plus 1 ms for each
// sequence.
func testSettings(role identifier.Role) Settings {
	return Settings{
		Role: role, PrefillPerSecond: 1000, DecodeBase: 10 * time.Millisecond, DecodePerSequence: time.Millisecond,
		MaxBatch: 4, ChunkTokens: 100, CacheTokens: 300, BlockTokens: 100, KVTransferBase: 20 * time.Millisecond,
		KVTransferPerThousand: time.Millisecond, ExportRetention: time.Second, TokensPerEvent: 1,
	}
}

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func newSequence(attempt string, tokens, output identifier.Tokens) Sequence {
	return Sequence{Attempt: identifier.AttemptID(attempt), Prompt: tokens, Output: output, MaxOutput: output}
}

// finishTimes returns when each attempt finished, in milliseconds after start.
func finishTimes(e *Engine, until time.Time) map[string]int {
	ends := map[string]int{}
	for _, event := range e.Advance(until) {
		if f, ok := event.(Finished); ok {
			ends[string(f.Attempt)] = int(f.At.Sub(start).Milliseconds())
		}
	}
	return ends
}

func TestStepTimes(t *testing.T) {
	cases := []struct {
		name      string
		slowness  float64
		sequences []Sequence
		want      map[string]int
	}{
		{"the first token needs only the prefill", 1, []Sequence{newSequence("a", 250, 1)}, map[string]int{"a": 250}},
		{"two decode steps of a batch of one", 1, []Sequence{newSequence("a", 50, 3)}, map[string]int{"a": 72}},
		{"short prompts share a chunk", 1, []Sequence{
			newSequence("x", 100, 1), newSequence("a", 50, 1), newSequence("b", 50, 1),
		}, map[string]int{"x": 100, "a": 200, "b": 200}},
		{"prefill and decode in one step add up", 1, []Sequence{
			newSequence("a", 100, 2), newSequence("b", 100, 1),
		}, map[string]int{"a": 211, "b": 211}},
		{"slowness 3 triples the time", 3, []Sequence{newSequence("a", 50, 3)}, map[string]int{"a": 216}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := NewEngine(testSettings(identifier.RoleMixed))
			e.SetSlowness(start, c.slowness)
			for _, s := range c.sequences {
				require.NoError(t, e.Submit(start, s))
			}
			require.Equal(t, c.want, finishTimes(e, ms(5000)))
			require.True(t, e.Idle())
		})
	}
}

func TestBatchLimit(t *testing.T) {
	e := NewEngine(testSettings(identifier.RoleMixed))
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		require.NoError(t, e.Submit(start, newSequence(name, 10, 20)))
	}
	e.Advance(ms(150))
	load := e.Load(ms(150))
	require.Equal(t, 4, load.Running)
	require.Equal(t, 1, load.Waiting)
	require.Len(t, finishTimes(e, ms(5000)), 5)
}

func TestQueueOrdersByPriorityThenArrival(t *testing.T) {
	e := NewEngine(testSettings(identifier.RoleMixed))
	first, low, high, highLater :=
		newSequence("first", 100, 1), newSequence("low", 100, 1), newSequence("high", 100, 1), newSequence("later", 100, 1)
	high.Priority, highLater.Priority = 5, 5
	for i, s := range []Sequence{first, low, high, highLater} {
		require.NoError(t, e.Submit(ms(i), s))
	}
	require.Equal(t, map[string]int{"first": 100, "high": 200, "later": 300, "low": 400}, finishTimes(e, ms(1000)))
}

func TestCachedPromptIsTheLongestCachedPrefix(t *testing.T) {
	cases := []struct {
		name   string
		prompt []identifier.PrefixHash
		want   identifier.Tokens
	}{
		{"complete prefix cached, but the last token is always computed", []identifier.PrefixHash{1, 2}, 199},
		{"only the first block in common", []identifier.PrefixHash{1, 9}, 100},
		{"first block not cached, so the second does not count", []identifier.PrefixHash{9, 2}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := NewEngine(testSettings(identifier.RoleMixed))
			seed := newSequence("seed", 200, 1)
			seed.Prefix = []identifier.PrefixHash{1, 2}
			require.NoError(t, e.Submit(start, seed))
			e.Advance(ms(500))
			s := newSequence("a", 200, 1)
			s.Prefix = c.prompt
			require.NoError(t, e.Submit(ms(500), s))
			events := e.Advance(ms(1000))
			require.Equal(t, c.want, events[len(events)-1].(Finished).CachedPrompt)
		})
	}
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newCache(2)
	c.store(1)
	c.store(2)
	c.markUsed([]identifier.PrefixHash{1})
	c.store(3)
	c.flush()
	require.Equal(t, []CacheEvent{
		{Sequence: 1, Stored: []identifier.PrefixHash{1, 2, 3}, Evicted: []identifier.PrefixHash{2}},
	}, c.takeEvents())
	require.Equal(t, 1, c.lookup([]identifier.PrefixHash{1, 2}))
	c.clear()
	require.Equal(t, []CacheEvent{{Sequence: 2, Cleared: true}}, c.takeEvents())
	require.Zero(t, c.lookup([]identifier.PrefixHash{1}))
}

func TestCancelFreesBatchSlot(t *testing.T) {
	e := NewEngine(testSettings(identifier.RoleMixed))
	require.NoError(t, e.Submit(start, newSequence("a", 1000, 5)))
	require.NoError(t, e.Submit(start, newSequence("b", 100, 1)))
	e.Cancel(ms(150), "a")
	require.Equal(t, map[string]int{"b": 300}, finishTimes(e, ms(5000)))
	require.True(t, e.Idle())
}

func TestResumeSkipsExistingOutput(t *testing.T) {
	e := NewEngine(testSettings(identifier.RoleMixed))
	s := newSequence("a", 100, 30)
	s.SkipOutput = 28
	require.NoError(t, e.Submit(start, s))
	events := e.Advance(ms(1000))
	require.Equal(t, Finished{At: ms(128 + 11), Attempt: "a", Output: 2}, events[len(events)-1])
}

func TestKVTransferFromPrefillToDecodeEngine(t *testing.T) {
	prefill, decode := NewEngine(testSettings(identifier.RolePrefill)), NewEngine(testSettings(identifier.RoleDecode))
	s := newSequence("a", 100, 3)
	require.ErrorIs(t, prefill.Submit(start, s), ErrRole, "a response of three tokens cannot finish on a prefill engine")
	require.ErrorIs(t, decode.Submit(start, s), ErrRole, "a decode engine runs no prefill")
	s.Export = true
	require.NoError(t, prefill.Submit(start, s))
	require.Equal(t, []Event{
		TokensProduced{At: ms(100), Attempt: "a", Output: 1},
		PrefillExported{At: ms(100), Attempt: "a", Output: 1},
	}, prefill.Advance(ms(100)))
	require.NoError(t, prefill.TakeExport(ms(101), "a"))
	require.ErrorIs(t, prefill.TakeExport(ms(101), "a"), ErrNoExport)
	s.Export, s.Import, s.SkipOutput = false, true, 1
	require.NoError(t, decode.Submit(ms(101), s))
	require.Equal(t, map[string]int{"a": 101 + 20 + 2*11}, finishTimes(decode, ms(5000)))
}

func TestPrefillEngineFinishesSingleTokenResponse(t *testing.T) {
	e := NewEngine(testSettings(identifier.RolePrefill))
	s := newSequence("a", 100, 1)
	s.MaxOutput, s.Export = 3, true
	require.NoError(t, e.Submit(start, s))
	require.Equal(t, map[string]int{"a": 100}, finishTimes(e, ms(500)))
	require.ErrorIs(t, e.TakeExport(ms(500), "a"), ErrNoExport)
}

func TestRoleChange(t *testing.T) {
	cases := []struct {
		name        string
		gracePeriod time.Duration
		dropped     bool
		resumesAt   int
	}{
		{"drains within the grace period", time.Second, false, 111 + 400},
		{"drops running sequences when the grace period is over", 0, true, 50 + 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := NewEngine(testSettings(identifier.RoleMixed))
			require.NoError(t, e.Submit(start, newSequence("a", 100, 2)))
			require.NoError(t, e.ChangeRole(ms(50), identifier.RoleDecode, 400*time.Millisecond, c.gracePeriod))
			require.ErrorIs(t, e.Submit(ms(60), newSequence("b", 10, 1)), ErrChanging)
			require.True(t, e.Load(ms(60)).Changing)
			events := e.Advance(ms(1000))
			require.Equal(t, RoleChanged{At: ms(c.resumesAt), Role: identifier.RoleDecode}, events[len(events)-1])
			_, dropped := events[0].(Dropped)
			require.Equal(t, c.dropped, dropped)
			require.False(t, e.Load(ms(1000)).Changing)
		})
	}
}

func TestCrashDropsSequencesAndClearsCache(t *testing.T) {
	e := NewEngine(testSettings(identifier.RoleMixed))
	s := newSequence("a", 100, 50)
	s.Prefix = []identifier.PrefixHash{1}
	require.NoError(t, e.Submit(start, s))
	e.Advance(ms(111))
	e.Crash(ms(120))
	require.Equal(t, []Event{Dropped{At: ms(120), Attempt: "a", Output: 2, Cause: CauseCrash}}, e.Advance(ms(200)))
	require.ErrorIs(t, e.Submit(ms(200), s), ErrDown)
	e.Restart(ms(300))
	require.NoError(t, e.Submit(ms(300), newSequence("b", 100, 1)))
	require.Equal(t, map[string]int{"b": 400}, finishTimes(e, ms(1000)))
	require.Zero(t, e.cache.lookup(s.Prefix))
}

func TestLoadReportsQueuesAndObservedRates(t *testing.T) {
	e := NewEngine(testSettings(identifier.RoleMixed))
	require.NoError(t, e.Submit(start, newSequence("a", 250, 10)))
	require.NoError(t, e.Submit(start, newSequence("b", 100, 10)))
	first := e.Load(ms(150))
	require.Equal(t, identifier.Tokens(150+100), first.QueuedPrefill)
	require.Equal(t, identifier.Tokens(20), first.PendingOutput)
	require.Equal(t, first.Sequence+1, e.Load(ms(150)).Sequence)
	e.SetSlowness(ms(150), 3)
	e.Advance(ms(3000))
	slow := e.Load(ms(3000))
	require.Less(t, slow.PrefillPerSecond, first.PrefillPerSecond)
	require.Greater(t, slow.DecodeStep, first.DecodeStep)
}
