package emulator

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Behaviour is how an upstream responds.
type Behaviour int

// Behaviours of an upstream. All but Responds are faults. Fails, Unsigned, WrongAttempt and RespondsTwice affect only
// plain services, SkipsEvent only streams. Only Rejects, Resets and Hangs affect prefills.
const (
	// Responds runs the request and sends the complete response.
	Responds Behaviour = iota
	// Rejects responds with status 503 and states that the request did not run.
	Rejects
	// Fails runs the request and responds with status 500.
	Fails
	// Resets runs the request and closes the connection without a response.
	Resets
	// Truncates runs the request and closes the connection halfway through the response, in a stream within an event.
	Truncates
	// Unsigned runs the request and omits the signature header from the response.
	Unsigned
	// WrongAttempt runs the request and responds with the attempt ID of another request.
	WrongAttempt
	// RespondsTwice runs the request and sends a second, unrequested response after the first.
	RespondsTwice
	// SkipsEvent runs the request and omits one event of the stream.
	SkipsEvent
	// Hangs runs the request and never responds.
	Hangs
	// TruncatesNew truncates the streams that begin at the upstream, and completes those that are resumed there.
	TruncatesNew
)

// Run is a request as it reached an upstream, which ran or rejected it.
type Run struct {
	At     time.Time
	Method string
	URI    string
	Body   string
	Header http.Header
	// PrefillOnly is true if only the prefill stage was requested.
	PrefillOnly bool
}

// Upstream is a stand-in for a server of the platform. If Events is above zero, it responds with streams of that many
// events, numbered from 1. It is safe for concurrent use.
type Upstream struct {
	ID     string
	Events int
	Stage  string
	// Version is that of the upstream's software.
	Version string
	server  *httptest.Server

	mu        sync.Mutex
	behaviour Behaviour
	// others are set to Responds when this upstream first shows its fault.
	others   []*Upstream
	runs     []Run
	rejected []Run
	canceled int
	reports  int
	handles  map[string]bool
	delay    time.Duration
	// pause is the time between two events of a stream.
	pause time.Duration
	// limit is the header that names the rate limit; empty if there is none.
	limit string
	// retryAfter is the Retry-After header of rejections; empty if they have none.
	retryAfter string
	// leaving is true if all answers say that the upstream leaves.
	leaving bool
	// isFatal selects the runs that crash the upstream as soon as it begins to answer them; nil for none.
	isFatal func(Run) bool
	// crashed is closed when a run has crashed the upstream.
	crashed   chan struct{}
	crashOnce sync.Once
}

// NewUpstream starts an upstream. Its stage is "prefill" or "decode", or empty for a plain service.
func NewUpstream(id, stage string, events int) *Upstream {
	u, err := NewUpstreamAt("127.0.0.1", id, stage, events)
	if err != nil {
		panic(err.Error())
	}
	return u
}

// NewUpstreamAt starts an upstream that listens at an IP address.
func NewUpstreamAt(ip, id, stage string, events int) (*Upstream, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("emulator: listen: %w", err)
	}
	u := newUpstream(id, stage, events)
	u.serve(listener)
	return u, nil
}

func (u *Upstream) serve(listener net.Listener) {
	u.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: u}}
	u.server.Start()
}

// NewUpstream starts an upstream on the network.
func (n *Network) NewUpstream(id, stage string, events int) *Upstream {
	u := newUpstream(id, stage, events)
	u.server = n.Serve(u)
	return u
}

func newUpstream(id, stage string, events int) *Upstream {
	return &Upstream{ID: id, Stage: stage, Events: events, Version: "v1", handles: map[string]bool{}}
}

// crash ends the upstream like a killed process: it refuses new connections and closes the open ones. It doesn't return.
func (u *Upstream) crash() {
	u.crashOnce.Do(func() {
		_ = u.server.Listener.Close()
		u.server.CloseClientConnections()
		close(u.crashed)
	})
	panic(http.ErrAbortHandler)
}

// Close closes the upstream's connections and stops its server.
func (u *Upstream) Close() {
	u.server.CloseClientConnections()
	u.server.Close()
}

// Address returns the upstream's address as IP:PORT.
func (u *Upstream) Address() string { return strings.TrimPrefix(u.server.URL, "http://") }

// Entry returns the upstream's record in the store.
func (u *Upstream) Entry(service, state string) []byte {
	return u.EntryAt(u.Address(), service, state)
}

// EntryAt returns the upstream's record in the store with the address of a proxy in front of it.
func (u *Upstream) EntryAt(address, service, state string) []byte {
	return fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"here","version":%q,"slots":6,"state":%q,"stage":%q,"sequence":1,"born":1}`,
		service, address, u.Version, state, u.Stage)
}

// SetBehaviour sets how the upstream responds to the requests that follow.
func (u *Upstream) SetBehaviour(b Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
}

// Misbehave sets a behaviour for the first of the given upstreams that gets a request; the others then respond
// normally.
func Misbehave(b Behaviour, us ...*Upstream) {
	for _, u := range us {
		u.mu.Lock()
		u.behaviour, u.others = b, us
		u.mu.Unlock()
	}
}

// CrashOn makes runs that isFatal selects crash the upstream as it begins to answer them. The returned channel is closed by
// the crash.
func (u *Upstream) CrashOn(isFatal func(Run) bool) <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isFatal, u.crashed = isFatal, make(chan struct{})
	return u.crashed
}

// restoreOthers makes the other upstreams respond normally.
func (u *Upstream) restoreOthers(others []*Upstream) {
	for _, other := range others {
		if other != u {
			other.SetBehaviour(Responds)
		}
	}
}

// SetDelay sets how long each run takes before its response.
func (u *Upstream) SetDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delay = d
}

// SetPause sets the time between two events of a stream.
func (u *Upstream) SetPause(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pause = d
}

// SetLimit names a limit of requests per second in all answers that follow; an empty one ends that.
func (u *Upstream) SetLimit(limit string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = limit
}

// SetRetryAfter sets the Retry-After header of all rejections that follow.
func (u *Upstream) SetRetryAfter(seconds string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retryAfter = seconds
}

// SetLeaving makes all answers that follow say that the upstream leaves.
func (u *Upstream) SetLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// Runs returns the requests that ran, in the order of their arrival.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Rejections returns the requests that were rejected, in the order of their arrival.
func (u *Upstream) Rejections() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.rejected...)
}

// Canceled returns how many runs were cancelled because the client closed the connection.
func (u *Upstream) Canceled() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.canceled
}

// DropHandles deletes the KV cache handles of all prefilled prompts.
func (u *Upstream) DropHandles() {
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.handles)
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	limit, leaving := u.limit, u.leaving
	u.mu.Unlock()
	if limit != "" {
		w.Header().Set(HeaderLimit, limit)
	}
	if leaving {
		w.Header().Set(HeaderLeaving, "1")
	}
	if r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/-/kv-handle/") {
		u.mu.Lock()
		delete(u.handles, strings.TrimPrefix(r.URL.Path, "/-/kv-handle/"))
		u.mu.Unlock()
		return
	}
	if r.URL.Path == "/-/report" {
		u.report(w, r)
		return
	}
	id := r.Header.Get(HeaderAttempt)
	w.Header().Set(HeaderAttempt, id)
	if expected := r.Header.Get(HeaderExpect); expected != "" && expected != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	behaviour, delay, others, isFatal := u.behaviour, u.delay, u.others, u.isFatal
	u.mu.Unlock()
	if behaviour != Responds {
		u.restoreOthers(others)
	}
	prefillOnly := r.Header.Get(HeaderStage) == "prefill"
	run := Run{
		At: time.Now(), Method: r.Method, URI: r.RequestURI, Body: string(body), Header: r.Header.Clone(),
		PrefillOnly: prefillOnly,
	}
	if behaviour == Rejects {
		u.mu.Lock()
		u.rejected = append(u.rejected, run)
		retryAfter := u.retryAfter
		u.mu.Unlock()
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.Header().Set(HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.mu.Lock()
	u.runs = append(u.runs, run)
	handle := fmt.Sprintf("h%d", len(u.runs))
	if prefillOnly {
		u.handles[handle] = true
	}
	u.mu.Unlock()
	fatal := isFatal != nil && isFatal(run)
	u.wait(r, behaviour, delay)
	if fatal && !prefillOnly && r.Context().Err() == nil {
		u.crash()
	}
	switch {
	case behaviour == Resets || behaviour == Hangs:
		panic(http.ErrAbortHandler)
	case prefillOnly:
		writeJSON(w, http.StatusOK, map[string]any{"kv-handle": handle, "tokens": 1})
	case u.Events > 0:
		u.stream(w, r, behaviour)
	case strings.HasPrefix(r.URL.Path, LargePath):
		w.Header().Set(HeaderSignature, u.ID+".1")
		_, _ = w.Write(largeBody)
	default:
		u.respond(w, behaviour)
	}
}

// LargePath is the beginning of the paths at which plain services respond with a body of a megabyte.
const LargePath = "/lookups/large"

var largeBody = bytes.Repeat([]byte("large"), 200<<10)

// MemoryTokens is the memory size that engines report.
const MemoryTokens = 500_000

// report responds with the engine's state. Rejects and Resets affect reports as well.
func (u *Upstream) report(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.reports++
	behaviour := u.behaviour
	u.mu.Unlock()
	switch {
	case behaviour == Resets:
		panic(http.ErrAbortHandler)
	case behaviour == Rejects:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Header.Get(HeaderExpect) != u.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"stage": u.Stage, "kv-total": MemoryTokens})
	}
}

// Reports returns how often the upstream was asked for a report.
func (u *Upstream) Reports() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reports
}

func (u *Upstream) wait(r *http.Request, behaviour Behaviour, delay time.Duration) {
	if behaviour == Hangs {
		delay = time.Hour
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		u.mu.Lock()
		u.canceled++
		u.mu.Unlock()
	}
}

// ResponseBody is the body of a plain service's response.
const ResponseBody = "the whole answer"

func (u *Upstream) respond(w http.ResponseWriter, behaviour Behaviour) {
	h := w.Header()
	h.Set(HeaderSignature, u.ID+".1")
	status := http.StatusOK
	switch behaviour {
	case Fails:
		status = http.StatusInternalServerError
	case Unsigned:
		h.Del(HeaderSignature)
	case WrongAttempt:
		h.Set(HeaderAttempt, "another")
	case Truncates:
		h.Set("Content-Length", fmt.Sprint(len(ResponseBody)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, ResponseBody[:4])
		panic(http.ErrAbortHandler)
	case RespondsTwice:
		respondTwice(w, u.ID)
		return
	default:
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, ResponseBody)
}

// respondTwice writes a response and, on the same connection, a second one without a request.
func respondTwice(w http.ResponseWriter, id string) {
	attempt := w.Header().Get(HeaderAttempt)
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	for _, attemptID := range []string{attempt, "another"} {
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\nContent-Length: %d\r\n\r\n%s",
			HeaderAttempt, attemptID, HeaderSignature, id, len(ResponseBody), ResponseBody)
	}
	time.Sleep(50 * time.Millisecond)
	_ = connection.Close()
}

func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	w.Header().Set(HeaderSignature, u.ID+".1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	u.mu.Lock()
	pause := u.pause
	u.mu.Unlock()
	last := 0
	_, _ = fmt.Sscan(r.Header.Get(HeaderLastEvent), &last)
	truncates := behaviour == Truncates || behaviour == TruncatesNew && last == 0
	for event := last + 1; event <= u.Events; event++ {
		if behaviour == SkipsEvent && event == u.Events-1 {
			continue
		}
		if truncates && event == u.Events/2+1 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", event)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event)
		_ = http.NewResponseController(w).Flush()
		if event < u.Events && pause > 0 {
			u.wait(r, Responds, pause)
		}
	}
}
