package generator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/adaptor/director"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/batcher"
	"rosemaryspool.example/wire/messenger"
)

// maxJournalEntries bounds the journal; older entries are discarded.
const maxJournalEntries = 1024

// orders is the engine's order state: the last accepted order, the one in progress and the journal.
type orders struct {
	// highestToken is the highest fencing token received.
	highestToken identifier.Token
	lastOrder    identifier.OrderID
	current      *messenger.EngineOrder
	journal      []JournalEntry
}

// JournalEntry records an order that the engine received and its response.
type JournalEntry struct {
	Order    identifier.OrderID `json:"order"`
	Kind     string             `json:"kind"`
	Token    identifier.Token   `json:"token"`
	Accepted bool               `json:"accepted"`
	Detail   string             `json:"detail"`
	// Conflict is true when another order was still in progress.
	Conflict bool `json:"conflict"`
}

// abortCurrent discards the order that a crash interrupted; the highest token survives the crash.
func (o *orders) abortCurrent() {
	if o.current == nil {
		return
	}
	o.current = nil
	o.lastOrder = ""
}

// Order implements director.Engine in memory, with the same outcomes and faults as over HTTP.
func (e *Engine) Order(
	_ context.Context, order *messenger.OrderRequest, writeBy time.Time,
) (*messenger.OrderReply, error) {
	if writeBy.IsZero() || time.Now().After(writeBy) {
		return nil, eris.Wrap(director.ErrNotSent, "write deadline over")
	}
	if e.Switches.Get().Crashed {
		return nil, eris.Wrap(director.ErrOutcomeUnknown, errCrashed.Error())
	}
	reply := e.handleOrder(order)
	if e.Switches.Take(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
		return nil, eris.Wrap(director.ErrOutcomeUnknown, "response lost")
	}
	return reply, nil
}

// Journal returns the orders that the engine received, oldest first.
func (e *Engine) Journal() []JournalEntry {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]JournalEntry(nil), e.orders.journal...)
}

// handleOrder applies or refuses an order and adds it to the journal.
func (e *Engine) handleOrder(request *messenger.OrderRequest) *messenger.OrderReply {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	order := request.GetOrder()
	conflict := e.orders.current != nil && e.orders.current.OrderId != order.GetOrderId()
	refusal := e.applyOrder(request)
	entry := JournalEntry{
		Order:    identifier.OrderID(order.GetOrderId()),
		Kind:     order.GetKind().String(),
		Token:    identifier.Token(request.Token),
		Accepted: refusal == "",
		Detail:   refusal,
		Conflict: conflict && order.GetKind() != messenger.OrderKind_ORDER_KIND_FENCE,
	}
	e.orders.journal = append(e.orders.journal, entry)
	if len(e.orders.journal) > maxJournalEntries {
		e.orders.journal = e.orders.journal[1:]
	}
	e.wakeDriver()
	return &messenger.OrderReply{Accepted: entry.Accepted, Token: uint64(e.orders.highestToken), Detail: refusal}
}

// applyOrder checks and starts an order and returns the reason for a refusal, or the empty string. A repeated order is
// accepted without effect. The caller holds the mutex.
func (e *Engine) applyOrder(request *messenger.OrderRequest) string {
	order := request.GetOrder()
	token := identifier.Token(request.Token)
	if order.GetEngine() != string(e.settings.ID) {
		return "order for another engine"
	}
	if e.settings.ChecksTokens && token < e.orders.highestToken {
		return "old fencing token"
	}
	e.orders.highestToken = max(e.orders.highestToken, token)
	if order.GetOrderId() != "" && order.GetOrderId() == string(e.orders.lastOrder) {
		return ""
	}
	role := e.simulator.Role()
	switch order.GetKind() {
	case messenger.OrderKind_ORDER_KIND_FENCE:
		return ""
	case messenger.OrderKind_ORDER_KIND_CHANGE_ROLE:
		role = identifier.Role(order.GetRole())
	case messenger.OrderKind_ORDER_KIND_LOAD_MODEL:
	default:
		return "unknown kind of order"
	}
	return e.startOrder(order, role)
}

// startOrder starts the role change or model load of an order. It returns the reason for a refusal, or an empty string.
func (e *Engine) startOrder(order *messenger.EngineOrder, role identifier.Role) string {
	if !isValidRole(role) {
		return "unknown role"
	}
	err := e.simulator.ChangeRole(e.now(), role, e.settings.OrderDowntime, e.settings.OrderGracePeriod)
	if err != nil {
		return err.Error()
	}
	e.orders.current = order
	e.orders.lastOrder = identifier.OrderID(order.GetOrderId())
	return ""
}

func isValidRole(role identifier.Role) bool {
	return role == identifier.RoleMixed || role == identifier.RolePrefill || role == identifier.RoleDecode
}

// finishOrder completes the order in progress; the caller holds the mutex.
func (e *Engine) finishOrder() {
	order := e.orders.current
	e.orders.current = nil
	if order.GetKind() != messenger.OrderKind_ORDER_KIND_LOAD_MODEL {
		return
	}
	e.loaded = loadedModel{
		model:    identifier.ModelName(order.GetModel()),
		version:  identifier.ModelVersion(order.GetVersion()),
		adapters: order.GetAdapters(),
	}
}

// cacheEvents buffers the simulation's cache events, which can be read only after the lag.
type cacheEvents struct {
	buffered []delayedEvent
}

// delayedEvent is a cache event with the simulated time at which it was collected.
type delayedEvent struct {
	at    time.Time
	event batcher.CacheEvent
}

// maxBufferedEvents is the number of cache events kept for readers; older ones are discarded.
const maxBufferedEvents = 4096

// collectCacheEvents buffers the new cache events of the simulation, except those that the LoseCacheEvents fault
// discards; the caller holds the mutex.
func (e *Engine) collectCacheEvents(now time.Time) {
	for _, c := range e.simulator.TakeCacheEvents() {
		if e.Switches.Take(func(f *Faults) *int { return &f.LoseCacheEvents }) {
			continue
		}
		e.events.buffered = append(e.events.buffered, delayedEvent{at: now, event: c})
	}
	if excess := len(e.events.buffered) - maxBufferedEvents; excess > 0 {
		e.events.buffered = append([]delayedEvent(nil), e.events.buffered[excess:]...)
	}
}

// CacheEvents returns the events from a sequence number on that are at least as old as the lag.
func (e *Engine) CacheEvents(ctx context.Context, from uint64) (*messenger.CacheEvents, error) {
	if err := e.applyReadFaults(ctx); err != nil {
		return nil, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.now()
	cutoff := now.Add(-e.settings.CacheEventLag)
	reply := &messenger.CacheEvents{NextSequence: max(from, 1)}
	for _, l := range e.events.buffered {
		if l.event.Sequence < from || l.at.After(cutoff) {
			continue
		}
		reply.Events = append(reply.Events, encodeCacheEvent(l.event))
		reply.NextSequence = l.event.Sequence + 1
	}
	return reply, nil
}

func encodeCacheEvent(c batcher.CacheEvent) *messenger.CacheEvent {
	encoded := &messenger.CacheEvent{Sequence: c.Sequence, Cleared: c.Cleared}
	for _, h := range c.Stored {
		encoded.Stored = append(encoded.Stored, uint64(h))
	}
	for _, h := range c.Evicted {
		encoded.Evicted = append(encoded.Evicted, uint64(h))
	}
	return encoded
}
