package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency and appendTime are those of the small deployments: 4 ms an answer, 3 ms an append.
const (
	storeLatency = 4 * time.Millisecond
	appendTime   = 3 * time.Millisecond
)

type record struct {
	key     string
	value   []byte
	deleted bool
}

type topic struct {
	first   int
	records []record
	changed chan struct{}
}

// store is the platform's metadata store: a log whose topics have one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record; a nil value deletes the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, []record{{key: key, value: value, deleted: value == nil}})
}

func (s *store) append(name string, records []record) (offset int) {
	t := s.topic(name)
	offset = len(t.records)
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	name := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.serveAppend(w, r, name, q.Get("at"))
	case "GET /-/log-read":
		s.serveRead(w, r, name)
	case "GET /-/log-newest":
		s.serveNewest(w, name, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name, at string) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if 4+n > len(body) || n == 0 || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+n]
		k := 1 + int(content[0])
		records = append(records, record{key: string(content[1:k]), value: content[k:], deleted: k == n})
		body = body[4+n:]
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
	if at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end-offset": end})
		return
	}
	offset := s.append(name, records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end-offset": offset + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	maxKB, err := strconv.Atoi(q.Get("max-kb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	s.mu.Lock()
	t := s.topic(name)
	for wait > 0 && from >= len(t.records) {
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
			s.mu.Lock()
			continue
		case <-deadline.C:
		case <-r.Context().Done():
		}
		s.mu.Lock()
		break
	}
	defer s.mu.Unlock()
	if from < t.first {
		writeJSON(w, http.StatusGone, map[string]any{"start-offset": t.first})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for i, size := from, 0; i < len(t.records); i++ {
		rec := t.records[i]
		content := append([]byte{byte(len(rec.key))}, rec.key...)
		if !rec.deleted {
			content = append(content, rec.value...)
		}
		if size += len(content); size > maxKB<<10 && i > from {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
		out = append(out, content...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	newest := map[string]int{}
	for i, r := range t.records {
		if r.deleted {
			delete(newest, r.key)
		} else {
			newest[r.key] = i
		}
	}
	var keys []string
	for k := range newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []map[string]any{}
	for _, k := range keys {
		items = append(items, map[string]any{
			"key": k, "value": base64.StdEncoding.EncodeToString(t.records[newest[k]].value), "offset": newest[k],
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end-offset": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return []byte(strings.TrimSpace(string(b)))
}
