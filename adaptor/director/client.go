package director

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"rosemaryspool.example/adaptor/dispatcher"
	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/wire/messenger"
)

// Client is the control side of one engine over HTTP.
type Client struct {
	requester  *requester.Client
	dispatcher *dispatcher.Dispatcher
}

// NewClient returns a client of the engine at a base URL.
func NewClient(baseURL string) *Client {
	return newClient(baseURL, nil)
}

func newClient(baseURL string, dial dispatcher.DialFunc) *Client {
	return &Client{
		requester:  requester.NewClient(baseURL),
		dispatcher: dispatcher.NewDispatcher(baseURL, dial),
	}
}

// Report reads the engine's own account of its state.
func (c *Client) Report(ctx context.Context) (*messenger.EngineReport, error) {
	reply := &messenger.EngineReport{}
	if err := c.requester.Call(ctx, http.MethodGet, "/v1/report", nil, reply); err != nil {
		return nil, eris.Wrap(err, "director: read report")
	}
	return reply, nil
}

// CacheEvents reads events from a sequence number on.
func (c *Client) CacheEvents(ctx context.Context, from uint64) (*messenger.CacheEvents, error) {
	reply := &messenger.CacheEvents{}
	path := fmt.Sprintf("/v1/cacheEvents?from=%d", from)
	if err := c.requester.Call(ctx, http.MethodGet, path, nil, reply); err != nil {
		return nil, eris.Wrap(err, "director: read cache events")
	}
	return reply, nil
}

// Order sends one order at most once over a connection of its own. Nothing is written after writeBy.
// A reply with Accepted false is the engine's refusal, for instance of an old token.
func (c *Client) Order(ctx context.Context, order *messenger.OrderRequest, writeBy time.Time) (*messenger.OrderReply, error) {
	if writeBy.IsZero() {
		return nil, eris.Wrap(ErrNotSent, "no write deadline")
	}
	body, err := protojson.Marshal(order)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	header := http.Header{"Content-Type": {"application/json"}}
	answer, err := c.dispatcher.Send(ctx, http.MethodPost, "/v1/orders", header, body, writeBy)
	if errors.Is(err, dispatcher.ErrNotSent) {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return nil, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return decodeOrderReply(answer)
}

func decodeOrderReply(answer dispatcher.Response) (*messenger.OrderReply, error) {
	if answer.Status != http.StatusOK && answer.Status != http.StatusConflict {
		return nil, eris.Wrapf(ErrOutcomeUnknown, "status %d", answer.Status)
	}
	reply := &messenger.OrderReply{}
	if err := requester.DecodeReply(answer.Body, reply); err != nil {
		return nil, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return reply, nil
}
