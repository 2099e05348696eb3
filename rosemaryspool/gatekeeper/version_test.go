package gatekeeper

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

// testStreams is the number of streams that each test of versions begins.
const testStreams = 40

// newVersionedUpstreams starts four decode engines of two software versions and one prefill engine of the second one.
// Each decode engine breaks off the streams that begin there.
func newVersionedUpstreams(t *testing.T, store testStore) []*emulator.Upstream {
	t.Helper()
	var upstreams []*emulator.Upstream
	for i := range 5 {
		stage := "decode"
		if i == 4 {
			stage = "prefill"
		}
		u := store.newUpstream(t, fmt.Sprintf("u%d", i), stage, 4)
		if i%2 == 0 {
			u.Version = "v2"
		}
		if stage == "decode" {
			u.SetBehaviour(emulator.TruncatesNew)
		}
		putUpstream(store.Store, u, "ready")
		upstreams = append(upstreams, u)
	}
	return upstreams
}

// requireOneVersion requires that all runs of a stream, those of its prefill included, were at upstreams of one version.
// The stream's runs are those of its first request and those that name it.
func requireOneVersion(t *testing.T, upstreams []*emulator.Upstream) {
	t.Helper()
	versions := map[string]string{}
	mixed := map[string]bool{}
	for _, u := range upstreams {
		for _, run := range u.Runs() {
			stream := run.Header.Get(emulator.HeaderResumes)
			if stream == "" {
				stream = run.Header.Get(emulator.HeaderAttempt)
			}
			if known, found := versions[stream]; found && known != u.Version {
				mixed[stream] = true
			}
			versions[stream] = u.Version
		}
	}
	t.Logf("%d of %d streams ran at two versions", len(mixed), len(versions))
	require.Empty(t, mixed)
}

// send begins streams at instances in turn, a few at a time, and returns their responses by number.
func sendStreams(
	instances []*testInstance, path string, headers func(number int) []string,
) []callerResponse {
	responses := make([]callerResponse, testStreams)
	p := pool.New().WithMaxGoroutines(4)
	for n := range testStreams {
		p.Go(func() {
			ti := instances[n%len(instances)]
			responses[n] = ti.send(http.MethodPost, path+"x", fmt.Sprint(n), append(promptHeaders(), headers(n)...)...)
		})
	}
	p.Wait()
	return responses
}

func TestInstanceResumesStreamsOnlyAtTheVersionThatBeganThem(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testInstanceResumesStreamsOnlyAtTheVersionThatBeganThem)
}

func testInstanceResumesStreamsOnlyAtTheVersionThatBeganThem(t *testing.T) {
	store := newMemoryStore(t)
	upstreams := newVersionedUpstreams(t, store)
	instances := newTestCluster(t, store, 3)
	// Instances that have just started get a tenth of their part of the extra retries.
	time.Sleep(testSettings(store).RetryWindow)
	responses := sendStreams(instances, verdicts, func(n int) []string {
		return []string{emulator.HeaderAttempt, fmt.Sprintf("s%d", n)}
	})
	for n, r := range responses {
		require.True(t, r.complete, "stream %d", n)
		require.Equal(t, events(1, 4), r.body)
	}
	requireOneVersion(t, upstreams)
}

func TestCallersResumeStreamsOnlyAtTheVersionThatBeganThem(t *testing.T) {
	for _, c := range []struct {
		name string
		// stop is true if the instance at which the streams began stops before they are taken up again.
		stop bool
	}{
		{"at another instance", false},
		{"after the instance of the first part has stopped", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				upstreams := newVersionedUpstreams(t, store)
				instances := newTestCluster(t, store, 3)
				begun := sendStreams(instances[:1], dialogs, func(n int) []string {
					return []string{emulator.HeaderAttempt, fmt.Sprintf("s%d", n), emulator.HeaderDeadline, "20000"}
				})
				for _, r := range begun {
					require.False(t, r.complete)
				}
				if c.stop {
					// Work reports go to the arbiter's stand-by every 300 ms.
					time.Sleep(600 * time.Millisecond)
					instances[0].stop()
					<-instances[0].gatekeeper.Done()
				}
				resumed := sendStreams(instances[1:], dialogs, func(n int) []string {
					return []string{
						emulator.HeaderAttempt, fmt.Sprintf("r%d", n), emulator.HeaderResumes, fmt.Sprintf("s%d", n),
						emulator.HeaderLastEvent, "2",
					}
				})
				wentOn := 0
				for _, r := range resumed {
					if r.complete && r.status == http.StatusOK {
						require.Equal(t, events(3, 4), r.body)
						wentOn++
					}
				}
				require.Equal(t, testStreams, wentOn)
				requireOneVersion(t, upstreams)
			})
		})
	}
}

func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testStreamOfUnknownVersionIsRefused)
}

func testStreamOfUnknownVersionIsRefused(t *testing.T) {
	store := newMemoryStore(t)
	upstreams := newVersionedUpstreams(t, store)
	instances := newTestCluster(t, store, 2)
	r := instances[0].send(
		http.MethodPost, dialogs+"x", "", append(promptHeaders(), emulator.HeaderResumes, "unknown", emulator.HeaderLastEvent, "2")...,
	)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Zero(t, countRuns(upstreams...))
}
