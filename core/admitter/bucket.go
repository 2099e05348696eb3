package admitter

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// limit is one caller's configured rate.
type limit struct {
	perSecond float64
	burst     float64
}

// account is one caller's recent use.
type account struct {
	id identifier.CallerID
	// allowance is what the token bucket holds.
	tokens float64
	// used is the engine time in seconds taken lately; it fades with usageMemory.
	used float64
	updatedAt   time.Time
	// newer and older link the accounts by time of use.
	newer, older *account
}

// ledger keeps the accounts of the callers seen last, up to a limit.
type accountCache struct {
	limit          int
	byCaller       map[identifier.CallerID]*account
	newest, oldest *account
}

func newAccountCache(limit int) *accountCache {
	return &accountCache{limit: limit, byCaller: make(map[identifier.CallerID]*account)}
}

// open returns the caller's account and makes it the newest; the account used longest ago makes room.
func (l *accountCache) getOrCreate(id identifier.CallerID) (a *account, fresh bool) {
	a = l.byCaller[id]
	if a != nil {
		l.unlink(a)
		l.link(a)
		return a, false
	}
	if len(l.byCaller) >= l.limit {
		oldest := l.oldest
		l.unlink(oldest)
		delete(l.byCaller, oldest.id)
	}
	a = &account{id: id}
	l.byCaller[id] = a
	l.link(a)
	return a, true
}

func (l *accountCache) link(a *account) {
	a.older, a.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = a
	}
	l.newest = a
	if l.oldest == nil {
		l.oldest = a
	}
}

func (l *accountCache) unlink(a *account) {
	if a.newer != nil {
		a.newer.older = a.older
	} else {
		l.newest = a.older
	}
	if a.older != nil {
		a.older.newer = a.newer
	} else {
		l.oldest = a.newer
	}
}
