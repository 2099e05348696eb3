package gatekeeper

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
)

// usageCall is a report as the platform receives it.
type usageCall struct {
	holder string
	token  uint64
	window uint64
	counts map[string]uint64
}

// fakeCloud collects the calls of duties.
type fakeCloud struct {
	mu    sync.Mutex
	calls []usageCall
}

func (f *fakeCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Window uint64            `json:"window-id"`
		Counts map[string]uint64 `json:"counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Rosemaryspool-Fencing-Token"), 10, 64)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, usageCall{r.Header.Get("Rosemaryspool-Duty-Holder"), token, m.Window, m.Counts})
}

func (f *fakeCloud) taken() []usageCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]usageCall(nil), f.calls...)
}

func TestUsageOfAnAccountIsReported(t *testing.T) {
	cloud := &fakeCloud{}
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
		require.Equal(t, http.StatusOK, ti.send(http.MethodPost, orders+"x", "", headerKey, "k1").status)
	}
	total := func() (sum uint64) {
		for _, c := range cloud.taken() {
			sum += c.counts["acme"]
		}
		return sum
	}
	require.Eventually(t, func() bool { return total() == 7 }, 10*time.Second, 20*time.Millisecond)
	for _, c := range cloud.taken() {
		require.Equal(t, "spool-1", c.holder)
		require.Positive(t, c.token)
	}
	require.NotEmpty(t, store.Keys(platform.TopicDuties))
}
