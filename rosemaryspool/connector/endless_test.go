package connector

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/standin/emulator"
)

// startEndless starts an upstream that responds to each connection with a start and then with a text without end. It
// counts the bytes that it could send.
func startEndless(t *testing.T, start, repeated string) (address string, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
	listener := emulator.ServeTCP(func(conn *net.TCPConn, _ int) {
		block := bytes.Repeat([]byte(repeated), 1+(64<<10)/len(repeated))
		_, err := io.WriteString(conn, start)
		for err == nil {
			var n int
			n, err = conn.Write(block)
			sent.Add(int64(n))
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), sent
}

func TestHeadWithoutEndEndsTheExchangeWithLittleMemory(t *testing.T) {
	const (
		timeout = 5 * time.Second
		// maxAllocated is far below the memory of an instance, with many exchanges at one time.
		maxAllocated = 8 << 20
	)
	for _, c := range []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"short header lines", "HTTP/1.1 200 OK\r\n", "a:\n"},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"no response", "", "garbage "},
		{"header lines after an informational response", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n", "a:\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, sent := startEndless(t, c.start, c.repeated)
			client := NewConnector(DialTCP, identify, func() {}, func(tracker.Entry, *Response) {})
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			_, err := client.Exchange(ctx, Request{
				Upstream: tracker.Entry{Address: address}, Method: http.MethodPost, URI: "/", Host: "h",
				Header: http.Header{}, Body: []byte("b"), Limit: 1,
			})
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, time.Since(began), timeout/2)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
			t.Logf("allocated %d KiB, the upstream sent %d KiB", (after.TotalAlloc-before.TotalAlloc)>>10, sent.Load()>>10)
		})
	}
}

func TestStrayResponseWithoutEndEndsTheExchange(t *testing.T) {
	const (
		timeout      = 5 * time.Second
		maxAllocated = 8 << 20
	)
	stray := "HTTP/1.1 200 OK\r\nId: earlier\r\n"
	for _, c := range []struct{ name, start, repeated string }{
		{"header lines", stray, "a:\n"},
		{"body without framing", stray + "\r\n", "x"},
		{"chunks", stray + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"chunk extension", stray + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		{"trailer", stray + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		{"stray responses", "", stray + "Content-Length: 0\r\n\r\n"},
		{"header lines after a stray response", stray + "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", "a:\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				answer := "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 0\r\n\r\n"
				for _, text := range []string{answer, c.start} {
					if _, err = http.ReadRequest(reader); err == nil {
						_, err = io.WriteString(conn, text)
					}
				}
				block := bytes.Repeat([]byte(c.repeated), 1+(64<<10)/len(c.repeated))
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
			client := NewConnector(DialTCP, identify, func() {}, func(tracker.Entry, *Response) {})
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			request := Request{
				Upstream: tracker.Entry{Address: listener.Addr().String()}, ID: "first", Method: http.MethodGet, URI: "/", Host: "h",
				Header: http.Header{}, Limit: 1, MaxIdle: time.Second,
			}
			response, err := client.Exchange(ctx, request)
			require.NoError(t, err)
			response.Close(true)
			request.ID = "second"
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = client.Exchange(ctx, request)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.False(t, NotSent(err), "the request went over another connection")
			require.NoError(t, ctx.Err(), "the response was read until the timeout")
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
		})
	}
}
