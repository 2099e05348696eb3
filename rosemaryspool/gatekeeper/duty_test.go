package gatekeeper

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

func TestUsageOfAnAccountIsReported(t *testing.T) {
	cloud := &emulator.Cloud{}
	server := httptest.NewServer(cloud)
	t.Cleanup(server.Close)
	store := newTestStore(t)
	u := newPlainUpstream("p1")
	t.Cleanup(u.Close)
	putUpstream(store.Store, u, "ready")
	settings := testSettings(store)
	settings.Duties = platform.DutySettings{
		Address: strings.TrimPrefix(server.URL, "http://"), ReportsUsage: true, CallsPerSecond: 50, FencingEnforced: true,
		LeaseDuration: time.Second, ReportWindow: 500 * time.Millisecond, ReportDelay: 4 * time.Second,
	}
	ti := startTestInstance(t, store, settings)
	store.Put(platform.TopicConfiguration, platform.KeyConfiguration,
		keyedTable(1, `{"name":"acme","api-keys":["k1"]}`))
	require.Eventually(t, func() bool { return ti.readiness() == http.StatusOK }, 2*time.Second, time.Millisecond)
	for range 7 {
		require.Equal(t, http.StatusOK, ti.send(http.MethodPost, orders+"x", "", emulator.HeaderKey, "k1").status)
	}
	total := func() (sum uint64) {
		for _, c := range cloud.Usage() {
			sum += c.Counts["acme"]
		}
		return sum
	}
	require.Eventually(t, func() bool { return total() == 7 }, 10*time.Second, 20*time.Millisecond)
	for _, c := range cloud.Usage() {
		require.Equal(t, "spool-1", c.Holder)
		require.Positive(t, c.Token)
	}
	require.NotEmpty(t, store.Keys(platform.TopicDuties))
}
