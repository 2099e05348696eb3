package appender

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/bounder"
	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Client is an HTTP client of the log service. It implements Log.
type Client struct {
	requester *requester.Client

	mu sync.Mutex
	// limits holds how many records a response of a stream may have, if fewer than were asked for.
	limits map[Stream]int
}

// limitFactor is by how much the limit of a stream shrinks with each response that is too long, and grows with each other.
const limitFactor = 4

// NewClient returns a client of the log service at a base URL.
func NewClient(baseURL string) *Client {
	return &Client{requester: requester.NewClient(baseURL), limits: map[Stream]int{}}
}

// Append implements Log. A success response without an offset is ErrOutcomeUnknown.
func (c *Client) Append(ctx context.Context, stream Stream, records [][]byte) (identifier.Offset, error) {
	var reply messenger.AppendReply
	request := &messenger.AppendRequest{Records: records}
	err := c.requester.Call(ctx, http.MethodPost, recordsPath(stream), request, &reply)
	if err == nil && reply.Offset == 0 {
		return 0, eris.Wrap(ErrOutcomeUnknown, "response without offset")
	}
	if err != nil {
		return 0, classifyAppendError(err)
	}
	return identifier.Offset(reply.Offset), nil
}

// classifyAppendError separates failures that appended nothing from unknown outcomes. By the log's contract a 4xx or
// 503 response means that nothing was appended.
func classifyAppendError(err error) error {
	if errors.Is(err, requester.ErrUnreachable) {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	var status *requester.StatusError
	if errors.As(err, &status) && (status.Status/100 == 4 || status.Status == http.StatusServiceUnavailable) {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrOutcomeUnknown, err.Error())
}

// Read implements Log. It returns a TrimmedError when the offset is no longer retained. Records that are too long for one
// response together are read in several.
func (c *Client) Read(ctx context.Context, stream Stream, from identifier.Offset, limit int, wait time.Duration) (Batch, error) {
	for {
		asked := c.limitOf(stream, limit)
		batch, err := c.read(ctx, stream, from, asked, wait)
		c.adjustLimit(stream, asked, err)
		if !errors.Is(err, bounder.ErrTooLong) || asked == 1 {
			return batch, classifyReadError(err)
		}
	}
}

// limitOf returns how many records of a stream to ask for, a limit at most.
func (c *Client) limitOf(stream Stream, limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, found := c.limits[stream]; found {
		return min(known, limit)
	}
	return limit
}

// adjustLimit changes how many records of a stream to ask for next, after a read that asked for some and its error, if any.
func (c *Client) adjustLimit(stream Stream, asked int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.limits[stream]
	switch {
	case errors.Is(err, bounder.ErrTooLong):
		c.limits[stream] = max(1, asked/limitFactor)
	case err == nil && found && known == asked:
		c.limits[stream] = known * limitFactor
	}
}

// classifyReadError makes every failure but a TrimmedError one of an unavailable log.
func classifyReadError(err error) error {
	var trimmed *TrimmedError
	if err == nil || errors.As(err, &trimmed) {
		return err
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

func (c *Client) read(ctx context.Context, stream Stream, from identifier.Offset, limit int, wait time.Duration) (Batch, error) {
	path := fmt.Sprintf("%s?from=%d&limit=%d&waitMs=%d", recordsPath(stream), from, limit, identifier.Milliseconds(wait))
	var reply messenger.ReadReply
	err := c.requester.Call(ctx, http.MethodGet, path, nil, &reply)
	var status *requester.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return Batch{}, decodeTrimmed(from, status.Body)
	}
	if err != nil {
		return Batch{}, err
	}
	return decodeBatch(&reply), nil
}

func recordsPath(stream Stream) string {
	return "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
}

func decodeTrimmed(requested identifier.Offset, body []byte) error {
	var reply messenger.ReadReply
	if err := requester.DecodeReply(body, &reply); err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return &TrimmedError{Requested: requested, FirstOffset: identifier.Offset(reply.FirstOffset)}
}

func decodeBatch(reply *messenger.ReadReply) Batch {
	batch := Batch{
		Entries:     make([]Entry, 0, len(reply.Entries)),
		FirstOffset: identifier.Offset(reply.FirstOffset),
		EndOffset:   identifier.Offset(reply.EndOffset),
	}
	for _, e := range reply.Entries {
		batch.Entries = append(batch.Entries, Entry{Offset: identifier.Offset(e.Offset), Record: e.Record})
	}
	return batch
}
