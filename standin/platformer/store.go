// Package platformer stands in for the users' platform at its wire: the store, the upstreams and the operator's writes.
// Faults are switched by tests.
package platformer

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is how the store misbehaves.
type Fault int

// Faults of the store.
const (
	// Healthy answers every call.
	Healthy Fault = iota
	// Silent takes calls and never answers them.
	Silent
	// Busy answers 503.
	Busy
	// Deaf answers, but a read that waits is not woken by new records.
	NoWakeups
)

// Topics and the key of the operator's configuration.
const (
	TopicServers       = "keyed.servers"
	TopicConfiguration = "keyed.op"
	KeyConfiguration   = "config"
)

type entry struct {
	key   string
	value []byte
}

// topic is one partition; records before start are trimmed.
type topic struct {
	records []entry
	start   int
	newest  map[string]int
}

// Store stands in for the platform's log store. It is an http.Handler, safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	fault   Fault
	changed chan struct{}
	calls   int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

// SetFault switches a fault on or, with Healthy, off. Calls that wait in silence are never answered.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how many calls came.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes the newest value of a key, as the operator and the upstreams do; a nil value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, entry{key: key, value: value})
}

func (s *Store) put(name string, e entry) int {
	t := s.topic(name)
	t.records = append(t.records, e)
	at := t.start + len(t.records) - 1
	if e.value == nil {
		delete(t.newest, e.key)
	} else {
		t.newest[e.key] = at
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return at
}

// Trim drops all records of a topic; the newest of each key stay readable.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	kept := map[string]entry{}
	for key, at := range t.newest {
		kept[key] = t.records[at-t.start]
	}
	t.start += len(t.records)
	t.records = nil
	for key, e := range kept {
		t.newest[key] = t.start + len(t.records)
		t.records = append(t.records, e)
	}
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Silent:
		// The end of a connection is only seen once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Healthy, NoWakeups:
	}
	switch r.URL.Path {
	case "/-/log-newest":
		s.answerNewest(w, r)
	case "/-/log-read":
		s.answerRead(w, r)
	case "/-/log-append":
		s.answerAppend(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) answerNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, at := range t.newest {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[at-t.start].value), at})
	}
	end := t.start + len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "end-offset": end})
}

func (s *Store) answerRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end, start, fault, changed := t.start+len(t.records), t.start, s.fault, s.changed
		records := append([]entry(nil), t.records[min(len(t.records), max(0, from-start)):]...)
		s.mu.Unlock()
		switch {
		case fault == Silent:
			// A read that waited when the store went away is lost with it.
			<-r.Context().Done()
			return
		case from < start:
			writeJSON(w, http.StatusGone, map[string]any{"start-offset": start})
			return
		case len(records) > 0 || wait == 0:
			writeRecords(w, end, start, records)
			return
		}
		if fault == NoWakeups {
			changed = nil
		}
		select {
		case <-r.Context().Done():
			return
		case <-limit:
			wait = 0
		case <-changed:
		}
	}
}

func writeRecords(w http.ResponseWriter, end, start int, records []entry) {
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(start))
	for _, e := range records {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(e.value)))
		body = append(body, byte(len(e.key)))
		body = append(body, e.key...)
		body = append(body, e.value...)
	}
	_, _ = w.Write(body)
}

func (s *Store) answerAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(t.start+len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end-offset": t.start + len(t.records)})
		return
	}
	key := 5 + int(body[4])
	at := s.put(name, entry{key: string(body[5:key]), value: body[key:]})
	writeJSON(w, http.StatusOK, map[string]any{"offset": at, "end-offset": at + 1})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
