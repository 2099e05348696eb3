package placer

import (
	"math"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
)

// engine holds the latest report of an engine and the start of its last change.
type engine struct {
	EngineObserved
	// changeStartedAt is when the placer last started to drain the engine for a change.
	changeStartedAt time.Time
}

// isServing reports whether the engine can take work.
func (e *engine) isServing() bool { return e.Healthy && !e.Changing && !e.Leaving }

// stage is the current step of a change.
type stage int

// Stages of a change, in order. Role changes need no permit.
const (
	stagePermit stage = iota + 1
	stageDrain
	stageOrder
	stageProbe
)

// change is the change in progress in a pool, which has at most one.
type change struct {
	upstream       identifier.UpstreamID
	stage          stage
	stageStartedAt time.Time
	orderedAt      time.Time
	// role is the new role, version the new version; one of them is empty.
	role    identifier.Role
	version identifier.ModelVersion
	// retryAt is when to request the permit again; zero while a request is outstanding.
	retryAt time.Time
	reason  string
}

// pool holds the engines of one model.
type pool struct {
	model   identifier.ModelName
	engines []*engine
	// prefill and output are the moving averages of the demand on the whole pool, in tokens per second.
	prefill, output float64
	demandUpdatedAt time.Time
	targetVersion   identifier.ModelVersion
	targetSetAt     time.Time
	change          *change
	lastChangedAt   time.Time
	// candidate is the best role change since candidateSince. The change is started once its role has been the best for
	// Settings.Persistence.
	candidate      candidate
	candidateSince time.Time
	// downtime is the moving average of the time that a change takes an engine out of service, in seconds; zero before
	// the first change.
	downtime float64
}

func (p *pool) find(id identifier.UpstreamID) *engine {
	for _, e := range p.engines {
		if e.Upstream == id {
			return e
		}
	}
	return nil
}

func (p *pool) upsert(observed EngineObserved) {
	if e := p.find(observed.Upstream); e != nil {
		observed.Leaving = observed.Leaving || e.Leaving
		e.EngineObserved = observed
		return
	}
	p.engines = append(p.engines, &engine{EngineObserved: observed})
	slices.SortFunc(p.engines, func(a, b *engine) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
}

func (p *pool) remove(id identifier.UpstreamID) {
	p.engines = slices.DeleteFunc(p.engines, func(e *engine) bool { return e.Upstream == id })
	if p.change != nil && p.change.upstream == id {
		p.change = nil
	}
}

// observeDemand updates the averages from one instance's demand, scaled to all instances.
func (p *pool) observeDemand(e DemandObserved, instances int, timeConstant time.Duration) {
	period := e.Period.Seconds()
	if period <= 0 {
		return
	}
	weight := 1.0
	if !p.demandUpdatedAt.IsZero() {
		weight = 1 - math.Exp(-period/timeConstant.Seconds())
	}
	p.demandUpdatedAt = e.Now
	scale := float64(instances) / period
	p.prefill += weight * (float64(e.Prefill)*scale - p.prefill)
	p.output += weight * (float64(e.Output)*scale - p.output)
}

// roleCounts is the number of serving engines by role.
type roleCounts struct{ mixed, prefill, decode int }

func (c roleCounts) add(role identifier.Role, delta int) roleCounts {
	switch role {
	case identifier.RolePrefill:
		c.prefill += delta
	case identifier.RoleDecode:
		c.decode += delta
	default:
		c.mixed += delta
	}
	return c
}

func (c roleCounts) total() int { return c.mixed + c.prefill + c.decode }

// coversAllPhases reports whether there is an engine for every phase of generation.
func (c roleCounts) coversAllPhases() bool { return c.mixed > 0 || c.prefill > 0 && c.decode > 0 }

func (p *pool) servingRoles() roleCounts {
	c := roleCounts{}
	for _, e := range p.engines {
		if e.isServing() {
			c = c.add(e.Role, 1)
		}
	}
	return c
}

// demand is the load on the pool, as the number of fully used engines that it needs for each phase.
type demand struct{ prefill, decode float64 }

// demand converts the token rates into engines with the mean of the rates that the engines report. It adds the queued
// prefill, the only place where work of other instances shows up.
func (p *pool) demand() demand {
	rate, tokenTime, engines, queued := 0.0, 0.0, 0.0, 0.0
	for _, e := range p.engines {
		if e.PrefillPerSecond <= 0 || e.DecodeStep <= 0 || e.MaxBatch <= 0 {
			continue
		}
		engines++
		rate += e.PrefillPerSecond
		tokenTime += e.DecodeStep.Seconds() / float64(max(1, min(e.Sequences, e.MaxBatch)))
		queued += float64(e.QueuedPrefill)
	}
	if engines == 0 {
		return demand{}
	}
	rate /= engines
	tokenTime /= engines
	// queueHorizon is the time in seconds over which queued prefill is spread.
	const queueHorizon = 30
	return demand{prefill: (p.prefill + queued/queueHorizon) / rate, decode: p.output * min(tokenTime, p.minTokenTime())}
}

// minTokenTime returns the lowest engine time per output token among the engines, that of the best-filled batch;
// infinity if none runs a sequence.
func (p *pool) minTokenTime() float64 {
	best := math.Inf(1)
	for _, e := range p.engines {
		if e.DecodeStep > 0 && e.Sequences > 0 {
			best = min(best, e.DecodeStep.Seconds()/float64(max(1, min(e.Sequences, e.MaxBatch))))
		}
	}
	return best
}

// servedShare returns the share of the demand that the engines can serve, at most 1. It finds the share by bisection;
// mixed engines take the load of both phases that exceeds the specialised engines.
func (d demand) servedShare(counts roleCounts, mixedOverhead float64) float64 {
	if d.prefill+d.decode <= 0 {
		return 1
	}
	low, high := 0.0, 1.0
	for range 30 {
		middle := (low + high) / 2
		rest := max(0, middle*d.prefill-float64(counts.prefill)) + max(0, middle*d.decode-float64(counts.decode))
		if rest <= float64(counts.mixed)*(1-mixedOverhead) {
			low = middle
			continue
		}
		high = middle
	}
	return high
}
