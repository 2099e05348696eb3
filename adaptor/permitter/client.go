package permitter

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Client is an HTTP client of the weight store. It implements Store.
type Client struct {
	requester *requester.Client
}

// NewClient returns a client of the weight store at a base URL.
func NewClient(baseURL string) *Client {
	return &Client{requester: requester.NewClient(baseURL)}
}

// Permit implements Store.
func (c *Client) Permit(ctx context.Context, model identifier.ModelName, version identifier.ModelVersion) (Permit, error) {
	request := &messenger.WeightPermitRequest{Model: string(model), Version: string(version)}
	var reply messenger.WeightPermit
	if err := c.requester.Call(ctx, http.MethodPost, "/v1/permits", request, &reply); err != nil {
		return Permit{}, eris.Wrap(err, "permitter: request permit")
	}
	wait := time.Duration(reply.RetryAfterMs) * time.Millisecond
	return Permit{Granted: reply.Granted, RetryAfter: wait}, nil
}
