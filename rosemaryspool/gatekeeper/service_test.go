package gatekeeper

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

func TestFullServiceLeavesRequestsToTheOtherOfItsRoute(t *testing.T) {
	full, spare := newPlainUpstream("u1"), newPlainUpstream("u2")
	ti := newTestInstance(t, full)
	t.Cleanup(spare.Close)
	ti.store.Put(platform.TopicServers, spare.ID, spare.Entry("spare", "ready"))
	table := strings.Replace(string(keyedTable(1, `{"name":"atelier","api-keys":["k1"]}`)), `"max-attempts":1,"service":"plain"}`,
		`"max-attempts":1,"weighted-services":[{"service":"plain","weight":99},{"service":"spare","weight":1}]}`, 1)
	table = strings.Replace(table, `"services":[`, `"services":[{"name":"spare","max-connections":100},`, 1)
	ti.store.Put(platform.TopicConfiguration, platform.KeyConfiguration, []byte(table))
	require.Eventually(t, func() bool { return ti.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
	full.SetBehaviour(emulator.Rejects)
	full.SetRetryAfter("5")
	require.Eventually(t, func() bool {
		ti.send(http.MethodPost, orders+"x", "", emulator.HeaderKey, "k1")
		return len(full.Rejections()) > 0
	}, 2*time.Second, time.Millisecond)
	before := len(spare.Runs())
	for range 20 {
		require.Equal(t, http.StatusOK, ti.send(http.MethodPost, orders+"x", "", emulator.HeaderKey, "k1").status)
	}
	require.Len(t, spare.Runs(), before+20)
	require.Len(t, full.Rejections(), 1)
	spare.SetBehaviour(emulator.Rejects)
	spare.SetRetryAfter("5")
	ti.send(http.MethodPost, orders+"x", "", emulator.HeaderKey, "k1")
	refused := ti.send(http.MethodPost, orders+"x", "", emulator.HeaderKey, "k1")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
}
