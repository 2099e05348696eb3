// Package requester sends JSON requests to the platform's HTTP interfaces.
package requester

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxReplyBytes bounds a reply that is read whole.
	MaxReplyBytes = 64 << 20
	// maxErrorBytes bounds what is kept of a failed reply's body.
	maxErrorBytes     = 64 << 10
	dialTimeout       = 2 * time.Second
	keepAliveInterval = 15 * time.Second
	idleTimeout       = 30 * time.Second
	// maxIdleConns lets one upstream's concurrent streams reuse their connections.
	maxIdleConns = 256
)

// ErrUnreachable means that no connection was made: the other side did not see the request.
var ErrUnreachable = errors.New("requester: other side unreachable")

// StatusError is a reply with a status other than 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

// Error tells the status and the body's beginning.
func (e *StatusError) Error() string {
	return fmt.Sprintf("requester: status %d: %.200s", e.Status, e.Body)
}

// Client sends requests to one base URL. It follows no redirect and never repeats a request by itself.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for a base URL; an address without a scheme is taken as http.
func NewClient(baseURL string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		base: NormalizeURL(baseURL),
		http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

// NormalizeURL returns a base URL with a scheme and without a slash at its end.
func NormalizeURL(baseURL string) string {
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	return strings.TrimRight(baseURL, "/")
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Open sends a request and returns its reply with the body still to be read; any status is a reply.
func (c *Client) Open(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "requester: build request")
	}
	// A body that cannot be rewound keeps the transport from sending it twice.
	request.GetBody = nil
	if header != nil {
		request.Header = header
	}
	if len(body) == 0 {
		request.Body = http.NoBody
		request.ContentLength = 0
	} else if request.Header.Get("Content-Type") == "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, classifyError(err)
	}
	return response, nil
}

func classifyError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return eris.Wrap(err, "requester: send")
}

// Call sends a message in JSON form and decodes the reply; request and reply may be nil.
func (c *Client) Call(ctx context.Context, method, path string, request, reply proto.Message) error {
	var body []byte
	if request != nil {
		encoded, err := protojson.Marshal(request)
		if err != nil {
			return eris.Wrap(err, "requester: encode request")
		}
		body = encoded
	}
	response, err := c.Open(ctx, method, path, body, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return ReadStatusError(response)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxReplyBytes))
	if err != nil {
		return eris.Wrap(err, "requester: read reply")
	}
	return DecodeReply(content, reply)
}

// DecodeReply decodes a JSON reply and keeps quiet about fields that a newer version added.
func DecodeReply(content []byte, reply proto.Message) error {
	if reply == nil {
		return nil
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, reply); err != nil {
		return eris.Wrap(err, "requester: decode reply")
	}
	return nil
}

// ReadStatusError reads a failed reply's body into an error.
func ReadStatusError(response *http.Response) *StatusError {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return &StatusError{Status: response.StatusCode, Body: body}
}
