package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// caller is a client with one channel to a gateway, which it keeps.
type caller struct {
	record *recorder
	conn   net.Conn
	reader *bufio.Reader
}

func dial(record *recorder, g *gateway) (*caller, error) {
	conn, err := net.DialTimeout("tcp", g.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{record: record, conn: conn, reader: bufio.NewReader(conn)}, nil
}

var attempts atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%08x", attempts.Add(1)) }

// answer is what a client got for a request; err tells how its channel ended without one.
type answer struct {
	id     string
	status int
	signed bool
	body   string
	// retryAfter is the Retry-After of a refusal.
	retryAfter time.Duration
	err        error
}

// send sends a request on the channel and waits for its answer.
func (c *caller) send(method, path, body string, limit time.Duration, headers ...string) answer {
	a := answer{id: newID()}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nRosemaryspool-Attempt-Id: %s\r\nRosemaryspool-Deadline-Ms: %d\r\n",
		method, path, a.id, limit.Milliseconds())
	if method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	c.record.add("sent", a.id, strings.Join(append([]string{method, path}, headers...), " "))
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second))
	if _, a.err = io.WriteString(c.conn, text+"\r\n"+body); a.err == nil {
		a.read(c.reader, method)
	}
	switch {
	case a.err != nil:
		c.record.add("closed", a.id, fmt.Sprintf("status=%d bytes=%d %v", a.status, len(a.body), a.err))
	default:
		c.record.add("got", a.id, fmt.Sprintf("status=%d signed=%t bytes=%d %s", a.status, a.signed, len(a.body), firstLine(a.body)))
	}
	return a
}

func (a *answer) read(reader *bufio.Reader, method string) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if seconds, failed := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); failed == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.status, a.signed, a.body, a.err = response.StatusCode, response.Header.Get("Rosemaryspool-Server-Signature") != "", string(content), err
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	if len(line) > 40 {
		line = line[:40]
	}
	return line
}
