package gatekeeper

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

// keyedTable is routeTable with accounts, of which one has no key in a later version, and a public route.
func keyedTable(version int, accounts string) []byte {
	table := strings.Replace(fmt.Sprintf(routeTable, version), `"name":"lookups"`, `"public":true,"name":"lookups"`, 1)
	return []byte(strings.TrimSuffix(table, "}") + `,"tenants":[` + accounts + `]}`)
}

func TestRequestsNeedAKnownKey(t *testing.T) {
	u := newPlainUpstream("u1")
	ti := newTestInstance(t, u)
	ti.store.Put(platform.TopicConfiguration, platform.KeyConfiguration,
		keyedTable(1, `{"name":"atelier","api-keys":["k1","k2"]},{"name":"hangar","api-keys":["k3"]}`))
	require.Eventually(t, func() bool { return ti.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
	tests := []struct {
		name    string
		path    string
		key     string
		status  int
		account string
	}{
		{"first key", orders, "k1", http.StatusOK, "atelier"},
		{"second key", orders, "k2", http.StatusOK, "atelier"},
		{"another account", orders, "k3", http.StatusOK, "hangar"},
		{"unknown key", orders, "k4", http.StatusUnauthorized, ""},
		{"no key", orders, "", http.StatusUnauthorized, ""},
		{"public without a key", lookups, "", http.StatusOK, ""},
		{"public with an unknown key", lookups, "k4", http.StatusOK, ""},
		{"public with a key", lookups, "k3", http.StatusOK, "hangar"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := len(u.Runs())
			headers := []string{emulator.HeaderAccount, "forged"}
			if test.key != "" {
				headers = append(headers, emulator.HeaderKey, test.key)
			}
			require.Equal(t, test.status, ti.send(http.MethodPost, test.path+"x", "", headers...).status)
			if test.status != http.StatusOK {
				require.Len(t, u.Runs(), before)
				return
			}
			run := u.Runs()[before]
			require.Empty(t, run.Header.Values(emulator.HeaderKey))
			require.Equal(t, test.account, run.Header.Get(emulator.HeaderAccount))
		})
	}
	ti.store.Put(platform.TopicConfiguration, platform.KeyConfiguration,
		keyedTable(2, `{"name":"atelier","api-keys":["k2"]},{"name":"hangar","api-keys":["k4"]}`))
	for key, status := range map[string]int{"k1": 401, "k2": 200, "k3": 401, "k4": 200} {
		require.Eventually(t, func() bool {
			return ti.send(http.MethodPost, orders+"x", "", emulator.HeaderKey, key).status == status
		}, 2*time.Second, time.Millisecond, key)
	}
}

// configureKey writes a configuration in which an account has one key and no route is public, and waits until it is in
// force.
func (ti *testInstance) configureKey(version int, key string) {
	ti.t.Helper()
	table := keyedTable(version, fmt.Sprintf(`{"name":"atelier","api-keys":[%q]}`, key))
	ti.store.Put(platform.TopicConfiguration, platform.KeyConfiguration,
		bytes.Replace(table, []byte(`"public":true`), []byte(`"public":false`), 1))
	require.Eventually(ti.t, func() bool {
		table := ti.gatekeeper.governor.Table()
		return table != nil && table.Configuration().Version == uint64(version)
	}, 2*time.Second, time.Millisecond)
}

// configuredKeyed returns a ready instance in which an account has the key k1.
func configuredKeyed(t *testing.T, us ...*emulator.Upstream) *testInstance {
	ti := newTestInstance(t, us...)
	ti.configureKey(1, "k1")
	require.Eventually(t, func() bool { return ti.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
	return ti
}

func TestRemovedKeyStopsRequestsBeforeTheirNextDispatch(t *testing.T) {
	for _, c := range []struct {
		name      string
		path      string
		behaviour emulator.Behaviour
		status    int
		runs      int
	}{
		{"prefilled elsewhere, not run", notes, emulator.Responds, http.StatusUnauthorized, 0},
		{"run without a response, may run again", lookups, emulator.Resets, http.StatusBadGateway, 1},
		{"answered by the upstream", orders, emulator.Responds, http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			const pause = 400 * time.Millisecond
			plain, other := newPlainUpstream("u1"), newPlainUpstream("u2")
			prefiller, decoder := emulator.NewUpstream("p1", "prefill", 3), emulator.NewUpstream("d1", "decode", 3)
			ti := configuredKeyed(t, plain, other, prefiller, decoder)
			for _, u := range []*emulator.Upstream{plain, other, prefiller, decoder} {
				u.SetDelay(pause)
			}
			plain.SetBehaviour(c.behaviour)
			other.SetBehaviour(c.behaviour)
			ended := make(chan callerResponse, 1)
			go func() {
				ended <- ti.send(http.MethodPost, c.path+"x", "", append(promptHeaders(), emulator.HeaderKey, "k1",
					emulator.HeaderDeadline, "1900")...)
			}()
			require.Eventually(t, func() bool { return countRuns(plain, other, prefiller) > 0 }, 2*time.Second, time.Millisecond)
			ti.configureKey(2, "k2")
			require.Equal(t, c.status, (<-ended).status)
			require.Equal(t, c.runs, countRuns(plain, other, decoder))
		})
	}
}

func TestKeysAreRefusedWhileRemovalsCanNotBeKnown(t *testing.T) {
	u := newPlainUpstream("u1")
	store := newTestStore(t)
	t.Cleanup(u.Close)
	putUpstream(store.Store, u, "ready")
	settings := testSettings(store)
	settings.StrictRevocation, settings.RevokeLimit = true, 2*time.Second
	ti := startTestInstance(t, store, settings)
	ti.configureKey(1, "k1")
	status := func(path string) int { return ti.send(http.MethodPost, path+"x", "", emulator.HeaderKey, "k1").status }
	require.Eventually(t, func() bool { return status(orders) == http.StatusOK }, 2*time.Second, time.Millisecond)
	store.SetFault(emulator.Busy)
	lost := time.Now()
	require.Eventually(t, func() bool { return status(orders) == http.StatusServiceUnavailable }, 3*time.Second, time.Millisecond)
	require.LessOrEqual(t, time.Since(lost), settings.RevokeLimit)
	require.Equal(t, http.StatusServiceUnavailable, status(lookups))
	store.SetFault(emulator.Healthy)
	require.Eventually(t, func() bool { return status(orders) == http.StatusOK }, 5*time.Second, time.Millisecond)
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}

func TestKeysStayOutOfLogsAndUpstreams(t *testing.T) {
	const known, unknown = "secret-known", "secret-unknown"
	plain := newPlainUpstream("u1")
	prefiller, decoder := emulator.NewUpstream("p1", "prefill", 3), emulator.NewUpstream("d1", "decode", 3)
	store := newTestStore(t)
	us := []*emulator.Upstream{plain, prefiller, decoder}
	for _, u := range us {
		t.Cleanup(u.Close)
		putUpstream(store.Store, u, "ready")
	}
	log := &lockedBuffer{}
	ti := startLoggingInstance(t, store, testSettings(store), log)
	ti.configureKey(1, known)
	require.Eventually(t, func() bool { return ti.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
	for _, behaviour := range []emulator.Behaviour{emulator.Responds, emulator.Rejects, emulator.Fails, emulator.Resets} {
		for _, u := range us {
			u.SetBehaviour(behaviour)
		}
		for _, path := range []string{orders, lookups, notes, "/unknown/"} {
			for _, key := range []string{known, unknown} {
				ti.send(http.MethodPost, path+"x", "", append(promptHeaders(), emulator.HeaderKey, key)...)
			}
		}
	}
	ti.configureKey(2, unknown)
	require.Contains(t, log.String(), "atelier")
	require.NotContains(t, log.String(), "secret-")
	for _, u := range us {
		for _, run := range append(u.Runs(), u.Rejections()...) {
			require.NotContains(t, fmt.Sprint(run), "secret-")
		}
	}
}

func TestRankOfTheAccountGoesBeforeThatOfTheRoute(t *testing.T) {
	engine := emulator.NewUpstream("d1", "decode", 3)
	ti := newTestInstance(t, engine)
	ti.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, keyedTable(1,
		`{"name":"atelier","api-keys":["k1"]},{"name":"hangar","api-keys":["k2"],"priority":4}`))
	require.Eventually(t, func() bool { return ti.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
	for i, c := range []struct{ path, key, priority string }{
		{verdicts, "k1", "2"}, {notes, "k1", "3"}, {verdicts, "k2", "6"}, {notes, "k2", "6"},
	} {
		require.Equal(t, http.StatusOK, ti.send(http.MethodPost, c.path+"x", "", append(promptHeaders(), emulator.HeaderKey, c.key)...).status)
		require.Equal(t, c.priority, engine.Runs()[i].Header.Get(emulator.HeaderPriority))
	}
}
