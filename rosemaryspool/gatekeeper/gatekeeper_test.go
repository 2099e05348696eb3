package gatekeeper

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/platformer"
)

// Routes of the test's configuration, by what they serve.
const (
	orders   = "/orders/"
	lookups  = "/lookups/"
	verdicts = "/verdicts/"
	notes    = "/notes/"
)

const routeTable = `{"version":%d,"routes":[
{"name":"orders","host":"h.example","path-prefix":"/orders/","kind":"non_idempotent","timeout-ms":1000,
 "target-latency-ms":300,"priority":2,"max-attempts":1,"service":"plain"},
{"name":"lookups","host":"h.example","path-prefix":"/lookups/","kind":"idempotent","timeout-ms":1000,
 "target-latency-ms":300,"priority":2,"max-attempts":2,"service":"plain"},
{"name":"verdicts","host":"h.example","path-prefix":"/verdicts/","kind":"streaming","timeout-ms":2000,
 "target-latency-ms":120,"priority":0,"max-attempts":2,"resumable":true,"service":"model"},
{"name":"notes","host":"h.example","path-prefix":"/notes/","kind":"streaming","timeout-ms":2000,
 "target-latency-ms":200,"priority":1,"max-attempts":1,"service":"model"}],
"services":[{"name":"plain","max-connections":100},{"name":"model","max-connections":100,"engine":{"slots":6}}]}`

// anyAddress lets the system choose a free port.
const anyAddress = "127.0.0.1:0"

// world is one instance before stand-ins of the platform.
type world struct {
	t     *testing.T
	store *platformer.Store
	url   string
	ready string
	stop  context.CancelFunc
	gate  *Gatekeeper
}

// newWorld starts an instance whose store lists the upstreams; those with a stage serve the model.
func newWorld(t *testing.T, upstreams ...*platformer.Upstream) *world {
	t.Helper()
	w := &world{t: t, store: platformer.NewStore()}
	store := httptest.NewServer(w.store)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	for _, u := range upstreams {
		t.Cleanup(u.Close)
		w.list(u, "ready")
	}
	settings := platform.Settings{
		Instance: "spool-1", DataCentre: "here", CallerAddress: anyAddress, ReadinessAddress: anyAddress,
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:0"), MetricsAddress: anyAddress,
		StoreAddress:  strings.TrimPrefix(store.URL, "http://"),
		MaxDrainDelay: 600 * time.Millisecond, MaxApplyDelay: 600 * time.Millisecond,
		TerminationGracePeriod: 1500 * time.Millisecond, RetryBudgetRatio: 0.2, RetryBudgetExtra: 54, RetryWindow: 10 * time.Second,
	}
	gate, err := NewGatekeeper(settings, zerolog.New(zerolog.NewTestWriter(t)), metrics.NewRegistry())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	w.gate, w.stop = gate, cancel
	ended := make(chan error, 1)
	go func() { ended <- gate.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-gate.Done()
		require.NoError(t, <-ended)
	})
	w.url, w.ready = "http://"+gate.CallerAddress(), "http://"+gate.ReadyAddress()+platform.ReadinessPath
	require.Eventually(t, func() bool { return w.answers() }, time.Second, time.Millisecond)
	return w
}

// newReadyWorld also writes the configuration and waits until the instance serves it.
func newReadyWorld(t *testing.T, upstreams ...*platformer.Upstream) *world {
	t.Helper()
	w := newWorld(t, upstreams...)
	w.configure(1)
	require.Eventually(t, func() bool { return w.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
	return w
}

func (w *world) configure(version int) {
	w.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, fmt.Appendf(nil, routeTable, version))
}

func (w *world) list(u *platformer.Upstream, state string) {
	service := "plain"
	if u.Stage != "" {
		service = "model"
	}
	w.store.Put(platform.TopicServers, u.ID, u.Entry(service, state))
}

func (w *world) answers() bool {
	c, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		return false
	}
	return c.Close() == nil
}

func (w *world) readiness() int {
	response, err := http.Get(w.ready)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// reply is an answer as the caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	// whole is false when the answer broke off.
	whole bool
	// last is true when the answer announces the connection's end.
	last bool
}

// ask sends a request with extra headers and reads its answer to the end.
func (w *world) ask(method, path, body string, headers ...string) reply {
	w.t.Helper()
	request, err := http.NewRequest(method, w.url+path, strings.NewReader(body))
	require.NoError(w.t, err)
	request.Host = "h.example"
	request.Header.Set(platformer.HeaderAttempt, "a1")
	request.Header.Set(platformer.HeaderDeadline, "900")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	require.NoError(w.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(content), whole: err == nil, last: response.Close}
}

// prompt are the headers of a model request.
func prompt() []string {
	return []string{
		platformer.HeaderTokens, "9000,390", platformer.HeaderPrompt, "aa:2500,bb:3500,cc:3000",
		platformer.HeaderModel, "m",
	}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func plain(id string) *platformer.Upstream { return platformer.NewUpstream(id, "", 0) }

func runs(us ...*platformer.Upstream) int {
	n := 0
	for _, u := range us {
		n += len(u.Runs())
	}
	return n
}

func TestWithoutConfigurationRequestsAreRefusedAndNotDenied(t *testing.T) {
	u := plain("u1")
	w := newWorld(t, u)
	r := w.ask(http.MethodGet, lookups+"x", "")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Equal(t, http.StatusServiceUnavailable, w.readiness())
	w.configure(1)
	require.Eventually(t, func() bool { return w.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
	require.Equal(t, http.StatusNotFound, w.ask(http.MethodGet, "/unknown/", "").status)
}

func TestRequestsReachTheUpstreamByteForByte(t *testing.T) {
	u := plain("u1")
	w := newReadyWorld(t, u)
	uri := lookups + "a%2Fb/../c//d?x=%zz&y=1;2"
	connection, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	require.NoError(t, err)
	defer connection.Close()
	fmt.Fprintf(connection, "PUT %s HTTP/1.1\r\nHost: h.example\r\n%s: a7\r\n", uri, platformer.HeaderAttempt)
	for _, name := range platformer.InstanceHeaders {
		fmt.Fprintf(connection, "%s: forged\r\n", name)
	}
	fmt.Fprint(connection, "X-Own: kept\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, u.Runs(), 1)
	run := u.Runs()[0]
	require.Equal(t, uri, run.URI)
	require.Equal(t, http.MethodPut, run.Method)
	require.Equal(t, "hello", run.Body)
	require.Equal(t, "kept", run.Header.Get("X-Own"))
	require.Equal(t, "u1", run.Header.Get(platformer.HeaderExpect))
	require.NotEmpty(t, run.Header.Get(platformer.HeaderDeadline))
	for _, name := range platformer.InstanceHeaders {
		require.NotEqual(t, "forged", run.Header.Get(name), name)
	}
	require.Empty(t, run.Header.Get("Accept-Encoding"))
	require.Empty(t, run.Header.Get("User-Agent"))
}

func TestPlainRequestsUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		// behaviour is that of the upstream that is asked first; the other one answers.
		behaviour platformer.Behaviour
		status    int
		runs      int
	}{
		{"an answer is passed on", orders, platformer.Answers, http.StatusOK, 1},
		{"a rejected order runs elsewhere", orders, platformer.Rejects, http.StatusOK, 1},
		{"a lost order is not repeated", orders, platformer.Resets, http.StatusBadGateway, 1},
		{"a lost lookup runs elsewhere", lookups, platformer.Resets, http.StatusOK, 2},
		{"a failed order's answer is passed on", orders, platformer.Fails, http.StatusInternalServerError, 1},
		{"a failed lookup runs elsewhere", lookups, platformer.Fails, http.StatusOK, 2},
		{"a cut order is not passed on as whole", orders, platformer.Truncates, http.StatusBadGateway, 1},
		{"a cut lookup runs elsewhere", lookups, platformer.Truncates, http.StatusOK, 2},
		{"an unsigned answer is not passed on", orders, platformer.Unsigned, http.StatusBadGateway, 1},
		{"another request's answer is not passed on", orders, platformer.WrongAttempt, http.StatusBadGateway, 1},
		{"a lookup with another request's answer runs elsewhere", lookups, platformer.WrongAttempt, http.StatusOK, 2},
		{"a hanging lookup runs elsewhere in time", lookups, platformer.Hangs, http.StatusOK, 2},
		{"a hanging order ends at its time limit", orders, platformer.Hangs, http.StatusGatewayTimeout, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := plain("u1"), plain("u2")
			w := newReadyWorld(t, a, b)
			platformer.Misbehave(c.behaviour, a, b)
			started := time.Now()
			r := w.ask(http.MethodPost, c.path+"x", "body")
			require.Less(t, time.Since(started), 1200*time.Millisecond)
			require.Equal(t, c.status, r.status)
			require.Equal(t, c.runs, runs(a, b))
			require.Equal(t, "a1", r.header.Get(platformer.HeaderAttempt))
			if c.status == http.StatusOK {
				require.Equal(t, platformer.AnswerBody, r.body)
				require.NotEmpty(t, r.header.Get(platformer.HeaderSignature))
			}
		})
	}
}

func TestRefusalSaysThatTheRequestDidNotRun(t *testing.T) {
	a, b := plain("u1"), plain("u2")
	a.SetBehaviour(platformer.Rejects)
	b.SetBehaviour(platformer.Rejects)
	w := newReadyWorld(t, a, b)
	r := w.ask(http.MethodPost, orders+"x", "body")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Zero(t, runs(a, b))
}

func TestASecondAnswerReachesNobody(t *testing.T) {
	u := plain("u1")
	w := newReadyWorld(t, u)
	u.SetBehaviour(platformer.AnswersTwice)
	require.Equal(t, platformer.AnswerBody, w.ask(http.MethodGet, lookups+"x", "").body)
	u.SetBehaviour(platformer.Answers)
	r := w.ask(http.MethodGet, lookups+"y", "", platformer.HeaderAttempt, "a2")
	require.Equal(t, "a2", r.header.Get(platformer.HeaderAttempt))
}

func TestLeavingUpstreamsGetNothingNew(t *testing.T) {
	a, b := plain("u1"), plain("u2")
	w := newReadyWorld(t, a, b)
	w.list(a, "draining")
	time.Sleep(700 * time.Millisecond)
	before := runs(a)
	// A late record of the time before doesn't bring it back.
	w.list(a, "ready")
	time.Sleep(400 * time.Millisecond)
	for range 10 {
		require.Equal(t, http.StatusOK, w.ask(http.MethodGet, lookups+"x", "").status)
	}
	require.Equal(t, before, runs(a))
}

func TestAnAddressOfAnotherUpstreamRunsNothing(t *testing.T) {
	a, b := plain("u1"), plain("u2")
	w := newWorld(t, b)
	t.Cleanup(a.Close)
	// The listed upstream is gone, and another one has its address.
	w.store.Put(platform.TopicServers, "ended", a.Entry("plain", "ready"))
	w.configure(1)
	require.Eventually(t, func() bool { return w.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
	time.Sleep(400 * time.Millisecond)
	for range 5 {
		require.Equal(t, http.StatusOK, w.ask(http.MethodPost, orders+"x", "body").status)
	}
	require.Zero(t, runs(a))
	require.Equal(t, 5, runs(b))
}

func TestTheEndOfACallerEndsItsRun(t *testing.T) {
	u := plain("u1")
	u.SetBehaviour(platformer.Hangs)
	w := newReadyWorld(t, u)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.url+lookups+"x", nil)
	require.NoError(t, err)
	request.Host = "h.example"
	go func() {
		time.Sleep(100 * time.Millisecond)
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(request)
	require.Error(t, err)
	require.Eventually(t, func() bool { return u.Canceled() == 1 }, 500*time.Millisecond, time.Millisecond)
	require.Equal(t, 1, runs(u))
}

func TestStreams(t *testing.T) {
	const all = 6
	for _, c := range []struct {
		name      string
		path      string
		behaviour platformer.Behaviour
		body      string
		whole     bool
		runs      int
	}{
		{"a stream is passed on", verdicts, platformer.Answers, events(1, all), true, 1},
		{"a cut stream is resumed after its last whole event", verdicts, platformer.Truncates, events(1, all), true, 2},
		{"a stream with a missing event is resumed before it", verdicts, platformer.SkipsEvent, events(1, all), true, 2},
		{"a cut stream that can't be resumed does not look whole", notes, platformer.Truncates, events(1, all/2), false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := platformer.NewUpstream("u1", "decode", all), platformer.NewUpstream("u2", "decode", all)
			w := newReadyWorld(t, a, b)
			platformer.Misbehave(c.behaviour, a, b)
			r := w.ask(http.MethodPost, c.path+"x", "prompt", prompt()...)
			require.Equal(t, http.StatusOK, r.status)
			require.Equal(t, c.body, r.body)
			require.Equal(t, c.whole, r.whole)
			require.Equal(t, c.runs, runs(a, b))
		})
	}
}

func TestAPromptIsReadByOneEngineAndAnsweredByAnother(t *testing.T) {
	reader, runner := platformer.NewUpstream("u1", "prefill", 2), platformer.NewUpstream("u2", "decode", 2)
	w := newReadyWorld(t, reader, runner)
	body := string(bytes.Repeat([]byte("p"), 40<<10))
	r := w.ask(http.MethodPost, verdicts+"x", body, prompt()...)
	require.Equal(t, events(1, 2), r.body)
	require.Len(t, reader.Runs(), 1)
	require.True(t, reader.Runs()[0].PrefillOnly)
	require.Len(t, runner.Runs(), 1)
	run := runner.Runs()[0]
	require.Equal(t, reader.Address()+"/h1", run.Header.Get(platformer.HeaderSource))
	require.Equal(t, body, run.Body)
	require.Equal(t, "2", run.Header.Get(platformer.HeaderPriority))
}

func TestAReaderThatFailsLeavesThePromptToTheRunner(t *testing.T) {
	for _, behaviour := range []platformer.Behaviour{platformer.Rejects, platformer.Resets, platformer.Hangs} {
		reader, runner := platformer.NewUpstream("u1", "prefill", 2), platformer.NewUpstream("u2", "decode", 2)
		reader.SetBehaviour(behaviour)
		w := newReadyWorld(t, reader, runner)
		r := w.ask(http.MethodPost, verdicts+"x", "prompt", prompt()...)
		require.Equal(t, events(1, 2), r.body, behaviour)
		require.Empty(t, runner.Runs()[0].Header.Get(platformer.HeaderSource))
	}
}

func TestAStreamThatDoesNotBeginRunsElsewhere(t *testing.T) {
	a, b := platformer.NewUpstream("u1", "decode", 3), platformer.NewUpstream("u2", "decode", 3)
	w := newReadyWorld(t, a, b)
	platformer.Misbehave(platformer.Hangs, a, b)
	started := time.Now()
	r := w.ask(http.MethodPost, verdicts+"x", "prompt", prompt()...)
	require.Equal(t, events(1, 3), r.body)
	require.Less(t, time.Since(started), 700*time.Millisecond)
}

func TestAPlannedStopEndsRunningRequestsWhole(t *testing.T) {
	u := plain("u1")
	u.SetDelay(200 * time.Millisecond)
	w := newReadyWorld(t, u)
	answer := make(chan reply, 1)
	go func() { answer <- w.ask(http.MethodPost, orders+"x", "body") }()
	require.Eventually(t, func() bool { return runs(u) == 1 }, time.Second, time.Millisecond)
	w.stop()
	require.Eventually(t, func() bool { return w.readiness() == http.StatusServiceUnavailable }, time.Second, time.Millisecond)
	r := <-answer
	require.Equal(t, http.StatusOK, r.status)
	require.True(t, r.whole)
	late := w.ask(http.MethodPost, orders+"x", "body")
	require.Equal(t, http.StatusOK, late.status, "requests that the balancer still sends are served")
	require.True(t, late.last)
	<-w.gate.Done()
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	a, b := plain("u1"), plain("u2")
	a.SetBehaviour(platformer.Fails)
	b.SetBehaviour(platformer.Fails)
	w := newReadyWorld(t, a, b)
	const requests = 120
	for range requests {
		w.ask(http.MethodGet, lookups+"x", "")
	}
	require.LessOrEqual(t, runs(a, b)-requests, int(0.2*requests+54))
}

func TestChangedSettingsAreInForceAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*platform.Settings)
		whole  bool
	}{
		{"a shorter stop", func(s *platform.Settings) { s.TerminationGracePeriod = 700 * time.Millisecond }, true},
		{"another address as well", func(s *platform.Settings) {
			s.TerminationGracePeriod, s.CallerAddress = 700*time.Millisecond, "127.0.0.1:9"
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newReadyWorld(t, platformer.NewUpstream("plain-1", "", 0))
			settings := w.gate.settings
			c.change(&settings)
			require.Equal(t, c.whole, w.gate.Reload(settings))
			started := time.Now()
			w.stop()
			<-w.gate.Done()
			require.Less(t, time.Since(started), (w.gate.settings.TerminationGracePeriod-stopMargin)/2, "the wait for the balancer before the change")
		})
	}
}
