// Package sender sends HTTP requests at most once, each over a new connection.
//
// It does not use http.Transport, which retries a request when a reused connection fails before the response.
package sender

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/bounder"
	"rosemaryspool.example/adaptor/requester"
	"rosemaryspool.example/adaptor/verifier"
)

const (
	// MaxResponseBytes bounds a response body; a longer one is ErrResponseLost.
	MaxResponseBytes = 16 << 20
	dialTimeout      = 2 * time.Second
	// maxInformational bounds the number of 1xx responses before the final one.
	maxInformational = 8
)

// ErrNotSent means that no byte of the request was written.
var ErrNotSent = errors.New("sender: not sent")

// ErrResponseLost means that bytes were written but no complete response arrived.
var ErrResponseLost = errors.New("sender: response lost")

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Response is an HTTP response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Sender sends requests to one base URL, each over a new connection and at most once.
type Sender struct {
	base string
	dial DialFunc
}

// NewSender returns a sender for a base URL. If dial is nil, it uses a net.Dialer.
func NewSender(baseURL string, dial DialFunc) *Sender {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Sender{base: requester.NormalizeURL(baseURL), dial: dial}
}

// Send writes the request once and reads its response. Nothing is written after writeBy; zero means no deadline.
// A response of any status, including redirects, is returned without an error. An error is ErrNotSent or
// ErrResponseLost.
func (s *Sender) Send(ctx context.Context, method, path string, header http.Header, body []byte, writeBy time.Time) (Response, error) {
	target, message, err := s.encode(ctx, method, path, header, body)
	if err != nil {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
	}
	conn, err := s.connect(ctx, target)
	if err != nil {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
	}
	defer conn.Close()
	if err := conn.SetWriteDeadline(writeBy); err != nil {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if ctx.Err() != nil {
		return Response{}, eris.Wrap(ErrNotSent, ctx.Err().Error())
	}
	// The connection's deadline is a timer, which may not have fired yet in a process that resumes after a pause.
	if !writeBy.IsZero() && !time.Now().Before(writeBy) {
		return Response{}, eris.Wrap(ErrNotSent, "write deadline exceeded")
	}
	written, err := conn.Write(message)
	if err != nil && written == 0 {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return Response{}, eris.Wrap(ErrResponseLost, err.Error())
	}
	response, err := readResponse(conn, method)
	if err != nil {
		return Response{}, eris.Wrap(ErrResponseLost, err.Error())
	}
	return response, nil
}

// encode returns the target URL and the complete request as bytes, so that it can be sent with one write.
func (s *Sender) encode(ctx context.Context, method, path string, header http.Header, body []byte) (*url.URL, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	if header != nil {
		request.Header = header.Clone()
	}
	request.Close = true
	if len(body) == 0 {
		request.Body = http.NoBody
		request.ContentLength = 0
	}
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		return nil, nil, err
	}
	return request.URL, message.Bytes(), nil
}

func (s *Sender) connect(ctx context.Context, target *url.URL) (net.Conn, error) {
	port := target.Port()
	if port == "" && target.Scheme == "https" {
		port = "443"
	}
	if port == "" {
		port = "80"
	}
	conn, err := s.dial(ctx, "tcp", net.JoinHostPort(target.Hostname(), port))
	if err != nil || target.Scheme != "https" {
		return conn, err
	}
	secured := tls.Client(conn, &tls.Config{ServerName: target.Hostname(), MinVersion: tls.VersionTLS12})
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

func readResponse(conn net.Conn, method string) (Response, error) {
	bounds := bounder.NewReader(conn)
	bounds.BoundHead()
	reader := bufio.NewReader(bounds)
	for range maxInformational {
		response, err := verifier.ReadResponse(reader, method)
		if err != nil {
			return Response{}, err
		}
		if response.StatusCode/100 == 1 {
			bounds.NextHead()
			continue
		}
		bounds.Unbound()
		// The body is not closed, as that would read it to its end.
		body, err := bounder.ReadAll(response.Body, MaxResponseBytes)
		return Response{Status: response.StatusCode, Header: response.Header, Body: body}, err
	}
	return Response{}, eris.New("sender: too many informational responses")
}
