package gatekeeper

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
)

const (
	headerKey     = "X-Api-Key"
	headerAccount = "Rosemaryspool-Tenant"
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
			headers := []string{headerAccount, "forged"}
			if test.key != "" {
				headers = append(headers, headerKey, test.key)
			}
			require.Equal(t, test.status, ti.send(http.MethodPost, test.path+"x", "", headers...).status)
			if test.status != http.StatusOK {
				require.Len(t, u.Runs(), before)
				return
			}
			run := u.Runs()[before]
			require.Empty(t, run.Header.Values(headerKey))
			require.Equal(t, test.account, run.Header.Get(headerAccount))
		})
	}
	ti.store.Put(platform.TopicConfiguration, platform.KeyConfiguration,
		keyedTable(2, `{"name":"atelier","api-keys":["k2"]},{"name":"hangar","api-keys":["k4"]}`))
	for key, status := range map[string]int{"k1": 401, "k2": 200, "k3": 401, "k4": 200} {
		require.Eventually(t, func() bool {
			return ti.send(http.MethodPost, orders+"x", "", headerKey, key).status == status
		}, 2*time.Second, time.Millisecond, key)
	}
}
