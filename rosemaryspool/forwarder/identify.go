package forwarder

import (
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
)

const (
	// causeKeyRemoved ends a request whose key has been removed since it was accepted.
	causeKeyRemoved = "keyRemoved"
	// causeKeysOutdated refuses requests with a key while this instance can't know of removals.
	causeKeysOutdated = "keysOutdated"
)

// identify finds the account that the request belongs to. It returns false if the request needs a key and has none that
// is known.
func (e *exchange) identify(table *matcher.Table) bool {
	e.account, e.replacesKey = nil, false
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

// keyRefusal returns why a request that has been accepted must not be sent any more on account of its key; an empty string
// if it may be. The key is looked up again whenever another configuration has come into force.
func (e *exchange) keyRefusal() string {
	if e.account == nil || e.route.Public {
		return ""
	}
	table := e.forwarder.governor.Table()
	if version := table.Configuration().Version; version != e.version && !e.keyRemoved {
		e.version = version
		e.keyRemoved = !e.stillAllowed(table)
	}
	switch {
	case e.keyRemoved:
		return causeKeyRemoved
	case e.keysOutdated():
		return causeKeysOutdated
	default:
		return ""
	}
}

// stillAllowed reports whether a later configuration allows the request, and takes the account from it.
func (e *exchange) stillAllowed(table *matcher.Table) bool {
	if !table.NeedsKeys() {
		return true
	}
	if account, known := table.Caller(e.caller.Key); known {
		e.account = account
		return true
	}
	path, _, _ := strings.Cut(e.request.RequestURI, "?")
	route, found := table.Match(e.request.Host, path)
	if !found || !route.Public {
		return false
	}
	e.account = nil
	return true
}

// keysOutdated reports whether the request needs a key and this instance has not been able to learn of removed keys for
// too long.
func (e *exchange) keysOutdated() bool {
	return e.replacesKey && !e.route.Public && e.forwarder.governor.KeysOutdated(time.Now())
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
