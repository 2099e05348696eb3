package loader

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/standin/server"
)

const (
	token  = `data: {"choices":[{"delta":{"content":"fits"},"finish_reason":null}]}` + "\n\n"
	finish = `data: {"choices":[{"delta":{"content":""},"finish_reason":"stop"}]}` + "\n\n"
	done   = "data: [DONE]\n\n"
)

// responses holds the daemon's responses by prompt.
var responses = map[string]struct {
	status int
	body   string
}{
	"whole":    {200, token + finish + done},
	"noMark":   {200, token + finish},
	"noFinish": {200, token + done},
	"error":    {200, token + `data: {"error":{"code":3003}}` + "\n\n"},
	"refused":  {503, `{"error":{"code":2002}}`},
	"page":     {502, `<html>`},
}

// serveResponses sends the response for the prompt of a valid request.
func serveResponses(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || r.Header.Get(headerCaller) == "" || !request.Stream {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response := responses[request.Messages[0].Content]
	w.WriteHeader(response.status)
	_, _ = io.WriteString(w, response.body)
}

func TestRunCountsOutcomes(t *testing.T) {
	s, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: http.HandlerFunc(serveResponses)})
	require.NoError(t, err)
	defer s.Close()
	cases := []struct {
		prompt   string
		deadline time.Duration
		want     outcome
		code     refuser.Code
	}{
		{"whole", time.Hour, outcomeGood, 0},
		{"whole", 0, outcomeLate, 0},
		{"noMark", time.Hour, outcomeBroken, 0},
		{"noFinish", time.Hour, outcomeBroken, 0},
		{"error", time.Hour, outcomeBroken, refuser.AnswerIncomplete},
		{"refused", time.Hour, outcomeRefused, refuser.DeadlineUnreachable},
		{"page", time.Hour, outcomeFailed, 0},
	}
	for _, c := range cases {
		a := Arrival{Class: "c", Caller: "k", Prompt: c.prompt, Deadline: c.deadline, MaxOutput: 1}
		report := Run(t.Context(), Settings{
			Targets: []string{s.URL()}, Concurrency: 2, DrainTimeout: time.Hour,
		}, slices.Values([]Arrival{a, a}))
		got := report.Classes["c"]
		require.Equal(t, 2, got.counts[c.want], c.prompt)
		require.Equal(t, 2, got.Sent(), c.prompt)
		if c.code != 0 {
			require.Equal(t, map[refuser.Code]int{c.code: 2}, got.Codes, c.prompt)
		}
	}
}

func TestRunSkipsUnreachableDaemon(t *testing.T) {
	s, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: http.HandlerFunc(serveResponses)})
	require.NoError(t, err)
	defer s.Close()
	a := Arrival{Class: "c", Caller: "k", Prompt: "whole", Deadline: time.Hour, MaxOutput: 1}
	settings := Settings{Targets: []string{"127.0.0.1:0", s.URL()}, Concurrency: 1, DrainTimeout: time.Hour, Seed: 1}
	report := Run(t.Context(), settings, slices.Values(slices.Repeat([]Arrival{a}, 20)))
	require.Equal(t, 20, report.Classes["c"].Good())
}

func TestRunIsBounded(t *testing.T) {
	arrivals := []Arrival{{At: 0}, {At: time.Microsecond}, {At: time.Hour}}
	cases := []struct {
		settings Settings
		want     int
	}{
		{Settings{MaxRequests: 1}, 1},
		{Settings{Length: time.Minute}, 2},
	}
	for _, c := range cases {
		c.settings.Targets, c.settings.Concurrency = []string{"127.0.0.1:0"}, 1
		report := Run(t.Context(), c.settings, slices.Values(arrivals))
		require.Equal(t, c.want, report.Classes[""].Failed())
	}
}

func TestRunCancelsAfterDrainTimeout(t *testing.T) {
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	s, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: silent})
	require.NoError(t, err)
	defer s.Close()
	settings := Settings{Targets: []string{s.URL()}, Concurrency: 1, DrainTimeout: time.Millisecond}
	report := Run(t.Context(), settings, slices.Values([]Arrival{{Class: "c", Caller: "k"}}))
	require.Equal(t, 1, report.Classes["c"].Failed())
}

func TestReportLines(t *testing.T) {
	report := newReport()
	samples := []sample{
		{class: "logRead", outcome: outcomeGood, firstToken: 20 * time.Millisecond, total: 30 * time.Millisecond},
		{class: "logRead", outcome: outcomeRefused, code: refuser.Overloaded},
		{class: "buildingCheck", outcome: outcomeLate, firstToken: time.Millisecond, total: 2 * time.Millisecond},
	}
	for _, s := range samples {
		report.add(s)
	}
	var output bytes.Buffer
	require.NoError(t, report.Write(&output))
	require.Equal(t, "class=buildingCheck sent=1 good=0 goodput=0.0000 late=1 refused=0 broken=0 failed=0 codes=none"+
		" firstP50Ms=1.0 firstP99Ms=1.0 wholeP50Ms=2.0 wholeP99Ms=2.0\n"+
		"class=logRead sent=2 good=1 goodput=0.5000 late=0 refused=1 broken=0 failed=0 codes=2004:1"+
		" firstP50Ms=20.0 firstP99Ms=20.0 wholeP50Ms=30.0 wholeP99Ms=30.0\n", output.String())
}

func TestReportClampsLongTimes(t *testing.T) {
	report := newReport()
	report.add(sample{class: "logRead", outcome: outcomeLate, firstToken: time.Hour, total: 24 * time.Hour})
	c := report.Classes["logRead"]
	longest := float64(maxRecordedTime.Microseconds())
	require.InEpsilon(t, longest, float64(c.firstToken.Max()), 0.001)
	require.InEpsilon(t, longest, float64(c.total.Max()), 0.001)
}
