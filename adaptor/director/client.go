package director

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/adaptor/sender"
	"rosemaryspool.example/wire/messenger"
)

// Client is an HTTP client of one engine's control API. It implements Engine.
type Client struct {
	requester *requester.Client
	sender    *sender.Sender
}

// NewClient returns a client of the engine at a base URL.
func NewClient(baseURL string) *Client {
	return newClient(baseURL, nil)
}

func newClient(baseURL string, dial sender.DialFunc) *Client {
	return &Client{
		requester: requester.NewClient(baseURL),
		sender:    sender.NewSender(baseURL, dial),
	}
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context) (*messenger.EngineReport, error) {
	reply := &messenger.EngineReport{}
	if err := c.requester.Poll(ctx, "/v1/report", reply); err != nil {
		return nil, eris.Wrap(err, "director: read report")
	}
	return reply, nil
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, from uint64) (*messenger.CacheEvents, error) {
	reply := &messenger.CacheEvents{}
	path := fmt.Sprintf("/v1/cacheEvents?from=%d", from)
	if err := c.requester.Poll(ctx, path, reply); err != nil {
		return nil, eris.Wrap(err, "director: read cache events")
	}
	return reply, nil
}

// Order implements Engine. A reply with Accepted false means that the engine refused the order, for instance because of
// a stale fencing token.
func (c *Client) Order(ctx context.Context, order *messenger.OrderRequest, writeBy time.Time) (*messenger.OrderReply, error) {
	if writeBy.IsZero() {
		return nil, eris.Wrap(ErrNotSent, "no write deadline")
	}
	body, err := protojson.Marshal(order)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := c.sender.Send(ctx, http.MethodPost, "/v1/orders", header, body, writeBy)
	if errors.Is(err, sender.ErrNotSent) {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return nil, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return decodeOrderReply(response)
}

func decodeOrderReply(response sender.Response) (*messenger.OrderReply, error) {
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return nil, eris.Wrapf(ErrOutcomeUnknown, "status %d", response.Status)
	}
	reply := &messenger.OrderReply{}
	if err := requester.DecodeReply(response.Body, reply); err != nil {
		return nil, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return reply, nil
}
