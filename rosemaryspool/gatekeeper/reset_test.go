package gatekeeper

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

// A network in memory tells both directions of a connection of a reset; a socket tells the one that asks first.
func TestAnswersToUploadsThatAreResetNeverLookWhole(t *testing.T) {
	const (
		uploadBytes = 3 << 20
		// readBytes is what the upstream reads of an upload before it answers.
		readBytes = 64 << 10
		tries     = 8
	)
	for _, c := range []struct {
		name, path, contentType, part string
		// wholeThen has a request that is sent again answered whole.
		wholeThen bool
	}{
		{"small answer that may run once", orders, "text/plain", "part", false},
		{"small answer", lookups, "text/plain", "part", false},
		{"small answer before a whole one", lookups, "text/plain", "part", true},
		{"large answer", orders, "text/plain", strings.Repeat("x", 300<<10), false},
		{"stream", verdicts, "text/event-stream", events(1, 2), false},
		{"stream that may run once", notes, "text/event-stream", events(1, 2), false},
		{"stream that may be resumed by the caller alone", dialogs, "text/event-stream", events(1, 2), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			store := newTestStore(t)
			service, stage := serviceOf(c.path)
			arrivals := &atomic.Int64{}
			handle := func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				request, err := http.ReadRequest(reader)
				if err != nil || request.URL.Path == platform.ReportPath {
					return
				}
				first := arrivals.Add(1) == 1
				head := fmt.Sprintf("HTTP/1.1 200 OK%s\r\n%s: %s\r\nContent-Type: %s\r\n", signed, emulator.HeaderAttempt,
					request.Header.Get(emulator.HeaderAttempt), c.contentType)
				if !first && c.wholeThen {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, head+"Content-Length: 5\r\n\r\nwhole")
					return
				}
				_, _ = io.CopyN(io.Discard, request.Body, readBytes)
				_, _ = io.WriteString(conn, head+"\r\n"+c.part)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			for _, id := range []string{"u1", "u2"} {
				serveRaw(t, store, id, service, stage, "v1", handle)
			}
			settings := testSettings(store)
			settings.RetryBudgetExtra = 1_000_000
			ti := startTestInstance(t, store, settings)
			ti.makeReady()
			arrived := int64(0)
			for range tries {
				arrived += arrivals.Swap(0)
				// A connection that is closed without a response is a visible break.
				r, err := ti.trySend(http.MethodPost, c.path+"x", strings.Repeat("u", uploadBytes), promptHeaders()...)
				if err != nil {
					continue
				}
				if c.wholeThen && r.status == http.StatusOK {
					require.Equal(t, "whole", r.body)
				} else {
					require.False(t, r.status == http.StatusOK && r.complete, "%d bytes of an answer that was reset look whole", len(r.body))
				}
				if c.path == orders || c.path == notes {
					require.LessOrEqual(t, arrivals.Load(), int64(1), "a request that may run once was sent again")
					require.False(t, arrivals.Load() > 0 && slices.Contains(promises, r.status), "status %d of a request that may have run", r.status)
				}
			}
			t.Logf("%d arrivals", arrived+arrivals.Load())
			require.Positive(t, arrived)
		})
	}
}

func TestPartsOfAnswersNeverLookWholeToCallersOfHTTP10(t *testing.T) {
	// The close of its connection is what ends a response without a length in HTTP/1.0.
	for _, c := range []struct {
		name, path, contentType, part string
		whole                         bool
	}{
		{"large answer", orders, "text/plain", strings.Repeat("x", 300<<10), false},
		{"stream", notes, "text/event-stream", events(1, 2), false},
		{"large answer, whole", orders, "text/plain", strings.Repeat("x", 300<<10), true},
		{"stream, whole", notes, "text/event-stream", events(1, 2), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			store := newTestStore(t)
			service, stage := serviceOf(c.path)
			head := "200 OK" + signed + "\r\nTransfer-Encoding: chunked\r\nContent-Type: " + c.contentType
			startRawUpstream(t, store, service, stage, head, func(conn net.Conn) error {
				chunks := fmt.Sprintf("%x\r\n%s\r\n", len(c.part), c.part)
				if c.whole {
					chunks += "0\r\n\r\n"
				}
				_, err := io.WriteString(conn, chunks)
				return err
			})
			ti := startTestInstance(t, store, testSettings(store))
			ti.makeReady()
			conn, err := net.Dial("tcp", strings.TrimPrefix(ti.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST %sx HTTP/1.0\r\nHost: h.example\r\n%s: a1\r\n%s: 900\r\n%s: 9000,390\r\n%s: m\r\nContent-Length: 1\r\n\r\nb",
				c.path, emulator.HeaderAttempt, emulator.HeaderDeadline, emulator.HeaderTokens, emulator.HeaderModel)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				require.Equal(t, http.StatusOK, response.StatusCode)
				var content []byte
				content, err = io.ReadAll(response.Body)
				require.Equal(t, c.whole, string(content) == c.part && err == nil)
			}
			require.Equal(t, c.whole, err == nil, "%v", err)
		})
	}
}
