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

// Event is something that the conductor learns.
type Event interface{ event() }

// ConfigChanged tells of a new configuration.
type ConfigChanged struct{ Document *configurer.Document }

// EngineReported delivers an engine's own report.
type ReportReceived struct {
	Now      time.Time
	Upstream identifier.UpstreamID
	Report   *messenger.EngineReport
}

// ListRead delivers the whole instance list and the number of live instances.
type ListUpdated struct {
	Now       time.Time
	Members   []drainer.Member
	Instances int
}

// PlansChanged delivers the latest planned changes as folded from the log.
type PlansUpdated struct {
	Now   time.Time
	Plans []*messenger.PlannedChange
}

// LeaseChanged tells that this process gained or lost a scope; Unfinished names the engines with an open order.
type LeaseChanged struct {
	Now        time.Time
	Scope      identifier.Scope
	Held       bool
	Unfinished []identifier.UpstreamID
}

// OrderClosed tells how an order ended; Unfinished names the engines that still have one open.
type OrderClosed struct {
	Now        time.Time
	Outcome    controller.OrderClosed
	Unfinished []identifier.UpstreamID
}

// WorkAsked counts a model request as demand.
type RequestReceived struct {
	Model          identifier.ModelName
	Class          identifier.ClassName
	Prompt, Output identifier.Tokens
}

// WorkAnswered tells how much of an answered prompt came from the cache.
type RequestAnswered struct {
	Class          identifier.ClassName
	Prompt, Cached identifier.Tokens
}

// WorkStarted tells that an attempt was sent to an engine. Protected work is never moved.
type WorkStarted struct {
	Now       time.Time
	Upstream  identifier.UpstreamID
	Attempt   identifier.AttemptID
	Protected bool
}

// WorkEnded tells that an attempt ended in any way.
type WorkEnded struct {
	Now     time.Time
	Attempt identifier.AttemptID
}

// permitAnswered delivers the weight store's answer.
type permitDecided struct {
	model    identifier.ModelName
	decision placer.PermitDecided
}

// probeEnded delivers the end of a probe.
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
