package host

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/batcher"
	"rosemaryspool.example/standin/generator"
)

// BenchmarkComplete measures short completions of a stand-in engine through the adaptor over TCP, with 20
// concurrent streams for each CPU: 200 on 10 CPUs.
func BenchmarkComplete(b *testing.B) {
	engine := generator.Settings{
		ID: "engine-1", Speed: testSpeed, Simulation: batcher.Settings{Model: "prova-llm", MaxBatch: 256},
	}
	h, err := Start(b.Context(), Settings{Engines: []Engine{{Settings: engine}}})
	require.NoError(b, err)
	defer h.Close()
	client := completer.NewClient(h.Engines["engine-1"].URL)
	var attempts atomic.Int64
	b.SetParallelism(20)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			request := completer.Request{
				Attempt: identifier.AttemptID(fmt.Sprintf("a%d", attempts.Add(1))),
				Model:   "prova-llm", Prompt: "crew file", MaxOutput: 4,
			}
			if _, err := client.Complete(b.Context(), request, func(completer.Chunk) {}); err != nil {
				b.Error(err)
			}
		}
	})
}
