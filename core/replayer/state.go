// Package replayer replays the records of a control stream into a state. Replay is deterministic: every instance that
// has read the same records holds the same state, independent of how they were batched.
package replayer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// CompileFunc checks a document's sections and returns the document. The result must depend on the sections alone. A
// nil function selects the configurer's own incremental rules, whose cost depends on the size of a change and not of
// the document.
type CompileFunc func(configurer.Sections) (*configurer.Document, error)

// Entry is one encoded record with its offset.
type Entry struct {
	Offset identifier.Offset
	Record []byte
}

// Lease is the latest granted claim of a scope. The state is independent of time: holders and claimants determine
// expiry themselves.
type Lease struct {
	Scope  identifier.Scope
	Holder string
	Token  identifier.Token
	// Latest is the offset of the latest granted claim or renewal; the next claim must name it.
	Latest   identifier.Offset
	Duration time.Duration
	Released bool
}

// Order is an engine order with the scope, fencing token and offset of its intent.
type Order struct {
	Order  *messenger.EngineOrder
	Scope  identifier.Scope
	Token  identifier.Token
	Offset identifier.Offset
	// Result and Detail are set once the order is closed. Found is what the engine then reported; nil if unknown.
	Result messenger.OrderResult
	Detail string
	Found  *messenger.EngineOrder
}

// ID returns the id of the engine order.
func (o *Order) ID() identifier.OrderID { return identifier.OrderID(o.Order.GetOrderId()) }

// Engine is the state of one engine according to the log.
type Engine struct {
	ID identifier.UpstreamID
	// Token is the highest token under which an order was accepted.
	Token identifier.Token
	// Unfinished is the order without an outcome; nil if there is none.
	Unfinished *Order
	// LastClosed is the latest order with an outcome; nil if there is none.
	LastClosed *Order
	// LastDone is the latest order that took effect; it determines the role and model that the engine should have.
	LastDone *Order
}

// Plan is the latest planned change of an upstream.
type Plan struct {
	Change *messenger.PlannedChange
	Offset identifier.Offset
}

// Draining reports whether the upstream must get no new work.
func (p Plan) Draining() bool {
	return p.Change.GetKind() != messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE
}

// Counters counts the records that had no effect, by cause.
type Counters struct {
	Malformed, Duplicate, Stale, Unknown, Refused uint64
}

// State is the result of applying all records of a control stream before Next. It is not safe for concurrent use.
type State struct {
	environment    identifier.Environment
	next           identifier.Offset
	incomplete     bool
	leases         map[identifier.Scope]Lease
	engines        map[identifier.UpstreamID]*Engine
	plans          map[identifier.UpstreamID]Plan
	config         configState
	seen           *recentIDs
	unknownRecords []*messenger.LogEntry
	counters       Counters
	// snapshotOffset is the offset of the latest accepted snapshot, snapshotNext the first offset that it does not
	// contain.
	snapshotOffset, snapshotNext identifier.Offset
}

// NewState returns the state before the first record of an environment's control stream; a nil compile selects the
// configurer's own rules.
func NewState(environment identifier.Environment, compile CompileFunc) *State {
	return &State{
		environment: environment,
		next:        1,
		leases:      map[identifier.Scope]Lease{},
		engines:     map[identifier.UpstreamID]*Engine{},
		plans:       map[identifier.UpstreamID]Plan{},
		config:      configState{current: configurer.NewEmpty(compile)},
		seen:        newRecentIDs(MaxSeenRecords),
	}
}

// Environment returns the environment whose control stream is replayed.
func (s *State) Environment() identifier.Environment { return s.environment }

// Next returns the offset of the next record to apply.
func (s *State) Next() identifier.Offset { return s.next }

// Complete reports whether every record before Next was applied.
func (s *State) Complete() bool { return !s.incomplete }

// MarkIncomplete records that entries from Next on were trimmed before they were read. The contents of the state are
// then the last values that were read, and anything absent from it is unknown.
func (s *State) MarkIncomplete() { s.incomplete = true }

// Counters returns the numbers of records that had no effect, by cause.
func (s *State) Counters() Counters { return s.counters }

// Lease returns the latest granted claim of a scope.
func (s *State) Lease(scope identifier.Scope) (Lease, bool) {
	l, ok := s.leases[scope]
	return l, ok
}

// Leases returns the latest granted claims, sorted by scope.
func (s *State) Leases() []Lease { return sortedValues(s.leases) }

// Holds reports whether a token is the current fencing token of a scope whose lease is not released.
func (s *State) Holds(scope identifier.Scope, token identifier.Token) bool {
	l, ok := s.leases[scope]
	return ok && !l.Released && token != 0 && l.Token == token
}

// Engine returns the state of an engine according to the log.
func (s *State) Engine(id identifier.UpstreamID) (Engine, bool) {
	e, ok := s.engines[id]
	if !ok {
		return Engine{}, false
	}
	return *e, true
}

// Engines returns the states of all engines in the log, sorted by id.
func (s *State) Engines() []Engine {
	var engines []Engine
	for _, e := range sortedValues(s.engines) {
		engines = append(engines, *e)
	}
	return engines
}

// Unfinished returns the orders without an outcome, sorted by engine.
func (s *State) Unfinished() []*Order {
	var orders []*Order
	for _, e := range s.engines {
		if e.Unfinished != nil {
			orders = append(orders, e.Unfinished)
		}
	}
	slices.SortFunc(orders, func(a, b *Order) int {
		return cmp.Compare(a.Order.GetEngine(), b.Order.GetEngine())
	})
	return orders
}

// Plan returns the latest planned change of an upstream.
func (s *State) Plan(id identifier.UpstreamID) (Plan, bool) {
	p, ok := s.plans[id]
	return p, ok
}

// Plans returns the latest planned changes, sorted by upstream.
func (s *State) Plans() []Plan { return sortedValues(s.plans) }

// PlansNext returns the offset after the latest planned change; zero if there is none.
func (s *State) PlansNext() identifier.Offset {
	var next identifier.Offset
	for _, p := range s.plans {
		next = max(next, p.Offset+1)
	}
	return next
}

// Draining returns the upstreams that get no new work because of a planned change, sorted.
func (s *State) Draining() []identifier.UpstreamID {
	var draining []identifier.UpstreamID
	for _, p := range sortedValues(s.plans) {
		if p.Draining() {
			draining = append(draining, identifier.UpstreamID(p.Change.GetUpstream()))
		}
	}
	return draining
}

// SnapshotNext returns the first offset that the latest accepted snapshot does not contain; zero if there is none.
func (s *State) SnapshotNext() identifier.Offset { return s.snapshotNext }

// GapError is returned for a record whose predecessors were not applied.
type GapError struct {
	Wanted, Offered identifier.Offset
}

// Error returns a message with the expected and the actual offset.
func (e *GapError) Error() string {
	return fmt.Sprintf("replayer: apply record: want offset %d, got %d", e.Wanted, e.Offered)
}
