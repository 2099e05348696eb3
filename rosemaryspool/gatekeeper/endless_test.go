package gatekeeper

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

// startRawUpstream registers an upstream that responds to each request with a head and whatever respond writes, and then
// closes the connection.
func startRawUpstream(
	t *testing.T, store testStore, service, stage, head string, respond func(conn net.Conn) error,
) {
	t.Helper()
	serveRaw(t, store, "raw", service, stage, "v1", func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n\r\n", head, emulator.HeaderAttempt,
			request.Header.Get(emulator.HeaderAttempt))
		if err == nil {
			_ = respond(conn)
		}
	})
}

// serveRaw registers an upstream of a version that handles each connection, and closes it then.
func serveRaw(t *testing.T, store testStore, id, service, stage, version string, handle func(conn net.Conn)) {
	t.Helper()
	listener, err := store.openers().Listen(anyAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	store.Put(platform.TopicServers, id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"here","version":%q,"slots":6,"state":"ready","stage":%q,"sequence":1,"born":1}`,
		service, listener.Addr(), version, stage))
}

// writeForever writes a text until the connection is closed, 128 MiB in a second.
func writeForever(conn net.Conn, text string) error {
	block := bytes.Repeat([]byte(text), 1+(64<<10)/len(text))
	for {
		if _, err := conn.Write(block); err != nil {
			return err
		}
		time.Sleep(500 * time.Microsecond)
	}
}

// signed is added to the head of a response that the upstream has signed.
const signed = "\r\n" + emulator.HeaderSignature + ": s.1"

func TestBodyWithoutEndNeverLooksComplete(t *testing.T) {
	const (
		// maxAllocated is far below the memory of an instance, with many requests at one time.
		maxAllocated = 16 << 20
		timeout      = 900 * time.Millisecond
	)
	for _, c := range []struct {
		name, path, head, repeated string
		statuses                   []int
	}{
		{"signed", lookups, "200 OK" + signed, "x", []int{http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout}},
		{"unsigned", lookups, "200 OK", "x", []int{http.StatusBadGateway, http.StatusGatewayTimeout}},
		{
			"failure", lookups, "500 Internal Server Error" + signed, "x",
			[]int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout},
		},
		{
			"rejection", lookups, "503 Service Unavailable\r\n" + emulator.HeaderNotExecuted + ": 1", "x",
			[]int{http.StatusServiceUnavailable},
		},
		{"event", verdicts, "200 OK" + signed, "data: x\n", []int{http.StatusBadGateway, http.StatusGatewayTimeout}},
		{
			"event that is not repeated", notes, "200 OK" + signed, "data: x\n",
			[]int{http.StatusBadGateway, http.StatusGatewayTimeout},
		},
		{"unsigned stream", verdicts, "200 OK", "data: x\n\n", []int{http.StatusBadGateway, http.StatusGatewayTimeout}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				service, stage := "plain", ""
				if c.path != lookups {
					service, stage = "model", "decode"
				}
				startRawUpstream(t, store, service, stage, c.head, func(conn net.Conn) error {
					return writeForever(conn, c.repeated)
				})
				ti := startTestInstance(t, store, testSettings(store))
				ti.makeReady()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				began := time.Now()
				status, complete := ti.discard(c.path + "x")
				runtime.ReadMemStats(&after)
				require.Less(t, time.Since(began), timeout+500*time.Millisecond)
				require.Contains(t, c.statuses, status)
				require.False(t, status == http.StatusOK && complete, "an endless body was passed on as complete")
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
			})
		})
	}
}

// discard sends a request with a timeout of 900 ms and returns the status, and whether the body ended without an error.
func (ti *testInstance) discard(path string) (status int, complete bool) {
	ti.t.Helper()
	request, err := http.NewRequest(http.MethodPost, ti.url+path, strings.NewReader("b"))
	require.NoError(ti.t, err)
	request.Host = "h.example"
	request.Header.Set(emulator.HeaderAttempt, "a1")
	request.Header.Set(emulator.HeaderDeadline, "900")
	response, err := ti.client().Do(request)
	require.NoError(ti.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	for _, c := range []struct {
		name, path, body string
		reset            bool
		// other is true if another upstream could serve the request.
		other  bool
		status int
		want   string
		whole  bool
	}{
		{"whole body", orders, "the answer", false, false, http.StatusOK, "the answer", true},
		{"body that is reset", orders, "the answer", true, false, http.StatusBadGateway, "mayHaveRun\n", true},
		{"whole stream", verdicts, events(1, 3), false, false, http.StatusOK, events(1, 3), true},
		{"stream that ends inside an event", notes, events(1, 2) + "id: 3\nda", false, false, http.StatusOK, events(1, 2), false},
		{
			"stream that ends inside an event and is resumed", verdicts, events(1, 2) + "id: 3\nda", false, true,
			http.StatusOK, events(1, 3), true,
		},
		{"stream without an event", notes, "", false, false, http.StatusBadGateway, "mayHaveRun\n", true},
		{"stream that ends inside its first event", notes, "id: 1\nda", false, false, http.StatusBadGateway, "mayHaveRun\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newTestStore(t)
			service, stage := "plain", ""
			if c.path == verdicts || c.path == notes {
				service, stage = "model", "decode"
			}
			startRawUpstream(t, store, service, stage, "200 OK"+signed, func(conn net.Conn) error {
				_, err := io.WriteString(conn, c.body)
				if c.reset {
					// The caller's side has read all bytes before the reset.
					time.Sleep(100 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return err
			})
			ti := startTestInstance(t, store, testSettings(store))
			ti.configure(1)
			require.Eventually(t, func() bool { return ti.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
			if c.other {
				u := emulator.NewUpstream("other", stage, 3)
				u.SetDelay(100 * time.Millisecond)
				t.Cleanup(u.Close)
				putUpstream(store.Store, u, "ready")
				require.Eventually(t, func() bool {
					_, listed := ti.gatekeeper.governor.Entry("other")
					return listed
				}, 2*time.Second, time.Millisecond)
			}
			// Both upstreams are idle, so either may get a request first.
			for range 10 {
				r := ti.send(http.MethodPost, c.path+"x", "b")
				require.Equal(t, c.status, r.status)
				require.Equal(t, c.want, r.body)
				require.Equal(t, c.whole, r.complete)
				if !c.other {
					break
				}
			}
		})
	}
}
