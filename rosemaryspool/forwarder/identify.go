package forwarder

import (
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
)

// identify finds the account that the request belongs to. It returns false if the request needs a key and has none that
// is known.
func (e *exchange) identify(table *matcher.Table) bool {
	if !table.NeedsKeys() {
		return true
	}
	e.replacesKey = true
	account, known := table.Caller(e.caller.Key)
	if known {
		e.account = account
	}
	return known || e.route.Public
}

// callerID returns the request's account, empty if it has none.
func (e *exchange) callerID() identifier.CallerID {
	if e.account == nil {
		return ""
	}
	return e.account.ID
}

// rank returns the urgency of the request: that of its account, if it has one, goes before its route's.
func (e *exchange) rank() int {
	if e.account != nil && e.account.Rank != nil {
		return *e.account.Rank
	}
	return e.route.Rank
}
