package completer

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestStreamWithoutEndHoldsLittleMemory(t *testing.T) {
	const (
		timeout = 500 * time.Millisecond
		// maxHeap and maxAllocated let a hundred such streams, and ten that end, stay within the memory of the smallest instance.
		maxHeap      = 144_000_000 / 100
		maxAllocated = 144_000_000 / 10
	)
	head := "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": a1\r\n\r\n"
	event := `data: {"id":"a1","choices":[{"text":"x"}]}` + "\n\n"
	end := `data: {"id":"a1","choices":[{"text":"x","finish_reason":"stop"}]}` + "\n\n" + "data: [DONE]\n\n"
	for _, c := range []struct {
		name, start, repeated string
		// untilTimeout is true if the attempt ends only with its time: what comes is in order, or is to be ignored.
		untilTimeout bool
		err          error
	}{
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "a", false, ErrTruncated},
		{"header lines", "HTTP/1.1 200 OK\r\n", "a:\n", false, ErrTruncated},
		{"no response", "", "garbage ", false, ErrTruncated},
		{"failure", "HTTP/1.1 503 Service Unavailable\r\n" + HeaderAttempt + ": a1\r\n\r\n", "x", false, ErrRejected},
		{"event", head + "data: ", "x", false, ErrTruncated},
		{"comments", head, ": x\n\n", true, ErrTruncated},
		{"events", head, event, true, ErrTruncated},
		{"bytes after the end", head + end, "x", false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := emulator.NewEndlessServer(c.start, c.repeated)
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			var before, during, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			sampled := make(chan struct{})
			time.AfterFunc(timeout/2, func() {
				defer close(sampled)
				runtime.GC()
				runtime.ReadMemStats(&during)
			})
			_, err := NewClient(server.Address()).Complete(ctx, Request{Attempt: "a1"}, func(Chunk) {})
			require.Equal(t, c.untilTimeout, ctx.Err() != nil)
			runtime.ReadMemStats(&after)
			<-sampled
			require.ErrorIs(t, err, c.err)
			require.Less(t, int64(during.HeapAlloc)-int64(before.HeapAlloc), int64(maxHeap))
			if c.untilTimeout {
				// The second request cancels the attempt.
				require.LessOrEqual(t, server.Arrivals(), 2)
			} else {
				require.Equal(t, 1, server.Arrivals())
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
			}
		})
	}
}
