package gatekeeper

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

var responseHistories = flag.Int("response-histories", 1000, "seeds of TestCallersNeverHoldPartsOfTwoRuns")

// scriptedAnswer is what an upstream does with one arrival of a request.
type scriptedAnswer struct {
	status int
	signed bool
	// rejects is true if the answer says that the request did not run.
	rejects bool
	// copied is how a rejection is written once more, besides before the answer when its request comes again.
	copied copying
	// size is the length of the body of an answer that is no stream.
	size int
	// shift moves where a stream goes on, against the event that is due: -1 sends one twice, 1 leaves one out.
	shift int
	// restarts is true if a stream begins with its first event whatever is due.
	restarts bool
	// wrong is one more than the index of the response in emulator.WrongResumptions to a resumed stream; zero for none.
	wrong   int
	chunked bool
	// part is how much of the body is sent before the connection is closed; 1 for all of it.
	part float64
}

// copying is how an upstream writes an answer once more.
type copying int

const (
	notCopied copying = iota
	copiedAtOnce
	// copiedLate copies arrive by themselves, where the next answer is due.
	copiedLate
	copyings
)

// arrival is one arrival of a request at an upstream.
type arrival struct {
	scriptedAnswer
	upstream string
	body     []byte
	// stream is true if the answer is an event stream.
	stream bool
	// contentType is that of an answer to a request for a stream.
	contentType string
}

// sent returns what the upstream sends of the body.
func (a arrival) sent() []byte { return a.body[:int(a.part*float64(len(a.body)))] }

// isFramedByChunks reports whether the end of the answer is marked by a last chunk.
func (a arrival) isFramedByChunks() bool { return a.chunked || a.stream }

// isWhole reports whether the upstream sends its whole answer.
func (a arrival) isWhole() bool {
	return a.part >= 1 || (!a.isFramedByChunks() && len(a.sent()) == len(a.body))
}

// plan holds the answers to one request, in the order of its arrivals, and what has arrived.
type plan struct {
	answers  []scriptedAnswer
	events   int
	arrivals []arrival
}

// scriptedFleet is a number of upstreams that answer each request by its plan.
type scriptedFleet struct {
	mu    sync.Mutex
	plans map[string]*plan
}

// start starts an upstream on the network of a store and lists it. What the streams of two versions say differs.
func (f *scriptedFleet) start(t *testing.T, store testStore, id, service, stage, version string) {
	t.Helper()
	serveRaw(t, store, id, service, stage, version, func(conn net.Conn) {
		rejections, queue := map[string][]byte{}, queueWrites(conn)
		defer queue.finish()
		serveRequests(queue, func(request *http.Request) bool { return f.answer(queue, rejections, request, id, version) })
	})
}

// serveRequests reads the requests on a connection one after the other and has each answered, until answer returns false.
// Requests for the engine's state are answered with 404.
func serveRequests(conn net.Conn, answer func(*http.Request) bool) {
	emulator.AnswerRequests(conn, func(request *http.Request) bool {
		if request.URL.Path == platform.ReportPath {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return answer(request)
	})
}

// answer answers a request by its plan, and reports whether the connection goes on. rejections holds those that were written
// to the connection, by request.
func (f *scriptedFleet) answer(
	conn net.Conn, rejections map[string][]byte, request *http.Request, id, version string,
) bool {
	attempt := request.Header.Get(emulator.HeaderAttempt)
	f.mu.Lock()
	p := f.plans[attempt]
	if p == nil {
		p = &plan{}
		f.plans[attempt] = p
	}
	a := scriptedAnswer{status: http.StatusOK, signed: true, part: 1}
	if n := len(p.arrivals); n < len(p.answers) {
		a = p.answers[n]
	}
	arrived := arrival{scriptedAnswer: a, upstream: id}
	arrived.stream, arrived.contentType = a.status == http.StatusOK && p.events > 0, "text/event-stream"
	due, _ := strconv.Atoi(request.Header.Get(emulator.HeaderLastEvent))
	switch {
	case arrived.stream && due > 0 && a.wrong > 0:
		wrong := emulator.WrongResumptions(streamEvent(attempt, version, due+1))[a.wrong-1]
		arrived.contentType, arrived.body = wrong.ContentType, []byte(wrong.Body)
	case arrived.stream:
		first := max(1, due+1+a.shift)
		if a.restarts {
			first = 1
		}
		arrived.body = []byte(streamEvents(attempt, version, first, p.events))
	default:
		arrived.body = bytes.Repeat([]byte(fmt.Sprintf("%s %s %d;", attempt, id, len(p.arrivals))), 1+a.size/12)[:a.size]
	}
	p.arrivals = append(p.arrivals, arrived)
	f.mu.Unlock()
	content := encodeAnswer(attempt, arrived)
	if _, err := conn.Write(rejections[attempt]); err != nil {
		return false
	}
	if a.rejects {
		rejections[attempt] = content
	}
	if a.copied == copiedAtOnce {
		content = slices.Concat(content, content)
	}
	_, err := conn.Write(content)
	if err == nil && a.copied == copiedLate {
		_, err = conn.Write(content)
	}
	return err == nil && arrived.isWhole()
}

// queuedConn is a connection in memory whose writes don't wait for the other end, as with a socket.
type queuedConn struct {
	net.Conn
	queue chan []byte
	ended chan struct{}
}

func queueWrites(conn net.Conn) *queuedConn {
	q := &queuedConn{Conn: conn, queue: make(chan []byte, 16), ended: make(chan struct{})}
	go func() {
		defer close(q.ended)
		for b := range q.queue {
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	}()
	return q
}

// Write queues a write.
func (q *queuedConn) Write(b []byte) (int, error) {
	select {
	case q.queue <- bytes.Clone(b):
		return len(b), nil
	case <-q.ended:
		return 0, net.ErrClosed
	}
}

// finish returns once the other end has read everything, or is closed.
func (q *queuedConn) finish() {
	close(q.queue)
	<-q.ended
}

func streamEvent(attempt, version string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s of %s in %s\n\n", n, strings.Repeat("piece ", n%4+1), attempt, version)
}

// streamEvents returns the events of a stream from one to another.
func streamEvents(attempt, version string, from, to int) string {
	var events strings.Builder
	for n := from; n <= to; n++ {
		events.WriteString(streamEvent(attempt, version, n))
	}
	return events.String()
}

func encodeAnswer(attempt string, a arrival) []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d Status\r\n%s: %s\r\n", a.status, emulator.HeaderAttempt, attempt)
	if a.signed {
		fmt.Fprintf(&head, "%s: %s.%d\r\n", emulator.HeaderSignature, a.upstream, len(a.body))
	}
	if a.rejects {
		fmt.Fprintf(&head, "%s: 1\r\n", emulator.HeaderNotExecuted)
	}
	if a.stream {
		fmt.Fprintf(&head, "Content-Type: %s\r\n", a.contentType)
	}
	if a.isFramedByChunks() {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for piece := range bytesInPieces(a.sent()) {
			fmt.Fprintf(&head, "%x\r\n%s\r\n", len(piece), piece)
		}
		if a.isWhole() {
			head.WriteString("0\r\n\r\n")
		}
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(a.body), a.sent())
	}
	return head.Bytes()
}

// bytesInPieces returns the bytes in pieces as they could arrive.
func bytesInPieces(b []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			n := min(len(b), 50_000)
			if !yield(b[:n]) {
				return
			}
			b = b[n:]
		}
	}
}

// randomAnswer returns an answer of any kind; about half of them are right. copies draws the rejections and their copies.
func randomAnswer(random, copies *rand.Rand) scriptedAnswer {
	a := scriptedAnswer{status: http.StatusOK, signed: random.IntN(12) > 0, chunked: random.IntN(2) == 0, part: 1}
	a.size = []int{0, 800, 40_000, 300_000, 1 << 20}[random.IntN(5)]
	switch random.IntN(16) {
	case 0:
		a.status = http.StatusNotFound
	case 1:
		a.status = http.StatusInternalServerError
	case 2:
		a.status = http.StatusFound
	case 3:
		a = randomRejection(copies)
	case 4:
		a.restarts = true
	case 5:
		a.shift = 2*random.IntN(2) - 1
	case 6, 7, 8:
		a.part = random.Float64()
	case 9:
		a.status = promises[random.IntN(len(promises))]
	case 10, 11, 12:
		a.wrong = 1 + random.IntN(len(emulator.WrongResumptions("")))
	}
	if a.status != http.StatusOK {
		a.size = min(a.size, 300_000)
	}
	return a
}

// randomRejection returns a rejection that is copied in any way.
func randomRejection(random *rand.Rand) scriptedAnswer {
	return scriptedAnswer{
		status: []int{503, 429, 421, 400}[random.IntN(4)], rejects: true, copied: copying(random.IntN(int(copyings))),
		signed: random.IntN(2) == 0, size: []int{0, 800}[random.IntN(2)], part: 1,
	}
}

// promises are the statuses by which callers know that a request has not run and never will.
var promises = []int{408, 421, 429, 503}

// responseRoutes holds the routes of routeTable, and whether their requests may run again.
var responseRoutes = []struct {
	path       string
	repeatable bool
	streams    bool
}{
	{orders, false, false},
	{lookups, true, false},
	{verdicts, true, true},
	{notes, false, true},
	{dialogs, true, true},
}

// checkResponse returns what is wrong with what a caller holds, judged by what the caller and the upstreams have seen.
func checkResponse(r callerResponse, p *plan, repeatable, streams bool) string {
	runs := 0
	for _, a := range p.arrivals {
		if !a.rejects {
			runs++
		}
	}
	switch {
	case runs > 1 && !repeatable:
		return fmt.Sprintf("%d runs of a request that may run once", runs)
	case runs > 0 && !repeatable && slices.Contains(promises, r.status):
		return fmt.Sprintf("%d although it has run", r.status)
	case r.status == http.StatusServiceUnavailable && r.header.Get(emulator.HeaderSignature) == "" && runs > 0:
		return "refused although it has run"
	case r.status == http.StatusOK && r.header.Get(emulator.HeaderSignature) == "":
		return "success without a signature"
	case !r.complete:
		// A visible break.
		return ""
	case r.header.Get(emulator.HeaderSignature) == "":
		// The instance's own error.
		return ""
	case r.status == http.StatusOK && streams:
		return checkStream(r, p, repeatable)
	}
	for _, a := range p.arrivals {
		if a.isWhole() && a.signed && a.status == r.status && string(a.body) == r.body &&
			strings.HasPrefix(r.header.Get(emulator.HeaderSignature), a.upstream+".") {
			return ""
		}
	}
	return fmt.Sprintf("%d bytes with status %d are no upstream's whole answer", len(r.body), r.status)
}

// checkStream checks a stream that looks complete: it has all events of one version, each once, from whole answers or
// joined where that is allowed.
func checkStream(r callerResponse, p *plan, repeatable bool) string {
	last := p.arrivals[len(p.arrivals)-1]
	if !repeatable {
		if !last.isWhole() || string(last.body) != r.body {
			return "not the whole answer of the only run"
		}
		return ""
	}
	if !last.isWhole() || last.status != http.StatusOK || !last.signed {
		return fmt.Sprintf("looks complete after an answer that is not whole: %+v", last.scriptedAnswer)
	}
	for _, a := range p.arrivals {
		if string(a.body) == r.body && a.isWhole() {
			return ""
		}
	}
	for _, version := range []string{"v1", "v2"} {
		if streamEvents(r.header.Get(emulator.HeaderAttempt), version, 1, p.events) == r.body {
			return ""
		}
	}
	return fmt.Sprintf("joined from answers that don't fit: %q of %d events, after %+v", r.body, p.events, p.answers[:len(p.arrivals)])
}

// playResponses sends requests with random plans to an instance, and returns what is wrong with a response by its seed, and
// how many requests arrived more than once after a part was sent. With passedOn, the instance reaches no upstream and passes
// the requests on.
func playResponses(t *testing.T, from, to int, passedOn bool) (faults map[int]string, continued int) {
	t.Helper()
	faults = map[int]string{}
	store := newMemoryStore(t)
	fleet := &scriptedFleet{plans: map[string]*plan{}}
	for n := range 4 {
		fleet.start(t, store, fmt.Sprint("plain", n), "plain", "", "v1")
		fleet.start(t, store, fmt.Sprint("engine", n), "model", "decode", fmt.Sprint("v", n%2+1))
	}
	instances := newTestCluster(t, store, 2)
	ti := instances[0]
	for _, each := range instances {
		settings := each.gatekeeper.settings
		settings.RetryBudgetExtra = 1_000_000
		require.True(t, each.gatekeeper.Reload(settings))
	}
	if passedOn {
		losePath(t, ti)
	}
	time.Sleep(ti.gatekeeper.settings.RetryWindow)
	for seed := from; seed < to; seed++ {
		random, copies := rand.New(rand.NewPCG(uint64(seed), 0)), rand.New(rand.NewPCG(uint64(seed), 1))
		route := responseRoutes[random.IntN(len(responseRoutes))]
		p := &plan{}
		if route.streams {
			p.events = 1 + random.IntN(8)
		}
		if !route.repeatable && copies.IntN(3) == 0 {
			for range 1 + copies.IntN(8) {
				p.answers = append(p.answers, randomRejection(copies))
			}
		}
		for range 4 {
			p.answers = append(p.answers, randomAnswer(random, copies))
		}
		id := fmt.Sprint("q", seed)
		fleet.mu.Lock()
		fleet.plans[id] = p
		fleet.mu.Unlock()
		headers := []string{emulator.HeaderAttempt, id, emulator.HeaderDeadline, "1900"}
		if route.streams {
			headers = append(headers, promptHeaders()...)
		}
		// A connection that is closed without a response is a visible break.
		r, _ := ti.trySend(http.MethodPost, route.path+"x", id, headers...)
		for range 2 {
			if route.repeatable || !slices.Contains(promises, r.status) {
				break
			}
			// The caller sends it again, with another request in between.
			_, _ = ti.trySend(http.MethodPost, route.path+"x", id, append(headers, emulator.HeaderAttempt, id+"-other")...)
			r, _ = ti.trySend(http.MethodPost, route.path+"x", id, headers...)
		}
		fleet.mu.Lock()
		if fault := checkResponse(r, p, route.repeatable, route.streams); fault != "" {
			faults[seed] = route.path + ": " + fault
		}
		if len(p.arrivals) > 1 && !p.arrivals[0].isWhole() {
			continued++
		}
		fleet.mu.Unlock()
		// Upstreams that were ejected for a failure are back after a while.
		time.Sleep(3 * time.Second)
	}
	return faults, continued
}

func TestCallersNeverHoldPartsOfTwoRuns(t *testing.T) {
	const batch = 100
	for from := 0; from < *responseHistories; from += batch {
		for _, passedOn := range []bool{false, true} {
			t.Run(fmt.Sprintf("seeds %d to %d, passed on %v", from, from+batch-1, passedOn), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					faults, continued := playResponses(t, from, from+batch, passedOn)
					t.Logf("%d requests went on after a part of an answer", continued)
					require.Empty(t, faults)
					require.Positive(t, continued)
				})
			})
		}
	}
}
