package auditor

import (
	"net/http"
	"net/http/httputil"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/standin/provider"
	"rosemaryspool.example/standin/server"
)

func TestEvaluate(t *testing.T) {
	response, other := outcome{response: "200 a"}, outcome{response: "200 b"}
	notRun, unknown, lost := outcome{effect: refuser.NotRun}, outcome{effect: refuser.OutcomeUnknown}, outcome{lost: true}
	cases := []struct {
		name     string
		outcomes []outcome
		runs     int
		want     Report
	}{
		{"same response twice", []outcome{response, response}, 1, Report{Answered: 2, Runs: 1}},
		{"not run", []outcome{notRun, notRun}, 0, Report{NotRun: 2}},
		{"not run, then a response", []outcome{notRun, response}, 1, Report{NotRun: 1, Answered: 1, Runs: 1}},
		{"outcome unknown and lost", []outcome{unknown, lost}, 1, Report{Unknown: 1, Lost: 1, Runs: 1}},
		{"lost and not run", []outcome{lost, notRun}, 1, Report{Lost: 1, NotRun: 1, Runs: 1}},
		{"ran and failed", []outcome{{effect: refuser.RanAndFailed}}, 1, Report{RanAndFailed: 1, Runs: 1}},
		{"second run", []outcome{response}, 2, Report{Answered: 1, Runs: 2, SecondRuns: 1}},
		{"false not run", []outcome{notRun, notRun}, 1, Report{NotRun: 2, Runs: 1, FalseNotRun: 1}},
		{"two different responses", []outcome{response, other}, 1, Report{Answered: 2, Runs: 1, WrongAnswers: 1}},
		{"response without a run", []outcome{response}, 0, Report{Answered: 1, MissingRuns: 1}},
	}
	for _, c := range cases {
		c.want.Keys, c.want.Sends = 1, len(c.outcomes)
		got := evaluate(
			map[identifier.IdempotencyKey][]outcome{"k": c.outcomes}, map[identifier.IdempotencyKey]int{"k": c.runs},
		)
		require.Equal(t, c.want, got, c.name)
	}
}

func TestDecodeResponse(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   outcome
	}{
		{200, `{"run":1}`, outcome{response: `200 {"run":1}`}},
		{503, `{"error":{"code":4005,"effect":"notRun"}}`, outcome{effect: refuser.NotRun}},
		{409, `{"error":{"code":4004,"effect":"outcomeUnknown"}}`, outcome{effect: refuser.OutcomeUnknown}},
		{502, `{"error":{"code":3001,"effect":"ranAndFailed"}}`, outcome{effect: refuser.RanAndFailed}},
		{502, `{"error":{"code":3001,"effect":"perhaps"}}`, outcome{lost: true}},
	}
	for _, c := range cases {
		require.Equal(t, c.want, decodeResponse(c.status, []byte(c.body)), c.body)
	}
}

// TestRunDetectsDuplicateRuns audits a proxy without deduplication: it forwards every repeat to the service, so that
// each key runs twice.
func TestRunDetectsDuplicateRuns(t *testing.T) {
	service := provider.NewService(provider.Settings{})
	upstream, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: service.Handler()})
	require.NoError(t, err)
	defer upstream.Close()
	target, err := url.Parse(upstream.URL())
	require.NoError(t, err)
	proxy := httputil.NewSingleHostReverseProxy(target)
	daemon, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: http.Handler(proxy)})
	require.NoError(t, err)
	defer daemon.Close()
	report, err := Run(t.Context(), Settings{
		Targets: []string{daemon.URL()}, Services: []string{upstream.URL()}, Service: "atolye-app", Class: "fabricOrder",
		Callers: []identifier.CallerID{"terzi"}, Keys: 5, Repeats: 2, Prefix: "audit", Concurrency: 3,
	})
	require.NoError(t, err)
	require.Equal(t, Report{Keys: 5, Sends: 10, Answered: 10, Runs: 10, SecondRuns: 5, WrongAnswers: 5}, report)
	require.Equal(t, 10, report.Violations())
}
