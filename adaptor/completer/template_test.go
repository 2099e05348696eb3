package completer

import (
	"encoding/json"
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosemaryspool.example/core/identifier"
)

// TestTemplateMatchesDecoder checks on random event streams that the template reads the same text as the JSON decoder.
func TestTemplateMatchesDecoder(t *testing.T) {
	texts := rapid.OneOf(rapid.StringMatching(`[a-z ]{1,8}`), rapid.String(), rapid.SampledFrom([]string{
		`"text":"`, `\"text\":\"`, `"}]}`, "a\\", "\xff", "é", "", "<b>", `","finish_reason":"stop`,
	}))
	require.NoError(t, flag.Set("rapid.seed", "1"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	matched := 0
	rapid.Check(t, func(t *rapid.T) {
		cached := &template{}
		models := rapid.SliceOfN(rapid.SampledFrom([]identifier.ModelName{"m", "abc", `"text":"`}), 1, 2).Draw(t, "models")
		for _, text := range rapid.SliceOfN(texts, 1, 20).Draw(t, "texts") {
			chunk := WireChunk{ID: "a1", Model: rapid.SampledFrom(models).Draw(t, "model"), Choices: []WireChoice{{Text: text}}}
			if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
				reason := FinishStop
				chunk.Choices[0].FinishReason = &reason
			}
			data, err := json.Marshal(chunk)
			require.NoError(t, err)
			var decoded WireChunk
			require.NoError(t, json.Unmarshal(data, &decoded))
			if got, ok := cached.match(data); ok {
				matched++
				require.Equal(t, decoded.Choices[0].Text, got)
				require.Nil(t, decoded.Choices[0].FinishReason)
				continue
			}
			cached.update(data, &decoded)
		}
	})
	require.Positive(t, matched)
}

func TestTemplateClearedWhenAmbiguous(t *testing.T) {
	cases := []struct {
		name string
		data string
	}{
		{"two texts", `{"id":"a1","choices":[{"text":"ab"}],"x":{"text":"ab"}}`},
		{"text with an escape", `{"id":"a1","choices":[{"text":"a\"b"}]}`},
		{"two choices", `{"id":"a1","choices":[{"text":"ab"},{}]}`},
		{"finish reason", `{"id":"a1","choices":[{"text":"ab","finish_reason":"stop"}]}`},
		{"usage", `{"id":"a1","choices":[{"text":"ab"}],"usage":{}}`},
		{"report", `{"id":"a1","choices":[{"text":"ab"}],"engineReport":{}}`},
		{"no text", `{"id":"a1","choices":[{"text":""}]}`},
		{"key with a space", `{"id":"a1","choices":[{"text": "ab"}]}`},
	}
	for _, c := range cases {
		cached := &template{prefix: []byte("x"), suffix: []byte("y")}
		var chunk WireChunk
		require.NoError(t, json.Unmarshal([]byte(c.data), &chunk), c.name)
		cached.update([]byte(c.data), &chunk)
		_, ok := cached.match([]byte(c.data))
		require.False(t, ok, c.name)
	}
}
