// Package fencer carries orders to engines so that no two of them conflict: intent, accepted, one send, outcome. After
// a change of authority it resolves what the last holder left open before anything new is decided for that engine.
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

// Times of an order.
const (
	// DefaultSendWindow is how long after its write deadline a written order may still reach an engine.
	DefaultSendWindow = 3 * time.Second
	// DefaultPollEvery is how often an engine in a change is read.
	DefaultPollEvery = time.Second
	// DefaultCallTimeout ends the wait for the answer to a read or a fence.
	DefaultCallTimeout = 5 * time.Second
	// DefaultReportLag is by how much an engine's own report may be older than its state.
	DefaultReportLag = time.Second
	// DefaultAuditEvery is how often an engine is compared with what its last order left.
	DefaultAuditEvery = 10 * time.Second
	// DefaultDrainNotice is by when every instance has read a planned change and sends nothing new.
	DefaultDrainPropagation = 3 * time.Second
	// DefaultMinimumSend is the least time to the write deadline with which a send is begun.
	DefaultMinSendBudget = 250 * time.Millisecond
)

// Settings holds the times of an order.
type Settings struct {
	SendWindow       time.Duration
	PollEvery        time.Duration
	CallTimeout      time.Duration
	ReportLag        time.Duration
	AuditEvery       time.Duration
	DrainPropagation time.Duration
	MinSendBudget    time.Duration
}

// NewSettings returns the default times.
func NewSettings() Settings {
	return Settings{
		SendWindow:       DefaultSendWindow,
		PollEvery:        DefaultPollEvery,
		CallTimeout:      DefaultCallTimeout,
		ReportLag:        DefaultReportLag,
		AuditEvery:       DefaultAuditEvery,
		DrainPropagation: DefaultDrainPropagation,
		MinSendBudget:    DefaultMinSendBudget,
	}
}

// View is what the fencer decides upon.
type View struct {
	Now    time.Time
	State  *replayer.State
	Leases *leaser.Leaser
	// Checks tells whether an engine refuses an order with an old token.
	ChecksTokens func(identifier.UpstreamID) bool
}

// phase tells how far an order came.
type phase int

const (
	// phaseIntent waits for the intent to be read back.
	phaseAnnounced phase = iota + 1
	// phaseSent waits for the engine's answer.
	phaseSent
	// phaseWatch waits for the engine to finish an accepted order.
	phaseExecuting
	// phaseResolve finds out what became of an order that this process did not see through.
	phaseResolving
	// phaseClosing waits for the outcome to be read back.
	phaseClosing
)

// journey is one order on its way.
type pendingOrder struct {
	engine identifier.UpstreamID
	order  *messenger.EngineOrder
	scope  identifier.Scope
	token  identifier.Token
	// own is true when this process requested the order.
	own     bool
	phase   phase
	writeBy time.Time
	// certainFrom is the earliest time of a read that can prove that the order was not done.
	conclusiveFrom time.Time
	// quietAt is when an order that was written in time has reached the engine.
	arrivedBy   time.Time
	fenced      bool
	fenceID     identifier.OrderID
	fenceSentAt time.Time
	readID      uint64
	readAt      time.Time
	pollAt      time.Time
}

func (p *pendingOrder) id() identifier.OrderID { return identifier.OrderID(p.order.GetOrderId()) }

// Fencer drives the orders of one process.
type Fencer struct {
	settings Settings
	pending  map[identifier.UpstreamID]*pendingOrder
	audits   map[identifier.UpstreamID]*audit
	// auditAt is when the next audit is due, auditsNext the offset up to which closed orders have one.
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

// Busy tells whether an order of the scope that this process requested is on its way.
func (f *Fencer) Busy(scope identifier.Scope) bool {
	for _, p := range f.pending {
		if p.scope == scope && p.own {
			return true
		}
	}
	return false
}

// Request announces an order, or closes it at once when it cannot be given.
func (f *Fencer) Request(v View, scope identifier.Scope, order *messenger.EngineOrder) []Step {
	engine := identifier.UpstreamID(order.GetEngine())
	lease, held := v.Leases.Held(v.Now, scope)
	if !held {
		return refuse(order, "lease is not held")
	}
	if order.GetKind() != messenger.OrderKind_ORDER_KIND_CHANGE_ROLE && order.GetKind() != messenger.OrderKind_ORDER_KIND_LOAD_MODEL {
		return refuse(order, "kind of order is not known")
	}
	state, _ := v.State.Engine(engine)
	if state.Unfinished != nil || f.pending[engine] != nil {
		return refuse(order, "engine has an unfinished order")
	}
	if lease.Token < state.Token {
		return append(refuse(order, "engine is under a newer token"), ReplaceToken{Scope: scope})
	}
	f.pending[engine] = &pendingOrder{engine: engine, order: order, scope: scope, token: lease.Token, own: true, phase: phaseAnnounced}
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

// IntentAccepted sends this process's order when its lease still allows it. This is the only place where an order
// leaves, so that each is sent at most once.
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

// IntentRefused closes an order whose intent had no effect.
func (f *Fencer) IntentRefused(order *messenger.EngineOrder, detail string) []Step {
	engine := identifier.UpstreamID(order.GetEngine())
	p := f.pending[engine]
	if p == nil || p.phase != phaseAnnounced || p.order.GetOrderId() != order.GetOrderId() {
		return nil
	}
	delete(f.pending, engine)
	return refuse(order, detail)
}

// OutcomeRead ends the order whose outcome was read from the log.
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

// Advance returns what is due now: resolution of open orders, polls and audits.
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

// dropStale closes the requests whose lease ended before their intent was read back, and forgets what others closed.
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

// startResolve begins to find out what became of an order under a token newer than the order's.
func (f *Fencer) startResolving(p *pendingOrder, lease leaser.HeldLease) {
	p.phase = phaseResolving
	p.token = lease.Token
	p.fenced = false
	p.fenceID = ""
	p.fenceSentAt = time.Time{}
	p.readID = 0
	p.pollAt = time.Time{}
	quiet := lease.PredecessorExpiry.Add(f.settings.SendWindow)
	if p.arrivedBy.Before(quiet) {
		p.arrivedBy = quiet
	}
	p.conclusiveFrom = p.arrivedBy.Add(f.settings.ReportLag)
}
