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
	// inlineBytes is the largest body that is written before the answer is read: it fits the socket's buffers. A longer
	// one is written beside, since an upstream may answer before it has read all of it.
	maxInlineBodyBytes = 16 << 10
	// discardBytes bounds a stray answer that is read past; beyond it the connection is given up.
	maxDiscardedBytes = 64 << 10
	// strayAnswers bounds the answers of earlier requests that are read past.
	maxStrayAnswers = 2
)

// Request is one request to an upstream. Method, URI and Body go out byte for byte.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// Limit is this instance's share of the upstream's connections.
	Limit int
	// MaxIdle is the longest idle time of a kept connection that may carry the request.
	MaxIdle time.Duration
	// Belongs tells whether an answer belongs to this request; one that doesn't is read past. known is false when the
	// answer names no request.
	Matches func(http.Header) (same, known bool)
}

// Answer is an upstream's answer. Close must be called once.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Unframed is true when the body ends with the connection.
	Unframed bool

	connector      *Connector
	address        string
	conn           *connection
	stopCancel     func() bool
	written        <-chan error
	closeAnnounced bool
}

// Exchange sends a request and returns the answer's head. The end of ctx breaks the exchange off.
func (c *Connector) Exchange(ctx context.Context, r Request) (*Answer, error) {
	used, err := c.acquire(ctx, r.Address, max(1, r.Limit), r.MaxIdle)
	if err != nil {
		return nil, err
	}
	used.exchanges++
	a := &Answer{connector: c, address: r.Address, conn: used}
	a.stopCancel = context.AfterFunc(ctx, func() {
		// A deadline in the past ends reads and writes that are under way; the connection is not used again.
		_ = used.SetDeadline(time.Unix(1, 0))
	})
	a.written = writeRequest(used, r)
	if err := a.readHead(r); err != nil {
		a.Close(false)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, eris.Wrap(err, "connector: exchange")
	}
	return a, nil
}

// write sends the request; the channel gets one result when all of it is written.
func writeRequest(used *connection, r Request) <-chan error {
	written := make(chan error, 1)
	head := encodeHead(r)
	if len(r.Body) <= maxInlineBodyBytes {
		_, err := used.Write(append(head, r.Body...))
		written <- err
		return written
	}
	go func() {
		_, err := used.Write(head)
		if err == nil {
			_, err = used.Write(r.Body)
		}
		written <- err
	}()
	return written
}

func encodeHead(r Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// Write of a header to a buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the answer that belongs to the request; informational and stray answers are read past.
func (a *Answer) readHead(r Request) error {
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
			return eris.Errorf("answer %d of another request on a new connection", response.StatusCode)
		}
		n, err := io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
		if err != io.EOF || response.Close || stray >= maxStrayAnswers {
			return eris.Errorf("answer %d of another request, %d bytes", response.StatusCode, n)
		}
		stray++
	}
}

func readResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	return http.ReadResponse(reader, &http.Request{Method: method})
}

func (a *Answer) setResponse(response *http.Response) {
	a.Status = response.StatusCode
	a.Header = response.Header
	a.Body = response.Body
	a.Unframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	a.closeAnnounced = response.Close
	a.conn.applyKeepAlive(response.Header)
}

// Close ends the exchange. whole tells that the body was read to its end, so that the connection may be kept.
func (a *Answer) Close(whole bool) {
	if !a.stopCancel() {
		whole = false
	}
	sent := false
	select {
	case err := <-a.written:
		sent = err == nil
	default:
	}
	a.connector.release(a.address, a.conn, whole && sent && !a.closeAnnounced && !a.Unframed)
}
