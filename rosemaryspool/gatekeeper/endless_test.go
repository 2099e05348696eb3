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
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
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
	go emulator.Serve(listener, func(conn net.Conn, _ int) { handle(conn) })
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
				service, stage := serviceOf(c.path)
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

// discard sends a request with a timeout of 900 ms and returns the status, and whether the body ended without an error. The
// status is zero if the connection is closed without a response.
func (ti *testInstance) discard(path string, headers ...string) (status int, complete bool) {
	ti.t.Helper()
	request, err := http.NewRequest(http.MethodPost, ti.url+path, strings.NewReader("b"))
	require.NoError(ti.t, err)
	request.Host = "h.example"
	request.Header.Set(emulator.HeaderAttempt, "a1")
	request.Header.Set(emulator.HeaderDeadline, "900")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := ti.client().Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

func TestManyResponsesWithoutEndHoldABoundedAmountOfMemory(t *testing.T) {
	const (
		upstreams = 40
		// requests take all slots of the upstreams.
		requests      = upstreams * 6
		callerTimeout = 1000 * time.Millisecond
		memory        = 64 * identifier.BytesPerMB
		// maxHeap is the limit that the command sets for the heap. Here the callers' and the upstreams' are within it, too.
		maxHeap = int64(memory) * 8 / 10
	)
	manyLines, longLines := strings.Builder{}, strings.Builder{}
	for n := 0; manyLines.Len() < 60<<10; n++ {
		fmt.Fprintf(&manyLines, "%x:\n", n)
	}
	for n := range 100 {
		fmt.Fprintf(&longLines, "%x: %s\n", n, strings.Repeat("a", 120))
	}
	for _, c := range []struct{ name, path, head, content string }{
		{"status line", orders, "", strings.Repeat("a", 60<<10)},
		{"header line", orders, "200 OK\r\nA: ", strings.Repeat("a", 60<<10)},
		{"header lines", orders, "200 OK\r\n", manyLines.String()},
		{"header lines that pause", orders, "200 OK\r\n", longLines.String()},
		{"informational responses", orders, "102 Processing\r\n\r\n", strings.Repeat("HTTP/1.1 102 P\r\n\r\n", 3<<10)},
		{"body without framing", orders, "200 OK" + signed + "\r\n\r\n", strings.Repeat("x", 250<<10)},
		{"body with a length", orders, "200 OK" + signed + "\r\nContent-Length: 256000\r\n\r\n", strings.Repeat("x", 240<<10)},
		{"long body", orders, "200 OK" + signed + "\r\n\r\n", strings.Repeat("x", 1<<20)},
		{
			"chunks", orders, "200 OK" + signed + "\r\nTransfer-Encoding: chunked\r\n\r\n",
			strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 240),
		},
		{
			"chunk extension", orders, "200 OK" + signed + "\r\nTransfer-Encoding: chunked\r\n\r\n1;",
			strings.Repeat("a", 250<<10),
		},
		{
			"trailer", orders, "200 OK" + signed + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
			strings.Repeat("A: b\r\n", 40<<10),
		},
		{"failure", orders, "500 Internal Server Error\r\n\r\n", strings.Repeat("x", 250<<10)},
		{"event", notes, "200 OK" + signed + "\r\n\r\n", strings.Repeat("data: x\n", 31<<10)},
		{"comments", notes, "200 OK" + signed + "\r\n\r\n", strings.Repeat(": x\n", 62<<10)},
		{"comments that are events", notes, "200 OK" + signed + "\r\n\r\n", strings.Repeat(": x\n\n", 1<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				settings := testSettings(store)
				settings.Memory = memory
				service, stage := serviceOf(c.path)
				others, soundStage := notes, "decode"
				if c.path == notes {
					others, soundStage = orders, ""
				}
				putUpstream(store.Store, store.newUpstream(t, "sound", soundStage, 3), "ready")
				content := []byte(c.content)
				var begun atomic.Int64
				for n := range upstreams {
					serveRaw(t, store, fmt.Sprint("raw-", n), service, stage, "v1", func(conn net.Conn) {
						serveRequests(conn, func(request *http.Request) bool {
							begun.Add(1)
							_, err := fmt.Fprintf(conn, "HTTP/1.1 %s", strings.Replace(c.head, "\r\n", fmt.Sprintf("\r\n%s: %s\r\n",
								emulator.HeaderAttempt, request.Header.Get(emulator.HeaderAttempt)), 1))
							if err == nil {
								_, err = conn.Write(content)
							}
							return err == nil
						})
					})
				}
				ti := startTestInstance(t, store, settings)
				ti.makeReady()
				began := time.Now()
				var group conc.WaitGroup
				for n := range requests {
					group.Go(func() {
						ti.discard(c.path+"x", emulator.HeaderAttempt, fmt.Sprint("r", n), emulator.HeaderDeadline, fmt.Sprint(callerTimeout.Milliseconds()),
							emulator.HeaderTokens, "100,390", emulator.HeaderPrompt, fmt.Sprintf("p%d:100", n), emulator.HeaderModel, "m")
					})
				}
				// The paused clock keeps stopped timers, and the exchanges that they watched, until they would have fired.
				time.Sleep(callerTimeout / 4)
				var heap int64
				for time.Since(began) < callerTimeout*9/10 {
					// What is allocated during a collection counts as live, so all goroutines have to wait.
					synctest.Wait()
					heap = max(heap, heapInUse())
					time.Sleep(20 * time.Millisecond)
				}
				for n := range 10 {
					r := ti.send(http.MethodPost, others+"x", "b", append(promptHeaders(), emulator.HeaderAttempt, fmt.Sprint("s", n))...)
					require.Equal(t, http.StatusOK, r.status, r.body)
				}
				group.Wait()
				t.Logf("heap of %d KiB, %d exchanges", heap>>10, begun.Load())
				require.Equal(t, int64(requests), begun.Load())
				require.Less(t, heap, maxHeap)
			})
		})
	}
}

func TestPrefillWithoutEndLeavesTheRequestToItsEngine(t *testing.T) {
	// maxAllocated is far below the memory of an instance, with many requests at one time.
	const maxAllocated = 16 << 20
	for _, c := range []struct{ name, head, repeated string }{
		{"body", "200 OK" + signed, "x"},
		{"failure", "500 Internal Server Error", "x"},
		{"refusal", "503 Service Unavailable\r\n" + emulator.HeaderNotExecuted + ": 1", "x"},
		{"chunk extension", "200 OK" + signed + "\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				startRawUpstream(t, store, "model", "prefill", c.head, func(conn net.Conn) error {
					return writeForever(conn, c.repeated)
				})
				engine := store.newUpstream(t, "decode", "decode", 3)
				putUpstream(store.Store, engine, "ready")
				ti := startTestInstance(t, store, testSettings(store))
				ti.makeReady()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				r := ti.send(http.MethodPost, verdicts+"x", "b", promptHeaders()...)
				runtime.ReadMemStats(&after)
				require.Equal(t, http.StatusOK, r.status, r.body)
				require.True(t, r.complete)
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
			})
		})
	}
}

func TestRefusalWithoutEndDoesNotHoldTheRequest(t *testing.T) {
	// target is the latency target of the route of orders.
	const target = 300 * time.Millisecond
	for _, c := range []struct{ name, text string }{{"body that pauses", ""}, {"slow body", "x"}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				head := "503 Service Unavailable\r\n" + emulator.HeaderNotExecuted + ": 1"
				startRawUpstream(t, store, "plain", "", head, func(conn net.Conn) error {
					for {
						if _, err := io.WriteString(conn, c.text); err != nil {
							return err
						}
						time.Sleep(50 * time.Millisecond)
					}
				})
				ti := startTestInstance(t, store, testSettings(store))
				ti.makeReady()
				began := time.Now()
				require.Equal(t, http.StatusServiceUnavailable, ti.send(http.MethodPost, orders+"x", "b").status)
				require.Less(t, time.Since(began), target)
			})
		})
	}
}

func TestRequestsWithoutEndAreCutOff(t *testing.T) {
	const (
		// maxSent is what a connection may bring beyond the largest body.
		maxSent      = 5 << 20
		maxAllocated = 4 * maxSent
		maxTime      = headerTimeout + 5*time.Second
	)
	head := "POST /orders/x HTTP/1.1\r\nHost: h.example\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, start, repeated string
		// isHead is true if the head has no end.
		isHead bool
	}{
		{"request line", "GET /", "a", true},
		{"header line", head + "A: ", "a", true},
		{"header lines", head, "a:\r\n", true},
		{"no request", "", "garbage", true},
		{"body with a length", head + "Content-Length: 1000000000000\r\n\r\n", "x", false},
		{"chunks", chunked, "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", false},
		{"chunk extension", chunked + "1;", "a", false},
		{"trailer", chunked + "0\r\n", "A: b\r\n", false},
		{"requests", "", "GET /lookups/x HTTP/1.1\r\nHost: other.example\r\n\r\n\x00", false},
		{"slow header lines", head, "", true},
		{"slow body", chunked, "", false},
	} {
		for _, listener := range []string{"callers", "peers", "readiness", "metrics"} {
			t.Run(c.name+"/"+listener, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := newMemoryStore(t)
					ti := startTestInstance(t, store, testSettings(store))
					ti.makeReady()
					address := map[string]net.Listener{
						"callers": ti.gatekeeper.callerListener, "peers": ti.gatekeeper.peerListener,
						"readiness": ti.gatekeeper.readyListener, "metrics": ti.gatekeeper.metricsListener,
					}[listener].Addr().String()
					conn, err := ti.dial(t.Context(), address)
					require.NoError(t, err)
					defer conn.Close()
					go func() { _, _ = io.Copy(io.Discard, conn) }()
					var before, after runtime.MemStats
					runtime.ReadMemStats(&before)
					began, sent := time.Now(), 0
					block := bytes.Repeat([]byte(c.repeated), 1+(16<<10)/max(1, len(c.repeated)))
					_, err = io.WriteString(conn, c.start)
					for err == nil && time.Since(began) < 2*maxTime && sent < 2*maxSent {
						if c.repeated == "" {
							time.Sleep(100 * time.Millisecond)
							block = []byte("1\r\nx\r\n")
							if c.isHead {
								block = []byte("A: b\r\n")
							}
						}
						var n int
						n, err = conn.Write(block)
						sent += n
					}
					runtime.ReadMemStats(&after)
					require.Error(t, err, "the connection is still open after %s and %d bytes", time.Since(began), sent)
					require.Less(t, time.Since(began), maxTime)
					require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
					if c.isHead {
						require.Less(t, sent, 4*maxHeaderBytes)
					}
				})
			})
		}
	}
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
			service, stage := serviceOf(c.path)
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
			ti.makeReady()
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
