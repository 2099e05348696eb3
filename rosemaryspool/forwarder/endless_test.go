package forwarder

import (
	"context"
	"net/url"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestExplanationWithoutEndIsAnError(t *testing.T) {
	// maxAllocated is a quarter of the memory of the smallest instance.
	const maxAllocated = 144_000_000 / 4
	for _, c := range []struct{ name, start, repeated string }{
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "a:\n"},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", " "},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "b"},
		{"candidates", "HTTP/1.1 200 OK\r\n\r\n{\"candidates\":[", "{},"},
		{"text", "HTTP/1.1 200 OK\r\n\r\n{\"note\":\"", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := emulator.NewEndlessServer(c.start, c.repeated)
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := FetchExplanation(ctx, server.Address(), url.Values{})
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
			require.Error(t, err)
			require.Equal(t, 1, server.Arrivals())
			require.NoError(t, ctx.Err(), "the answer was read until the timeout")
		})
	}
}
