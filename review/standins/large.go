package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// answerBytes is the size of a server's answer, sent in pieces of pieceBytes each pieceTime.
	answerBytes = 1 << 20
	pieceBytes  = 64 << 10
	pieceTime   = 15 * time.Millisecond
)

// answerOf returns the body of a server's answer to a request.
func answerOf(server, request string) []byte {
	var b bytes.Buffer
	for line := 0; b.Len() < answerBytes; line++ {
		fmt.Fprintf(&b, "%s %s line %07d\n", server, request, line)
	}
	return b.Bytes()[:answerBytes]
}

// serve is a server: it checks that a request is for it, and answers with a signed body of a known length.
func serve(id, address string, kind []string) {
	if len(kind) == 2 {
		serveStreams(id, address, kind[1] == "failing")
		return
	}
	http.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Rosemaryspool-Attempt-Id")
		w.Header().Set("Rosemaryspool-Attempt-Id", request)
		if expected := r.Header.Get("Rosemaryspool-Expect-Instance"); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/healthz" {
			w.Header().Set("Rosemaryspool-Instance-Id", id)
			return
		}
		if request == "" {
			w.Header().Set("Rosemaryspool-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Printf("server %s runs %s\n", id, request)
		body := answerOf(id, request)
		w.Header().Set("Rosemaryspool-Server-Signature", id+"."+request)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		for sent := 0; sent < len(body); sent += pieceBytes {
			if sent == len(body)/2 {
				fmt.Printf("server %s has sent half of %s\n", id, request)
			}
			if _, err := w.Write(body[sent : sent+pieceBytes]); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pieceTime)
		}
	})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = http.Serve(listener, nil)
}

// largeAnswer has clients read large answers of an idempotent route while one server of four crashes.
func largeAnswer(s *system, trouble bool) (int, error) {
	const (
		clients = 4
		length  = 20 * time.Second
		service = "wuno96b"
	)
	s.configure(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-look", "host": routeHost, "path-prefix": "/lohu930/", "kind": "idempotent", "timeout-ms": 800,
			"target-latency-ms": 150, "priority": 2, "service": service, "max-attempts": 2, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{{
			"name": service, "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	zones := []string{"palermo", "catania", "messina", "siracusa"}
	servers := map[string]*process{}
	for i, zone := range zones {
		p, err := s.startServer(i, service, zone)
		if err != nil {
			return failed, err
		}
		servers[strings.TrimPrefix(p.name, "server-")] = p
	}
	gateways, err := s.startGateways(zones)
	if err != nil {
		return failed, err
	}
	end := time.Now().Add(length)
	go func() {
		// The server that is in the middle of an answer halfway through the play crashes.
		crashed := false
		crashAt := time.Now().Add(length / 4)
		for text := range s.lines {
			fields := strings.Fields(text)
			if trouble && !crashed && time.Now().After(crashAt) && strings.Contains(text, "half") {
				crashed = true
				s.kill(servers[fields[1]])
			}
		}
	}()
	var wait sync.WaitGroup
	var mu sync.Mutex
	complete, mixed := 0, 0
	for c := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%02x%06x", c, n)
				ok, wrong := ask(s, client, gateways[(c+n)%len(gateways)], id)
				mu.Lock()
				if ok {
					complete++
				}
				if wrong {
					mixed++
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	for _, g := range gateways {
		if !g.running() {
			return failed, fmt.Errorf("%s has ended", g.name)
		}
	}
	s.record.line("%d answers were whole and right, %d looked complete and were wrong", complete, mixed)
	switch {
	case mixed > 0:
		return broken, nil
	case complete < 10:
		return failed, fmt.Errorf("only %d answers were complete", complete)
	default:
		return held, nil
	}
}

// ask sends one request. It reports whether the client got a whole and right answer, or one that looks complete and isn't
// the body of the server that has signed it.
func ask(s *system, client *http.Client, g *gateway, id string) (right, wrong bool) {
	request, _ := http.NewRequest(http.MethodGet, "http://"+g.frontend+"/lohu930/2f", nil)
	request.Host = routeHost
	request.Header.Set("Rosemaryspool-Attempt-Id", id)
	request.Header.Set("Rosemaryspool-Deadline-Ms", "1500")
	s.record.line("client sends %s to %s", id, g.name)
	response, err := client.Do(request)
	if err != nil {
		s.record.line("client gets no answer to %s: %v", id, err)
		return false, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.record.line("client gets a broken answer to %s: status %d, %d bytes, then %v", id, response.StatusCode, len(body), err)
		return false, false
	}
	signature := response.Header.Get("Rosemaryspool-Server-Signature")
	if response.StatusCode != http.StatusOK {
		s.record.line("client gets %d for %s", response.StatusCode, id)
		return false, false
	}
	server, _, _ := strings.Cut(signature, ".")
	if want := answerOf(server, id); !bytes.Equal(body, want) {
		s.record.line("MIXED: client gets 200 for %s, signed by %s, complete, %d bytes instead of %d; %s", id, server, len(body),
			len(want), difference(body, want))
		return false, true
	}
	s.record.line("client gets 200 for %s, signed by %s, %d bytes as sent", id, server, len(body))
	return true, false
}

// difference tells where a body begins to differ from the one that the server has.
func difference(body, want []byte) string {
	n := 0
	for n < min(len(body), len(want)) && body[n] == want[n] {
		n++
	}
	return fmt.Sprintf("from byte %d on it is %q", n, body[n:min(len(body), n+40)])
}
