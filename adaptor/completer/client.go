package completer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// cancelTimeout bounds the call that cancels an attempt whose connection is already closed.
const cancelTimeout = 500 * time.Millisecond

// Client is a client of one engine's completion API over HTTP with server-sent events. It implements Engine.
type Client struct {
	requester *requester.Client
}

// NewClient returns a client of the engine at a base URL.
func NewClient(baseURL string) *Client {
	return &Client{requester: requester.NewClient(baseURL)}
}

// Complete implements Engine. The result of a rejected attempt may hold the engine's report.
func (c *Client) Complete(ctx context.Context, request Request, deliver func(Chunk)) (Result, error) {
	body, err := json.Marshal(encodeRequest(request))
	if err != nil {
		return Result{}, eris.Wrap(ErrInvalid, err.Error())
	}
	header := http.Header{HeaderAttempt: {string(request.Attempt)}, "Accept": {"text/event-stream"}}
	response, err := c.requester.OpenNamed(ctx, http.MethodPost, "/v1/completions", body, header, HeaderAttempt)
	if err != nil {
		c.cancelAbandoned(ctx, request.Attempt)
		return Result{}, classifySendError(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK && response.Header.Get(HeaderAttempt) == "" {
		return Result{}, eris.Wrap(ErrMismatched, "success of no attempt")
	}
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	result, err := readStream(response.Body, request.Attempt, deliver)
	if err != nil {
		c.cancelAbandoned(ctx, request.Attempt)
	}
	return result, err
}

// cancelAbandoned cancels the attempt at the engine if ctx ended, since the engine may detect the closed connection
// late.
func (c *Client) cancelAbandoned(ctx context.Context, attempt identifier.AttemptID) {
	if ctx.Err() == nil {
		return
	}
	cancelCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	_ = c.Cancel(cancelCtx, attempt)
}

// Cancel stops an attempt and releases its exported KV cache. An unknown attempt is not an error.
func (c *Client) Cancel(ctx context.Context, attempt identifier.AttemptID) error {
	path := "/v1/attempts/" + url.PathEscape(string(attempt))
	err := c.requester.Call(ctx, http.MethodDelete, path, nil, nil)
	var status *requester.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	return err
}

func encodeRequest(request Request) WireRequest {
	encoded := WireRequest{
		Model:     request.Model,
		Prompt:    request.Prompt,
		MaxTokens: request.MaxOutput,
		Stream:    true,
		Priority:  request.Priority,
		ExportKV:  request.ExportKV,
	}
	if request.ResumeTokens > 0 || request.Resume != "" {
		encoded.Resume = &WireResume{Text: request.Resume, Tokens: request.ResumeTokens}
	}
	if request.ImportFrom != nil {
		encoded.ImportKV = &WireKVSource{Address: request.ImportFrom.Address, Attempt: request.ImportFrom.Attempt}
	}
	return encoded
}

func classifySendError(err error) error {
	switch {
	case errors.Is(err, requester.ErrUnreachable):
		return eris.Wrap(ErrUnreachable, err.Error())
	case errors.Is(err, requester.ErrMismatched):
		return eris.Wrap(ErrMismatched, err.Error())
	}
	return eris.Wrap(ErrTruncated, err.Error())
}

// readRefusal reads a response whose status is not 200. The statuses that every engine would return for the request are
// ErrInvalid, all others ErrRejected.
func readRefusal(response *http.Response) (Result, error) {
	failure := requester.ReadStatusError(response)
	var chunk WireChunk
	_ = json.Unmarshal(failure.Body, &chunk)
	result := Result{Report: decodeReport(chunk.Report)}
	switch failure.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return result, eris.Wrap(ErrInvalid, failure.Error())
	default:
		return result, eris.Wrap(ErrRejected, failure.Error())
	}
}

func decodeReport(raw json.RawMessage) *messenger.EngineReport {
	if len(raw) == 0 {
		return nil
	}
	report := &messenger.EngineReport{}
	if requester.DecodeReply(raw, report) != nil {
		return nil
	}
	return report
}
