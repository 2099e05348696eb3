package admitter

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// limit is a caller's configured rate limit.
type limit struct {
	perSecond float64
	burst     float64
}

// account holds a caller's token bucket and recent usage.
type account struct {
	id identifier.CallerID
	// tokens is the content of the token bucket, in requests.
	tokens float64
	// used is the recently used engine time in seconds; it decays with UsageTimeConstant.
	used      float64
	updatedAt time.Time
	// newer and older link the accounts in order of their last use.
	newer, older *account
}

// accountCache is a least-recently-used cache of the accounts of callers, up to a limit.
type accountCache struct {
	limit          int
	byCaller       map[identifier.CallerID]*account
	newest, oldest *account
}

func newAccountCache(limit int) *accountCache {
	return &accountCache{limit: limit, byCaller: make(map[identifier.CallerID]*account)}
}

// getOrCreate returns a caller's account, marks it as the most recently used and reports whether it was created. If the
// cache is full, the least recently used account is evicted.
func (c *accountCache) getOrCreate(id identifier.CallerID) (a *account, created bool) {
	a = c.byCaller[id]
	if a != nil {
		c.unlink(a)
		c.link(a)
		return a, false
	}
	if len(c.byCaller) >= c.limit {
		oldest := c.oldest
		c.unlink(oldest)
		delete(c.byCaller, oldest.id)
	}
	a = &account{id: id}
	c.byCaller[id] = a
	c.link(a)
	return a, true
}

func (c *accountCache) link(a *account) {
	a.older, a.newer = c.newest, nil
	if c.newest != nil {
		c.newest.newer = a
	}
	c.newest = a
	if c.oldest == nil {
		c.oldest = a
	}
}

func (c *accountCache) unlink(a *account) {
	if a.newer != nil {
		a.newer.older = a.older
	} else {
		c.newest = a.older
	}
	if a.older != nil {
		a.older.newer = a.newer
	} else {
		c.oldest = a.newer
	}
}
