package emulator

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
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
	// Fails runs the request and responds with status 500, to a stream that is resumed with 404.
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
	// FailsAsBusy and FailsAsMisdirected run the request and respond with status 503 or 421, but don't state that it did not
	// run.
	FailsAsBusy
	FailsAsMisdirected
	// RefusesUnnamed runs the request and sends a refusal without an attempt ID before its response.
	RefusesUnnamed
	// RepeatsRefusal rejects every second request. It runs the others, and sends the latest refusal once more before the
	// response.
	RepeatsRefusal
	// CutsHead runs the request and closes the connection within the head of the response.
	CutsHead
	// ResumesWrongly responds to a resumed stream with status 200 and something else than the events that are due, each
	// of WrongResumptions in turn. It truncates the streams that begin at the upstream.
	ResumesWrongly
	// CopiesRefusals rejects every second request, with status 503, 429, 421 and 400 in turn, and writes the refusal once more:
	// at once, before the answer to the next request, or behind it, in turn, and before the answer when its request comes
	// again. Connections are kept.
	CopiesRefusals
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
	// Born is the start of the upstream in Unix milliseconds.
	Born int64
	// written counts the records that the upstream has written.
	written atomic.Uint64
	server  *httptest.Server

	mu        sync.Mutex
	behaviour Behaviour
	// others are set to Responds when this upstream first shows its fault.
	others   []*Upstream
	runs     []Run
	rejected []Run
	canceled int
	reports  int
	// refused is the attempt ID of the latest rejected request, resumptions counts the streams that were resumed wrongly.
	refused     string
	resumptions int
	// copies is what CopiesRefusals writes.
	copies  copies
	handles map[string]bool
	delay   time.Duration
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
	u.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: u, ConnContext: withConn}}
	u.server.Start()
}

// NewUpstream starts an upstream on the network.
func (n *Network) NewUpstream(id, stage string, events int) *Upstream {
	u := newUpstream(id, stage, events)
	u.server = n.Serve(u)
	return u
}

// RestartUpstream ends an upstream of the network without notice. The returned function starts it again under its id and
// address, with a software version.
func (n *Network) RestartUpstream(u *Upstream) func(version string) *Upstream {
	address := u.Address()
	u.Close()
	return func(version string) *Upstream {
		next := newUpstream(u.ID, u.Stage, u.Events)
		next.Version, next.Born = version, u.Born+1
		l, err := n.Listen(address)
		if err != nil {
			panic(err)
		}
		next.server = &httptest.Server{Listener: l, Config: &http.Server{Handler: next}}
		next.server.Start()
		return next
	}
}

func newUpstream(id, stage string, events int) *Upstream {
	return &Upstream{ID: id, Stage: stage, Events: events, Version: "v1", Born: 1, handles: map[string]bool{}}
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
		`{"service":%q,"address":%q,"zone":"here","version":%q,"slots":6,"state":%q,"stage":%q,"sequence":%d,"born":%d}`,
		service, address, u.Version, state, u.Stage, u.written.Add(1), u.Born)
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

// Reports returns how often the upstream was asked for a report.
func (u *Upstream) Reports() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reports
}
