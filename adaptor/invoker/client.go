package invoker

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/adaptor/sender"
)

// Request headers of a call to a plain service.
const (
	HeaderAttempt = "X-Attempt-Id"
	HeaderKey     = "Idempotency-Key"
)

// Client is an HTTP client of one upstream of a plain service. It implements Service.
type Client struct {
	requester *requester.Client
	sender    *sender.Sender
}

// NewClient returns a client of the service at a base URL.
func NewClient(baseURL string) *Client {
	return &Client{
		requester: requester.NewClient(baseURL),
		sender:    sender.NewSender(baseURL, nil),
	}
}

// Invoke implements Service.
func (c *Client) Invoke(ctx context.Context, call Call) (Response, error) {
	if call.AtMostOnce {
		return c.invokeAtMostOnce(ctx, call)
	}
	response, err := c.requester.OpenNamed(ctx, call.Method, call.Path, call.Body, callHeader(call), HeaderAttempt)
	if errors.Is(err, requester.ErrUnreachable) {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return Response{}, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, sender.MaxResponseBytes+1))
	if err != nil {
		return Response{}, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	if len(body) > sender.MaxResponseBytes {
		return Response{}, eris.Wrapf(ErrOutcomeUnknown, "response body over %d bytes", sender.MaxResponseBytes)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func (c *Client) invokeAtMostOnce(ctx context.Context, call Call) (Response, error) {
	response, err := c.sender.Send(ctx, call.Method, call.Path, callHeader(call), call.Body, time.Time{})
	if errors.Is(err, sender.ErrNotSent) {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return Response{}, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	if err := checkAttempt(call, response.Header); err != nil {
		return Response{}, err
	}
	return Response(response), nil
}

// checkAttempt returns an error if a response names another attempt than the call's. Services may leave the header out.
func checkAttempt(call Call, header http.Header) error {
	if got := header.Get(HeaderAttempt); got != "" && got != string(call.Attempt) {
		return eris.Wrapf(ErrOutcomeUnknown, "response of attempt %q", got)
	}
	return nil
}

func callHeader(call Call) http.Header {
	header := http.Header{HeaderAttempt: {string(call.Attempt)}}
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		header.Set(HeaderKey, string(call.Key))
	}
	return header
}
