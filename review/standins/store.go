package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: keyed topics with one partition, kept in memory.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

type storeRecord struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: map[string][]storeRecord{}, changed: make(chan struct{})}
}

// put appends a value of a key, as the operator and the servers do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the calls of the store's page that the gateway makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, topic)
	case "/-/log-read":
		s.read(w, r, topic)
	case "/-/log-newest":
		s.newest(w, topic)
	case "/-/log-trim":
		respondJSON(w, http.StatusOK, map[string]any{})
	default:
		respondJSON(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for rest := body; len(rest) >= 5; {
		length := int(binary.BigEndian.Uint32(rest))
		content := rest[4 : 4+length]
		key := 1 + int(content[0])
		records = append(records, storeRecord{string(content[1:key]), append([]byte(nil), content[key:]...)})
		rest = rest[4+length:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		respondJSON(w, http.StatusPreconditionFailed, map[string]any{"end-offset": end})
		return
	}
	s.topics[topic] = append(s.topics[topic], records...)
	s.wake()
	respondJSON(w, http.StatusOK, map[string]any{"offset": end, "end-offset": end + len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for i := from; i < len(records); i++ {
				rec := records[i]
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
				body = append(body, byte(len(rec.key)))
				body = append(body, rec.key...)
				body = append(body, rec.value...)
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offsets := map[string]int{}
	for i, rec := range s.topics[topic] {
		offsets[rec.key] = i
		if len(rec.value) == 0 {
			delete(offsets, rec.key)
		}
	}
	keys := make([]string, 0, len(offsets))
	for key := range offsets {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	items := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(s.topics[topic][offsets[key]].value),
			"offset": offsets[key],
		})
	}
	respondJSON(w, http.StatusOK, map[string]any{
		"items": items, "has-more": false, "end-offset": len(s.topics[topic]),
	})
}

func respondJSON(w http.ResponseWriter, status int, body any) {
	content, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}
