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

// cancelTimeout bounds the message that cancels an attempt whose connection is already closed.
const cancelTimeout = 500 * time.Millisecond

// Client is the work side of one engine over HTTP with server-sent events.
type Client struct {
	requester *requester.Client
}

// NewClient returns a client of the engine at a base URL.
func NewClient(baseURL string) *Client {
	return &Client{requester: requester.NewClient(baseURL)}
}

// Complete runs one attempt and calls deliver for each piece in order. A refused attempt's result may carry the load.
func (c *Client) Complete(ctx context.Context, request Request, deliver func(Chunk)) (Result, error) {
	body, err := json.Marshal(encodeRequest(request))
	if err != nil {
		return Result{}, eris.Wrap(ErrInvalid, err.Error())
	}
	header := http.Header{HeaderAttempt: {string(request.Attempt)}, "Accept": {"text/event-stream"}}
	response, err := c.requester.Open(ctx, http.MethodPost, "/v1/completions", body, header)
	if err != nil {
		c.cancelAbandoned(ctx, request.Attempt)
		return Result{}, classifySendError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	if got := response.Header.Get(HeaderAttempt); got != string(request.Attempt) {
		return Result{}, eris.Wrapf(ErrMismatched, "answer of attempt %q", got)
	}
	result, err := readStream(response.Body, request.Attempt, deliver)
	if err != nil {
		c.cancelAbandoned(ctx, request.Attempt)
	}
	return result, err
}

// cancelLeft tells the engine explicitly when the attempt was cancelled, since it may notice the closed connection late.
func (c *Client) cancelAbandoned(ctx context.Context, attempt identifier.AttemptID) {
	if ctx.Err() == nil {
		return
	}
	cancelling, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	_ = c.Cancel(cancelling, attempt)
}

// Cancel stops an attempt and drops its exported KV cache; an unknown attempt is no error.
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
	if errors.Is(err, requester.ErrUnreachable) {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return eris.Wrap(ErrTruncated, err.Error())
}

// readRefusal reads an answer whose status is not 200: statuses that any engine would give are the request's fault.
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
