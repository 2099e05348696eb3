package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playReply: the machine that places the requests of both services is frozen, another one is killed and starts again, and the
// first one wakes. It answers what the killed process had asked, and its successor takes that for answers to its own questions.
// ROUTE: a server runs a request of a route that no configuration gives to its service. It returns how many such runs there
// were.
func playReply(s *system, trouble bool) int {
	// With these names of services and machines, the same machine places the requests of both.
	const first, second, placer, entry, burst = "xano55b", "huvo11a", 5, 1, 16
	runs := &runLog{}
	answerOf := func(service string) func(*http.Request) []byte {
		return func(*http.Request) []byte { return []byte("done by " + service + "\n") }
	}
	for _, name := range []string{first, second} {
		for i := range 3 {
			s.addServer(&server{
				id: fmt.Sprintf("i-%s-%d", name, i+1), service: name, zone: zones[i], answer: answerOf(name),
				work: func(r *http.Request) time.Duration {
					runs.add(name, r)
					return 60 * time.Millisecond
				},
			})
		}
	}
	const firstPrefix, secondPrefix = "/lohu930/", "/pule252/"
	s.configure(7, []map[string]any{
		route("r-first", firstPrefix, "non_idempotent", first, 4000, 300, 1),
		route("r-second", secondPrefix, "non_idempotent", second, 4000, 300, 1),
	}, []map[string]any{service(first), service(second)})
	s.addGateways(7, nil)
	time.Sleep(4 * time.Second)
	at := s.gateways[entry]
	if trouble {
		s.signal(s.gateways[placer], syscall.SIGSTOP)
	}
	s.sendBurst(at, firstPrefix, burst, func() {})
	if trouble {
		s.kill(at, 500*time.Millisecond)
		s.awaitReady(at, 3*time.Second)
		time.Sleep(300 * time.Millisecond)
	} else {
		time.Sleep(time.Second)
	}
	s.sendBurst(at, secondPrefix, burst, func() {
		if trouble {
			s.signal(s.gateways[placer], syscall.SIGCONT)
		}
	})
	time.Sleep(500 * time.Millisecond)
	return runs.countForeign(map[string]string{firstPrefix: first, secondPrefix: second}, s.record)
}

// sendBurst has many clients send one order each at the same time over channels that are open, and waits for all answers.
// during is called once all are sent.
func (s *system) sendBurst(at *gateway, prefix string, count int, during func()) {
	var ready, sent, done sync.WaitGroup
	begin := make(chan struct{})
	for range count {
		c, err := dial(s.record, at)
		if err != nil {
			cannotRun("%v", err)
		}
		ready.Add(1)
		sent.Add(1)
		done.Add(1)
		go func() {
			defer done.Done()
			defer c.conn.Close()
			ready.Done()
			<-begin
			sent.Done()
			c.send(http.MethodPost, prefix+"2f", "one order", 4*time.Second)
		}()
	}
	ready.Wait()
	close(begin)
	sent.Wait()
	// The machine wakes while the requests are being placed.
	time.Sleep(8 * time.Millisecond)
	during()
	done.Wait()
}

// runLog holds which service ran which path.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

type run struct{ service, path, id string }

func (l *runLog) add(service string, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run{service, r.URL.Path, r.Header.Get("Rosemaryspool-Attempt-Id")})
}

// countForeign returns how many requests ran at another service than that of their route, by prefix.
func (l *runLog) countForeign(routes map[string]string, record *recorder) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	foreign := 0
	for _, r := range l.runs {
		for prefix, service := range routes {
			if len(r.path) >= len(prefix) && r.path[:len(prefix)] == prefix && r.service != service {
				foreign++
				record.add("ROUTE", r.id, fmt.Sprintf("%s was run by service %s, the route names %s only", r.path, r.service, service))
			}
		}
	}
	return foreign
}
