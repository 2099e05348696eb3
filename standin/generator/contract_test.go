package generator

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/adaptor/director"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/batcher"
	"rosemaryspool.example/standin/server"
	"rosemaryspool.example/wire/messenger"
)

const (
	// testSpeed runs 1,000 simulated seconds in one second.
	testSpeed = 1000
	// farFuture is a duration longer than any test.
	farFuture = 10_000 * time.Hour
)

// testEngine is a stand-in engine with its two interfaces, called directly or through the adaptors over TCP.
type testEngine struct {
	standIn     *Engine
	completions completer.Engine
	orders      director.Engine
}

func newTestEngine(t *testing.T, overTCP bool) testEngine {
	t.Helper()
	standIn := NewEngine(Settings{
		ID: "engine-1", Version: "1", ChecksTokens: true, Speed: testSpeed, OrderDowntime: farFuture,
		Simulation: batcher.Settings{Model: "prova-llm"},
	})
	if !overTCP {
		t.Cleanup(standIn.Close)
		return testEngine{standIn, standIn, standIn}
	}
	s, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: standIn.Handler()})
	require.NoError(t, err)
	t.Cleanup(func() {
		standIn.Close()
		s.Close()
	})
	return testEngine{standIn, completer.NewClient(s.URL()), director.NewClient(s.URL())}
}

func testRequest() completer.Request {
	return completer.Request{Attempt: "attempt-1", Model: "prova-llm", Prompt: "crew file", MaxOutput: 8}
}

// complete runs an attempt and returns the delivered text with its token count.
func (s testEngine) complete(
	ctx context.Context, request completer.Request,
) (string, identifier.Tokens, completer.Result, error) {
	text, tokens := "", identifier.Tokens(0)
	result, err := s.completions.Complete(ctx, request, func(p completer.Chunk) {
		text += p.Text
		tokens += p.Tokens
	})
	return text, tokens, result, err
}

func TestFailedAttemptContract(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		edit   func(r *completer.Request)
		want   error
		// delivered counts the tokens that arrive before the failure.
		delivered identifier.Tokens
		hasLoad   bool
	}{
		{"engine rejects work", Faults{RejectWork: true}, nil, completer.ErrRejected, 0, true},
		{"draining", Faults{Draining: true}, nil, completer.ErrRejected, 0, true},
		{"leaving", Faults{Leaving: true}, nil, completer.ErrRejected, 0, true},
		{"other model loaded", Faults{}, func(r *completer.Request) { r.Model = "lume-llm" }, completer.ErrRejected, 0, true},
		{"output limit zero", Faults{}, func(r *completer.Request) { r.MaxOutput = 0 }, completer.ErrInvalid, 0, true},
		{"resume text of another response", Faults{}, func(r *completer.Request) {
			r.Resume, r.ResumeTokens = "zzz ", 1
		}, completer.ErrInvalid, 0, true},
		{"response of another attempt", Faults{CrossAnswers: 1}, nil, completer.ErrMismatched, 0, false},
		{"stream truncated", Faults{BreakStreams: 1, BreakAfterTokens: 3}, nil, completer.ErrTruncated, 3, false},
		{"end mark missing after all tokens", Faults{OmitEndMarks: 1}, nil, completer.ErrTruncated, 8, false},
		{"crashed", Faults{Crashed: true}, nil, completer.ErrTruncated, 0, false},
	}
	for _, c := range cases {
		for _, overTCP := range []bool{false, true} {
			s := newTestEngine(t, overTCP)
			s.standIn.Switches.Set(c.faults)
			request := testRequest()
			if c.edit != nil {
				c.edit(&request)
			}
			_, tokens, result, err := s.complete(t.Context(), request)
			require.ErrorIs(t, err, c.want, c.name)
			require.Equal(t, c.delivered, tokens, c.name)
			require.Equal(t, c.hasLoad, result.Report != nil, c.name)
		}
	}
}

func TestCompleteResponseContract(t *testing.T) {
	for _, overTCP := range []bool{false, true} {
		s := newTestEngine(t, overTCP)
		request := testRequest()
		request.Prompt += " answerTokens=5"
		text, tokens, result, err := s.complete(t.Context(), request)
		require.NoError(t, err)
		require.Len(t, text, 20)
		require.EqualValues(t, 5, tokens)
		require.EqualValues(t, 5, result.Output)
		require.Equal(t, completer.FinishStop, result.FinishReason)
		require.Equal(t, "engine-1", result.Report.Engine)

		request.Attempt, request.Resume, request.ResumeTokens = "attempt-2", text[:12], 3
		rest, _, _, err := s.complete(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, text[12:], rest, "a resumed response continues after the last token")

		request.Attempt, request.Resume, request.ResumeTokens = "attempt-3", text, 5
		rest, _, result, err = s.complete(t.Context(), request)
		require.NoError(t, err)
		require.Empty(t, rest, "only the end mark is sent")
		require.Equal(t, completer.FinishStop, result.FinishReason)
	}
}

// TestCancelContract polls until the engine reports no running attempt, so it hangs if a cancelled one continues.
func TestCancelContract(t *testing.T) {
	for _, overTCP := range []bool{false, true} {
		s := newTestEngine(t, overTCP)
		ctx, cancel := context.WithCancel(t.Context())
		request := testRequest()
		request.MaxOutput = 1e9
		_, err := s.completions.Complete(ctx, request, func(completer.Chunk) { cancel() })
		require.ErrorIs(t, err, completer.ErrTruncated)
		for running := uint32(1); running > 0; runtime.Gosched() {
			report, err := s.orders.Report(t.Context())
			require.NoError(t, err)
			running = report.Running
		}
	}
}

// orderCase is one order of a test case with the expected response.
type orderCase struct {
	id       string
	engine   string
	kind     messenger.OrderKind
	token    uint64
	accepted bool
	detail   string
}

const (
	fence = messenger.OrderKind_ORDER_KIND_FENCE
	role  = messenger.OrderKind_ORDER_KIND_CHANGE_ROLE
	model = messenger.OrderKind_ORDER_KIND_LOAD_MODEL
)

func TestOrderContract(t *testing.T) {
	cases := []struct {
		name   string
		orders []orderCase
		// token is the highest fencing token of the final report; last is the order in progress.
		token uint64
		last  string
	}{
		{"role change", []orderCase{{"o1", "engine-1", role, 7, true, ""}}, 7, "o1"},
		{"model load", []orderCase{{"o1", "engine-1", model, 7, true, ""}}, 7, "o1"},
		{"fence raises only the token", []orderCase{{"o1", "engine-1", fence, 9, true, ""}}, 9, ""},
		{"outdated token", []orderCase{
			{"o1", "engine-1", fence, 9, true, ""},
			{"o2", "engine-1", role, 8, false, "old fencing token"},
		}, 9, ""},
		{"order for another engine", []orderCase{{"o1", "engine-2", role, 7, false, "order for another engine"}}, 0, ""},
		{"repeated order", []orderCase{
			{"o1", "engine-1", role, 7, true, ""},
			{"o1", "engine-1", role, 7, true, ""},
		}, 7, "o1"},
		{"order while another is in progress", []orderCase{
			{"o1", "engine-1", role, 7, true, ""},
			{"o2", "engine-1", role, 8, false, batcher.ErrChanging.Error()},
		}, 8, "o1"},
	}
	for _, c := range cases {
		for _, overTCP := range []bool{false, true} {
			s := newTestEngine(t, overTCP)
			for _, o := range c.orders {
				reply, err := s.orders.Order(t.Context(), o.request(), time.Now().Add(farFuture))
				require.NoError(t, err, c.name)
				require.Equal(t, o.accepted, reply.Accepted, c.name)
				require.Equal(t, o.detail, reply.Detail, c.name)
			}
			report, err := s.orders.Report(t.Context())
			require.NoError(t, err)
			require.Equal(t, c.token, report.Token, c.name)
			require.Equal(t, c.last, report.LastOrderId, c.name)
			require.Equal(t, c.last != "", report.Changing, c.name)
		}
	}
}

func TestEngineWithoutTokenCheckContract(t *testing.T) {
	for _, overTCP := range []bool{false, true} {
		s := newTestEngine(t, overTCP)
		s.standIn.settings.ChecksTokens = false
		orders := []orderCase{
			{"o1", "engine-1", fence, 9, true, ""},
			{"o2", "engine-1", role, 8, true, ""},
			{"o3", "engine-1", role, 9, false, batcher.ErrChanging.Error()},
		}
		for _, o := range orders {
			reply, err := s.orders.Order(t.Context(), o.request(), time.Now().Add(farFuture))
			require.NoError(t, err)
			require.Equal(t, o.accepted, reply.Accepted, o.id)
			require.EqualValues(t, 9, reply.Token, o.id)
		}
		conflicts := []bool{}
		for _, j := range s.standIn.Journal() {
			conflicts = append(conflicts, j.Conflict)
		}
		require.Equal(t, []bool{false, false, true}, conflicts,
			"the journal marks an order that arrives while another is in progress")
	}
}

func (o orderCase) request() *messenger.OrderRequest {
	return &messenger.OrderRequest{Token: o.token, Order: &messenger.EngineOrder{
		OrderId: o.id, Engine: o.engine, Kind: o.kind, Role: "prefill", Model: "prova-llm", Version: "2",
	}}
}

func TestFailedOrderContract(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		writeBy time.Time
		want    error
		// received is the number of orders in the engine's journal.
		received int
	}{
		{"response lost", Faults{LoseOrderAnswers: 1}, time.Now().Add(farFuture), director.ErrOutcomeUnknown, 1},
		{"crashed", Faults{Crashed: true}, time.Now().Add(farFuture), director.ErrOutcomeUnknown, 0},
		{"write deadline exceeded", Faults{}, time.Now().Add(-time.Second), director.ErrNotSent, 0},
		{"no write deadline", Faults{}, time.Time{}, director.ErrNotSent, 0},
	}
	for _, c := range cases {
		for _, overTCP := range []bool{false, true} {
			s := newTestEngine(t, overTCP)
			s.standIn.Switches.Set(c.faults)
			o := orderCase{id: "o1", engine: "engine-1", kind: role, token: 7}
			_, err := s.orders.Order(t.Context(), o.request(), c.writeBy)
			require.ErrorIs(t, err, c.want, c.name)
			require.Len(t, s.standIn.Journal(), c.received, c.name)
		}
	}
}

func TestCacheEventContract(t *testing.T) {
	block := make([]byte, int(identifier.BlockTokens)*4)
	for _, overTCP := range []bool{false, true} {
		s := newTestEngine(t, overTCP)
		s.standIn.Switches.Set(Faults{LoseCacheEvents: 1})
		for i, start := range []byte("ab") {
			block[0] = start
			request := testRequest()
			request.Attempt = identifier.AttemptID("attempt-" + string(rune('1'+i)))
			request.Prompt = string(block)
			_, _, _, err := s.complete(t.Context(), request)
			require.NoError(t, err)
		}
		events, err := s.orders.CacheEvents(t.Context(), 1)
		require.NoError(t, err)
		require.Len(t, events.Events, 1)
		require.EqualValues(t, 2, events.Events[0].Sequence, "the lost event leaves a gap in the sequence")
		require.Len(t, events.Events[0].Stored, 1)
		require.EqualValues(t, 3, events.NextSequence)
		events, err = s.orders.CacheEvents(t.Context(), 3)
		require.NoError(t, err)
		require.Empty(t, events.Events)
	}
}
