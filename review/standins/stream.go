package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents = 40
	eventTime    = 25 * time.Millisecond
	// failingShare is the share of its requests that a failing server answers with a failure of its own.
	failingShare = 0.45
	// failingTime is how long it does so at a time, in each failingPeriod.
	failingTime   = 6 * time.Second
	failingPeriod = 10 * time.Second
)

func eventOf(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", number, request, number, streamEvents)
}

// serveStreams is a model server without a separate prefill. It resumes a stream after Last-Event-Id. A failing one answers
// a share of its requests with a signed failure; its health probe is good.
func serveStreams(id, address string, failing bool) {
	begun := time.Now()
	http.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Rosemaryspool-Attempt-Id")
		w.Header().Set("Rosemaryspool-Attempt-Id", request)
		if expected := r.Header.Get("Rosemaryspool-Expect-Instance"); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		switch {
		case r.URL.Path == "/healthz":
			w.Header().Set("Rosemaryspool-Instance-Id", id)
			return
		case r.URL.Path == "/-/report":
			respondJSON(w, http.StatusOK, map[string]any{
				"stage": "decode", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "active": 0, "kv-used": 0,
				"kv-total": 1776274, "kv-handles": 0,
			})
			return
		case request == "":
			w.Header().Set("Rosemaryspool-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		fmt.Printf("server %s runs %s after event %d\n", id, request, last)
		w.Header().Set("Rosemaryspool-Server-Signature", id+"."+request)
		if failing && time.Since(begun)%failingPeriod < failingTime && rand.Float64() < failingShare {
			fmt.Printf("server %s answers %s with 404\n", id, request)
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, failureText)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for n := last + 1; n <= streamEvents; n++ {
			if _, err := io.WriteString(w, eventOf(request, n)); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(eventTime)
		}
		fmt.Printf("server %s has ended %s\n", id, request)
	})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = http.Serve(listener, nil)
}

const failureText = "no such document\n"

// resumedFailure has clients read resumable streams while two servers of eight crash together from time to time and another one
// fails a part of its requests.
func resumedFailure(s *system, trouble bool) (int, error) {
	const (
		clients = 36
		servers = 8
		length  = 55 * time.Second
		service = "huvo11a"
	)
	s.configure(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-check", "host": routeHost, "path-prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 2000,
			"target-latency-ms": 120, "priority": 0, "service": service, "max-attempts": 2, "sticky": true, "resumable": true,
			"target-gap-ms": 120,
		}},
		"services": []map[string]any{{
			"name": service, "health-path": "/healthz", "max-connections": 120, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 6, "kv-capacity-tokens": 1776274, "kv-bytes": 18432, "link-mbps": 960000.0, "stride": 65, "most": 12,
				"kv-retention-s": 5.0, "role-switch-s": 3.0, "models": []map[string]any{{"name": "m"}},
			},
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	zones := []string{"palermo", "catania", "messina", "siracusa"}
	running := make([]*process, servers)
	start := func(i int) error {
		kind := "sound"
		if i == 0 && trouble {
			kind = "failing"
		}
		p, err := s.startServer(i, service, zones[i%len(zones)], "streams", kind)
		running[i] = p
		return err
	}
	for i := range servers {
		if err := start(i); err != nil {
			return failed, err
		}
	}
	go func() {
		for range s.lines {
		}
	}()
	gateways, err := s.startGateways(zones[:3])
	if err != nil {
		return failed, err
	}
	end := time.Now().Add(length)
	var troubles sync.WaitGroup
	if trouble {
		troubles.Go(func() {
			for i := 0; time.Until(end) > 8*time.Second; i += 2 {
				first, second := 1+i%(servers-1), 1+(i+1)%(servers-1)
				time.Sleep(1500 * time.Millisecond)
				s.kill(running[first])
				s.kill(running[second])
				time.Sleep(2 * time.Second)
				_ = start(first)
				_ = start(second)
			}
		})
	}
	var clientsRunning sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for c := range clients {
		clientsRunning.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				outcome := s.readStream(gateways[(c+n)%len(gateways)], fmt.Sprintf("%02x%06x", c, n))
				mu.Lock()
				counts[outcome]++
				mu.Unlock()
			}
		})
	}
	clientsRunning.Wait()
	troubles.Wait()
	for _, g := range gateways {
		if !g.running() {
			return failed, fmt.Errorf("%s has ended", g.name)
		}
	}
	s.record.line("outcomes: %v", counts)
	switch {
	case counts["wrong"] > 0:
		return broken, nil
	case counts["whole"] < 10:
		return failed, fmt.Errorf("only %d streams were whole", counts["whole"])
	default:
		return held, nil
	}
}

// readStream sends one request and reads its stream. It returns "wrong" if the stream ends as complete, with status 200, and
// isn't the server's events in order up to the last one.
func (s *system) readStream(g *gateway, id string) string {
	conn, err := net.DialTimeout("tcp", g.frontend, time.Second)
	if err != nil {
		return "unconnected"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	body := "{}"
	s.record.line("client sends %s to %s", id, g.name)
	fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nRosemaryspool-Attempt-Id: %s\r\nRosemaryspool-Model: m\r\n"+
		"Rosemaryspool-Token-Count: 120,%d\r\nRosemaryspool-Prompt-Prefix: 5c1e07a2:80,%s:40\r\n"+
		"Rosemaryspool-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s", routeHost, id, streamEvents, id, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.record.line("client gets no answer to %s: %v", id, err)
		return "unanswered"
	}
	content, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		s.record.line("client gets %d for %s: %q", response.StatusCode, id, content[:min(60, len(content))])
		return fmt.Sprint(response.StatusCode)
	}
	if err != nil {
		s.record.line("client gets 200 for %s, broken off after %d bytes: %v", id, len(content), err)
		return "brokenOff"
	}
	var want strings.Builder
	for n := 1; n <= streamEvents; n++ {
		want.WriteString(eventOf(id, n))
	}
	if string(content) != want.String() {
		s.record.line("MIXED, ORDER: client gets 200 for %s, signed by %s, ended as complete, %d bytes instead of %d; %s", id,
			response.Header.Get("Rosemaryspool-Server-Signature"), len(content), want.Len(),
			difference(content, []byte(want.String())))
		return "wrong"
	}
	s.record.line("client gets 200 for %s, whole", id)
	return "whole"
}
