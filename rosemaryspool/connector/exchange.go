package connector

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxInlineBodyBytes is the largest body that is written before the answer is read; it fits the socket's buffers. A
	// larger body is written by a goroutine of its own, since an upstream may answer before it has read all of it.
	maxInlineBodyBytes = 16 << 10
	// maxDiscardedBytes bounds the body of a stray answer that is discarded; after a larger one the connection is closed.
	maxDiscardedBytes = 64 << 10
	// maxStrayAnswers bounds the answers to earlier requests that are discarded before the one to this request.
	maxStrayResponses = 2
)

// Request is a request to an upstream. Method, URI and Body are sent byte for byte.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// Limit is this instance's share of the upstream's connections.
	Limit int
	// MaxIdle is the longest idle time of a pooled connection that may be used for the request.
	MaxIdle time.Duration
	// Matches reports whether an answer belongs to this request; one that doesn't is discarded. known is false when the
	// answer doesn't identify its request.
	Matches func(http.Header) (same, known bool)
}

// Answer is an upstream's answer. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Unframed reports whether the end of the body is marked only by the close of the connection.
	Unframed bool

	connector      *Connector
	address        string
	conn           *connection
	stopCancel     func() bool
	written        <-chan error
	closeAnnounced bool
}

// Exchange sends a request and returns the answer once its header is read. The end of ctx aborts the exchange, also
// while the body is read.
func (c *Connector) Exchange(ctx context.Context, r Request) (*Response, error) {
	conn, err := c.acquire(ctx, r.Address, max(1, r.Limit), r.MaxIdle)
	if err != nil {
		return nil, err
	}
	conn.exchanges++
	a := &Response{connector: c, address: r.Address, conn: conn}
	a.stopCancel = context.AfterFunc(ctx, func() {
		// A deadline in the past aborts pending reads and writes. The connection is not reused.
		_ = conn.SetDeadline(time.Unix(1, 0))
	})
	a.written = writeRequest(conn, r)
	if err := a.readHead(r); err != nil {
		a.Close(false)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, eris.Wrap(err, "connector: exchange")
	}
	return a, nil
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

// readHead reads the header of the answer to the request; informational answers and answers to earlier requests on the
// connection are discarded.
func (a *Response) readHead(r Request) error {
	for stray := 0; ; {
		response, err := readResponse(a.conn.reader, r.Method)
		if err != nil {
			return err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		same, known := r.Matches(response.Header)
		if same || (!known && a.conn.exchanges == 1) {
			a.setResponse(response)
			return nil
		}
		if a.conn.exchanges == 1 {
			return eris.Errorf("answer %d to another request on a new connection", response.StatusCode)
		}
		n, err := io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
		if err != io.EOF || response.Close || stray >= maxStrayResponses {
			return eris.Errorf("answer %d to another request, discarded %d bytes", response.StatusCode, n)
		}
		stray++
	}
}

func readResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	return http.ReadResponse(reader, &http.Request{Method: method})
}

// setResponse fills the answer from the response that belongs to the request.
func (a *Response) setResponse(response *http.Response) {
	a.Status = response.StatusCode
	a.Header = response.Header
	a.Body = response.Body
	a.Unframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	a.closeAnnounced = response.Close
	a.conn.applyKeepAlive(response.Header)
}

// Close ends the exchange. complete reports whether the body was read to its end; if not, the connection is closed.
func (a *Response) Close(complete bool) {
	if !a.stopCancel() {
		complete = false
	}
	written := false
	select {
	case err := <-a.written:
		written = err == nil
	default:
	}
	a.connector.release(a.address, a.conn, complete && written && !a.closeAnnounced && !a.Unframed)
}
