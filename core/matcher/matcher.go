// Package matcher holds the operator's routes and finds the one that a request takes.
package matcher

import (
	"net"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Configuration is one version of the operator's document.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[identifier.ServiceName]Service
	Limits   Limits
}

// Limits bound what a caller may send; zero means no bound.
type Limits struct {
	BodyBytes int64
}

// Service is a group of upstreams that run the same requests.
type Service struct {
	Name identifier.ServiceName
	// MaxConnections is what one upstream accepts from all instances together; zero means no bound.
	MaxConnections int
	// Engine is true for language models.
	IsEngine bool
}

// Share is a part of a route's requests.
type WeightedService struct {
	Service identifier.ServiceName
	Weight  float64
}

// Route says how the requests of a host under a path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once; Streaming answers are event streams.
	Idempotent bool
	Streaming  bool
	// Resumable streams may go on at another upstream after the last event that arrived.
	Resumable bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to a whole answer, or to a stream's first event, that still counts as in time.
	TargetLatency time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// MaxAttempts is the number of upstreams on which one request may run.
	MaxAttempts int
	Services    []WeightedService
}

// Table finds routes. It is immutable.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*Route
}

// NewTable indexes a configuration.
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

// Configuration returns the indexed configuration.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Match returns the route with the longest prefix of the path among the host's routes.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pick chooses one of the route's services by weight; draw is in [0, 1).
func (r *Route) PickService(draw float64) identifier.ServiceName {
	total := 0.0
	for _, s := range r.Services {
		total += max(0, s.Weight)
	}
	left := draw * total
	for _, s := range r.Services {
		left -= max(0, s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// normalise drops the port and the case of a host.
func normaliseHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
