package completer

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

// events joins event data to a server-sent event stream.
func events(data ...string) string { return "data: " + strings.Join(data, "\n\ndata: ") + "\n\n" }

func TestReadStream(t *testing.T) {
	const (
		text  = `{"id":"a1","choices":[{"text":"fits well"}]}`
		end   = `{"id":"a1","choices":[{"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":9,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":4}},"engineReport":{"engine":"engine-1","sequence":"12"}}`
		plain = `{"id":"a1","choices":[{"text":"","finish_reason":"length"}]}`
	)
	cases := []struct {
		name   string
		stream string
		want   error
		// delivered is the number of tokens passed to the callback.
		delivered identifier.Tokens
		reason    string
		cached    identifier.Tokens
	}{
		{"complete", events(text, end, EndMark), nil, 3, FinishStop, 4},
		{"engine without usage", events(text, plain, EndMark), nil, 3, FinishLength, cachedPromptUnknown},
		{"comments and other fields", ": ping\n\nevent: x\n" + events(text, plain, EndMark), nil, 3, FinishLength, cachedPromptUnknown},
		{"carriage returns", strings.ReplaceAll(events(text, plain, EndMark), "\n", "\r\n"), nil, 3, FinishLength, cachedPromptUnknown},
		{"no end mark", events(text, end), ErrTruncated, 3, "", 0},
		{"no finish reason", events(text, EndMark), ErrTruncated, 3, "", 0},
		{"event after the finish reason", events(plain, text, EndMark), ErrTruncated, 0, "", 0},
		{"choice without keys", events(text, `{"id":"a1","choices":[{}]}`, plain, EndMark), nil, 3, FinishLength, cachedPromptUnknown},
		{"empty stream", "", ErrTruncated, 0, "", 0},
		{"truncated inside an event", events(text) + `data: {"id":"a1","cho`, ErrTruncated, 3, "", 0},
		{"event of another attempt", events(text, `{"id":"a2","choices":[{"text":"late"}]}`, end, EndMark), ErrMismatched, 3, "", 0},
		{"event without id", events(`{"choices":[{"text":"late"}]}`, end, EndMark), ErrMismatched, 0, "", 0},
		{"error event", events(text, `{"id":"a1","error":{"message":"dropped"}}`, EndMark), ErrTruncated, 3, "", 0},
		{"event too long", events(`{"id":"a1","choices":[{"text":"` + strings.Repeat("x", maxEventBytes) + `"}]}`), ErrTruncated, 0, "", 0},
	}
	for _, c := range cases {
		delivered := identifier.Tokens(0)
		body := io.NopCloser(strings.NewReader(c.stream))
		result, err := readStream(body, "a1", func(chunk Chunk) { delivered += chunk.Tokens })
		require.ErrorIs(t, err, c.want, c.name)
		require.Equal(t, c.delivered, delivered, c.name)
		require.Equal(t, c.reason, result.FinishReason, c.name)
		require.Equal(t, c.cached, result.CachedPrompt, c.name)
		require.Equal(t, c.reason == FinishStop, result.Report.GetSequence() == 12, c.name)
	}
}
