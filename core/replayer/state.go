// Package replayer folds the records of a control stream into one state. The fold is pure: every instance that has
// read the same records holds the same state, whatever the batches in which it read them.
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

// CompileFunc checks a document's sections and returns the document. It must depend on the sections alone. A nil function
// stands for the configurer's own rules, which cost what a change touches and not the whole document.
type CompileFunc func(configurer.Sections) (*configurer.Document, error)

// Entry is one record with its offset.
type Entry struct {
	Offset identifier.Offset
	Record []byte
}

// Lease is the latest granted claim of a scope. The fold knows no time: holders and claimants judge expiry themselves.
type Lease struct {
	Scope  identifier.Scope
	Holder string
	Token  identifier.Token
	// Latest is the offset of the latest granted claim or renewal; the next claim must name it.
	Latest   identifier.Offset
	Duration time.Duration
	Released bool
}

// Order is an order with the authority under which it was announced.
type Order struct {
	Order  *messenger.EngineOrder
	Scope  identifier.Scope
	Token  identifier.Token
	Offset identifier.Offset
	// Result and Detail are set once the order is closed. Found is what the engine then reported; nil when not known.
	Result messenger.OrderResult
	Detail string
	Found  *messenger.EngineOrder
}

// ID returns the order's id.
func (o *Order) ID() identifier.OrderID { return identifier.OrderID(o.Order.GetOrderId()) }

// Engine is what the log says of one engine.
type Engine struct {
	ID identifier.UpstreamID
	// Token is the highest token under which an order was accepted.
	Token identifier.Token
	// Unfinished is the order without an outcome; nil when there is none.
	Unfinished *Order
	LastClosed *Order
	// LastDone is the latest order that took effect; it tells the role and model that the engine should have.
	LastDone *Order
}

// Plan is the latest planned change of an upstream.
type Plan struct {
	Change *messenger.PlannedChange
	Offset identifier.Offset
}

// Draining tells whether the upstream must get no new work.
func (p Plan) Draining() bool {
	return p.Change.GetKind() != messenger.PlannedChangeKind_PLANNED_CHANGE_KIND_RESTORE
}

// Counters counts the records that had no effect, by cause.
type Counters struct {
	Malformed, Duplicate, Stale, Unknown, Refused uint64
}

// State is the fold over all records of a control stream before Next. It is not safe for concurrent use.
type State struct {
	environment identifier.Environment
	next        identifier.Offset
	incomplete  bool
	leases      map[identifier.Scope]Lease
	engines     map[identifier.UpstreamID]*Engine
	plans       map[identifier.UpstreamID]Plan
	config      configState
	seen        *recentIDs
	unknownRecords        []*messenger.LogEntry
	counters    Counters
	// The latest accepted snapshot record and the first offset that it does not contain.
	snapshotOffset, snapshotNext identifier.Offset
}

// NewState returns the state before the first record of an environment's control stream.
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

// Environment returns the environment whose stream is folded.
func (s *State) Environment() identifier.Environment { return s.environment }

// Next returns the offset of the next record to apply.
func (s *State) Next() identifier.Offset { return s.next }

// Complete tells whether every record before Next is in the fold.
func (s *State) Complete() bool { return !s.incomplete }

// MarkIncomplete tells that records from Next on were trimmed before they were read. What the state says is then the
// last that is known, and what it does not say is unknown.
func (s *State) MarkIncomplete() { s.incomplete = true }

// Counters returns how many records had no effect.
func (s *State) Counters() Counters { return s.counters }

// Lease returns the latest granted claim of a scope.
func (s *State) Lease(scope identifier.Scope) (Lease, bool) {
	l, ok := s.leases[scope]
	return l, ok
}

// Leases returns the latest granted claims, sorted by scope.
func (s *State) Leases() []Lease { return sortedValues(s.leases) }

// Holds tells whether a token is the current one of a scope.
func (s *State) Holds(scope identifier.Scope, token identifier.Token) bool {
	l, ok := s.leases[scope]
	return ok && !l.Released && token != 0 && l.Token == token
}

// Engine returns what the log says of an engine.
func (s *State) Engine(id identifier.UpstreamID) (Engine, bool) {
	e, ok := s.engines[id]
	if !ok {
		return Engine{}, false
	}
	return *e, true
}

// Engines returns what the log says of every engine, sorted by id.
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

// PlansNext returns the offset after the latest planned change; zero when there is none.
func (s *State) PlansNext() identifier.Offset {
	var next identifier.Offset
	for _, p := range s.plans {
		next = max(next, p.Offset+1)
	}
	return next
}

// Draining returns the upstreams that planned changes keep from new work, sorted.
func (s *State) Draining() []identifier.UpstreamID {
	var draining []identifier.UpstreamID
	for _, p := range sortedValues(s.plans) {
		if p.Draining() {
			draining = append(draining, identifier.UpstreamID(p.Change.GetUpstream()))
		}
	}
	return draining
}

// SnapshotNext returns the first offset that the latest accepted snapshot does not contain; zero when there is none.
func (s *State) SnapshotNext() identifier.Offset { return s.snapshotNext }

// GapError tells that a record was offered whose predecessors the fold has not seen.
type GapError struct {
	Wanted, Offered identifier.Offset
}

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("replayer: apply record: want offset %d, got %d", e.Wanted, e.Offered)
}
