// Package matcher holds the operator's routes and finds the route of a request by host and path prefix.
package matcher

import (
	"net"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Configuration is one version of the operator's routing configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[identifier.ServiceName]Service
	Limits   Limits
}

// Limits limits the size of requests; zero means unlimited.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name identifier.ServiceName
	// MaxConnections is the number of connections that one upstream accepts from all instances together; zero means
	// unlimited.
	MaxConnections int
	// IsEngine is true when the upstreams are language-model engines.
	IsEngine bool
}

// WeightedService is a service of a route and its share of the route's requests relative to the other weights.
type WeightedService struct {
	Service identifier.ServiceName
	Weight  float64
}

// Route defines how requests for a host and a path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent means that a request may run more than once.
	Idempotent bool
	// Streaming means that responses are event streams.
	Streaming bool
	// Resumable means that a broken stream may be resumed at another upstream after the last received event.
	Resumable bool
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// TargetLatency is the latency objective: the time to the complete response, or to the first event of a stream.
	TargetLatency time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// MaxAttempts is the largest number of upstreams on which one request may run.
	MaxAttempts int
	Services    []WeightedService
}

// Table finds routes by host and path. It is immutable.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*Route
}

// NewTable returns a table of the configuration's routes.
func NewTable(c *Configuration) *Table {
	t := &Table{configuration: c, byHost: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normaliseHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Configuration returns the configuration from which the table was built.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Match returns the route of the host with the longest prefix that matches the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// PickService chooses a service of the route with a probability in proportion to its weight; draw is a random number in
// [0, 1). Negative weights count as zero.
func (r *Route) PickService(draw float64) identifier.ServiceName {
	total := 0.0
	for _, s := range r.Services {
		total += max(0, s.Weight)
	}
	remaining := draw * total
	for _, s := range r.Services {
		remaining -= max(0, s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// normaliseHost removes the port of a host and converts it to lower case.
func normaliseHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
