package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

type entry struct {
	key   string
	value []byte
}

type topic struct {
	records []entry
	newest  map[string]int
}

// Store is a stand-in for the platform's log store: keyed topics with one partition, without expiry.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	era    int
	down   bool
	// silent is true if calls get no answer at all, as long as the store is down.
	silent  bool
	changed chan struct{}
	server  *http.Server
	conns   map[net.Conn]bool
	address string
	// onRead is called with the records that a read returns; nil for none.
	onRead func(topic string, records []entry)
}

// NewStore starts a store at an IP address.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{topics: map[string]*topic{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}, address: l.Addr().String()}
	s.server = &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Copy returns the present contents.
func (s *Store) Copy() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[string]*topic{}
	for name, t := range s.topics {
		c[name] = &topic{records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return c
}

// SetSilent makes the store answer no calls, or answer again.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent = silent, silent
}

// SetDown makes the store answer nothing: all channels are reset, new ones as soon as a call arrives.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	open := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	if down {
		for _, c := range open {
			reset(c)
		}
	}
}

// Return makes the store come back with older contents in a new era.
func (s *Store) Return(contents map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.down = contents, false
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put appends a record as the operator or a server does; a nil value removes the key. It fails while the store is down.
func (s *Store) Put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.put(name, entry{key, value})
	return true
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) put(name string, e entry) int {
	t := s.topic(name)
	t.records = append(t.records, e)
	offset := len(t.records) - 1
	if len(e.value) == 0 {
		delete(t.newest, e.key)
	} else {
		t.newest[e.key] = offset
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, silent, era := s.down, s.silent, s.era
	s.mu.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if down {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			reset(c)
		}
		return
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-newest":
		s.serveNewest(w, q.Get("topic"), q.Get("after"))
	case "/-/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveRead(w, r, q.Get("topic"), from, wait)
	case "/-/log-append":
		s.serveAppend(w, r, q.Get("topic"), q.Get("at"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	const page = 500
	s.mu.Lock()
	t := s.topic(name)
	items := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if len(items) == page {
			more = true
			break
		}
		offset := t.newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[offset].value), offset})
	}
	end, era := len(t.records), s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end-offset": end})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, name string, from, wait int) {
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, changed, era, onRead, silent := len(t.records), s.changed, s.era, s.onRead, s.silent
		var records []entry
		if from <= end {
			records = slices.Clone(t.records[from:])
		}
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if from > end {
			writeJSON(w, http.StatusGone, map[string]any{"start-offset": 0})
			return
		}
		if len(records) > 0 || wait == 0 {
			if onRead != nil {
				onRead(name, records)
			}
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, e := range records {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(e.value)))
				body = append(body, byte(len(e.key)))
				body = append(body, e.key...)
				body = append(body, e.value...)
			}
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(body)
			return
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

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, name, at string) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []entry
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n {
			break
		}
		content := body[4 : 4+n]
		k := int(content[0])
		if 1+k > n {
			break
		}
		records = append(records, entry{string(content[1 : 1+k]), slices.Clone(content[1+k:])})
		body = body[4+n:]
	}
	s.mu.Lock()
	first := len(s.topic(name).records)
	if at != "" && at != strconv.Itoa(first) {
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end-offset": first})
		return
	}
	for _, e := range records {
		s.put(name, e)
	}
	end, era := len(s.topic(name).records), s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end-offset": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("store: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
