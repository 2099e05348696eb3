package gatekeeper

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
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

// beginStreams begins streams at an instance that break off after two events.
func beginStreams(t *testing.T, at *testInstance) {
	t.Helper()
	for _, r := range sendStreams([]*testInstance{at}, dialogs, func(n int) []string {
		return []string{emulator.HeaderAttempt, fmt.Sprintf("s%d", n), emulator.HeaderDeadline, "20000"}
	}) {
		require.False(t, r.complete)
	}
}

// resumeStreams takes these streams up at instances in turn, and returns how many went on; they have to go on to the end.
func resumeStreams(t *testing.T, at ...*testInstance) int {
	t.Helper()
	wentOn := 0
	for _, r := range sendStreams(at, dialogs, func(n int) []string {
		return []string{
			emulator.HeaderAttempt, fmt.Sprintf("r%d", n), emulator.HeaderResumes, fmt.Sprintf("s%d", n),
			emulator.HeaderLastEvent, "2",
		}
	}) {
		if r.status == http.StatusOK {
			require.True(t, r.complete)
			require.Equal(t, events(3, 4), r.body)
			wentOn++
		}
	}
	return wentOn
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
				beginStreams(t, instances[0])
				if c.stop {
					// Work reports go to the arbiter's stand-by every 300 ms.
					time.Sleep(600 * time.Millisecond)
					instances[0].stop()
					<-instances[0].gatekeeper.Done()
				}
				require.Equal(t, testStreams, resumeStreams(t, instances[1:]...))
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

// A stream that its caller took up again went to the service that had begun it, though the route left it no requests.
func TestStreamIsNotTakenUpAtAServiceThatItsRouteHasLeft(t *testing.T) {
	for _, c := range []struct {
		name     string
		services string
	}{
		{"not named any more", `"service":"other"`},
		{"without weight", `"weighted-services":[{"service":"model","weight":0},{"service":"other","weight":1}]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				upstreams := newVersionedUpstreams(t, store)
				instances := newTestCluster(t, store, 2)
				beginStreams(t, instances[0])
				before := countRuns(upstreams...)
				table := fmt.Sprintf(routeTable, 2)
				end := strings.LastIndex(table, `"service":"model"`)
				store.Put(platform.TopicConfiguration, platform.KeyConfiguration,
					[]byte(table[:end]+c.services+table[end+len(`"service":"model"`):]))
				time.Sleep(testSettings(store).MaxApplyDelay)
				require.Zero(t, resumeStreams(t, instances...))
				require.Equal(t, before, countRuns(upstreams...))
			})
		})
	}
}

// versionFleet is a cluster of three instances in front of decode engines of one version, which break off what begins there.
type versionFleet struct {
	t         *testing.T
	store     testStore
	upstreams []*emulator.Upstream
	instances []*testInstance
}

// newVersionFleet returns a fleet with some decode engines of a first version, and no instances.
func newVersionFleet(t *testing.T, count int) *versionFleet {
	t.Helper()
	f := &versionFleet{t: t, store: newMemoryStore(t)}
	for i := range count {
		f.put(fmt.Sprintf("u%d", i), "v1")
	}
	return f
}

// put starts a decode engine of a version.
func (f *versionFleet) put(id, version string) *emulator.Upstream {
	f.t.Helper()
	u := f.store.newUpstream(f.t, id, "decode", 4)
	u.Version = version
	u.SetBehaviour(emulator.TruncatesNew)
	putUpstream(f.store.Store, u, "ready")
	f.upstreams = append(f.upstreams, u)
	return u
}

// restart stops all instances at once and starts them again.
func (f *versionFleet) restart() {
	f.t.Helper()
	for _, ti := range f.instances {
		ti.stop()
	}
	for _, ti := range f.instances {
		<-ti.gatekeeper.Done()
	}
	for i := range f.instances {
		settings := testSettings(f.store)
		settings.Instance, settings.Capacity = identifier.InstanceID(fmt.Sprintf("spool-%d", i+1)), 400
		f.instances[i] = startTestInstance(f.t, f.store, settings)
	}
	for _, ti := range f.instances {
		require.Eventually(f.t, func() bool { return ti.readiness() == http.StatusOK }, 5*time.Second, time.Millisecond)
	}
}

func TestStreamsAreNeverJoinedFromTwoVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		// play begins streams and takes them up again; it returns how many went on.
		play func(f *versionFleet) int
		// wentOn is how many have to.
		wentOn int
	}{
		{"all instances were killed after the old version had left", func(f *versionFleet) int {
			beginStreams(f.t, f.instances[0])
			f.store.Put(platform.TopicServers, "u1", nil)
			f.put("u2", "v2")
			time.Sleep(time.Second)
			f.restart()
			return resumeStreams(f.t, f.instances[1])
		}, 0},
		{"all instances were killed before the new version came", func(f *versionFleet) int {
			beginStreams(f.t, f.instances[0])
			f.restart()
			f.store.Put(platform.TopicServers, "u1", nil)
			f.put("u2", "v2")
			time.Sleep(time.Second)
			return resumeStreams(f.t, f.instances[1])
		}, 0},
		{"all instances were killed before the streams began", func(f *versionFleet) int {
			f.restart()
			beginStreams(f.t, f.instances[0])
			time.Sleep(600 * time.Millisecond)
			f.instances[0].stop()
			<-f.instances[0].gatekeeper.Done()
			return resumeStreams(f.t, f.instances[1])
		}, testStreams},
		{"one instance was killed", func(f *versionFleet) int {
			beginStreams(f.t, f.instances[0])
			f.instances[0].stop()
			<-f.instances[0].gatekeeper.Done()
			return resumeStreams(f.t, f.instances[1])
		}, testStreams},
		{"an instance is out of step as the new version comes", func(f *versionFleet) int {
			f.store.separation.set(true)
			time.Sleep(100 * time.Millisecond)
			f.store.Put(platform.TopicServers, "u1", f.upstreams[0].Entry("model", "draining"))
			f.put("u2", "v2")
			time.Sleep(time.Second)
			beginStreams(f.t, f.instances[0])
			return resumeStreams(f.t, f.instances[2])
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := &versionFleet{t: t, store: newMemoryStore(t)}
				f.put("u1", "v1")
				f.instances = newTestCluster(t, f.store, 2)
				f.store.separation = &separation{}
				settings := testSettings(f.store)
				settings.Instance, settings.FirstStart, settings.Capacity = "spool-3", true, 400
				f.instances = append(f.instances, startTestInstance(t, f.store, settings))
				for _, ti := range f.instances {
					require.Eventually(t, func() bool {
						return ti.readiness() == http.StatusOK && ti.gatekeeper.governor.Instances() == 3
					}, 5*time.Second, time.Millisecond)
				}
				time.Sleep(testSettings(f.store).RetryWindow)
				require.Equal(t, c.wentOn, c.play(f))
				requireOneVersion(t, f.upstreams)
			})
		})
	}
}

// restartUpstreams ends some upstreams without notice and starts them again after a while under their ids and addresses, with another
// software version. The store isn't told.
func (f *versionFleet) restartUpstreams(version string, after time.Duration, meanwhile func(), ended ...*emulator.Upstream) {
	f.t.Helper()
	var starts []func(string) *emulator.Upstream
	for _, u := range ended {
		starts = append(starts, f.store.network.RestartUpstream(u))
	}
	began := time.Now()
	meanwhile()
	time.Sleep(time.Until(began.Add(after)))
	for _, start := range starts {
		u := start(version)
		u.SetBehaviour(emulator.TruncatesNew)
		f.t.Cleanup(u.Close)
		f.upstreams = append(f.upstreams, u)
	}
}

// Upstreams that are back under another version within a pause of the traffic refuse nobody's connection. Streams that began
// there before the list was read again went on at the version before.
func TestStreamsAreNotJoinedAtUpstreamsThatRestartBetweenTwoReadsOfTheList(t *testing.T) {
	for _, c := range []struct {
		name string
		// began is how long after the restart the streams begin.
		began time.Duration
		// callers is true if callers take the streams up at other instances, whose upstreams have ended since.
		callers bool
	}{
		{"the instance goes on", 0, false},
		{"callers go on", 50 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newVersionFleet(t, 4)
				f.instances = newTestCluster(t, f.store, 3)
				time.Sleep(testSettings(f.store).RetryWindow)
				restarting := f.upstreams[:2:2]
				// The phase of the restart between two reads of the list differs.
				for phase := range 5 {
					time.Sleep(3*time.Second + time.Duration(phase)*50*time.Millisecond)
					f.restartUpstreams(fmt.Sprint("v", phase+2), 200*time.Millisecond, func() {}, restarting...)
					restarting = f.upstreams[len(f.upstreams)-2:]
					for _, u := range restarting {
						putUpstream(f.store.Store, u, "ready")
					}
					time.Sleep(c.began)
					path := verdicts
					if c.callers {
						path = dialogs
					}
					name := func(kind string, n int) string { return fmt.Sprintf("%s%d-%d", kind, phase, n) }
					sendStreams(f.instances, path, func(n int) []string {
						return []string{emulator.HeaderAttempt, name("s", n), emulator.HeaderDeadline, "20000"}
					})
					sendStreams(f.instances[1:], path, func(n int) []string {
						return []string{
							emulator.HeaderAttempt, name("r", n), emulator.HeaderResumes, name("s", n), emulator.HeaderLastEvent, "2",
						}
					})
				}
				requireOneVersion(t, f.upstreams)
			})
		})
	}
}

func TestStreamsAreNotJoinedAtUpstreamsThatRestartUnderAnotherVersionUnseen(t *testing.T) {
	for _, c := range []struct {
		name string
		// crash is how long after the store has become silent two of four upstreams crash, absence how long they are away.
		crash, absence time.Duration
		// meanwhile is true if there are requests while they are away.
		meanwhile bool
		// prefill is true if a prefill engine restarts instead.
		prefill bool
	}{
		{"the list is old", 2 * time.Second, 900 * time.Millisecond, false, false},
		{"they have refused connections", 0, 200 * time.Millisecond, true, false},
		{"a prefill engine, the list is old", 2 * time.Second, 900 * time.Millisecond, false, true},
		{"a prefill engine that has refused connections", 0, 200 * time.Millisecond, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newVersionFleet(t, 4)
				ended := f.upstreams[:2:2]
				if c.prefill {
					prefiller := f.store.newUpstream(t, "p", "prefill", 4)
					putUpstream(f.store.Store, prefiller, "ready")
					f.upstreams = append(f.upstreams, prefiller)
					ended = []*emulator.Upstream{prefiller}
				}
				f.instances = newTestCluster(t, f.store, 3)
				time.Sleep(testSettings(f.store).RetryWindow)
				prompts := 0xa0
				send := func(name string) []callerResponse {
					prompts += testStreams
					return sendStreams(f.instances, verdicts, func(n int) []string {
						// No engine has a part of the prompt in its cache.
						return []string{
							emulator.HeaderAttempt, fmt.Sprintf("%s%d", name, n), emulator.HeaderPrompt, fmt.Sprintf("%x:9000", prompts+n),
						}
					})
				}
				for n, r := range send("before") {
					require.True(t, r.complete, "stream %d", n)
				}
				beginStreams(t, f.instances[0])
				f.store.SetFault(emulator.Silent)
				time.Sleep(c.crash)
				f.restartUpstreams("v2", c.absence, func() {
					if c.meanwhile {
						send("meanwhile")
					}
				}, ended...)
				for range 3 {
					send(time.Now().String())
					time.Sleep(time.Second)
				}
				resumeStreams(t, f.instances[1:]...)
				requireOneVersion(t, f.upstreams)
				runs := 0
				for _, u := range f.upstreams[len(f.upstreams)-len(ended):] {
					runs += len(u.Runs())
				}
				require.Equal(t, !c.prefill, runs > 0, "%d requests reached the upstreams that had restarted", runs)
			})
		})
	}
}
