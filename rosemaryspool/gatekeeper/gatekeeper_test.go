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
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/standin/emulator"
)

// Path prefixes of the routes in the test configuration: a non-idempotent one, an idempotent one, and three streaming
// ones, of which verdicts and dialogs are resumable; dialogs only by callers.
const (
	orders   = "/orders/"
	lookups  = "/lookups/"
	verdicts = "/verdicts/"
	notes    = "/notes/"
	dialogs  = "/dialogs/"
)

const routeTable = `{"version":%d,"routes":[
{"name":"orders","host":"h.example","path-prefix":"/orders/","kind":"non_idempotent","timeout-ms":1000,
 "target-latency-ms":300,"priority":2,"max-attempts":1,"service":"plain"},
{"name":"lookups","host":"h.example","path-prefix":"/lookups/","kind":"idempotent","timeout-ms":1000,
 "target-latency-ms":300,"priority":2,"max-attempts":2,"service":"plain"},
{"name":"verdicts","host":"h.example","path-prefix":"/verdicts/","kind":"streaming","timeout-ms":2000,
 "target-latency-ms":120,"priority":0,"max-attempts":2,"resumable":true,"service":"model"},
{"name":"notes","host":"h.example","path-prefix":"/notes/","kind":"streaming","timeout-ms":2000,
 "target-latency-ms":200,"priority":1,"max-attempts":1,"service":"model"},
{"name":"dialogs","host":"h.example","path-prefix":"/dialogs/","kind":"streaming","timeout-ms":2000,
 "target-latency-ms":200,"priority":1,"max-attempts":1,"resumable":true,"service":"model"}],
"services":[{"name":"plain","max-connections":100},{"name":"model","max-connections":100,"engine":{"slots":6}}]}`

// serviceOf returns the service of a route, and the stage of its upstreams.
func serviceOf(path string) (service, stage string) {
	if path == orders || path == lookups {
		return "plain", ""
	}
	return "model", "decode"
}

// anyAddress makes the operating system choose a free port.
const anyAddress = "127.0.0.1:0"

// testInstance is one instance with a fake store and fake upstreams.
type testInstance struct {
	t     testing.TB
	store *emulator.Store
	// dial opens connections to the instance.
	dial       connector.Dial
	url        string
	readyURL   string
	stop       context.CancelFunc
	gatekeeper *Gatekeeper
	// link is the instance's path to the upstreams, on a network in memory.
	link *link
}

// newTestInstance starts an instance whose store lists the upstreams. Those with a stage belong to the model service.
// There is no configuration yet.
func newTestInstance(t *testing.T, upstreams ...*emulator.Upstream) *testInstance {
	t.Helper()
	store := newTestStore(t)
	for _, u := range upstreams {
		t.Cleanup(u.Close)
		putUpstream(store.Store, u, "ready")
	}
	return startTestInstance(t, store, testSettings(store))
}

// testStore is a fake store with its address.
type testStore struct {
	*emulator.Store
	address string
	// network is where the store is reached; nil for the operating system's.
	network *emulator.Network
	// separation cuts the instances that are started with it off from the store and from the others; nil if none does.
	separation *separation
}

// newMemoryStore starts a store on a network in memory, for a test on the paused clock.
func newMemoryStore(t testing.TB) testStore {
	t.Helper()
	store, network := emulator.NewStore(), emulator.NewNetwork()
	server := network.Serve(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return testStore{Store: store, address: server.Listener.Addr().String(), network: network}
}

// newUpstream starts an upstream on the network of the store.
func (s testStore) newUpstream(t testing.TB, id, stage string, events int) *emulator.Upstream {
	t.Helper()
	start := emulator.NewUpstream
	if s.network != nil {
		start = s.network.NewUpstream
	}
	u := start(id, stage, events)
	t.Cleanup(u.Close)
	return u
}

// openers returns the network of the store, as an instance uses it.
func (s testStore) openers() Network {
	if s.network == nil {
		return NewNetwork()
	}
	network := Network{
		Listen:          s.network.Listen,
		ListenDatagrams: func(address string) (courier.Socket, error) { return s.network.ListenDatagrams(address) },
		Dial:            s.network.Dial,
		DialStore: func(ctx context.Context, _, address string) (net.Conn, error) {
			return s.network.Dial(ctx, address)
		},
	}
	if s.separation != nil {
		return s.separation.wrap(network)
	}
	return network
}

func newTestStore(t *testing.T) testStore {
	t.Helper()
	store := emulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return testStore{Store: store, address: strings.TrimPrefix(server.URL, "http://")}
}

func testSettings(store testStore) platform.Settings {
	return platform.Settings{
		Instance: "spool-1", DataCentre: "here", CallerAddress: anyAddress, ReadinessAddress: anyAddress,
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:0"), MetricsAddress: anyAddress,
		StoreAddress:  store.address,
		MaxDrainDelay: 600 * time.Millisecond, MaxApplyDelay: 600 * time.Millisecond,
		TerminationGracePeriod: 1500 * time.Millisecond,
		RetryBudgetRatio:       0.2, RetryBudgetExtra: 54, RetryWindow: 10 * time.Second,
	}
}

// startTestInstance starts an instance that follows a store.
func startTestInstance(t testing.TB, store testStore, settings platform.Settings) *testInstance {
	t.Helper()
	return startLoggingInstance(t, store, settings, zerolog.NewTestWriter(t))
}

// startLoggingInstance starts an instance that writes its log to a writer.
func startLoggingInstance(t testing.TB, store testStore, settings platform.Settings, log io.Writer) *testInstance {
	t.Helper()
	network := store.openers()
	ti := &testInstance{t: t, store: store.Store, dial: network.Dial, link: newLink(network.Dial)}
	if store.network != nil {
		network.Dial = ti.link.dial
	}
	gatekeeper, err := NewGatekeeper(settings, network, zerolog.New(log), metrics.NewRegistry())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ti.gatekeeper, ti.stop = gatekeeper, cancel
	ended := make(chan error, 1)
	go func() { ended <- gatekeeper.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-gatekeeper.Done()
		require.NoError(t, <-ended)
	})
	ti.url, ti.readyURL = "http://"+gatekeeper.CallerAddress(), "http://"+gatekeeper.ReadyAddress()+platform.ReadinessPath
	require.Eventually(t, func() bool { return ti.acceptsConnections() }, time.Second, time.Millisecond)
	return ti
}

// newReadyTestInstance also writes the configuration and waits until the instance is ready.
func newReadyTestInstance(t *testing.T, upstreams ...*emulator.Upstream) *testInstance {
	t.Helper()
	ti := newTestInstance(t, upstreams...)
	ti.makeReady()
	return ti
}

// newMemoryInstance starts an instance on a network in memory and waits until it is ready. Its store lists the upstreams.
func newMemoryInstance(t *testing.T, store testStore, upstreams ...*emulator.Upstream) *testInstance {
	t.Helper()
	for _, u := range upstreams {
		putUpstream(store.Store, u, "ready")
	}
	ti := startTestInstance(t, store, testSettings(store))
	ti.makeReady()
	return ti
}

// makeReady writes the configuration and waits until the instance is ready.
func (ti *testInstance) makeReady() {
	ti.t.Helper()
	ti.configure(1)
	require.Eventually(ti.t, func() bool { return ti.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
}

func (ti *testInstance) configure(version int) {
	ti.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, fmt.Appendf(nil, routeTable, version))
}

func (ti *testInstance) putUpstream(u *emulator.Upstream, state string) {
	putUpstream(ti.store, u, state)
}

func putUpstream(store *emulator.Store, u *emulator.Upstream, state string) {
	service := "plain"
	if u.Stage != "" {
		service = "model"
	}
	store.Put(platform.TopicServers, u.ID, u.Entry(service, state))
}

func (ti *testInstance) acceptsConnections() bool {
	c, err := ti.dial(ti.t.Context(), strings.TrimPrefix(ti.url, "http://"))
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// client returns a client of the instance that opens a connection for each request.
func (ti *testInstance) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return ti.dial(ctx, address) },
		DisableKeepAlives: true, DisableCompression: true,
	}}
}

func (ti *testInstance) readiness() int {
	response, err := ti.client().Get(ti.readyURL)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// callerResponse is a response as the caller receives it.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// complete is false when the response broke off.
	complete bool
	// closesConnection is true when the response has the header Connection: close.
	closesConnection bool
}

// send sends a request with extra headers, given as names and values in turn, and reads its response to the end.
func (ti *testInstance) send(method, path, body string, headers ...string) callerResponse {
	ti.t.Helper()
	response, err := ti.trySend(method, path, body, headers...)
	require.NoError(ti.t, err)
	return response
}

// trySend does the same. It returns an error if the connection is closed without a response.
func (ti *testInstance) trySend(method, path, body string, headers ...string) (callerResponse, error) {
	ti.t.Helper()
	request, err := http.NewRequest(method, ti.url+path, strings.NewReader(body))
	require.NoError(ti.t, err)
	request.Host = "h.example"
	request.Header.Set(emulator.HeaderAttempt, "a1")
	request.Header.Set(emulator.HeaderDeadline, "900")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	received, err := ti.client().Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer received.Body.Close()
	content, err := io.ReadAll(received.Body)
	return callerResponse{
		status: received.StatusCode, header: received.Header, body: string(content),
		complete: err == nil, closesConnection: received.Close,
	}, nil
}

// promptHeaders returns the headers of a model request.
func promptHeaders() []string {
	return []string{
		emulator.HeaderTokens, "9000,390", emulator.HeaderPrompt, "aa:2500,bb:3500,cc:3000",
		emulator.HeaderModel, "m",
	}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func newPlainUpstream(id string) *emulator.Upstream { return emulator.NewUpstream(id, "", 0) }

func countRuns(us ...*emulator.Upstream) int {
	n := 0
	for _, u := range us {
		n += len(u.Runs())
	}
	return n
}

func TestWithoutConfigurationRequestsAreRefusedNotNotFound(t *testing.T) {
	u := newPlainUpstream("u1")
	ti := newTestInstance(t, u)
	r := ti.send(http.MethodGet, lookups+"x", "")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Equal(t, http.StatusServiceUnavailable, ti.readiness())
	ti.makeReady()
	require.Equal(t, http.StatusNotFound, ti.send(http.MethodGet, "/unknown/", "").status)
}

func TestRequestsReachTheUpstreamByteForByte(t *testing.T) {
	u := newPlainUpstream("u1")
	ti := newReadyTestInstance(t, u)
	uri := lookups + "a%2Fb/../c//d?x=%zz&y=1;2"
	connection, err := net.Dial("tcp", strings.TrimPrefix(ti.url, "http://"))
	require.NoError(t, err)
	defer connection.Close()
	fmt.Fprintf(connection, "PUT %s HTTP/1.1\r\nHost: h.example\r\n%s: a7\r\n", uri, emulator.HeaderAttempt)
	for _, name := range emulator.InstanceHeaders {
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
	require.Equal(t, "u1", run.Header.Get(emulator.HeaderExpect))
	require.NotEmpty(t, run.Header.Get(emulator.HeaderDeadline))
	for _, name := range emulator.InstanceHeaders {
		require.NotEqual(t, "forged", run.Header.Get(name), name)
	}
	require.Empty(t, run.Header.Get("Accept-Encoding"))
	require.Empty(t, run.Header.Get("User-Agent"))
}

func TestPlainRequestsUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		// behaviour is that of the upstream that gets the request first; the other one responds normally.
		behaviour emulator.Behaviour
		status    int
		runs      int
	}{
		{"response: forwarded", orders, emulator.Responds, http.StatusOK, 1},
		{"non-idempotent, rejected: retried", orders, emulator.Rejects, http.StatusOK, 1},
		{"non-idempotent, connection reset: not retried", orders, emulator.Resets, http.StatusBadGateway, 1},
		{"idempotent, connection reset: retried", lookups, emulator.Resets, http.StatusOK, 2},
		{"non-idempotent, server error: forwarded", orders, emulator.Fails, http.StatusInternalServerError, 1},
		{"idempotent, server error: retried", lookups, emulator.Fails, http.StatusOK, 2},
		{"non-idempotent, truncated response: not forwarded", orders, emulator.Truncates, http.StatusBadGateway, 1},
		{"idempotent, truncated response: retried", lookups, emulator.Truncates, http.StatusOK, 2},
		{"non-idempotent, unsigned response: not forwarded", orders, emulator.Unsigned, http.StatusBadGateway, 1},
		{
			"non-idempotent, response to another request: not forwarded", orders,
			emulator.WrongAttempt, http.StatusBadGateway, 1,
		},
		{"idempotent, response to another request: retried", lookups, emulator.WrongAttempt, http.StatusOK, 2},
		{"idempotent, no response: retried in time", lookups, emulator.Hangs, http.StatusOK, 2},
		{"non-idempotent, no response: timeout", orders, emulator.Hangs, http.StatusGatewayTimeout, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				a, b := store.newUpstream(t, "u1", "", 0), store.newUpstream(t, "u2", "", 0)
				ti := newMemoryInstance(t, store, a, b)
				emulator.Misbehave(c.behaviour, a, b)
				started := time.Now()
				r := ti.send(http.MethodPost, c.path+"x", "body")
				require.Less(t, time.Since(started), 1200*time.Millisecond)
				require.Equal(t, c.status, r.status)
				require.Equal(t, c.runs, countRuns(a, b))
				require.Equal(t, "a1", r.header.Get(emulator.HeaderAttempt))
				if c.status == http.StatusOK {
					require.Equal(t, emulator.ResponseBody, r.body)
					require.NotEmpty(t, r.header.Get(emulator.HeaderSignature))
				}
			})
		})
	}
}

func TestRefusalSaysThatTheRequestDidNotRun(t *testing.T) {
	a, b := newPlainUpstream("u1"), newPlainUpstream("u2")
	a.SetBehaviour(emulator.Rejects)
	b.SetBehaviour(emulator.Rejects)
	ti := newReadyTestInstance(t, a, b)
	r := ti.send(http.MethodPost, orders+"x", "body")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Zero(t, countRuns(a, b))
}

func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	u := newPlainUpstream("u1")
	ti := newReadyTestInstance(t, u)
	u.SetBehaviour(emulator.RespondsTwice)
	require.Equal(t, emulator.ResponseBody, ti.send(http.MethodGet, lookups+"x", "").body)
	u.SetBehaviour(emulator.Responds)
	r := ti.send(http.MethodGet, lookups+"y", "", emulator.HeaderAttempt, "a2")
	require.Equal(t, "a2", r.header.Get(emulator.HeaderAttempt))
}

func TestDrainingUpstreamsGetNoNewRequests(t *testing.T) {
	a, b := newPlainUpstream("u1"), newPlainUpstream("u2")
	ti := newReadyTestInstance(t, a, b)
	ti.putUpstream(a, "draining")
	time.Sleep(700 * time.Millisecond)
	before := countRuns(a)
	// A late record of the earlier state doesn't restore it.
	ti.putUpstream(a, "ready")
	time.Sleep(400 * time.Millisecond)
	for range 10 {
		require.Equal(t, http.StatusOK, ti.send(http.MethodGet, lookups+"x", "").status)
	}
	require.Equal(t, before, countRuns(a))
}

func TestEngineThatLeavesDuringThePrefillGetsNoRequest(t *testing.T) {
	for _, leaving := range []string{"u2", "u3"} {
		prefill := emulator.NewUpstream("u1", "prefill", 2)
		decode := map[string]*emulator.Upstream{
			"u2": emulator.NewUpstream("u2", "decode", 2), "u3": emulator.NewUpstream("u3", "decode", 2),
		}
		prefill.SetDelay(100 * time.Millisecond)
		ti := newReadyTestInstance(t, prefill, decode["u2"], decode["u3"])
		go func() {
			assert.Eventually(t, func() bool { return len(prefill.Runs()) == 1 }, time.Second, time.Millisecond)
			ti.gatekeeper.governor.UpdateUpstreams(time.Now(), governor.Origin{}, func(tr *tracker.Tracker) bool {
				e, err := platform.DecodeServer(leaving, decode[leaving].Entry("model", "draining"))
				return err == nil && tr.Update(e, 1000)
			})
		}()
		r := ti.send(http.MethodPost, verdicts+"x", string(bytes.Repeat([]byte("p"), 40<<10)), promptHeaders()...)
		require.Equal(t, events(1, 2), r.body, leaving)
		require.Zero(t, countRuns(decode[leaving]), leaving)
	}
}

// requireRate requires that an upstream got at most 1.5 times the limit that it named, and 5 requests, in any 4 s.
func requireRate(t *testing.T, u *emulator.Upstream, since time.Time, perSecond float64) {
	t.Helper()
	const window = 4 * time.Second
	runs := u.Runs()
	for first := range runs {
		if runs[first].At.Before(since) {
			continue
		}
		count := 0
		for _, run := range runs[first:] {
			if run.At.Sub(runs[first].At) <= window {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), 1.5*perSecond*window.Seconds()+5)
	}
}

func TestUpstreamGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	synctest.Test(t, testUpstreamGetsNoMoreThanTheRateThatItNames)
}

func testUpstreamGetsNoMoreThanTheRateThatItNames(t *testing.T) {
	store := newMemoryStore(t)
	limited, other := store.newUpstream(t, "u1", "", 0), store.newUpstream(t, "u2", "", 0)
	limited.SetDelay(5 * time.Millisecond)
	other.SetDelay(5 * time.Millisecond)
	ti := newMemoryInstance(t, store, limited, other)
	limited.SetLimit("5.5")
	started := time.Now()
	var group conc.WaitGroup
	for range 4 {
		group.Go(func() {
			for time.Since(started) < 5*time.Second {
				assert.Equal(t, http.StatusOK, ti.send(http.MethodGet, lookups+"x", "").status)
			}
		})
	}
	group.Wait()
	requireRate(t, limited, started.Add(500*time.Millisecond), 5.5)
	require.Greater(t, countRuns(limited), 15, "the upstream gets what it can take")
}

func TestUpstreamThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	for _, c := range []struct {
		name      string
		behaviour emulator.Behaviour
		stage     string
		path      string
	}{
		{"response", emulator.Responds, "", lookups},
		{"failure", emulator.Fails, "", lookups},
		{"rejection", emulator.Rejects, "", lookups},
		{"stream", emulator.Responds, "decode", verdicts},
		{"rejected stream", emulator.Rejects, "decode", verdicts},
	} {
		t.Run(c.name, func(t *testing.T) {
			leaving, other := emulator.NewUpstream("u1", c.stage, 2), emulator.NewUpstream("u2", c.stage, 2)
			ti := newReadyTestInstance(t, leaving, other)
			ti.store.SetFault(emulator.Silent)
			leaving.SetLeaving()
			leaving.SetBehaviour(c.behaviour)
			arrived := func() int { return countRuns(leaving) + len(leaving.Rejections()) }
			for arrived() == 0 {
				ti.send(http.MethodGet, c.path+"x", "", emulator.HeaderTokens, "900,2")
			}
			for range 20 {
				require.Equal(t, http.StatusOK, ti.send(http.MethodGet, c.path+"x", "", emulator.HeaderTokens, "900,2").status)
			}
			require.Equal(t, 1, arrived())
		})
	}
}

func TestUpstreamThatAsksToWaitGetsNoRequests(t *testing.T) {
	const wait = 2 * time.Second
	for _, c := range []struct {
		name string
		// all is true if every upstream asks to wait.
		all    bool
		status int
	}{
		{"another one serves", false, http.StatusOK},
		{"all ask to wait", true, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				waiting, other := store.newUpstream(t, "u1", "", 0), store.newUpstream(t, "u2", "", 0)
				waiting.SetBehaviour(emulator.Rejects)
				waiting.SetRetryAfter("2")
				if c.all {
					other.SetBehaviour(emulator.Rejects)
					other.SetRetryAfter("3")
				}
				ti := newMemoryInstance(t, store, waiting, other)
				for len(waiting.Rejections()) == 0 || c.all && len(other.Rejections()) == 0 {
					ti.send(http.MethodGet, lookups+"x", "")
				}
				asked := waiting.Rejections()[0].At
				other.SetDelay(50 * time.Millisecond)
				var group conc.WaitGroup
				for range 12 {
					group.Go(func() {
						for time.Since(asked) < wait-100*time.Millisecond {
							r := ti.send(http.MethodGet, lookups+"x", "")
							assert.Equal(t, c.status, r.status)
							if c.all {
								seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
								assert.NoError(t, err)
								assert.InDelta(t, (wait - time.Since(asked)).Seconds(), seconds, 0.5, "the earliest of the upstreams")
							}
							time.Sleep(5 * time.Millisecond)
						}
					})
				}
				group.Wait()
				// Up to two requests may arrive in this time.
				late := 0
				for _, r := range waiting.Rejections() {
					if since := r.At.Sub(asked); since > 500*time.Millisecond && since < wait {
						late++
					}
				}
				require.LessOrEqual(t, late, 2)
				waiting.SetBehaviour(emulator.Responds)
				ti.putUpstream(other, "draining")
				require.Eventually(t, func() bool {
					ti.send(http.MethodGet, lookups+"x", "")
					return countRuns(waiting) > 0
				}, 2*time.Second, 5*time.Millisecond, "it is used again after that time")
			})
		})
	}
}

func TestReusedAddressOfAnotherUpstreamRunsNothing(t *testing.T) {
	a, b := newPlainUpstream("u1"), newPlainUpstream("u2")
	ti := newTestInstance(t, b)
	t.Cleanup(a.Close)
	// The listed upstream has ended, and another one has been started at its address.
	ti.store.Put(platform.TopicServers, "ended", a.Entry("plain", "ready"))
	ti.makeReady()
	time.Sleep(400 * time.Millisecond)
	for range 5 {
		require.Equal(t, http.StatusOK, ti.send(http.MethodPost, orders+"x", "body").status)
	}
	require.Zero(t, countRuns(a))
	require.Equal(t, 5, countRuns(b))
}

func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	u := newPlainUpstream("u1")
	u.SetBehaviour(emulator.Hangs)
	ti := newReadyTestInstance(t, u)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, ti.url+lookups+"x", nil)
	require.NoError(t, err)
	request.Host = "h.example"
	go func() {
		time.Sleep(100 * time.Millisecond)
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(request)
	require.Error(t, err)
	require.Eventually(t, func() bool { return u.Canceled() == 1 }, 500*time.Millisecond, time.Millisecond)
	require.Equal(t, 1, countRuns(u))
}

func TestStreams(t *testing.T) {
	const all = 6
	for _, c := range []struct {
		name      string
		path      string
		behaviour emulator.Behaviour
		body      string
		complete  bool
		runs      int
	}{
		{"stream is forwarded", verdicts, emulator.Responds, events(1, all), true, 1},
		{
			"truncated stream is resumed after its last complete event", verdicts, emulator.Truncates,
			events(1, all), true, 2,
		},
		{"stream with a missing event is resumed before the gap", verdicts, emulator.SkipsEvent, events(1, all), true, 2},
		{"truncated stream without resume looks incomplete", notes, emulator.Truncates, events(1, all/2), false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := emulator.NewUpstream("u1", "decode", all), emulator.NewUpstream("u2", "decode", all)
			ti := newReadyTestInstance(t, a, b)
			emulator.Misbehave(c.behaviour, a, b)
			r := ti.send(http.MethodPost, c.path+"x", "prompt", promptHeaders()...)
			require.Equal(t, http.StatusOK, r.status)
			require.Equal(t, c.body, r.body)
			require.Equal(t, c.complete, r.complete)
			require.Equal(t, c.runs, countRuns(a, b))
		})
	}
}

func TestPrefillAndDecodeOnSeparateEngines(t *testing.T) {
	prefill, decode := emulator.NewUpstream("u1", "prefill", 2), emulator.NewUpstream("u2", "decode", 2)
	ti := newReadyTestInstance(t, prefill, decode)
	body := string(bytes.Repeat([]byte("p"), 40<<10))
	r := ti.send(http.MethodPost, verdicts+"x", body, promptHeaders()...)
	require.Equal(t, events(1, 2), r.body)
	require.Len(t, prefill.Runs(), 1)
	require.True(t, prefill.Runs()[0].PrefillOnly)
	require.Len(t, decode.Runs(), 1)
	run := decode.Runs()[0]
	require.Equal(t, prefill.Address()+"/h1", run.Header.Get(emulator.HeaderSource))
	require.Equal(t, body, run.Body)
	require.Equal(t, "2", run.Header.Get(emulator.HeaderPriority))
}

func TestFailedPrefillFallsBackToDecodeEngine(t *testing.T) {
	for _, behaviour := range []emulator.Behaviour{emulator.Rejects, emulator.Resets, emulator.Hangs} {
		prefill, decode := emulator.NewUpstream("u1", "prefill", 2), emulator.NewUpstream("u2", "decode", 2)
		prefill.SetBehaviour(behaviour)
		ti := newReadyTestInstance(t, prefill, decode)
		r := ti.send(http.MethodPost, verdicts+"x", "prompt", promptHeaders()...)
		require.Equal(t, events(1, 2), r.body, behaviour)
		require.Empty(t, decode.Runs()[0].Header.Get(emulator.HeaderSource))
	}
}

func TestStreamWithoutFirstEventIsRetriedElsewhere(t *testing.T) {
	a, b := emulator.NewUpstream("u1", "decode", 3), emulator.NewUpstream("u2", "decode", 3)
	ti := newReadyTestInstance(t, a, b)
	emulator.Misbehave(emulator.Hangs, a, b)
	started := time.Now()
	r := ti.send(http.MethodPost, verdicts+"x", "prompt", promptHeaders()...)
	require.Equal(t, events(1, 3), r.body)
	require.Less(t, time.Since(started), 700*time.Millisecond)
}

func TestPlannedStopCompletesRunningRequests(t *testing.T) {
	u := newPlainUpstream("u1")
	u.SetDelay(200 * time.Millisecond)
	ti := newReadyTestInstance(t, u)
	response := make(chan callerResponse, 1)
	go func() { response <- ti.send(http.MethodPost, orders+"x", "body") }()
	require.Eventually(t, func() bool { return countRuns(u) == 1 }, time.Second, time.Millisecond)
	ti.stop()
	require.Eventually(t, func() bool {
		return ti.readiness() == http.StatusServiceUnavailable
	}, time.Second, time.Millisecond)
	r := <-response
	require.Equal(t, http.StatusOK, r.status)
	require.True(t, r.complete)
	late := ti.send(http.MethodPost, orders+"x", "body")
	require.Equal(t, http.StatusOK, late.status, "requests that the balancer still sends must be served")
	require.True(t, late.closesConnection)
	<-ti.gatekeeper.Done()
}

func TestRetriesStayWithinBudget(t *testing.T) {
	a, b := newPlainUpstream("u1"), newPlainUpstream("u2")
	a.SetBehaviour(emulator.Fails)
	b.SetBehaviour(emulator.Fails)
	ti := newReadyTestInstance(t, a, b)
	const requests = 120
	for range requests {
		ti.send(http.MethodGet, lookups+"x", "")
	}
	require.LessOrEqual(t, countRuns(a, b)-requests, int(0.2*requests+54))
}

func TestReloadAppliesSettingsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name         string
		change       func(*platform.Settings)
		fullyApplied bool
	}{
		{"shorter stop limit", func(s *platform.Settings) { s.TerminationGracePeriod = 700 * time.Millisecond }, true},
		{"shorter stop limit and another address", func(s *platform.Settings) {
			s.TerminationGracePeriod, s.CallerAddress = 700*time.Millisecond, "127.0.0.1:9"
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ti := newReadyTestInstance(t, emulator.NewUpstream("plain-1", "", 0))
			settings := ti.gatekeeper.settings
			c.change(&settings)
			require.Equal(t, c.fullyApplied, ti.gatekeeper.Reload(settings))
			started := time.Now()
			ti.stop()
			<-ti.gatekeeper.Done()
			require.Less(t, time.Since(started), (ti.gatekeeper.settings.TerminationGracePeriod-stopMargin)/2,
				"the stop must not wait for the balancer as long as before the reload")
		})
	}
}
