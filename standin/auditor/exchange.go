package auditor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/standin/provider"
)

// Headers of the daemon's API for callers.
const (
	headerClass    = "X-Rosemaryspool-Class"
	headerCaller   = "X-Rosemaryspool-Caller"
	headerKey      = "Idempotency-Key"
	headerIssuedAt = "X-Rosemaryspool-Key-Issued-At"
)

// maxResponseBytes is the number of bytes of a response's body that are read; the rest is ignored.
const maxResponseBytes = 1 << 20

// outcome is the outcome of one submission for its caller.
type outcome struct {
	// effect is the effect that a refusal states; zero for a lost response and for the service's response.
	effect refuser.Effect
	// lost is set when no response arrived or it could not be decoded.
	lost bool
	// response is the status and the body of the service's response.
	response string
}

// refusal is the part of a refusal's body that the audit reads.
type refusal struct {
	Error *struct {
		Effect string `json:"effect"`
	} `json:"error"`
}

// send sends one submission and reads the response.
func send(ctx context.Context, settings Settings, s submission) outcome {
	header := http.Header{}
	header.Set(headerClass, string(settings.Class))
	header.Set(headerCaller, string(s.caller))
	header.Set(headerKey, string(s.key))
	header.Set(headerIssuedAt, s.issuedAt.UTC().Format(time.RFC3339))
	path := fmt.Sprintf("/v1/services/%s/%s", settings.Service, settings.Class)
	body := fmt.Appendf(nil, `{"key":%q}`, s.key)
	response, err := s.target.Open(ctx, http.MethodPost, path, body, header)
	if err != nil {
		return outcome{lost: true}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return outcome{lost: true}
	}
	return decodeResponse(response.StatusCode, content)
}

// decodeResponse decodes a refusal by its effect; any other body is the service's response. A refusal with an unknown
// effect counts as lost.
func decodeResponse(status int, content []byte) outcome {
	var refused refusal
	if json.Unmarshal(content, &refused) != nil || refused.Error == nil {
		return outcome{response: fmt.Sprintf("%d %s", status, content)}
	}
	for _, e := range []refuser.Effect{refuser.NotRun, refuser.OutcomeUnknown, refuser.RanAndFailed} {
		if refused.Error.Effect == e.String() {
			return outcome{effect: e}
		}
	}
	return outcome{lost: true}
}

// countRuns returns the runs of each key, summed over all upstreams of the service.
func countRuns(ctx context.Context, services []string) (map[identifier.IdempotencyKey]int, error) {
	runs := map[identifier.IdempotencyKey]int{}
	for _, url := range services {
		counts, err := readCounts(ctx, url)
		if err != nil {
			return nil, eris.Wrapf(err, "auditor: read counts of %s", url)
		}
		for key, count := range counts.ByKey {
			runs[key] += count
		}
	}
	return runs, nil
}

func readCounts(ctx context.Context, url string) (provider.Counts, error) {
	var counts provider.Counts
	response, err := requester.NewClient(url).Open(ctx, http.MethodGet, "/counts", nil, nil)
	if err != nil {
		return counts, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return counts, requester.ReadStatusError(response)
	}
	return counts, json.NewDecoder(response.Body).Decode(&counts)
}
