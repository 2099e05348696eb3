package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// UsageCall is a report of usage that reached the platform.
type UsageCall struct {
	At     time.Time
	Holder string
	Token  uint64
	Window int
	Counts map[string]int
	Body   string
	// Refused is true if the token was outdated and the platform checks that.
	Refused bool
}

// Cloud is a stand-in for the platform's calls that one instance at a time makes. It implements http.Handler and is safe
// for concurrent use.
type Cloud struct {
	// enforced is true if calls with an outdated token are refused.
	enforced bool

	mu      sync.Mutex
	calls   []UsageCall
	highest uint64
}

// NewCloud returns a platform that has seen no call.
func NewCloud(enforced bool) *Cloud { return &Cloud{enforced: enforced} }

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var report struct {
		Window int            `json:"window-id"`
		Counts map[string]int `json:"counts"`
	}
	token, tokenErr := strconv.ParseUint(r.Header.Get(HeaderToken), 10, 64)
	if r.URL.Path != "/usage" || tokenErr != nil || json.Unmarshal(body, &report) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	refused := c.enforced && token < c.highest
	c.highest = max(c.highest, token)
	c.calls = append(c.calls, UsageCall{
		At: time.Now(), Holder: r.Header.Get(HeaderHolder), Token: token, Window: report.Window, Counts: report.Counts,
		Body: string(body), Refused: refused,
	})
	if refused {
		w.WriteHeader(http.StatusConflict)
	}
}

// Calls returns the calls in the order in which they arrived.
func (c *Cloud) Calls() []UsageCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}
