// Package dispatcher sends one HTTP request at most once over a connection of its own.
//
// It does without http.Transport, which sends a request again by itself when a reused connection dies early.
package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/requester"
)

const (
	// MaxAnswerBytes bounds an answer; a longer one is an error after the send.
	MaxResponseBytes = 16 << 20
	dialTimeout      = 2 * time.Second
	// maxInformational bounds the 1xx replies that may precede the answer.
	maxInformational = 8
)

// ErrNotSent means that no byte of the request was written.
var ErrNotSent = errors.New("dispatcher: not sent")

// ErrAnswerLost means that bytes were written but no whole answer arrived.
var ErrResponseLost = errors.New("dispatcher: answer lost")

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Answer is a whole HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dispatcher sends requests to one base URL, each over a fresh connection and at most once.
type Dispatcher struct {
	base string
	dial DialFunc
}

// NewDispatcher returns a dispatcher for a base URL; a nil dial means TCP.
func NewDispatcher(baseURL string, dial DialFunc) *Dispatcher {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Dispatcher{base: requester.NormalizeURL(baseURL), dial: dial}
}

// Send writes the request once and reads its answer. Nothing is written after writeBy unless it is zero.
// Redirects and failures are answers like any other; an error is ErrNotSent or ErrAnswerLost.
func (d *Dispatcher) Send(ctx context.Context, method, path string, header http.Header, body []byte, writeBy time.Time) (Response, error) {
	address, message, err := d.encode(ctx, method, path, header, body)
	if err != nil {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
	}
	conn, err := d.connect(ctx, address)
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
	// The connection's deadline is a timer, which a process that just went on after a pause may not have run yet.
	if !writeBy.IsZero() && !time.Now().Before(writeBy) {
		return Response{}, eris.Wrap(ErrNotSent, "write deadline over")
	}
	written, err := conn.Write(message)
	if err != nil && written == 0 {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
	}
	if err != nil {
		return Response{}, eris.Wrap(ErrResponseLost, err.Error())
	}
	answer, err := readResponse(conn, method)
	if err != nil {
		return Response{}, eris.Wrap(ErrResponseLost, err.Error())
	}
	return answer, nil
}

// encode returns the target and the whole request as bytes, so that one write sends it.
func (d *Dispatcher) encode(ctx context.Context, method, path string, header http.Header, body []byte) (*url.URL, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, d.base+path, bytes.NewReader(body))
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

func (d *Dispatcher) connect(ctx context.Context, target *url.URL) (net.Conn, error) {
	port := target.Port()
	if port == "" && target.Scheme == "https" {
		port = "443"
	}
	if port == "" {
		port = "80"
	}
	conn, err := d.dial(ctx, "tcp", net.JoinHostPort(target.Hostname(), port))
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
	reader := bufio.NewReader(conn)
	for range maxInformational {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return Response{}, err
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		body, err := readBody(response)
		return Response{Status: response.StatusCode, Header: response.Header, Body: body}, err
	}
	return Response{}, eris.New("dispatcher: too many informational replies")
}

func readBody(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxResponseBytes {
		return nil, eris.Errorf("dispatcher: answer over %d bytes", MaxResponseBytes)
	}
	return body, nil
}
