package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is a stand-in for a server of the platform: it runs each request that names its id, and answers with a stream of
// events, or with a body after its work time.
type Server struct {
	ID      string
	Service string
	Zone    string
	Stage   string
	Slots   int
	Born    int64
	// Version is that of the server's software; "v1" if empty.
	Version string
	// Events and Pause describe the streams; Work is the time that other requests take.
	Events int
	Pause  time.Duration
	Work   time.Duration

	log      *Record
	address  string
	server   *http.Server
	mu       sync.Mutex
	sequence int
	running  int
	leaving  bool
	silent   bool
	ended    bool
	stop     chan struct{}
	runs     []Run
}

// Run is a request that a server began to run.
type Run struct {
	ID   string
	At   time.Time
	Done bool
}

// Start listens at an IP address, at a port of its own, or at the given one.
func (s *Server) Start(ip, port string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
	if err != nil {
		return err
	}
	s.address, s.stop = l.Addr().String(), make(chan struct{})
	if s.Born == 0 {
		s.Born = time.Now().UnixMilli()
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// Entry returns the server's next entry in the store.
func (s *Server) Entry(state string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	version := cmp.Or(s.Version, "v1")
	e := map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": version, "slots": s.Slots, "state": state,
		"cold-remaining-ms": 0, "sequence": s.sequence, "born": s.Born,
	}
	if s.Stage != "" {
		e["stage"] = s.Stage
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	b, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return b
}

// Beat writes the server's entry every 1,200 ms until it falls silent or ends.
func (s *Server) Beat(store *Store) {
	store.Put("keyed.servers", s.ID, s.Entry("ready"))
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			s.mu.Lock()
			silent := s.silent
			s.mu.Unlock()
			if silent {
				return
			}
			store.Put("keyed.servers", s.ID, s.Entry("ready"))
		}
	}()
}

// Leave removes the server's entry without the report "draining"; from now on its answers say that it leaves.
func (s *Server) Leave(store *Store) {
	s.mu.Lock()
	s.leaving, s.silent = true, true
	s.mu.Unlock()
	store.Put("keyed.servers", s.ID, nil)
}

// Exit ends the server like a process that exits: its channels are closed.
func (s *Server) Exit() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	s.mu.Unlock()
	close(s.stop)
	_ = s.server.Close()
}

// Runs returns the requests that the server began to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) reject(w http.ResponseWriter, status int) {
	w.Header().Set("Rosemaryspool-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Rosemaryspool-Attempt-Id")
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if id != "" {
		h.Set("Rosemaryspool-Attempt-Id", id)
	}
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("Rosemaryspool-Expect-Instance"); expected != "" && expected != s.ID {
		h.Set("Rosemaryspool-Instance-Id", s.ID)
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		h.Set("Rosemaryspool-Instance-Id", s.ID)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/-/report":
		s.mu.Lock()
		active := s.running
		s.mu.Unlock()
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":%d,"kv-used":0,"kv-total":2006276,"kv-handles":0}`, s.Stage, active)
		return
	}
	if id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	if s.running >= s.Slots {
		s.mu.Unlock()
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs = append(s.runs, Run{ID: id, At: time.Now()})
	i := len(s.runs) - 1
	s.mu.Unlock()
	s.log.Line("run", "server=%s request=%s leaving=%v", s.ID, id, leaving)
	done := s.run(w, r, id)
	s.mu.Lock()
	s.running--
	s.runs[i].Done = done
	s.mu.Unlock()
	s.log.Line("ran", "server=%s request=%s complete=%v", s.ID, id, done)
}

// run does the work of a request, and reports whether it was completed.
func (s *Server) run(w http.ResponseWriter, r *http.Request, id string) bool {
	h := w.Header()
	h.Set("Rosemaryspool-Server-Signature", "sig."+s.ID+"."+id)
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-s.stop:
		case <-r.Context().Done():
		}
		return false
	}
	if s.Events == 0 {
		if !pause(s.Work) {
			return false
		}
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if leaving {
			h.Set("Server-Leaving", "1")
		}
		_, _ = fmt.Fprintf(w, "done %s by %s\n", id, s.ID)
		return true
	}
	h.Set("Content-Type", "text/event-stream")
	f := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= s.Events; n++ {
		if !pause(s.Pause) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d/%d by %s\n\n", n, id, n, s.Events, cmp.Or(s.Version, "v1")); err != nil {
			return false
		}
		if f.Flush() != nil {
			return false
		}
	}
	return true
}
