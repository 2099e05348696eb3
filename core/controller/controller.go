// Package controller decides from the replayed log which leases one process claims, which orders it sends, which
// configuration it applies and when it writes a snapshot. It does no I/O and reads no clock: events enter through
// Handle, which returns the actions to carry out.
package controller

import (
	"slices"
	"time"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/fencer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/leaser"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/core/throttler"
	"rosemaryspool.example/wire/messenger"
)

// DefaultSnapshotEvery limits the records replayed after a snapshot so that a process starts within a second.
const DefaultSnapshotEvery = 2000

// DefaultSnapshotMaxAge keeps a snapshot in a log with a retention of an hour or more, even at a low write rate.
const DefaultSnapshotMaxAge = 10 * time.Minute

// Settings holds the settings of one process's controller.
type Settings struct {
	Environment identifier.Environment
	Instance    identifier.InstanceID
	// Incarnation must be unique to each start of the process, so that a restarted instance never takes the leases or
	// record ids of its previous run for its own.
	Incarnation string
	Compile     replayer.CompileFunc
	// Lease holds the lease timings; NewController sets the holder.
	Lease leaser.Settings
	Order fencer.Settings
	// SnapshotScope is the scope whose lease holder writes snapshots: one after every SnapshotEvery records and at
	// least one every SnapshotMaxAge. Every process is a candidate for it.
	SnapshotScope  identifier.Scope
	SnapshotEvery  int
	SnapshotMaxAge time.Duration
	ReappendAfter  time.Duration
	// PropagationDelay is the minimum time between reading an engine's drain and ordering that engine, so that every
	// instance has read the drain too. Zero permits orders without a drain.
	PropagationDelay time.Duration
}

// Holder returns the name under which this process holds leases.
func (s Settings) Holder() string { return string(s.Instance) + "/" + s.Incarnation }

// NewSettings returns the default settings for one process.
func NewSettings(
	environment identifier.Environment, instance identifier.InstanceID, incarnation string, compile replayer.CompileFunc,
) Settings {
	s := Settings{
		Environment:      environment,
		Instance:         instance,
		Incarnation:      incarnation,
		Compile:          compile,
		Order:            fencer.NewSettings(),
		SnapshotScope:    "snapshots",
		SnapshotEvery:    DefaultSnapshotEvery,
		SnapshotMaxAge:   DefaultSnapshotMaxAge,
		ReappendAfter:    DefaultReappendAfter,
		PropagationDelay: fencer.DefaultPropagationDelay,
	}
	s.Lease = leaser.NewSettings(s.Holder())
	return s
}

// Controller makes the decisions of one process. It is not safe for concurrent use.
type Controller struct {
	settings  Settings
	state     *replayer.State
	restorer  *replayer.Restorer
	leases    *leaser.Leaser
	orders    *fencer.Fencer
	outbox    *outbox
	recordSeq uint64
	wanted    map[identifier.Scope]bool
	stopping  bool
	// catchUpTo is the end of the log at the first read. Until it is reached no revision takes effect, because a later
	// one may supersede it.
	catchUpTo identifier.Offset
	caughtUp  bool
	inForce   identifier.Revision
	draining  []identifier.UpstreamID
	// candidaciesNext is the offset up to which the candidacies were updated; zero forces an update.
	candidaciesNext identifier.Offset
	// plansNext is the offset after the latest planned change that was announced.
	plansNext identifier.Offset
	// plansReadAt is the time at which this process read the latest planned change of each upstream.
	plansReadAt map[identifier.UpstreamID]time.Time
	// snapshotAt is the time at which this process read the latest snapshot, or of its first read if there was none.
	snapshotAt time.Time
}

// NewController returns a controller that has read no records.
func NewController(settings Settings) *Controller {
	settings.Lease.Holder = settings.Holder()
	return &Controller{
		settings: settings,
		state:    replayer.NewState(settings.Environment, settings.Compile),
		leases:   leaser.NewLeaser(settings.Lease),
		orders:   fencer.NewFencer(settings.Order),
		outbox:   newOutbox(settings.ReappendAfter),
		wanted:   map[identifier.Scope]bool{settings.SnapshotScope: settings.SnapshotScope != ""},

		plansReadAt: map[identifier.UpstreamID]time.Time{},
	}
}

// State returns the replayed state. It must not be modified or kept beyond the next event.
func (c *Controller) State() *replayer.State { return c.state }

// NextOffset returns the offset at which the adaptor continues to read.
func (c *Controller) NextOffset() identifier.Offset {
	if c.restorer != nil {
		return c.restorer.Next()
	}
	return c.state.Next()
}

// Held returns the lease of a scope if this process may use it at now.
func (c *Controller) Held(now time.Time, scope identifier.Scope) (leaser.HeldLease, bool) {
	return c.leases.Held(now, scope)
}

// Idle reports whether this process holds no lease. During a shutdown this means that its orders are closed too.
func (c *Controller) Idle(now time.Time) bool {
	for _, l := range c.state.Leases() {
		if _, held := c.leases.Held(now, l.Scope); held {
			return false
		}
	}
	return true
}

// Handle processes one event and returns the actions to carry out, in order.
func (c *Controller) Handle(event Event) []Action {
	switch e := event.(type) {
	case RecordsRead:
		return append(c.readRecords(e), c.advance(e.Now)...)
	case LogTrimmed:
		return append(c.handleTrim(e.Now, e.First), c.advance(e.Now)...)
	case SnapshotLoaded:
		return append(c.loadSnapshot(e), c.advance(e.Now)...)
	case AppendSucceeded:
		c.outbox.succeeded(e.Now, e.Records)
		return c.advance(e.Now)
	case AppendFailed:
		c.handleAppendFailed(e)
		return c.advance(e.Now)
	case SendEnded:
		steps := c.orders.SendEnded(c.view(e.Now), e.Order, e.Result, e.Reply)
		return append(c.applySteps(e.Now, steps), c.advance(e.Now)...)
	case EngineRead:
		steps := c.orders.ReportRead(c.view(e.Now), e.Engine, e.ReadID, e.Report)
		return append(c.applySteps(e.Now, steps), c.advance(e.Now)...)
	case OrderRequested:
		return append(c.requestOrder(e), c.advance(e.Now)...)
	case PlanRequested:
		c.requestPlan(e)
		return c.advance(e.Now)
	case ScopeWanted:
		c.wanted[e.Scope] = true
		c.candidaciesNext = 0
		return c.advance(e.Now)
	case ScopeUnwanted:
		c.wanted[e.Scope] = false
		c.candidaciesNext = 0
		return c.advance(e.Now)
	case ShutdownStarted:
		c.stopping = true
		c.candidaciesNext = 0
		return c.advance(e.Now)
	case Ticked:
		return c.advance(e.Now)
	default:
		return nil
	}
}

func (c *Controller) view(now time.Time) fencer.View {
	return fencer.View{Now: now, State: c.state, Leases: c.leases, ChecksTokens: c.checksTokens}
}

// checksTokens reports whether an engine refuses orders with an outdated token. An engine missing from the document is
// assumed not to: the longer wait is safe for both kinds.
func (c *Controller) checksTokens(engine identifier.UpstreamID) bool {
	document := c.state.Document()
	if document == nil {
		return false
	}
	i := slices.IndexFunc(document.Engines, func(e configurer.Engine) bool { return e.ID == engine })
	return i >= 0 && document.Engines[i].ChecksTokens
}

func (c *Controller) handleAppendFailed(e AppendFailed) {
	c.outbox.failed(e.Now, e.Records, e.Unknown)
	if e.Unknown {
		return
	}
	for _, id := range e.Records {
		c.leases.ClaimFailed(e.Now, id)
	}
}

// advance performs what is due now: leases first, then orders, snapshots and retried appends.
func (c *Controller) advance(now time.Time) []Action {
	if !c.state.Complete() || !c.caughtUp {
		return nil
	}
	c.updateCandidacies()
	actions := c.decideLeases(now)
	actions = append(actions, c.applySteps(now, c.orders.Advance(c.view(now)))...)
	actions = append(actions, c.enqueueSnapshot(now)...)
	c.outbox.dropStale(func(scope identifier.Scope, token identifier.Token) bool {
		lease, held := c.leases.Held(now, scope)
		return held && lease.Token == token
	})
	return append(actions, c.outbox.due(now)...)
}

// updateCandidacies makes the process a candidate for its requested scopes and for every scope with unfinished orders,
// so that no order stays open in a scope that no process is a candidate for any more.
func (c *Controller) updateCandidacies() {
	if c.candidaciesNext == c.state.Next() {
		return
	}
	c.candidaciesNext = c.state.Next()
	open := map[identifier.Scope]bool{}
	for _, o := range c.state.Unfinished() {
		open[o.Scope] = true
	}
	scopes := map[identifier.Scope]bool{}
	for _, l := range c.state.Leases() {
		scopes[l.Scope] = true
	}
	for s := range c.wanted {
		scopes[s] = true
	}
	for s := range scopes {
		c.leases.SetWanted(s, !c.stopping && (c.wanted[s] || open[s]))
	}
}

func (c *Controller) decideLeases(now time.Time) []Action {
	var actions []Action
	for _, d := range c.leases.Decide(now, c.orders.Busy) {
		switch d := d.(type) {
		case leaser.Claim:
			actions = append(actions, c.appendClaim(now, d)...)
		case leaser.Release:
			actions = append(actions, c.appendRelease(d)...)
		default:
			actions = append(actions, convertDecision(d)...)
		}
	}
	return actions
}

func convertDecisions(decisions []leaser.Decision) []Action {
	var actions []Action
	for _, d := range decisions {
		actions = append(actions, convertDecision(d)...)
	}
	return actions
}

func convertDecision(decision leaser.Decision) []Action {
	switch d := decision.(type) {
	case leaser.Gained:
		return []Action{LeaseGained{Scope: d.Lease.Scope, Token: d.Lease.Token, ExpiresAt: d.Lease.ExpiresAt}}
	case leaser.Lost:
		return []Action{LeaseLost{Scope: d.Scope}}
	default:
		return nil
	}
}

// applySteps converts the fencer's steps into actions and queued records.
func (c *Controller) applySteps(now time.Time, steps []fencer.Step) []Action {
	var actions []Action
	for _, step := range steps {
		switch s := step.(type) {
		case fencer.AppendIntent:
			intent := &messenger.OrderIntent{Order: s.Order}
			c.enqueue(messenger.RecordKind_RECORD_KIND_ORDER_INTENT, s.Scope, s.Token, intent, throttler.UrgencyOrder, s.Order)
		case fencer.AppendOutcome:
			c.enqueue(messenger.RecordKind_RECORD_KIND_ORDER_OUTCOME, s.Scope, s.Token, s.Outcome, throttler.UrgencyOrder, nil)
		case fencer.AppendPlan:
			kind := messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE
			c.enqueue(kind, s.Scope, s.Token, s.Change, throttler.UrgencyOrder, nil)
		case fencer.Send:
			actions = append(actions, SendOrder(s))
		case fencer.Read:
			actions = append(actions, ReadEngine(s))
		case fencer.ReplaceToken:
			c.leases.ReplaceToken(s.Scope)
		case fencer.Closed:
			actions = append(actions, OrderClosed(s))
		case fencer.Diverged:
			actions = append(actions, EngineDiverged(s))
		}
	}
	return append(actions, c.outbox.due(now)...)
}
