package platformer

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Behaviour is how an upstream answers.
type Behaviour int

// Behaviours of an upstream.
const (
	// Answers runs the request and answers it whole.
	Answers Behaviour = iota
	// Rejects answers 503 and states that the request did not run.
	Rejects
	// Fails runs the request and answers 500.
	Fails
	// Resets runs the request and closes the connection without an answer.
	Resets
	// Cuts runs the request and breaks its answer off in the middle, in a stream in the middle of an event.
	Truncates
	// Unsigned answers bytes that it doesn't vouch for.
	Unsigned
	// Crossed answers with another request's id.
	WrongAttempt
	// Trails sends a second answer after the first one.
	AnswersTwice
	// Skips leaves an event of its stream out.
	SkipsEvent
	// Hangs runs the request and never answers.
	Hangs
)

// Run is one request that reached an upstream and was not rejected.
type Run struct {
	At     time.Time
	Method string
	URI    string
	Body   string
	Header http.Header
	// PromptOnly is true when only the prompt was read.
	PrefillOnly bool
}

// Upstream stands in for a server of the platform. Streams have the events 1 to Events.
type Upstream struct {
	ID     string
	Events int
	Stage  string
	server *httptest.Server

	mu        sync.Mutex
	behaviour Behaviour
	// others answer once this one has misbehaved.
	others   []*Upstream
	runs     []Run
	rejected []Run
	canceled int
	handles  map[string]bool
	delay    time.Duration
}

// NewUpstream starts an upstream; stage is empty for a plain service.
func NewUpstream(id, stage string, events int) *Upstream {
	u := &Upstream{ID: id, Stage: stage, Events: events, handles: map[string]bool{}}
	u.server = httptest.NewServer(u)
	return u
}

// Close stops the upstream.
func (u *Upstream) Close() {
	u.server.CloseClientConnections()
	u.server.Close()
}

// Address returns IP:PORT.
func (u *Upstream) Address() string { return strings.TrimPrefix(u.server.URL, "http://") }

// Entry returns the upstream's record in the store.
func (u *Upstream) Entry(service, state string) []byte {
	return u.EntryAt(u.Address(), service, state)
}

// EntryAt returns the upstream's record with another address, of a proxy in front of it.
func (u *Upstream) EntryAt(address, service, state string) []byte {
	return fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"here","version":"v1","slots":6,"state":%q,"stage":%q,"sequence":1,"born":1}`,
		service, address, state, u.Stage)
}

// SetBehaviour changes how the upstream answers from now on.
func (u *Upstream) SetBehaviour(b Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
}

// Misbehave makes the upstream that is asked first behave in one way, and the others answer.
func Misbehave(b Behaviour, us ...*Upstream) {
	for _, u := range us {
		u.mu.Lock()
		u.behaviour, u.others = b, us
		u.mu.Unlock()
	}
}

// spare makes the others answer.
func (u *Upstream) restoreOthers(others []*Upstream) {
	for _, other := range others {
		if other != u {
			other.SetBehaviour(Answers)
		}
	}
}

// SetDelay is the time that each run takes before its answer.
func (u *Upstream) SetDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delay = d
}

// Runs returns the requests that ran.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Rejections returns the requests that were rejected.
func (u *Upstream) Rejections() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.rejected...)
}

// Canceled returns how many runs were ended by a closed connection.
func (u *Upstream) Canceled() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.canceled
}

// DropHandles makes the upstream forget the prompts that it has read.
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
	if r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/-/kv-handle/") {
		u.mu.Lock()
		delete(u.handles, strings.TrimPrefix(r.URL.Path, "/-/kv-handle/"))
		u.mu.Unlock()
		return
	}
	id := r.Header.Get(HeaderAttempt)
	w.Header().Set(HeaderAttempt, id)
	if expected := r.Header.Get(HeaderExpect); expected != "" && expected != u.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	behaviour, delay, others := u.behaviour, u.delay, u.others
	u.mu.Unlock()
	if behaviour != Answers {
		u.restoreOthers(others)
	}
	promptOnly := r.Header.Get(HeaderStage) == "prefill"
	run := Run{
		At: time.Now(), Method: r.Method, URI: r.RequestURI, Body: string(body), Header: r.Header.Clone(), PrefillOnly: promptOnly,
	}
	if behaviour == Rejects {
		u.mu.Lock()
		u.rejected = append(u.rejected, run)
		u.mu.Unlock()
		w.Header().Set(HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.mu.Lock()
	u.runs = append(u.runs, run)
	handle := fmt.Sprintf("h%d", len(u.runs))
	if promptOnly {
		u.handles[handle] = true
	}
	u.mu.Unlock()
	u.wait(r, behaviour, delay)
	switch {
	case behaviour == Resets || behaviour == Hangs:
		panic(http.ErrAbortHandler)
	case promptOnly:
		writeJSON(w, http.StatusOK, map[string]any{"kv-handle": handle, "tokens": 1})
	case u.Events > 0:
		u.stream(w, r, behaviour)
	default:
		u.answer(w, behaviour)
	}
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

// Body is the answer of a plain service.
const AnswerBody = "the whole answer"

func (u *Upstream) answer(w http.ResponseWriter, behaviour Behaviour) {
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
		h.Set("Content-Length", fmt.Sprint(len(AnswerBody)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, AnswerBody[:4])
		panic(http.ErrAbortHandler)
	case AnswersTwice:
		answerTwice(w, u.ID)
		return
	default:
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, AnswerBody)
}

// trail writes an answer and, on the same connection, a second one that nobody asked for.
func answerTwice(w http.ResponseWriter, id string) {
	attempt := w.Header().Get(HeaderAttempt)
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	for _, of := range []string{attempt, "another"} {
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\nContent-Length: %d\r\n\r\n%s",
			HeaderAttempt, of, HeaderSignature, id, len(AnswerBody), AnswerBody)
	}
	time.Sleep(50 * time.Millisecond)
	_ = connection.Close()
}

func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	w.Header().Set(HeaderSignature, u.ID+".1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	for event := last + 1; event <= u.Events; event++ {
		if behaviour == SkipsEvent && event == u.Events-1 {
			continue
		}
		if behaviour == Truncates && event == u.Events/2+1 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", event)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event)
		_ = http.NewResponseController(w).Flush()
	}
}
