// Package emulator provides stand-ins that speak the protocols of the users' platform: the log store, the upstreams
// and the operator's writes. Tests switch their faults on and off.
package emulator

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault is a way in which the store misbehaves.
type Fault int

// Faults of the store.
const (
	// Healthy responds to every call.
	Healthy Fault = iota
	// Silent accepts calls and never responds to them.
	Silent
	// Busy responds to every call with status 503.
	Busy
	// NoWakeups responds to every call, but new records don't wake a waiting read.
	NoWakeups
)

// Topics of the store, and the key of the operator's configuration in TopicConfiguration.
const (
	TopicServers       = "keyed.servers"
	TopicConfiguration = "keyed.op"
	KeyConfiguration   = "config"
)

type entry struct {
	key   string
	value []byte
}

// topic is a topic with a single partition. Its records have offsets from start on; earlier ones are trimmed. newest
// holds the offset of each key's newest record.
type topic struct {
	records []entry
	start   int
	newest  map[string]int
}

// Store is a stand-in for the platform's log store. It implements http.Handler and is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	fault   Fault
	changed chan struct{}
	calls   int
	// era counts how often the store has returned from an older copy.
	era int
}

// Copy is the contents of a store at one time.
type Copy struct{ topics map[string]*topic }

// Copy returns a copy of the contents, to which Restore can return.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{topics: cloneTopics(s.topics)}
}

// Restore makes the store return from an older copy: later records are gone, and their offsets are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = cloneTopics(c.topics)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	clones := make(map[string]*topic, len(topics))
	for name, t := range topics {
		clones[name] = &topic{records: slices.Clone(t.records), start: t.start, newest: maps.Clone(t.newest)}
	}
	return clones
}

// Keys returns the keys of a topic that have a value, sorted.
func (s *Store) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.topic(name).newest))
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

// SetFault switches a fault on, or all faults off with Healthy. Calls that came in while Silent never get a response.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends a value of a key, as the operator and the upstreams do. A nil value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, entry{key: key, value: value})
}

func (s *Store) put(name string, e entry) int {
	t := s.topic(name)
	t.records = append(t.records, e)
	offset := t.start + len(t.records) - 1
	if e.value == nil {
		delete(t.newest, e.key)
	} else {
		t.newest[e.key] = offset
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// Trim removes all records of a topic but the newest of each key, which get new offsets.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	kept := map[string]entry{}
	for key, offset := range t.newest {
		kept[key] = t.records[offset-t.start]
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
	fault, era := s.fault, s.era
	s.mu.Unlock()
	w.Header().Set(HeaderEra, strconv.Itoa(era))
	switch fault {
	case Silent:
		// The server detects a closed connection only once the body has been read.
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
		s.serveNewest(w, r)
	case "/-/log-read":
		s.serveRead(w, r)
	case "/-/log-append":
		s.serveAppend(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, offset := range t.newest {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[offset-t.start].value), offset})
	}
	end := t.start + len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "end-offset": end})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end, start, fault, changed := t.start+len(t.records), t.start, s.fault, s.changed
		records := append([]entry(nil), t.records[min(len(t.records), max(0, from-start)):]...)
		w.Header().Set(HeaderEra, strconv.Itoa(s.era))
		s.mu.Unlock()
		switch {
		case fault == Silent:
			// A read that was waiting when the fault was switched on gets no response either.
			<-r.Context().Done()
			return
		case from < start || from > end:
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
		case <-timeout:
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

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
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
	at := t.start + len(t.records)
	for len(body) >= 5 {
		end := 4 + int(binary.BigEndian.Uint32(body))
		key := 5 + int(body[4])
		if end > len(body) || key > end {
			break
		}
		value := body[key:end]
		if len(value) == 0 {
			// A record without a value deletes its key.
			value = nil
		}
		s.put(name, entry{key: string(body[5:key]), value: value})
		body = body[end:]
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": at, "end-offset": t.start + len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
