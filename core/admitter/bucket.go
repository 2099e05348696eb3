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
	allowance float64
	// used is the engine time in seconds taken lately; it fades with usageMemory.
	used float64
	at   time.Time
	// newer and older link the accounts by time of use.
	newer, older *account
}

// ledger keeps the accounts of the callers seen last, up to a limit.
type ledger struct {
	limit          int
	accounts       map[identifier.CallerID]*account
	newest, oldest *account
}

func newLedger(limit int) *ledger {
	return &ledger{limit: limit, accounts: make(map[identifier.CallerID]*account)}
}

// open returns the caller's account and makes it the newest; the account used longest ago makes room.
func (l *ledger) open(id identifier.CallerID) (a *account, fresh bool) {
	a = l.accounts[id]
	if a != nil {
		l.unlink(a)
		l.link(a)
		return a, false
	}
	if len(l.accounts) >= l.limit {
		oldest := l.oldest
		l.unlink(oldest)
		delete(l.accounts, oldest.id)
	}
	a = &account{id: id}
	l.accounts[id] = a
	l.link(a)
	return a, true
}

func (l *ledger) link(a *account) {
	a.older, a.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = a
	}
	l.newest = a
	if l.oldest == nil {
		l.oldest = a
	}
}

func (l *ledger) unlink(a *account) {
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
