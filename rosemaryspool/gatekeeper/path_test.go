package gatekeeper

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

// newPathFleet starts two engines of each role and two plain upstreams.
func newPathFleet(t *testing.T, store testStore) []*emulator.Upstream {
	t.Helper()
	var upstreams []*emulator.Upstream
	for i := range 6 {
		stage, events := []string{"decode", "prefill", ""}[i%3], []int{3, 2, 0}[i%3]
		u := emulator.NewUpstream(fmt.Sprintf("u%d", i), stage, events)
		t.Cleanup(u.Close)
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
			store := newTestStore(t)
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
	}
}
