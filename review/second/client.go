package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is how a client's request ended.
type Answer struct {
	ID       string
	Gateway  string
	SentAt   time.Time
	EndedAt  time.Time
	Status   int
	Signed   bool
	Complete bool
	// Leaving is true if the answer says that its server leaves.
	Leaving bool
	Body    string
	Err     error
}

// Client sends requests to one gateway over kept channels.
type Client struct {
	gateway *Gateway
	log     *Record
	http    *http.Client
	mu      sync.Mutex
	answers []Answer
}

var lastID atomic.Int64

// NewClient returns a client of a gateway.
func NewClient(g *Gateway, log *Record) *Client {
	return &Client{gateway: g, log: log, http: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
	}}}
}

// Send sends one request and waits for the end of its answer. extra are further headers, as name and value in turn.
func (c *Client) Send(path string, limit time.Duration, extra ...string) Answer {
	id := fmt.Sprintf("%016x", 0x5c00000000000000+lastID.Add(1))
	a := Answer{ID: id, Gateway: c.gateway.Name, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway.IP+":"+callerPort+path, bytes.NewReader([]byte("order "+id)))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = "fit.example"
	r.Header.Set("Rosemaryspool-Attempt-Id", id)
	r.Header.Set("Rosemaryspool-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for i := 0; i+1 < len(extra); i += 2 {
		r.Header.Set(extra[i], extra[i+1])
	}
	c.log.Line("send", "request=%s gateway=%s path=%s", id, c.gateway.Name, path)
	response, err := c.http.Do(r)
	if err != nil {
		a.Err = err
	} else {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.Status, a.Signed = response.StatusCode, response.Header.Get("Rosemaryspool-Server-Signature") != ""
		a.Leaving = response.Header.Get("Server-Leaving") == "1"
		a.Body, a.Err, a.Complete = string(body), err, err == nil
	}
	a.EndedAt = time.Now()
	c.log.Line("answer", "request=%s gateway=%s status=%d signed=%v complete=%v bytes=%d error=%v",
		id, c.gateway.Name, a.Status, a.Signed, a.Complete, len(a.Body), oneLine(a.Err))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

func oneLine(err error) string {
	if err == nil {
		return "none"
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}

// Answers returns how the requests ended so far.
func (c *Client) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}
