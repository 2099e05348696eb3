package generator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/batcher"
	"rosemaryspool.example/wire/messenger"
)

// newTimedEngine returns an engine with decode steps of 10 ms for one sequence.
func newTimedEngine(edit func(*Settings)) *Engine {
	settings := Settings{
		ID: "engine-1", OrderDowntime: 4 * time.Second, OrderGracePeriod: time.Second,
		Simulation: batcher.Settings{
			Model: "lume-llm", PrefillPerSecond: 1000, DecodeBase: 9 * time.Millisecond, DecodePerSequence: time.Millisecond,
		},
	}
	edit(&settings)
	return NewEngine(settings)
}

func TestCompleteTakesSimulatedTime(t *testing.T) {
	cases := []struct {
		name  string
		speed float64
		want  time.Duration
	}{
		{"real time", 1, 100*time.Millisecond + 9*10*time.Millisecond},
		{"ten times faster", 10, (100*time.Millisecond + 9*10*time.Millisecond) / 10},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			e := newTimedEngine(func(s *Settings) { s.Speed = c.speed })
			defer e.Close()
			start := time.Now()
			request := completer.Request{Attempt: "a", Model: "lume-llm", Prompt: string(make([]byte, 400)), MaxOutput: 10}
			_, err := e.Complete(t.Context(), request, func(completer.Chunk) {})
			require.NoError(t, err)
			require.Equal(t, c.want, time.Since(start), c.name)
		})
	}
}

func TestModelLoadRejectsWorkDuringDowntime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTimedEngine(func(*Settings) {})
		defer e.Close()
		order := &messenger.EngineOrder{
			OrderId: "o1", Engine: "engine-1", Kind: messenger.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "prova-llm", Version: "3",
		}
		_, err := e.Order(t.Context(), &messenger.OrderRequest{Order: order, Token: 1}, time.Now().Add(time.Second))
		require.NoError(t, err)
		time.Sleep(4*time.Second - time.Millisecond)
		request := completer.Request{Attempt: "a", Model: "lume-llm", Prompt: "p", MaxOutput: 1}
		_, err = e.Complete(t.Context(), request, func(completer.Chunk) {})
		require.ErrorIs(t, err, completer.ErrRejected, "during the downtime")
		time.Sleep(time.Millisecond)
		synctest.Wait()
		request.Model = "prova-llm"
		_, err = e.Complete(t.Context(), request, func(completer.Chunk) {})
		require.NoError(t, err)
		report, err := e.Report(t.Context())
		require.NoError(t, err)
		require.Equal(t, []string{"prova-llm", "3", "o1"}, []string{report.Model, report.Version, report.LastOrderId})
	})
}

func TestCrashAbortsOrderInProgress(t *testing.T) {
	cases := []struct {
		name  string
		crash time.Duration
		role  string
		last  string
	}{
		{"crash during the role change", time.Second, "mixed", ""},
		{"crash after the role change", 5 * time.Second, "decode", "o1"},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			e := newTimedEngine(func(*Settings) {})
			defer e.Close()
			order := &messenger.EngineOrder{
				OrderId: "o1", Engine: "engine-1", Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: "decode",
			}
			_, err := e.Order(t.Context(), &messenger.OrderRequest{Order: order, Token: 5}, time.Now().Add(time.Second))
			require.NoError(t, err)
			time.Sleep(c.crash)
			e.Switches.Set(Faults{Crashed: true})
			e.Switches.Set(Faults{})
			report, err := e.Report(t.Context())
			require.NoError(t, err)
			require.False(t, report.Changing, c.name)
			require.Equal(t, []string{c.role, c.last}, []string{report.Role, report.LastOrderId}, c.name)
			require.EqualValues(t, 5, report.Token, "the token survives the crash")
		})
	}
}

func TestOrderDropsWorkAfterGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTimedEngine(func(*Settings) {})
		defer e.Close()
		start := time.Now()
		order := &messenger.EngineOrder{
			OrderId: "o1", Engine: "engine-1", Kind: messenger.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: "decode",
		}
		ordered := make(chan error, 1)
		request := completer.Request{Attempt: "a", Model: "lume-llm", Prompt: "p", MaxOutput: 1e6}
		_, err := e.Complete(t.Context(), request, func(completer.Chunk) {
			if len(ordered) > 0 {
				return
			}
			_, err := e.Order(t.Context(), &messenger.OrderRequest{Order: order, Token: 1}, time.Now().Add(time.Second))
			ordered <- err
		})
		require.ErrorIs(t, err, completer.ErrTruncated)
		require.NoError(t, <-ordered)
		require.InDelta(t, time.Second, time.Since(start), float64(50*time.Millisecond))
	})
}

func TestReportsAndCacheEventsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTimedEngine(func(s *Settings) {
			s.ReportLag, s.CacheEventLag = time.Minute, time.Minute
			s.Simulation.ChunkTokens = identifier.BlockTokens
		})
		defer e.Close()
		before, err := e.Report(t.Context())
		require.NoError(t, err)
		prompt := string(make([]byte, int(identifier.BlockTokens)*4))
		result, err := e.Complete(t.Context(), completer.Request{
			Attempt: "a", Model: "lume-llm", Prompt: prompt, MaxOutput: 2,
		}, func(completer.Chunk) {})
		require.NoError(t, err)
		late, err := e.Report(t.Context())
		require.NoError(t, err)
		require.Equal(t, before.Sequence, late.Sequence, "the report is cached for the lag")
		require.Greater(t, result.Report.Sequence, late.Sequence, "the report in the response is current")
		events, err := e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Empty(t, events.Events)
		time.Sleep(time.Minute)
		events, err = e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Len(t, events.Events, 1)
	})
}
