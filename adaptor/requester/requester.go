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
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/adaptor/bounder"
	"rosemaryspool.example/adaptor/verifier"
)

const (
	// maxResponseBytes bounds a response body that is read into memory.
	maxResponseBytes = 16 << 20
	// maxErrorBytes bounds how much of the body of an error response is read.
	maxErrorBytes     = 64 << 10
	dialTimeout       = 2 * time.Second
	keepAliveInterval = 15 * time.Second
	idleTimeout       = 30 * time.Second
	// maxIdleConns is high enough for the concurrent streams of one upstream to reuse their connections.
	maxIdleConns = 256
)

// ErrUnreachable means that no connection was made: the server did not receive the request.
var ErrUnreachable = errors.New("requester: server unreachable")

// ErrMismatched means that the response is another request's, or may be: the request may have run.
var ErrMismatched = errors.New("requester: response of another request")

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

// Error includes the status and the first 200 characters of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("requester: status %d: %.200s", e.Status, e.Body)
}

// Client sends requests to one base URL. It does not follow redirects and sends a request once.
type Client struct {
	base string
	// kept keeps its connections, single opens one for each request.
	kept, single *http.Client
}

// NewClient returns a client for a base URL; the scheme defaults to http.
func NewClient(baseURL string) *Client {
	return &Client{base: NormalizeURL(baseURL), kept: newHTTPClient(false), single: newHTTPClient(true)}
}

func newHTTPClient(single bool) *http.Client {
	transport := verifier.NewTransport(&http.Transport{
		DisableKeepAlives:   single,
		DialContext:         dial,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// Responses have a few hundred bytes of headers.
		MaxResponseHeaderBytes: 16 << 10,
	})
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
}

// NormalizeURL returns a base URL with a scheme, http by default, and without trailing slashes.
func NormalizeURL(baseURL string) string {
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	return strings.TrimRight(baseURL, "/")
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Open sends a request and returns the response of any status. The caller must read and close its body.
func (c *Client) Open(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	return c.open(ctx, c.kept, method, path, body, header, "")
}

// OpenNamed sends a request whose responses name it in a header, as the request does. A response that names no request is
// accepted only as the first one on a connection; otherwise the error is ErrMismatched and the connection is closed.
func (c *Client) OpenNamed(
	ctx context.Context, method, path string, body []byte, header http.Header, name string,
) (*http.Response, error) {
	return c.open(ctx, c.kept, method, path, body, header, name)
}

// open sends a request whose responses name it in a header, if name isn't empty. It takes another connection if a kept one
// closes before any of the request is written: the transport pools a connection again before the caller of a response without a
// body can close it.
func (c *Client) open(
	ctx context.Context, client *http.Client, method, path string, body []byte, header http.Header, name string,
) (*http.Response, error) {
	for {
		response, used, err := c.send(ctx, client, method, path, body, header)
		if err == nil {
			got := response.Header.Get(name)
			if name == "" || got == header.Get(name) || got == "" && !used.reused {
				return response, nil
			}
			err = eris.Wrapf(ErrMismatched, "response %d of %q", response.StatusCode, got)
		}
		// The answer to this request may follow on the connection.
		unsent := used.abandon()
		if response != nil {
			_ = response.Body.Close()
		}
		if !unsent || ctx.Err() != nil {
			return nil, err
		}
	}
}

func (c *Client) send(
	ctx context.Context, client *http.Client, method, path string, body []byte, header http.Header,
) (*http.Response, connectionUse, error) {
	var used connectionUse
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used = newConnectionUse(info) },
	})
	request, err := http.NewRequestWithContext(traced, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, used, eris.Wrap(err, "requester: build request")
	}
	// Without GetBody the transport cannot rewind the body and therefore does not resend the request.
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
	response, err := client.Do(request)
	if err != nil {
		return nil, used, classifyError(err)
	}
	return response, used, nil
}

// classifyError separates a failed dial, after which nothing was sent, from all other errors.
func classifyError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return eris.Wrap(err, "requester: send")
}

// Call sends a message as protobuf JSON and decodes the response into reply; request and reply may be nil. A status
// other than 2xx is a StatusError. Replies name no request, so that each call has a connection of its own.
func (c *Client) Call(ctx context.Context, method, path string, request, reply proto.Message) error {
	return c.call(ctx, c.single, method, path, request, reply)
}

// Poll reads a message over a kept connection. It is for what is read again and again and may be late: an earlier reply could
// be taken for this one.
func (c *Client) Poll(ctx context.Context, path string, reply proto.Message) error {
	return c.call(ctx, c.kept, http.MethodGet, path, nil, reply)
}

func (c *Client) call(
	ctx context.Context, client *http.Client, method, path string, request, reply proto.Message,
) error {
	var body []byte
	if request != nil {
		encoded, err := protojson.Marshal(request)
		if err != nil {
			return eris.Wrap(err, "requester: encode request")
		}
		body = encoded
	}
	response, err := c.open(ctx, client, method, path, body, nil, "")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return ReadStatusError(response)
	}
	content, err := bounder.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return eris.Wrap(err, "requester: read response")
	}
	return DecodeReply(content, reply)
}

// DecodeReply decodes a response body in protobuf JSON. It ignores unknown fields, which a newer version may have
// added.
func DecodeReply(content []byte, reply proto.Message) error {
	if reply == nil {
		return nil
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, reply); err != nil {
		return eris.Wrap(err, "requester: decode response")
	}
	return nil
}

// ReadStatusError returns the status and body of an error response as an error.
func ReadStatusError(response *http.Response) *StatusError {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return &StatusError{Status: response.StatusCode, Body: body}
}
