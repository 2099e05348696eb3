package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/batcher"
	"rosemaryspool.example/standin/generator"
)

// testSpeed runs 1,000 simulated seconds in one second.
const testSpeed = 1000

// farFuture is a duration longer than any test.
const farFuture = 10_000 * time.Hour

func testSettings() Settings {
	settings := Settings{Speed: testSpeed, Services: []Service{{ID: "atolye-1", DataCentre: "marmara-a"}}}
	roles := []identifier.Role{identifier.RoleMixed, identifier.RolePrefill, identifier.RoleDecode}
	for _, r := range roles {
		engine := generator.Settings{ID: identifier.UpstreamID(r), Simulation: batcher.Settings{
			Role: r, Model: "prova-llm", ExportRetention: farFuture,
		}}
		settings.Engines = append(settings.Engines, Engine{Settings: engine, DataCentre: "marmara-b"})
	}
	return settings
}

func TestStartListsEveryUpstream(t *testing.T) {
	h, err := Start(t.Context(), testSettings())
	require.NoError(t, err)
	defer h.Close()
	members, err := lister.NewClient(h.ListURL).Members(t.Context())
	require.NoError(t, err)
	require.Equal(t, []lister.Member{
		{ID: "atolye-1", Kind: lister.KindService, Address: h.Services["atolye-1"].URL, DataCentre: "marmara-a"},
		{ID: "decode", Kind: lister.KindEngine, Address: h.Engines["decode"].URL, DataCentre: "marmara-b"},
		{ID: "mixed", Kind: lister.KindEngine, Address: h.Engines["mixed"].URL, DataCentre: "marmara-b"},
		{ID: "prefill", Kind: lister.KindEngine, Address: h.Engines["prefill"].URL, DataCentre: "marmara-b"},
	}, members)
}

func TestSplitResponseEqualsUnsplitResponse(t *testing.T) {
	h, err := Start(t.Context(), testSettings())
	require.NoError(t, err)
	defer h.Close()
	request := completer.Request{Attempt: "a1", Model: "prova-llm", Prompt: "measure the sleeve", MaxOutput: 12}
	unsplit, result := complete(t, h, "mixed", request)
	require.Equal(t, completer.Result{Output: 12, FinishReason: completer.FinishLength, Report: result.Report}, result)

	request.Attempt, request.ExportKV = "a2", true
	prefix, result := complete(t, h, "prefill", request)
	require.Equal(t, completer.FinishExported, result.FinishReason)
	request.Attempt, request.ExportKV = "a3", false
	request.Resume, request.ResumeTokens = prefix, result.Output
	request.ImportFrom = &completer.KVSource{Address: h.Engines["prefill"].URL, Attempt: "a2"}
	rest, _ := complete(t, h, "decode", request)
	require.Equal(t, unsplit, prefix+rest)

	request.Attempt = "a4"
	_, err = completer.NewClient(h.Engines["decode"].URL).Complete(t.Context(), request, func(completer.Chunk) {})
	require.ErrorIs(t, err, completer.ErrRejected, "an export can be imported only once")
}

func TestSingleTokenResponseIsNotExported(t *testing.T) {
	h, err := Start(t.Context(), testSettings())
	require.NoError(t, err)
	defer h.Close()
	request := completer.Request{
		Attempt: "a1", Model: "prova-llm", Prompt: "measure the sleeve", MaxOutput: 1, ExportKV: true,
	}
	text, result := complete(t, h, "prefill", request)
	require.Len(t, text, 4)
	require.Equal(t, completer.FinishLength, result.FinishReason)

	request.Attempt, request.ExportKV = "a2", false
	request.ImportFrom = &completer.KVSource{Address: h.Engines["prefill"].URL, Attempt: "a1"}
	_, err = completer.NewClient(h.Engines["decode"].URL).Complete(t.Context(), request, func(completer.Chunk) {})
	require.ErrorIs(t, err, completer.ErrRejected, "no export was kept")
}

// complete runs a request on an engine over TCP and returns the text and the result.
func complete(
	t *testing.T, h *Host, engine identifier.UpstreamID, request completer.Request,
) (string, completer.Result) {
	t.Helper()
	text := ""
	client := completer.NewClient(h.Engines[engine].URL)
	result, err := client.Complete(t.Context(), request, func(p completer.Chunk) { text += p.Text })
	require.NoError(t, err)
	require.Len(t, text, int(result.Output)*4)
	return text, result
}
