package gatekeeper

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

// startFalseUpstreams registers two upstreams of each service that run each request and then write what respond returns for
// the upstream's number and the request's attempt ID. The returned function counts the arrivals of a request.
func startFalseUpstreams(t *testing.T, store testStore, respond func(upstream int, id string) string) (runs func(id string) int) {
	t.Helper()
	var mu sync.Mutex
	arrivals := map[string]int{}
	for n := range 4 {
		service, stage := "plain", ""
		if n%2 == 1 {
			service, stage = "model", "decode"
		}
		serveRaw(t, store, fmt.Sprint("false-", n), service, stage, "v1", func(conn net.Conn) {
			serveRequests(conn, func(request *http.Request) bool {
				id := request.Header.Get(emulator.HeaderAttempt)
				mu.Lock()
				arrivals[id]++
				mu.Unlock()
				_, err := io.WriteString(conn, respond(n, id))
				return err == nil
			})
		})
	}
	return func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return arrivals[id]
	}
}

// rawFailure returns a response without a body; lines are further lines of its head.
func rawFailure(status int, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: 0\r\n\r\n", status, lines)
}

func TestRefusalsCountOnlyWithTheHeaderAndTheRequestsID(t *testing.T) {
	// A request that ran was taken as refused, and ran at a second server or was refused to its caller.
	const states = emulator.HeaderNotExecuted + ": 1\r\n"
	named := func(id string) string { return emulator.HeaderAttempt + ": " + id + "\r\n" }
	for _, path := range []string{orders, notes} {
		for _, c := range []struct {
			name    string
			respond func(id string) string
		}{
			{"misdirected without the header", func(id string) string { return rawFailure(421, named(id)) }},
			{"refusal without an id", func(string) string { return rawFailure(503, states) }},
			{"misdirected without an id", func(string) string { return rawFailure(421, states) }},
			{"refusal without an id before the answer", func(id string) string {
				return rawFailure(503, states) + rawFailure(500, named(id))
			}},
			{"success that states a refusal, unsigned", func(id string) string { return rawFailure(200, named(id)+states) }},
		} {
			t.Run(path+" "+c.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					store := newMemoryStore(t)
					runs := startFalseUpstreams(t, store, func(_ int, id string) string { return c.respond(id) })
					ti := startTestInstance(t, store, testSettings(store))
					ti.makeReady()
					time.Sleep(ti.gatekeeper.settings.RetryWindow)
					r := ti.send(http.MethodPost, path+"x", "b", promptHeaders()...)
					require.Equal(t, http.StatusBadGateway, r.status)
					require.Equal(t, 1, runs("a1"))
				})
			})
		}
	}
}

func TestStatusesOfUpstreamsPromiseNothingByThemselves(t *testing.T) {
	// A server's own 408, 421, 429 or 503 reached callers, who took it as a promise that the request had not run.
	const signature = emulator.HeaderSignature + ": s.1\r\n"
	for _, c := range []struct {
		path string
		runs int
	}{{orders, 1}, {notes, 1}, {dialogs, 1}, {lookups, 2}} {
		for _, status := range promises {
			for _, passedOn := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %d, passed on %v", c.path, status, passedOn), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						store := newMemoryStore(t)
						runs := startFalseUpstreams(t, store, func(_ int, id string) string {
							return rawFailure(status, emulator.HeaderAttempt+": "+id+"\r\n"+signature)
						})
						ti := newTestCluster(t, store, 2)[0]
						if passedOn {
							losePath(t, ti)
						}
						time.Sleep(ti.gatekeeper.settings.RetryWindow)
						r := ti.send(http.MethodPost, c.path+"x", "b", promptHeaders()...)
						require.Equal(t, http.StatusBadGateway, r.status)
						require.Empty(t, r.header.Get(emulator.HeaderSignature))
						require.Equal(t, c.runs, runs("a1"))
					})
				})
			}
		}
	}
}

func TestEarlierRefusalsAreNoAnswers(t *testing.T) {
	// A refusal that was written once more on a kept connection was taken for the next request's, which ran.
	const (
		requests = 60
		late     = 30 * time.Millisecond
	)
	for _, path := range []string{orders, lookups, notes} {
		for _, delay := range []time.Duration{0, late} {
			t.Run(fmt.Sprint(path, " ", delay), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					store := newMemoryStore(t)
					var mu sync.Mutex
					refusals, ran := map[int]string{}, map[string]int{}
					startFalseUpstreams(t, store, func(upstream int, id string) string {
						named := emulator.HeaderAttempt + ": " + id + "\r\n"
						mu.Lock()
						defer mu.Unlock()
						earlier := refusals[upstream]
						if earlier == "" {
							refusals[upstream] = rawFailure(503, named+emulator.HeaderNotExecuted+": 1\r\n")
							return refusals[upstream]
						}
						delete(refusals, upstream)
						ran[id]++
						time.Sleep(delay)
						return earlier + rawFailure(500, named)
					})
					ti := startTestInstance(t, store, testSettings(store))
					ti.makeReady()
					time.Sleep(ti.gatekeeper.settings.RetryWindow)
					for n := range requests {
						id := fmt.Sprint("r", n)
						r := ti.send(http.MethodPost, path+"x", "b", append(promptHeaders(), emulator.HeaderAttempt, id)...)
						mu.Lock()
						require.False(t, r.status == http.StatusServiceUnavailable && ran[id] > 0, "refused, but ran")
						require.True(t, path == lookups || ran[id] <= 1, "ran %d times", ran[id])
						mu.Unlock()
						require.Equal(t, id, r.header.Get(emulator.HeaderAttempt))
						// Upstreams that were ejected for a failure are back after a while.
						time.Sleep(3 * time.Second)
					}
				})
			})
		}
	}
}

func TestHeadsThatAreCutAreNoAnswers(t *testing.T) {
	// A head that ended early, with the close of its connection, was taken for a whole answer with an empty or short body.
	const body = "the answer\n\n"
	for _, c := range []struct{ name, framing, body string }{
		{"length", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body},
		{"chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		{"close", "", body},
	} {
		for _, path := range []string{orders, lookups, verdicts, notes} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { testHeadsThatAreCutAreNoAnswers(t, path, c.framing, c.body) })
			})
		}
	}
}

func testHeadsThatAreCutAreNoAnswers(t *testing.T, path, framing, body string) {
	store := newMemoryStore(t)
	head := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\n%s: s.1\r\n%s\r\n",
			emulator.HeaderAttempt, id, emulator.HeaderSignature, framing)
	}
	var length atomic.Int64
	service, stage := serviceOf(path)
	serveRaw(t, store, "cutter", service, stage, "v1", func(conn net.Conn) {
		serveRequests(conn, func(request *http.Request) bool {
			whole := head(request.Header.Get(emulator.HeaderAttempt)) + body
			_, _ = io.WriteString(conn, whole[:min(len(whole), int(length.Load()))])
			return false
		})
	})
	ti := startTestInstance(t, store, testSettings(store))
	ti.makeReady()
	for n := 1; n < len(head("a1")); n += 3 {
		length.Store(int64(n))
		r := ti.send(http.MethodPost, path+"x", "b", promptHeaders()...)
		require.GreaterOrEqual(t, r.status, http.StatusInternalServerError, "cut after %d bytes", n)
		time.Sleep(3 * time.Second)
	}
	length.Store(int64(len(head("a1") + body)))
	require.Equal(t, http.StatusOK, ti.send(http.MethodPost, path+"x", "b", promptHeaders()...).status)
}

func TestRefusalsBehindAnswersHarmNoLaterRequest(t *testing.T) {
	// An upstream that sends a refusal right behind each whole answer, with that answer's id, on sockets of the operating system.
	const (
		signature = emulator.HeaderSignature + ": s.1\r\n"
		requests  = 200
	)
	store := newTestStore(t)
	runs := startFalseUpstreams(t, store, func(_ int, id string) string {
		named := emulator.HeaderAttempt + ": " + id + "\r\n"
		return rawFailure(http.StatusOK, named+signature) + rawFailure(503, named+emulator.HeaderNotExecuted+": 1\r\n")
	})
	ti := startTestInstance(t, store, testSettings(store))
	ti.makeReady()
	for n := range requests {
		id := fmt.Sprint("o", n)
		r := ti.send(http.MethodPost, orders+"x", "b", emulator.HeaderAttempt, id)
		require.Equal(t, http.StatusOK, r.status)
		require.Equal(t, id, r.header.Get(emulator.HeaderAttempt))
		require.Equal(t, 1, runs(id))
	}
}

func TestLogNamesEachSendOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore(t)
		refusing, sound := store.newUpstream(t, "refusing", "", 0), store.newUpstream(t, "sound", "", 0)
		refusing.SetBehaviour(emulator.Rejects)
		log := &lockedBuffer{}
		putUpstream(store.Store, refusing, "ready")
		putUpstream(store.Store, sound, "ready")
		ti := startLoggingInstance(t, store, testSettings(store), log)
		ti.makeReady()
		for n := 0; len(refusing.Rejections()) == 0; n++ {
			require.Equal(t, http.StatusOK, ti.send(http.MethodPost, orders+"x", "b", emulator.HeaderAttempt, fmt.Sprint("r", n)).status)
		}
		require.Regexp(t, `"trail":"refusing request \d+/1 503 refused [^,]+, sound request \d+/\d+ 200 `, log.String())
	})
}
