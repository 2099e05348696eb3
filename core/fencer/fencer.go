// Package fencer sends orders to engines such that no two orders for an engine conflict. Each order passes through
// intent, acceptance, a single send and outcome. After a lease changes hands, the new holder resolves the orders that
// its predecessor left open before it accepts new ones for the same engine.
package fencer

import (
	"maps"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// Default timings of an order.
const (
	// DefaultSendWindow is how long after its write deadline a written order may still arrive at an engine.
	DefaultSendWindow = 3 * time.Second
	// DefaultPollEvery is the interval at which an engine with an order in progress is read.
	DefaultPollEvery = time.Second
	// DefaultCallTimeout is the timeout of a read or a fence order.
	DefaultCallTimeout = 5 * time.Second
	// DefaultReportLag is the maximum age of the state in an engine's report.
	DefaultReportLag = time.Second
	// DefaultAuditEvery is the interval at which an engine is compared with the result of its last order.
	DefaultAuditEvery = 10 * time.Second
	// DefaultPropagationDelay is the time within which every instance has read a planned change and stopped sending new
	// requests to the engine.
	DefaultPropagationDelay = 3 * time.Second
	// DefaultMinSendBudget is the minimum time left before the write deadline for a send to be started.
	DefaultMinSendBudget = 250 * time.Millisecond
)

// Settings holds the timings of orders.
type Settings struct {
	SendWindow       time.Duration
	PollEvery        time.Duration
	CallTimeout      time.Duration
	ReportLag        time.Duration
	AuditEvery       time.Duration
	PropagationDelay time.Duration
	MinSendBudget    time.Duration
}

// NewSettings returns the default timings.
func NewSettings() Settings {
	return Settings{
		SendWindow:       DefaultSendWindow,
		PollEvery:        DefaultPollEvery,
		CallTimeout:      DefaultCallTimeout,
		ReportLag:        DefaultReportLag,
		AuditEvery:       DefaultAuditEvery,
		PropagationDelay: DefaultPropagationDelay,
		MinSendBudget:    DefaultMinSendBudget,
	}
}

// View is the input to the fencer's decisions.
type View struct {
	Now    time.Time
	State  *replayer.State
	Leases *leaser.Leaser
	// ChecksTokens reports whether an engine refuses orders with an outdated token.
	ChecksTokens func(identifier.UpstreamID) bool
}

// phase is the progress of an order.
type phase int

const (
	// phaseAnnounced waits for the intent to be read back.
	phaseAnnounced phase = iota + 1
	// phaseSent waits for the engine's response.
	phaseSent
	// phaseExecuting waits for the engine to finish an accepted order.
	phaseExecuting
	// phaseResolving determines the result of a predecessor's order or of an own order whose send result is unknown.
	phaseResolving
	// phaseClosing waits for the outcome to be read back.
	phaseClosing
)

// pendingOrder is an order without a recorded outcome.
type pendingOrder struct {
	engine identifier.UpstreamID
	order  *messenger.EngineOrder
	scope  identifier.Scope
	token  identifier.Token
	// own is true if this process requested the order.
	own     bool
	phase   phase
	writeBy time.Time
	// conclusiveFrom is the earliest start of a read whose report can prove that the order was not done.
	conclusiveFrom time.Time
	// arrivedBy is the time by which an order written before its deadline has arrived at the engine.
	arrivedBy   time.Time
	fenced      bool
	fenceID     identifier.OrderID
	fenceSentAt time.Time
	readID      uint64
	readAt      time.Time
	pollAt      time.Time
}

func (p *pendingOrder) id() identifier.OrderID { return identifier.OrderID(p.order.GetOrderId()) }

// Fencer manages the orders of one process.
type Fencer struct {
	settings Settings
	pending  map[identifier.UpstreamID]*pendingOrder
	audits   map[identifier.UpstreamID]*audit
	// nextAuditAt is the time of the next audit; closed orders up to offset auditedUpTo have one scheduled.
	nextAuditAt time.Time
	auditedUpTo identifier.Offset
	readSeq     uint64
	fenceSeq    uint64
	repairSeq   uint64
}

// NewFencer returns a fencer without orders.
func NewFencer(settings Settings) *Fencer {
	return &Fencer{
		settings: settings,
		pending:  map[identifier.UpstreamID]*pendingOrder{},
		audits:   map[identifier.UpstreamID]*audit{},
	}
}

// Busy reports whether this process has a pending order of its own in the scope.
func (f *Fencer) Busy(scope identifier.Scope) bool {
	for _, p := range f.pending {
		if p.scope == scope && p.own {
			return true
		}
	}
	return false
}

// Request starts an order by appending its intent, or closes it at once if it cannot be carried out.
func (f *Fencer) Request(v View, scope identifier.Scope, order *messenger.EngineOrder) []Step {
	engine := identifier.UpstreamID(order.GetEngine())
	lease, held := v.Leases.Held(v.Now, scope)
	if !held {
		return refuse(order, "lease is not held")
	}
	if order.GetKind() != messenger.OrderKind_ORDER_KIND_CHANGE_ROLE &&
		order.GetKind() != messenger.OrderKind_ORDER_KIND_LOAD_MODEL {
		return refuse(order, "kind of order is not known")
	}
	state, _ := v.State.Engine(engine)
	if state.Unfinished != nil || f.pending[engine] != nil {
		return refuse(order, "engine has an unfinished order")
	}
	if lease.Token < state.Token {
		return append(refuse(order, "engine is under a newer token"), ReplaceToken{Scope: scope})
	}
	f.pending[engine] = &pendingOrder{
		engine: engine,
		order:  order,
		scope:  scope,
		token:  lease.Token,
		own:    true,
		phase:  phaseAnnounced,
	}
	return []Step{AppendIntent{Scope: scope, Token: lease.Token, Order: order}}
}

func refuse(order *messenger.EngineOrder, detail string) []Step {
	return []Step{Closed{
		Engine: identifier.UpstreamID(order.GetEngine()),
		Order:  identifier.OrderID(order.GetOrderId()),
		Result: messenger.OrderResult_ORDER_RESULT_NOT_DONE,
		Detail: detail,
	}}
}

// IntentAccepted sends an order of this process if its lease still permits. No other method sends such an order, so
// each is sent at most once.
func (f *Fencer) IntentAccepted(v View, accepted *replayer.Order) []Step {
	p := f.pending[identifier.UpstreamID(accepted.Order.GetEngine())]
	if p == nil || !p.own || p.phase != phaseAnnounced || p.id() != accepted.ID() {
		return nil
	}
	lease, held := v.Leases.Held(v.Now, accepted.Scope)
	if !held || lease.Token != accepted.Token || lease.ExpiresAt.Sub(v.Now) < f.settings.MinSendBudget {
		delete(f.pending, p.engine)
		return refuse(p.order, "lease lapsed before the order was sent")
	}
	p.phase = phaseSent
	p.writeBy = lease.ExpiresAt
	p.arrivedBy = lease.ExpiresAt.Add(f.settings.SendWindow)
	return []Step{Send{Order: p.order, Token: lease.Token, WriteBy: p.writeBy}}
}

// IntentRefused closes an order whose intent was skipped.
func (f *Fencer) IntentRefused(order *messenger.EngineOrder, detail string) []Step {
	engine := identifier.UpstreamID(order.GetEngine())
	p := f.pending[engine]
	if p == nil || p.phase != phaseAnnounced || p.order.GetOrderId() != order.GetOrderId() {
		return nil
	}
	delete(f.pending, engine)
	return refuse(order, detail)
}

// OutcomeRead processes an outcome that was read from the log and schedules the engine's next audit.
func (f *Fencer) OutcomeRead(v View, closed replayer.OrderClosed) []Step {
	f.audits[closed.Engine] = &audit{dueAt: v.Now.Add(f.settings.AuditEvery)}
	f.nextAuditAt = time.Time{}
	p := f.pending[closed.Engine]
	if p == nil || p.id() != closed.Order.ID() {
		return nil
	}
	delete(f.pending, closed.Engine)
	return []Step{Closed{Engine: closed.Engine, Order: p.id(), Result: closed.Order.Result, Detail: closed.Order.Detail}}
}

// Advance returns the steps due now: resolution of unfinished orders, polls and audits.
func (f *Fencer) Advance(v View) []Step {
	steps := f.dropStale(v)
	for _, open := range v.State.Unfinished() {
		lease, held := v.Leases.Held(v.Now, open.Scope)
		if !held {
			continue
		}
		steps = append(steps, f.advanceOpen(v, open, lease)...)
	}
	return append(steps, f.advanceAudits(v)...)
}

// dropStale closes requests whose lease ended before their intent was read back, and drops orders that others closed.
func (f *Fencer) dropStale(v View) []Step {
	var steps []Step
	for _, engine := range slices.Sorted(maps.Keys(f.pending)) {
		p := f.pending[engine]
		state, _ := v.State.Engine(engine)
		if p.phase != phaseAnnounced {
			if state.Unfinished == nil || state.Unfinished.ID() != p.id() {
				delete(f.pending, engine)
			}
			continue
		}
		lease, held := v.Leases.Held(v.Now, p.scope)
		if held && lease.Token == p.token {
			continue
		}
		delete(f.pending, engine)
		steps = append(steps, refuse(p.order, "lease was lost before the order was accepted")...)
	}
	return steps
}

func (f *Fencer) advanceOpen(v View, open *replayer.Order, lease leaser.HeldLease) []Step {
	engine := identifier.UpstreamID(open.Order.GetEngine())
	p := f.pending[engine]
	if p == nil || p.id() != open.ID() {
		p = &pendingOrder{engine: engine, order: open.Order, scope: open.Scope, token: open.Token}
		f.pending[engine] = p
		f.startResolving(p, lease)
	}
	if p.token != lease.Token {
		f.startResolving(p, lease)
	}
	switch p.phase {
	case phaseSent:
		if v.Now.After(p.arrivedBy.Add(f.settings.CallTimeout)) {
			return f.resolveOwn(v, p)
		}
		return nil
	case phaseExecuting, phaseResolving:
		return f.poll(v, p, lease)
	default:
		return nil
	}
}

// startResolving begins to determine the result of an order under a token newer than the order's.
func (f *Fencer) startResolving(p *pendingOrder, lease leaser.HeldLease) {
	p.phase = phaseResolving
	p.token = lease.Token
	p.fenced = false
	p.fenceID = ""
	p.fenceSentAt = time.Time{}
	p.readID = 0
	p.pollAt = time.Time{}
	arrivedBy := lease.PredecessorExpiry.Add(f.settings.SendWindow)
	if p.arrivedBy.Before(arrivedBy) {
		p.arrivedBy = arrivedBy
	}
	p.conclusiveFrom = p.arrivedBy.Add(f.settings.ReportLag)
}
