package gatekeeper

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/budgeter"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

// newPathFleet starts two engines of each role and two plain upstreams.
func newPathFleet(t *testing.T, store testStore) []*emulator.Upstream {
	t.Helper()
	var upstreams []*emulator.Upstream
	for i := range 6 {
		stage, events := []string{"decode", "prefill", ""}[i%3], []int{3, 2, 0}[i%3]
		u := store.newUpstream(t, fmt.Sprintf("u%d", i), stage, events)
		u.SetDelay(5 * time.Millisecond)
		putUpstream(store.Store, u, "ready")
		upstreams = append(upstreams, u)
	}
	return upstreams
}

// tries are the first tries of callers at an instance.
type tries struct{ sent, served int }

// sendTries sends requests of all kinds to an instance, some at a time.
func sendTries(ti *testInstance, name string, count int) tries {
	served := make(chan bool, count)
	p := pool.New().WithMaxGoroutines(5)
	for n := range count {
		p.Go(func() {
			path := []string{orders, lookups, verdicts, notes}[n%4]
			headers := []string{emulator.HeaderAttempt, fmt.Sprintf("%s-%s-%d", ti.url, name, n), emulator.HeaderDeadline, "1900"}
			if path == verdicts || path == notes {
				headers = append(headers, promptHeaders()...)
			}
			r := ti.send(http.MethodPost, path+"x", fmt.Sprint(n), headers...)
			served <- r.status == http.StatusOK && r.complete
		})
	}
	p.Wait()
	t := tries{sent: count}
	for range count {
		if <-served {
			t.served++
		}
	}
	return t
}

func TestInstancesWithoutAPathToTheUpstreamsServeRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  cut
	}{
		{"connections hang", silent},
		{"connections are reset", resetting},
		{"new connections are refused, open ones live on", refusing},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				newPathFleet(t, store)
				instances := newTestCluster(t, store, 4)
				for _, ti := range instances {
					before := sendTries(ti, "before", 20)
					require.Equal(t, before.sent, before.served)
				}
				lost, others := instances[:2], instances[2:]
				for _, ti := range lost {
					ti.link.set(c.cut)
				}
				// Callers go on sending while the instances find out.
				until := time.Now().Add(contactTime)
				var group conc.WaitGroup
				for _, ti := range instances {
					group.Go(func() {
						for n := 0; time.Now().Before(until); n++ {
							sendTries(ti, fmt.Sprint("during", n), 5)
							time.Sleep(20 * time.Millisecond)
						}
					})
				}
				group.Wait()
				const count = 200
				results := make([]tries, len(instances))
				for i, ti := range instances {
					group.Go(func() { results[i] = sendTries(ti, "after", count) })
				}
				group.Wait()
				var atLost, atOthers tries
				for i, r := range results {
					if i < len(lost) {
						atLost.sent, atLost.served = atLost.sent+r.sent, atLost.served+r.served
					} else {
						atOthers.sent, atOthers.served = atOthers.sent+r.sent, atOthers.served+r.served
					}
				}
				t.Logf("served %d of %d without a path, %d of %d at the others", atLost.served, atLost.sent, atOthers.served, atOthers.sent)
				share := func(t tries) float64 { return float64(t.served) / float64(t.sent) }
				require.GreaterOrEqual(t, share(atLost), share(atOthers)*2/3)
				require.LessOrEqual(t, atLost.sent-atLost.served, 10+atLost.sent/50)
				for _, ti := range append(lost, others...) {
					require.Equal(t, http.StatusOK, ti.readiness())
					ti.link.set(whole)
				}
			})
		})
	}
}

// sendOrders sends orders to all instances for a time, some at once, and returns how many each of them has served.
func sendOrders(instances []*testInstance, name string, length time.Duration) []tries {
	const senders = 6
	until := time.Now().Add(length)
	served, sent := make([]atomic.Int64, len(instances)), make([]atomic.Int64, len(instances))
	var group conc.WaitGroup
	for i, ti := range instances {
		for sender := range senders {
			group.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					id := fmt.Sprintf("%s-%d-%d-%d", name, i, sender, n)
					r := ti.send(http.MethodPost, orders+"x", id, emulator.HeaderAttempt, id, emulator.HeaderDeadline, "1900")
					sent[i].Add(1)
					if r.status == http.StatusOK && r.complete {
						served[i].Add(1)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	results := make([]tries, len(instances))
	for i := range instances {
		results[i] = tries{sent: int(sent[i].Load()), served: int(served[i].Load())}
	}
	return results
}

func TestInstancesThatReachOneUpstreamServeAsManyRequestsAsTheOthers(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  cut
	}{
		{"connections hang", silent},
		{"connections are reset", resetting},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				var upstreams []*emulator.Upstream
				for i := range 6 {
					u := store.newUpstream(t, fmt.Sprint("u", i), "", 0)
					u.SetDelay(100 * time.Millisecond)
					putUpstream(store.Store, u, "ready")
					upstreams = append(upstreams, u)
				}
				instances := newTestCluster(t, store, 4)
				lost, others := instances[:2], instances[2:]
				for _, ti := range lost {
					ti.link.spare(upstreams[0].Address())
					ti.link.set(c.cut)
				}
				sendOrders(instances, "during", contactTime)
				results := sendOrders(instances, "after", 2*time.Second)
				t.Logf("served of sent: %v at %d instances that reach one upstream, %v at the others", results[:2], len(lost), results[2:])
				for _, r := range results {
					require.LessOrEqual(t, r.sent-r.served, 10+r.sent/50)
				}
				for _, ti := range append(lost, others...) {
					ti.link.set(whole)
				}
			})
		})
	}
}

// losePath cuts an instance off from all upstreams and waits until it knows.
func losePath(t *testing.T, ti *testInstance) {
	t.Helper()
	ti.link.set(resetting)
	for n := 0; !ti.gatekeeper.governor.PathLost("plain") || !ti.gatekeeper.governor.PathLost("model"); n++ {
		require.Less(t, n, 100)
		sendTries(ti, fmt.Sprint("lose", n), 8)
		time.Sleep(20 * time.Millisecond)
	}
}

func TestRequestsArePassedOnOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testRequestsArePassedOnOnce)
}

func testRequestsArePassedOnOnce(t *testing.T) {
	store := newMemoryStore(t)
	upstreams := newPathFleet(t, store)
	instances := newTestCluster(t, store, 3)
	for _, ti := range instances {
		losePath(t, ti)
	}
	before := countRuns(upstreams...)
	for _, path := range []string{orders, lookups} {
		started := time.Now()
		r := instances[0].send(http.MethodPost, path+"x", "body")
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Empty(t, r.header.Get("X-Rosemaryspool-Declined"))
		require.Less(t, time.Since(started), 500*time.Millisecond)
	}
	require.Equal(t, before, countRuns(upstreams...))
}

func TestInstancesFindTheirPathAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testInstancesFindTheirPathAgain)
}

func testInstancesFindTheirPathAgain(t *testing.T) {
	store := newMemoryStore(t)
	newPathFleet(t, store)
	ti := newTestCluster(t, store, 2)[0]
	losePath(t, ti)
	ti.link.set(whole)
	require.Eventually(t, func() bool {
		return !ti.gatekeeper.governor.PathLost("plain") && !ti.gatekeeper.governor.PathLost("model")
	}, 2*time.Second, time.Millisecond)
	after := sendTries(ti, "after", 40)
	require.Equal(t, after.sent, after.served)
}

func TestPassedOnRequestsKeepTheirDeadline(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testPassedOnRequestsKeepTheirDeadline)
}

func testPassedOnRequestsKeepTheirDeadline(t *testing.T) {
	store := newMemoryStore(t)
	upstreams := newPathFleet(t, store)
	ti := newTestCluster(t, store, 2)[0]
	losePath(t, ti)
	r := ti.send(http.MethodPost, orders+"deadline", "body", emulator.HeaderDeadline, "700")
	require.Equal(t, http.StatusOK, r.status)
	require.Empty(t, r.header.Get("X-Rosemaryspool-Served-By"))
	for _, u := range upstreams {
		for _, run := range u.Runs() {
			if run.URI != orders+"deadline" {
				continue
			}
			left, err := strconv.Atoi(run.Header.Get(emulator.HeaderDeadline))
			require.NoError(t, err)
			require.LessOrEqual(t, left, 700)
			require.Empty(t, run.Header.Get("X-Rosemaryspool-Passed-On"))
			return
		}
	}
	require.Fail(t, "the request did not reach an upstream")
}

func TestCallerOfAPassedOnRequestCancelsIt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testCallerOfAPassedOnRequestCancelsIt)
}

func testCallerOfAPassedOnRequestCancelsIt(t *testing.T) {
	store := newMemoryStore(t)
	upstreams := newPathFleet(t, store)
	ti := newTestCluster(t, store, 2)[0]
	losePath(t, ti)
	for _, u := range upstreams {
		u.SetDelay(time.Minute)
	}
	canceled := func() int {
		n := 0
		for _, u := range upstreams {
			n += u.Canceled()
		}
		return n
	}
	before, runs := canceled(), countRuns(upstreams...)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, ti.url+orders+"x", nil)
	require.NoError(t, err)
	request.Host = "h.example"
	request.Header.Set(emulator.HeaderAttempt, "leaves")
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		if response, err := ti.client().Do(request); err == nil {
			_ = response.Body.Close()
		}
	})
	require.Eventually(t, func() bool { return countRuns(upstreams...) > runs }, time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return canceled() > before }, 500*time.Millisecond, time.Millisecond)
}

// newDeadPeer adds an instance to the list of another one that reads requests and closes their connections. It counts them.
func newDeadPeer(t *testing.T, network *emulator.Network, ti *testInstance) *atomic.Int64 {
	t.Helper()
	listener, err := network.Listen(anyAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	got := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				got.Add(1)
			}
			_ = conn.Close()
		}
	}()
	ti.link.spare(listener.Addr().String())
	ti.gatekeeper.governor.SetMember(time.Now(), elector.Member{
		Instance: "dead", DataCentre: "here", Address: listener.Addr().String(), StartedMs: 1,
	})
	return got
}

func TestOrdersArePassedOnAtMostOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testOrdersArePassedOnAtMostOnce)
}

func testOrdersArePassedOnAtMostOnce(t *testing.T) {
	store := newMemoryStore(t)
	upstreams := newPathFleet(t, store)
	instances := newTestCluster(t, store, 2)
	losePath(t, instances[0])
	dead := newDeadPeer(t, store.network, instances[0])
	// An instance that has broken off is passed over for a second.
	for n := 0; dead.Load() < 2 && n < 100; n++ {
		before, runs := dead.Load(), countRuns(upstreams...)
		r := instances[0].send(http.MethodPost, orders+"x", "body", emulator.HeaderAttempt, fmt.Sprint("o", n))
		if dead.Load() > before {
			require.Equal(t, http.StatusBadGateway, r.status, "the other instance may have run it")
			require.Equal(t, runs, countRuns(upstreams...))
		} else {
			require.Equal(t, http.StatusOK, r.status)
			require.Equal(t, runs+1, countRuns(upstreams...))
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.EqualValues(t, 2, dead.Load())
	time.Sleep(1100 * time.Millisecond)
	before := dead.Load()
	for n := 0; dead.Load() == before && n < 100; n++ {
		r := instances[0].send(http.MethodPost, lookups+"x", "body", emulator.HeaderAttempt, fmt.Sprint("l", n))
		require.Equal(t, http.StatusOK, r.status, "a lookup may run again")
	}
	require.Greater(t, dead.Load(), before)
}

func TestInstanceThatMissedADatagramServesRequestsOfAnother(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testInstanceThatMissedADatagramServesRequestsOfAnother)
}

func testInstanceThatMissedADatagramServesRequestsOfAnother(t *testing.T) {
	store := newMemoryStore(t)
	newPathFleet(t, store)
	instances := newTestCluster(t, store, 2)
	losePath(t, instances[0])
	for n := range 20 {
		instances[0].gatekeeper.governor.Suspect(time.Now(), instances[1].gatekeeper.governor.Self().Instance, "test")
		r := instances[0].send(http.MethodPost, orders+"x", "body", emulator.HeaderAttempt, fmt.Sprint("o", n))
		require.Equal(t, http.StatusOK, r.status)
	}
}

func TestInstanceWithAnOlderConfigurationTakesNoRequests(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testInstanceWithAnOlderConfigurationTakesNoRequests)
}

func testInstanceWithAnOlderConfigurationTakesNoRequests(t *testing.T) {
	store := newMemoryStore(t)
	newPathFleet(t, store)
	instances := newTestCluster(t, store, 2)
	losePath(t, instances[0])
	// Only the first instance has got the second version.
	configuration, err := platform.DecodeConfiguration(fmt.Appendf(nil, routeTable, 2))
	require.NoError(t, err)
	instances[0].gatekeeper.governor.SetConfiguration(configuration)
	require.Equal(t, http.StatusServiceUnavailable, instances[0].send(http.MethodPost, orders+"x", "body").status)
	instances[1].gatekeeper.governor.SetConfiguration(configuration)
	require.Eventually(t, func() bool {
		return instances[0].send(http.MethodPost, orders+"x", "body").status == http.StatusOK
	}, 2*time.Second, 50*time.Millisecond)
}

// Callers got the effect of a later version by way of another instance, and then that of the version before again.
func TestInstanceThatPassesRequestsOnDoesNotGoBackToAnEarlierConfiguration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testInstanceThatPassesRequestsOnDoesNotGoBackToAnEarlierConfiguration)
}

func testInstanceThatPassesRequestsOnDoesNotGoBackToAnEarlierConfiguration(t *testing.T) {
	store := newMemoryStore(t)
	newPathFleet(t, store)
	instances := newTestCluster(t, store, 2)
	losePath(t, instances[0])
	// Only the second instance has got the version without lookups.
	configuration, err := platform.DecodeConfiguration([]byte(strings.Replace(
		fmt.Sprintf(routeTable, 2), `"path-prefix":"/lookups/"`, `"path-prefix":"/searches/"`, 1)))
	require.NoError(t, err)
	instances[1].gatekeeper.governor.SetConfiguration(configuration)
	status := func(n int) int {
		return instances[0].send(http.MethodPost, lookups+"x", "body", emulator.HeaderAttempt, fmt.Sprint("l", n)).status
	}
	for n := range 5 {
		require.NotEqual(t, http.StatusNotFound, status(n), "the first instance has the route")
	}
	instances[0].gatekeeper.governor.SetConfiguration(configuration)
	for n := range 5 {
		require.Equal(t, http.StatusNotFound, status(5+n))
	}
	require.Eventually(t, func() bool {
		return instances[0].send(http.MethodPost, orders+"x", "body").status == http.StatusOK
	}, 2*time.Second, 50*time.Millisecond)
}

func TestAttemptsThatWereNotSentTakeNoRetries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testAttemptsThatWereNotSentTakeNoRetries)
}

func testAttemptsThatWereNotSentTakeNoRetries(t *testing.T) {
	store := newMemoryStore(t)
	newPathFleet(t, store)
	instances := newTestCluster(t, store, 1)
	instances[0].link.set(refusing)
	const requests = 100
	for n := range requests {
		r := instances[0].send(http.MethodPost, orders+"x", "body", emulator.HeaderAttempt, fmt.Sprint("o", n))
		require.Equal(t, http.StatusServiceUnavailable, r.status, "a refusal says that it has not run")
	}
	unused := budgeter.NewBudgeter(retrySettings(testSettings(store)))
	now := time.Now()
	unused.SetInstances(now, 1)
	for range requests {
		unused.CountRequest(now, "plain")
	}
	for unused.TryRetry(now, "plain") {
		require.True(t, instances[0].gatekeeper.governor.TryRetry(now, "plain"))
	}
}

func TestCutThatResetsConnectionsIsNotTakenForCrashes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testCutThatResetsConnectionsIsNotTakenForCrashes)
}

func testCutThatResetsConnectionsIsNotTakenForCrashes(t *testing.T) {
	store := newMemoryStore(t)
	newPathFleet(t, store)
	instances := newTestCluster(t, store, 2)
	stop := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
				sendTries(instances[0], fmt.Sprint("load", n), 8)
				time.Sleep(20 * time.Millisecond)
			}
		}
	})
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		instances[0].link.set(resetting)
		time.Sleep(700 * time.Millisecond)
		instances[0].link.set(whole)
	}
	close(stop)
	group.Wait()
	for _, ti := range instances {
		require.Empty(t, ti.gatekeeper.governor.CrashKnowledge(time.Now()).Crashes)
	}
}

func TestUpstreamsCannotDeclineForAnInstance(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testUpstreamsCannotDeclineForAnInstance)
}

func testUpstreamsCannotDeclineForAnInstance(t *testing.T) {
	store := newMemoryStore(t)
	runs := &atomic.Int64{}
	server := store.network.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set(emulator.HeaderAttempt, r.Header.Get(emulator.HeaderAttempt))
		w.Header().Set(emulator.HeaderSignature, "u.1")
		w.Header().Set("X-Rosemaryspool-Declined", "path")
	}))
	t.Cleanup(server.Close)
	store.Put(platform.TopicServers, "u", fmt.Appendf(nil,
		`{"service":"plain","address":%q,"zone":"here","version":"v1","slots":6,"state":"ready","sequence":1,"born":1}`,
		strings.TrimPrefix(server.URL, "http://")))
	instances := newTestCluster(t, store, 3)
	instances[0].link.set(resetting)
	for n := 0; !instances[0].gatekeeper.governor.PathLost("plain"); n++ {
		require.Less(t, n, 100)
		instances[0].send(http.MethodPost, lookups+"x", "body", emulator.HeaderAttempt, fmt.Sprint("l", n))
		time.Sleep(20 * time.Millisecond)
	}
	before := runs.Load()
	require.Equal(t, http.StatusOK, instances[0].send(http.MethodPost, orders+"x", "body").status)
	require.Equal(t, before+1, runs.Load())
}
