package gatekeeper

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/forwarder"
	"rosemaryspool.example/standin/emulator"
)

// explain asks an instance's operators' listener.
func (ti *testInstance) explain(values url.Values) (status int, body string) {
	ti.t.Helper()
	address := ti.gatekeeper.metricsListener.Addr().String()
	response, err := http.Get("http://" + address + forwarder.ExplainPath + "?" + values.Encode())
	require.NoError(ti.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(ti.t, err)
	return response.StatusCode, string(content)
}

func TestExplanationSendsNothingAndNamesWhereARequestGoes(t *testing.T) {
	us := []*emulator.Upstream{
		emulator.NewUpstream("e1", "decode", 3), emulator.NewUpstream("e2", "decode", 3), emulator.NewUpstream("p1", "prefill", 0),
	}
	ti := newReadyTestInstance(t, us...)
	values := url.Values{
		"host": {"h.example"}, "path": {verdicts + "x"}, "tokens": {"9000,390"}, "prompt": {"aa:2500,bb:3500,cc:3000"},
		"model": {"m"}, "timeLimit": {"900ms"},
	}
	var first, second forwarder.Explanation
	status, body := ti.explain(values)
	require.Equal(t, http.StatusOK, status, body)
	require.NoError(t, json.Unmarshal([]byte(body), &first))
	require.True(t, first.Admitted)
	require.Equal(t, "verdicts", first.Route)
	require.Len(t, first.Candidates, len(us))
	require.Zero(t, countRuns(us...))
	// A second question finds the same state, and the request goes where it says.
	_, body = ti.explain(values)
	require.NoError(t, json.Unmarshal([]byte(body), &second))
	require.Equal(t, first, second)
	require.Equal(t, http.StatusOK, ti.send(http.MethodPost, verdicts+"x", "", promptHeaders()...).status)
	for _, u := range us {
		if u.ID == first.Upstream || u.ID == first.Prefiller {
			require.Len(t, u.Runs(), 1, u.ID)
			continue
		}
		require.Empty(t, u.Runs(), u.ID)
	}
}

func TestExplanationOfAWrongQuestion(t *testing.T) {
	ti := newReadyTestInstance(t, newPlainUpstream("u1"))
	for _, test := range []struct {
		name   string
		values url.Values
		status int
		text   string
	}{
		{"nothing", url.Values{}, http.StatusBadRequest, "host and path are required"},
		{"no slash", url.Values{"host": {"h.example"}, "path": {"orders"}}, http.StatusBadRequest, "begins with a slash"},
		{"no route", url.Values{"host": {"h.example"}, "path": {"/none/"}}, http.StatusNotFound, "no route"},
		{
			"tokens",
			url.Values{"host": {"h.example"}, "path": {orders}, "tokens": {"many"}},
			http.StatusBadRequest,
			`tokens: want IN,OUT, got "many"`,
		},
		{
			"prompt",
			url.Values{"host": {"h.example"}, "path": {orders}, "prompt": {"aa"}},
			http.StatusBadRequest,
			`prompt: want ID:TOKENS, got "aa"`,
		},
		{
			"time limit",
			url.Values{"host": {"h.example"}, "path": {orders}, "timeLimit": {"soon"}},
			http.StatusBadRequest,
			"timeLimit: want a length of time",
		},
		{
			"account",
			url.Values{"host": {"h.example"}, "path": {orders}, "account": {"nobody"}},
			http.StatusBadRequest,
			"no account nobody",
		},
		{
			"service",
			url.Values{"host": {"h.example"}, "path": {orders}, "service": {"other"}},
			http.StatusBadRequest,
			"has no service other",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, body := ti.explain(test.values)
			require.Equal(t, test.status, status)
			require.Contains(t, body, test.text)
		})
	}
}

func TestArbiterExplainsForTheOthers(t *testing.T) {
	store := newTestStore(t)
	us := []*emulator.Upstream{newPlainUpstream("u1"), newPlainUpstream("u2")}
	for _, u := range us {
		t.Cleanup(u.Close)
		putUpstream(store.Store, u, "ready")
	}
	var instances []*testInstance
	for _, name := range []string{"spool-1", "spool-2", "spool-3"} {
		settings := testSettings(store)
		settings.Instance, settings.FirstStart = identifier.InstanceID(name), true
		ti := startTestInstance(t, store, settings)
		instances = append(instances, ti)
	}
	instances[0].store.Put(platform.TopicConfiguration, platform.KeyConfiguration, keyedTable(1, `{"name":"atelier","api-keys":["k"]}`))
	values := url.Values{"host": {"h.example"}, "path": {orders + "x"}, "account": {"atelier"}}
	require.Eventually(t, func() bool {
		deciders := map[string]bool{}
		for _, ti := range instances {
			status, body := ti.explain(values)
			var x forwarder.Explanation
			if status != http.StatusOK || json.Unmarshal([]byte(body), &x) != nil || x.Note != "" {
				return false
			}
			deciders[string(x.Decider)] = true
		}
		return len(deciders) == 1
	}, 5*time.Second, 20*time.Millisecond)
	require.Zero(t, countRuns(us...))
}
