package gatekeeper

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestPartOfAnAnswerIsFollowedByNoOtherRun(t *testing.T) {
	whole := func(size int) scriptedAnswer {
		return scriptedAnswer{status: http.StatusOK, signed: true, size: size, part: 1}
	}
	half := func(a scriptedAnswer) scriptedAnswer {
		a.part = 0.6
		return a
	}
	chunked := func(a scriptedAnswer) scriptedAnswer {
		a.chunked = true
		return a
	}
	failure := func(status int) scriptedAnswer {
		return scriptedAnswer{status: status, signed: true, size: 30, part: 1}
	}
	events := whole(0)
	wrong := func(n int) scriptedAnswer {
		return scriptedAnswer{status: http.StatusOK, signed: true, part: 1, wrong: n}
	}
	const large = 1 << 20
	for _, c := range []struct {
		name    string
		path    string
		answers []scriptedAnswer
		// arrivals is how often the request reaches an upstream, whole is the number of the answer that the caller has whole, -1
		// for none and len(answers) for a stream that was joined.
		arrivals int
		status   int
		whole    int
	}{
		{"large answer", lookups, []scriptedAnswer{half(whole(large)), whole(large)}, 1, 200, -1},
		{"large answer in chunks", lookups, []scriptedAnswer{half(chunked(whole(large))), whole(large)}, 1, 200, -1},
		{"large answer before a small one", lookups, []scriptedAnswer{half(whole(large)), whole(800)}, 1, 200, -1},
		{"large answer before an error", lookups, []scriptedAnswer{half(whole(large)), failure(404)}, 1, 200, -1},
		{"large answer that may run once", orders, []scriptedAnswer{half(whole(large)), whole(large)}, 1, 200, -1},
		{"small answer", lookups, []scriptedAnswer{half(whole(40_000)), whole(40_000)}, 2, 200, 1},
		{"small answer before a large one", lookups, []scriptedAnswer{half(whole(800)), whole(large)}, 2, 200, 1},
		{"small answer before a large one that breaks off", lookups, []scriptedAnswer{half(whole(800)), half(whole(large))}, 2, 200, -1},
		{"small answer that may run once", orders, []scriptedAnswer{half(whole(800)), whole(800)}, 1, 502, -1},
		{"stream that goes on", verdicts, []scriptedAnswer{half(events), events}, 2, 200, 2},
		{"stream before a redirection", verdicts, []scriptedAnswer{half(events), failure(302)}, 2, 200, -1},
		{"stream before a client's error", verdicts, []scriptedAnswer{half(events), failure(404)}, 2, 200, -1},
		{"stream before a server's error", verdicts, []scriptedAnswer{half(events), failure(500)}, 2, 200, -1},
		{"stream before an unsigned one", verdicts, []scriptedAnswer{half(events), {status: 200, part: 1}}, 2, 200, -1},
		{"stream before one from the start", verdicts, []scriptedAnswer{half(events), {status: 200, signed: true, part: 1, restarts: true}}, 2, 200, -1},
		{"stream before one that repeats an event", verdicts, []scriptedAnswer{half(events), {status: 200, signed: true, part: 1, shift: -1}}, 2, 200, -1},
		{"stream before one that lacks an event", verdicts, []scriptedAnswer{half(events), {status: 200, signed: true, part: 1, shift: 1}}, 2, 200, -1},
		{"stream before an empty one", verdicts, []scriptedAnswer{half(events), {status: 200, signed: true, part: 1, shift: 100}}, 2, 200, -1},
		// These with status 200 were appended to streams, which then ended as complete.
		{"stream before a text", verdicts, []scriptedAnswer{half(events), wrong(1)}, 2, 200, -1},
		{"stream before the event that is due, as a text", verdicts, []scriptedAnswer{half(events), wrong(2)}, 2, 200, -1},
		{"stream before the head of another response", verdicts, []scriptedAnswer{half(events), wrong(3)}, 2, 200, -1},
		{"stream before an event without an id", verdicts, []scriptedAnswer{half(events), wrong(4)}, 2, 200, -1},
		{"stream before an error event", verdicts, []scriptedAnswer{half(events), wrong(5)}, 2, 200, -1},
		{"stream before the event that is due and a text", verdicts, []scriptedAnswer{half(events), wrong(6)}, 2, 200, -1},
		{"stream before one that breaks off", verdicts, []scriptedAnswer{half(events), half(events)}, 2, 200, -1},
		{"stream that may be resumed by the caller alone", dialogs, []scriptedAnswer{half(events), events}, 1, 200, -1},
		{"stream that may run once", notes, []scriptedAnswer{half(events), events}, 1, 200, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				p := &plan{answers: c.answers}
				if c.path == verdicts || c.path == notes || c.path == dialogs {
					p.events = 8
				}
				fleet := &scriptedFleet{plans: map[string]*plan{"a1": p}}
				for _, id := range []string{"u1", "u2"} {
					fleet.start(t, store, "plain-"+id, "plain", "", "v1")
					fleet.start(t, store, "engine-"+id, "model", "decode", "v1")
				}
				ti := startTestInstance(t, store, testSettings(store))
				ti.makeReady()
				time.Sleep(testSettings(store).RetryWindow)
				r := ti.send(http.MethodPost, c.path+"x", "", append(promptHeaders(), emulator.HeaderDeadline, "1900")...)
				require.Equal(t, c.status, r.status)
				require.Len(t, p.arrivals, c.arrivals)
				require.Equal(t, c.whole >= 0 || c.status != http.StatusOK, r.complete)
				switch {
				case c.whole == len(c.answers):
					require.Equal(t, string(p.arrivals[0].body), r.body)
				case c.whole >= 0:
					require.Equal(t, string(p.arrivals[c.whole].body), r.body)
				case c.status == http.StatusOK && p.events > 0:
					// Not a byte of an answer that does not go on with the stream.
					require.NotEmpty(t, r.body)
					require.True(t, strings.HasPrefix(streamEvents("a1", "v1", 1, p.events), r.body), r.body)
				case c.status == http.StatusOK:
					require.NotEmpty(t, r.body)
					require.Contains(t, string(p.arrivals[0].body)+string(p.arrivals[len(p.arrivals)-1].body), r.body)
				}
			})
		})
	}
}

func TestAnswersThatAreCutInTheMiddleNeverLookWhole(t *testing.T) {
	// An upstream falls silent in the middle of its answer, until a time limit ends it; the instance stops meanwhile or not.
	const (
		large   = 512 << 10
		stopped = 100 * time.Millisecond
		// grace is longer than any request may take.
		grace = 4 * time.Second
	)
	for _, c := range []struct{ path, contentType, part string }{
		{orders, "text/plain", strings.Repeat("x", large)},
		{lookups, "text/plain", strings.Repeat("x", large)},
		{verdicts, "text/event-stream", events(1, 2)},
		{notes, "text/event-stream", events(1, 2)},
		{dialogs, "text/event-stream", events(1, 2)},
	} {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stops %v", c.path, stops), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					store := newMemoryStore(t)
					service, stage := serviceOf(c.path)
					head := "200 OK" + signed + "\r\nTransfer-Encoding: chunked\r\nContent-Type: " + c.contentType
					startRawUpstream(t, store, service, stage, head, func(conn net.Conn) error {
						if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(c.part), c.part); err != nil {
							return err
						}
						// The instance closes the connection.
						_, err := conn.Read(make([]byte, 1))
						return err
					})
					settings := testSettings(store)
					settings.TerminationGracePeriod = grace
					ti := startTestInstance(t, store, settings)
					ti.makeReady()
					if stops {
						time.AfterFunc(stopped, ti.stop)
					}
					r := ti.send(http.MethodPost, c.path+"x", "b", append(promptHeaders(), emulator.HeaderDeadline, "1900")...)
					require.Equal(t, http.StatusOK, r.status)
					require.False(t, r.complete)
					require.Equal(t, c.part, r.body)
				})
			})
		}
	}
}
