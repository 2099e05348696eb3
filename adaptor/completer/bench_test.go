package completer

import (
	"io"
	"strings"
	"testing"
)

// BenchmarkReadStream reads a response stream of 100 chunks of 4 characters.
func BenchmarkReadStream(b *testing.B) {
	chunk := `{"id":"r-1-a1","object":"text_completion","model":"prova-llm","choices":[{"index":0,"text":"abcd","finish_reason":null}]}`
	end := `{"id":"r-1-a1","choices":[{"index":0,"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":9,"completion_tokens":100,"prompt_tokens_details":{"cached_tokens":4}}}`
	stream := strings.Repeat("data: "+chunk+"\n\n", 100) + "data: " + end + "\n\ndata: [DONE]\n\n"
	b.ReportAllocs()
	for b.Loop() {
		if _, err := readStream(io.NopCloser(strings.NewReader(stream)), "r-1-a1", func(Chunk) {}); err != nil {
			b.Fatal(err)
		}
	}
}
