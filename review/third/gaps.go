package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents = 40
	streamPause  = 50 * time.Millisecond
)

// playGaps: a machine is stopped as planned while it forwards streams. The ids of their events increase, but not by one.
// LOST: around planned work, a process has read a whole request, has passed it on to a server, and the channel ends without a
// complete answer, though neither the server nor a time limit has ended it. It returns how many streams were cut so.
func playGaps(s *system, trouble bool) int {
	const name, prefix, callers = "xano55b", "/pufi791/", 6
	step := 1
	if trouble {
		step = 3
	}
	var mu sync.Mutex
	sound := map[string]bool{}
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i+1)
		s.addServer(&server{id: id, service: name, zone: zones[i], stream: func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("Rosemaryspool-Attempt-Id")
			mu.Lock()
			sound[attempt] = true
			mu.Unlock()
			for n := range streamEvents {
				if r.Context().Err() != nil {
					s.record.add("cut", attempt, fmt.Sprintf("server=%s: its channel was closed after %d events", id, n))
					return
				}
				fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", step*(n+1), n+1)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(streamPause)
			}
			s.record.add("answered", attempt, fmt.Sprintf("server=%s events=%d", id, streamEvents))
		}})
	}
	s.configure(7, []map[string]any{route("r-notes", prefix, "streaming", name, 15000, 1000, 1)}, []map[string]any{service(name)})
	s.addGateways(7, nil)
	time.Sleep(4 * time.Second)
	at := s.gateways[1]
	var done sync.WaitGroup
	lost := 0
	for range callers {
		c, err := dial(s.record, at)
		if err != nil {
			cannotRun("%v", err)
		}
		done.Add(1)
		go func() {
			defer done.Done()
			defer c.conn.Close()
			a := c.send(http.MethodPost, prefix+"2f", "one note", 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if events := strings.Count(a.body, "\n\n"); sound[a.id] && (a.err != nil || events < streamEvents) {
				lost++
				s.record.add("LOST", a.id, fmt.Sprintf("the channel ends after %d of %d events", events, streamEvents))
			}
		}()
	}
	// Shortly after the requests were read, the machine is stopped.
	time.Sleep(20 * time.Millisecond)
	if trouble {
		s.signal(at, syscall.SIGTERM)
	}
	done.Wait()
	return lost
}
