package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

// UsageCall is a report of usage as the platform receives it.
type UsageCall struct {
	Holder string
	Token  uint64
	Window uint64
	Counts map[string]uint64
}

// Cloud is a stand-in for the platform's calls of duties, which collects reports of usage. It is safe for concurrent use.
type Cloud struct {
	mu    sync.Mutex
	calls []UsageCall
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Window uint64            `json:"window-id"`
		Counts map[string]uint64 `json:"counts"`
	}
	token, err := strconv.ParseUint(r.Header.Get(HeaderFence), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, UsageCall{Holder: r.Header.Get(HeaderHolder), Token: token, Window: m.Window, Counts: m.Counts})
}

// Usage returns the reports so far.
func (c *Cloud) Usage() []UsageCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]UsageCall(nil), c.calls...)
}
