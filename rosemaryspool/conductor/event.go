package conductor

import (
	"time"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/drainer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/placer"
	"rosemaryspool.example/wire/messenger"
)

// Event is an input of the conductor.
type Event interface{ event() }

// ConfigChanged carries a configuration that has taken effect.
type ConfigChanged struct{ Document *configurer.Document }

// ReportReceived carries an engine's report of its state.
type ReportReceived struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Report   *messenger.EngineReport
}

// ListUpdated carries the complete instance list and the number of live instances.
type ListUpdated struct {
	Now       time.Time
	Members   []drainer.Member
	Instances int
}

// PlansUpdated carries the latest planned change of each upstream, as replayed from the log.
type PlansUpdated struct {
	Now   time.Time
	Plans []*messenger.PlannedChange
}

// LeaseChanged is the gain or loss of a scope's lease by this process. Unfinished lists the engines with an open order.
type LeaseChanged struct {
	Now        time.Time
	Scope      identifier.Scope
	Held       bool
	Unfinished []identifier.UpstreamID
}

// OrderClosed carries the outcome of an order. Unfinished lists the engines that still have an open order.
type OrderClosed struct {
	Now        time.Time
	Outcome    controller.OrderClosed
	Unfinished []identifier.UpstreamID
}

// RequestReceived adds a model request to the measured demand.
type RequestReceived struct {
	Model          identifier.ModelName
	Class          identifier.ClassName
	Prompt, Output identifier.Tokens
}

// RequestAnswered carries how many tokens of an attempt's prompt came from the engine's cache. Cached is negative if
// that is unknown, as after a failed attempt.
type RequestAnswered struct {
	Class          identifier.ClassName
	Prompt, Cached identifier.Tokens
}

// WorkStarted is the dispatch of an attempt to an engine. A protected attempt is never moved.
type WorkStarted drainer.WorkStarted

// WorkEnded is the end of an attempt, whatever its result.
type WorkEnded drainer.WorkEnded

// permitDecided carries the weight store's decision on a permit for the placer of a model.
type permitDecided struct {
	model    identifier.ModelName
	decision placer.PermitDecided
}

// probeEnded carries the result of a probe.
type probeEnded struct{ result drainer.ProbeEnded }

func (ConfigChanged) event()   {}
func (ReportReceived) event()  {}
func (ListUpdated) event()     {}
func (PlansUpdated) event()    {}
func (LeaseChanged) event()    {}
func (OrderClosed) event()     {}
func (RequestReceived) event() {}
func (RequestAnswered) event() {}
func (WorkStarted) event()     {}
func (WorkEnded) event()       {}
func (permitDecided) event()   {}
func (probeEnded) event()      {}
