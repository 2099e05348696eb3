package gatekeeper

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

// A request whose end its caller sent long after a change was handled as the configuration before it allows.
func TestRequestIsHandledByTheConfigurationInForceWhenItHasArrived(t *testing.T) {
	const lookupsRoute = `"path-prefix":"/lookups/","kind":"idempotent","timeout-ms":1000,
 "target-latency-ms":300,"priority":2,"max-attempts":2,"service":"plain"`
	for _, c := range []struct {
		name   string
		route  string
		status int
		runsAt string
	}{
		{"unchanged", lookupsRoute, http.StatusOK, "u0"},
		{"the route goes to another service", strings.Replace(lookupsRoute, "plain", "other", 1), http.StatusOK, "u1"},
		{"the route is gone", strings.Replace(lookupsRoute, "lookups", "searches", 1), http.StatusNotFound, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				store := newMemoryStore(t)
				upstreams := []*emulator.Upstream{store.newUpstream(t, "u0", "", 0), store.newUpstream(t, "u1", "", 0)}
				putUpstream(store.Store, upstreams[0], "ready")
				store.Put(platform.TopicServers, "u1", upstreams[1].Entry("other", "ready"))
				ti := newTestCluster(t, store, 1)[0]
				caller := newStopCaller(t, ti, strings.TrimPrefix(ti.url, "http://"), "", lookups+"x", "")
				sent := len(caller.request) - len("body")
				_, err := io.WriteString(caller.conn, caller.request[:sent])
				require.NoError(t, err)
				time.Sleep(10 * time.Millisecond)
				table := fmt.Sprintf(routeTable, 2)
				require.Contains(t, table, lookupsRoute)
				table = strings.Replace(table, lookupsRoute, c.route, 1)
				table = strings.Replace(table, `"services":[`, `"services":[{"name":"other","max-connections":100},`, 1)
				store.Put(platform.TopicConfiguration, platform.KeyConfiguration, []byte(table))
				time.Sleep(testSettings(store).MaxApplyDelay)
				caller.request = caller.request[sent:]
				r, err := caller.send()
				require.NoError(t, err)
				require.Equal(t, c.status, r.status)
				for _, u := range upstreams {
					require.Equal(t, u.ID == c.runsAt, len(u.Runs()) == 1, u.ID)
				}
			})
		})
	}
}
