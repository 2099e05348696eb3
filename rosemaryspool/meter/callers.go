package meter

import (
	"net/url"
	"sync"

	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/core/identifier"
)

// otherCallers stands for all accounts without counters of their own. No account's name is escaped to it.
const otherCallers = "*"

// Callers counts requests by account and outcome. Only a limited number of accounts, about the largest ones, have counters
// of their own; the requests of all others are counted together. It is safe for concurrent use.
type Callers struct {
	registry metrics.Registry
	limit    int

	mu      sync.Mutex
	entries map[identifier.CallerID]*callerEntry
}

// callerEntry holds the counters of one account. weight is at least the number of its requests: an account takes the
// weight of the one that it replaces, so that a small one doesn't stay for long.
type callerEntry struct {
	weight   int64
	outcomes map[string]int64
}

// NewCallers returns counters for up to limit accounts, which are registered in registry.
func NewCallers(registry metrics.Registry, limit int) *Callers {
	return &Callers{registry: registry, limit: limit, entries: make(map[identifier.CallerID]*callerEntry, limit)}
}

// Count counts a request of an account.
func (c *Callers) Count(caller identifier.CallerID, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[caller]
	if e == nil {
		e = &callerEntry{outcomes: map[string]int64{}}
		if len(c.entries) >= c.limit {
			e.weight = c.evict()
		}
		c.entries[caller] = e
	}
	e.weight++
	e.outcomes[outcome]++
	c.counter(outcome, url.PathEscape(string(caller))).Inc(1)
}

// evict adds the counts of the account with the least weight to those of the others, and returns its weight.
func (c *Callers) evict() int64 {
	var least identifier.CallerID
	weight := int64(-1)
	for caller, e := range c.entries {
		if weight < 0 || e.weight < weight {
			least, weight = caller, e.weight
		}
	}
	for outcome, count := range c.entries[least].outcomes {
		c.counter(outcome, otherCallers).Inc(count)
		c.registry.Unregister("callerRequests." + outcome + "." + url.PathEscape(string(least)))
	}
	delete(c.entries, least)
	return weight
}

func (c *Callers) counter(outcome, caller string) metrics.Counter {
	return metrics.GetOrRegisterCounter("callerRequests."+outcome+"."+caller, c.registry)
}
