package connector

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/verifier"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

const (
	// maxInlineBodyBytes is the largest body that is written before the response is read; it fits the socket's buffers.
	// A larger body is written by a goroutine of its own, since an upstream may respond before it has read all of it.
	maxInlineBodyBytes = 16 << 10
	// maxDiscardedBytes bounds the body of a stray response that is discarded; after a larger one the connection is
	// closed.
	maxDiscardedBytes = 64 << 10
	// maxStrayResponses bounds the responses to earlier requests that are discarded before the one to this request.
	maxStrayResponses = 2
)

// Request is a request to an upstream. Method, URI and Body are sent byte for byte.
type Request struct {
	Upstream tracker.Entry
	// ID is what the upstream's answer names. A request without one is sent over a new connection, as nothing else tells its answer
	// from others.
	ID     identifier.RequestID
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Limit is this instance's share of the upstream's connections.
	Limit int
	// MaxIdle is the longest idle time of a pooled connection that may be used for the request.
	MaxIdle time.Duration
	// Knows reports whether a process that has run at the upstream's address since a time is surely the one that is listed. It
	// is nil if that doesn't matter. KnownOnly has the request sent to no other process.
	Knows     func(since time.Time) bool
	KnownOnly bool
	// Confirm is asked in addition if it is not nil, and may wait for the answer.
	Confirm func(since time.Time) bool
}

// Response is an upstream's response. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Identified reports whether the response says that it belongs to the request. It is false only for the first response on a
	// connection, where it says nothing.
	Identified bool
	// Unframed reports whether the end of the body is marked only by the close of the connection.
	Unframed bool
	// Known reports whether the response is surely from the process that is listed, as far as the request asked for that.
	Known bool
	// Since is a time from which on the upstream's process is known to have run.
	Since time.Time
	// Connection is the number of the connection, Exchange that of the request among those on it, from one.
	Connection uint64
	Exchange   int

	connector      *Connector
	address        string
	conn           *connection
	stopCancel     func() bool
	written        <-chan error
	closeAnnounced bool
}

// Exchange sends a request and returns the response once its header is read. The end of ctx aborts the exchange, also
// while the body is read.
func (c *Connector) Exchange(ctx context.Context, r Request) (*Response, error) {
	conn, known, err := c.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	conn.begin(r.ID)
	response := &Response{
		Known: known, Since: conn.since, Connection: conn.number, Exchange: conn.exchanges,
		connector: c, address: r.Upstream.Address, conn: conn,
	}
	response.stopCancel = context.AfterFunc(ctx, func() {
		// A deadline in the past aborts pending reads and writes. The connection is not reused.
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	response.written = writeRequest(conn, r)
	if err := response.readHead(r); err != nil {
		response.Close(false)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, eris.Wrapf(err, "connector: exchange %d on connection %d", conn.exchanges, conn.number)
	}
	c.onResponse(r.Upstream, response)
	return response, nil
}

// writeRequest sends a request; the channel receives one result when the request is written or has failed.
func writeRequest(conn *connection, r Request) <-chan error {
	written := make(chan error, 1)
	head := encodeHead(r)
	if len(r.Body) <= maxInlineBodyBytes {
		_, err := conn.Write(append(head, r.Body...))
		written <- err
		return written
	}
	go func() {
		_, err := conn.Write(head)
		if err == nil {
			_, err = conn.Write(r.Body)
		}
		written <- err
	}()
	return written
}

// encodeHead returns the request line and the header with the length of the body.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the header of the response to the request; informational responses and responses to earlier requests
// on the connection are discarded. A response that names no request is accepted only as the first one on a connection.
func (r *Response) readHead(request Request) error {
	r.conn.bounds.BoundHead()
	defer r.conn.bounds.Unbound()
	for stray := 0; ; {
		response, err := verifier.ReadResponse(r.conn.reader, request.Method)
		if err != nil {
			return err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			r.conn.bounds.NextHead()
			continue
		}
		id := r.connector.identify(response.Header)
		if id == request.ID || (id == "" && r.conn.exchanges == 1) {
			r.setResponse(response)
			r.Identified = id != ""
			return nil
		}
		if r.conn.exchanges == 1 {
			return eris.Errorf("response %d to another request on a new connection", response.StatusCode)
		}
		r.conn.bounds.Bound(2 * maxDiscardedBytes)
		n, err := io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
		if err != io.EOF || response.Close || stray >= maxStrayResponses {
			return eris.Errorf("response %d to another request, discarded %d bytes", response.StatusCode, n)
		}
		r.conn.bounds.BoundHead()
		stray++
	}
}

// setResponse sets the exported fields from the HTTP response that belongs to the request.
func (r *Response) setResponse(response *http.Response) {
	r.Status = response.StatusCode
	r.Header = response.Header
	r.Body = response.Body
	r.Unframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	r.closeAnnounced = response.Close
	r.conn.applyKeepAlive(response.Header)
}

// Close ends the exchange. complete reports whether the body was read to its end; if not, the connection is closed.
func (r *Response) Close(complete bool) {
	if !r.stopCancel() {
		complete = false
	}
	written := false
	select {
	case err := <-r.written:
		written = err == nil
	default:
	}
	r.connector.release(r.address, r.conn, complete && written && !r.closeAnnounced && !r.Unframed)
}
