// Package matcher holds the operator's routes and finds the route of a request by host and path prefix.
package matcher

import (
	"net"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/authenticator"
	"rosemaryspool.example/core/identifier"
)

// Configuration is one version of the operator's routing configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[identifier.ServiceName]Service
	Limits   Limits
	// Callers holds the accounts whose keys requests need. Where there are none, requests need no key.
	Callers []Caller
}

// Caller is an account that sends requests.
type Caller struct {
	ID   identifier.CallerID
	Keys []string
	// Rank replaces the rank of the route for the account's requests; nil if the route's applies.
	Rank *int
}

// Scaling bounds the number of servers of a service that can be ordered, and gives their prices.
type Scaling struct {
	// Min and Max bound the servers in each data centre, of both kinds together.
	Min, Max int
	// BootTime is how long a new server takes until it serves.
	BootTime time.Duration
	// Prices holds the price of one server for one second by data centre.
	Prices map[identifier.DataCentre]float64
	// SpotPrice is the share of the price that a server costs which may be reclaimed; zero if there are none.
	SpotPrice float64
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
	// Scaling is nil if the number of servers can't be changed.
	Scaling *Scaling
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
	// Public means that requests need no key.
	Public   bool
	Services []WeightedService
}

// Table finds routes by host and path. It is immutable.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*Route
	keys          *authenticator.Index
	callers       map[identifier.CallerID]*Caller
}

// NewTable returns a table of the configuration's routes.
func NewTable(c *Configuration) *Table {
	t := &Table{
		configuration: c, byHost: make(map[string][]*Route), keys: authenticator.NewIndex(len(c.Callers)),
		callers: make(map[identifier.CallerID]*Caller, len(c.Callers)),
	}
	for i := range c.Callers {
		caller := &c.Callers[i]
		t.callers[caller.ID] = caller
		for _, key := range caller.Keys {
			t.keys.Add(key, caller.ID)
		}
	}
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

// NeedsKeys reports whether requests to routes that aren't public need a key.
func (t *Table) NeedsKeys() bool { return len(t.callers) > 0 }

// Caller returns the account of a key, and false if the key is unknown.
func (t *Table) Caller(key string) (*Caller, bool) {
	id, known := t.keys.Caller(key)
	return t.callers[id], known
}

// CallerByID returns an account by its name, and false if there is none.
func (t *Table) CallerByID(id identifier.CallerID) (*Caller, bool) {
	caller, known := t.callers[id]
	return caller, known
}

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

// Uses reports whether the route has a weight for a service.
func (r *Route) Uses(service identifier.ServiceName) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// PickOther chooses like PickService among the services with a weight that are not excluded. It returns false if there are
// none.
func (r *Route) PickOther(draw float64, excluded []identifier.ServiceName) (identifier.ServiceName, bool) {
	others := Route{Services: slices.DeleteFunc(slices.Clone(r.Services), func(s WeightedService) bool {
		return s.Weight <= 0 || slices.Contains(excluded, s.Service)
	})}
	if len(others.Services) == 0 {
		return "", false
	}
	return others.PickService(draw), true
}

// normaliseHost removes the port of a host and converts it to lower case.
func normaliseHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
