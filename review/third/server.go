package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// server is a sound server of a plain service: it runs slots requests at once, queues a few more, and drops a request whose
// channel closes.
type server struct {
	id, service, zone, address string
	// version is that of the server's software.
	version string
	slots   chan struct{}
	waiting atomic.Int64
	// work is how long a request takes, answer what it is answered with.
	work   func(*http.Request) time.Duration
	answer func(*http.Request) []byte
	// stream answers with an event stream in place of work and answer.
	stream func(http.ResponseWriter, *http.Request)
	record *recorder
	born   int64
	// beats is true if the case itself makes the server write to the store.
	beats bool
	http  *http.Server
	// leaving is true once the server is going to end; it says so in all its answers.
	leaving atomic.Bool
}

// end ends the server with the requests that it runs.
func (s *server) end() { _ = s.http.Close() }

const (
	slots = 6
	queue = 24
)

// register writes the server's entry to the store at each heartbeat.
func (s *server) register(ctx context.Context, st *store) {
	for sequence := 1; ; sequence++ {
		s.beat(st, sequence)
		if s.beats {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) beat(st *store, sequence int) {
	st.put("keyed.servers", s.id, encode(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": cmp.Or(s.version, "v1"), "slots": slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": sequence, "born": s.born,
	}))
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Rosemaryspool-Instance-Id", s.id)
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("Rosemaryspool-Attempt-Id")
	if id != "" {
		h.Set("Rosemaryspool-Attempt-Id", id)
	}
	if expected := r.Header.Get("Rosemaryspool-Expect-Instance"); expected != "" && expected != s.id {
		h.Set("Rosemaryspool-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get("Rosemaryspool-Deadline-Ms"), 64); err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
		ctx = limited
	}
	reject := func() {
		h.Set("Rosemaryspool-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if s.waiting.Add(1) > slots+queue {
		s.waiting.Add(-1)
		reject()
		return
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		reject()
		return
	}
	defer func() { <-s.slots }()
	s.record.add("run", id, fmt.Sprintf("service=%s server=%s %s %s", s.service, s.id, r.Method, r.URL.Path))
	if s.stream != nil {
		h.Set("Rosemaryspool-Server-Signature", "sig."+s.id+"."+id)
		h.Set("Content-Type", "text/event-stream")
		s.stream(w, r)
		return
	}
	select {
	case <-time.After(s.work(r)):
	case <-ctx.Done():
		if r.Context().Err() == nil {
			h.Set("Rosemaryspool-Server-Signature", "sig."+s.id+"."+id)
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		s.record.add("cut", id, "service="+s.service+" server="+s.id)
		return
	}
	body := s.answer(r)
	h.Set("Rosemaryspool-Server-Signature", "sig."+s.id+"."+id)
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
	s.record.add("answered", id, fmt.Sprintf("service=%s server=%s bytes=%d", s.service, s.id, len(body)))
}
