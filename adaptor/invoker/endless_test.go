package invoker

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestResponseWithoutEndIsAnUnknownOutcome(t *testing.T) {
	// maxAllocated is the memory of the smallest instance.
	const maxAllocated = 144_000_000
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, start, repeated string }{
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "a:\n"},
		{"no response", "", "garbage "},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "b"},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "b"},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "b"},
		{"chunks", chunked, "400\r\n" + strings.Repeat("b", 1<<10) + "\r\n"},
		{"chunk extension", chunked + "1;", "a"},
		{"trailer", chunked + "0\r\n", "A: b\r\n"},
	} {
		for _, atMostOnce := range []bool{false, true} {
			name := c.name
			if atMostOnce {
				name += " at most once"
			}
			t.Run(name, func(t *testing.T) {
				server := emulator.NewEndlessServer(c.start, c.repeated)
				defer server.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				call := Call{Attempt: "a1", Method: http.MethodPost, Path: "/", Body: []byte("b"), AtMostOnce: atMostOnce}
				_, err := NewClient(server.Address()).Invoke(ctx, call)
				runtime.ReadMemStats(&after)
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
				require.ErrorIs(t, err, ErrOutcomeUnknown)
				require.Equal(t, 1, server.Arrivals())
				require.NoError(t, ctx.Err(), "the response was read until the timeout")
			})
		}
	}
}
