package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/rosemaryspool/forwarder"
)

func TestExplainCommand(t *testing.T) {
	admitted := forwarder.Explanation{
		ConfigurationVersion: 3, Route: "orders", Account: "atelier", Rank: 2, Decider: "spool-2", Admitted: true, Upstream: "d1",
		Prefiller: "p1", PredictedMs: 41.5, QueuedMs: 7.25, Tokens: 900,
		Candidates: []forwarder.ExplainedCandidate{{Upstream: "d1", Slots: 6}, {Upstream: "d2", Excluded: "leaving"}},
	}
	refused := forwarder.Explanation{Route: "orders", Decider: "spool-1", Reason: "busy", RetryAfter: "2s"}
	tests := []struct {
		name      string
		arguments []string
		status    int
		answer    any
		// asked are parameters that the gateway must get, want texts in the output, or in the error if failure is true.
		asked   url.Values
		want    []string
		failure bool
	}{
		{
			name:      "admitted",
			arguments: []string{"--host", "h.example", "--path", "/orders/1", "--tokens", "1460,80", "--account", "atelier"},
			status:    http.StatusOK, answer: admitted,
			asked: url.Values{
				"host": {"h.example"}, "path": {"/orders/1"}, "tokens": {"1460,80"}, "account": {"atelier"},
			},
			want: []string{
				"route orders of configuration 3, rank 2, account atelier", "decided by spool-2",
				"goes to d1, its prompt to p1 first; first event after 41.5 ms, 7.2 ms of it queued", "leaving",
			},
		},
		{
			name: "refused", arguments: []string{"--host", "h", "--path", "/x"}, status: http.StatusOK, answer: refused,
			want: []string{"refused: busy, to return after 2s"},
		},
		{
			name: "as JSON", arguments: []string{"--json"}, status: http.StatusOK, answer: admitted,
			want: []string{`"decider":"spool-2"`, `"excluded":"leaving"`},
		},
		{
			name: "invalid question", status: http.StatusBadRequest, answer: "host and path are required",
			want: []string{"status 400", "host and path are required"}, failure: true,
		},
		{
			name: "not an explanation", status: http.StatusOK, answer: "hello", want: []string{"decode the answer"}, failure: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, forwarder.ExplainPath, r.URL.Path)
				for name, values := range test.asked {
					require.Equal(t, values, r.URL.Query()[name])
				}
				w.WriteHeader(test.status)
				require.NoError(t, json.NewEncoder(w).Encode(test.answer))
			}))
			defer gateway.Close()
			output := &bytes.Buffer{}
			arguments := []string{"explain", "--gateway", strings.TrimPrefix(gateway.URL, "http://")}
			err := explainCommand(output).Run(context.Background(), append(arguments, test.arguments...))
			text := output.String()
			if test.failure {
				require.Error(t, err)
				text = err.Error()
			} else {
				require.NoError(t, err)
			}
			for _, want := range test.want {
				require.Contains(t, text, want)
			}
		})
	}
}
