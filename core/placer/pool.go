package placer

import (
	"math"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
)

// engine is one engine of a pool.
type engine struct {
	EngineObserved
	// changeStartedAt is when the placer last began to change the engine.
	changeStartedAt time.Time
}

// isServing tells whether the engine can take work.
func (e *engine) isServing() bool { return e.Healthy && !e.Changing && !e.Leaving }

// stage is how far a change has come.
type stage int

const (
	stagePermit stage = iota + 1
	stageDrain
	stageOrder
	stageProbe
)

// change is the one change under way in a pool.
type change struct {
	upstream       identifier.UpstreamID
	stage          stage
	stageStartedAt time.Time
	orderedAt      time.Time
	// role is the new role; version the new version. One of them is empty.
	role    identifier.Role
	version identifier.ModelVersion
	retryAt time.Time
	reason  string
}

// pool holds the engines of one model.
type pool struct {
	model   identifier.ModelName
	engines []*engine
	// prefill and output are the smoothed demand on the whole pool, in tokens a second.
	prefill, output float64
	demandUpdatedAt time.Time
	targetVersion   identifier.ModelVersion
	targetSetAt     time.Time
	change          *change
	lastChangedAt   time.Time
	// candidate is the change that looks worth its cost, and since when.
	candidate      candidate
	candidateSince time.Time
	// downtime is the learned time in seconds that a change keeps an engine away; zero until learned.
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

// observeDemand takes one instance's demand, scaled to all instances.
func (p *pool) observeDemand(e DemandObserved, instances int, memory time.Duration) {
	period := e.Period.Seconds()
	if period <= 0 {
		return
	}
	share := 1.0
	if !p.demandUpdatedAt.IsZero() {
		share = 1 - math.Exp(-period/memory.Seconds())
	}
	p.demandUpdatedAt = e.Now
	scale := float64(instances) / period
	p.prefill += share * (float64(e.Prefill)*scale - p.prefill)
	p.output += share * (float64(e.Output)*scale - p.output)
}

// roleCounts counts serving engines by role.
type roleCounts struct{ mixed, prefill, decode int }

func (f roleCounts) add(role identifier.Role, delta int) roleCounts {
	switch role {
	case identifier.RolePrefill:
		f.prefill += delta
	case identifier.RoleDecode:
		f.decode += delta
	default:
		f.mixed += delta
	}
	return f
}

func (f roleCounts) total() int { return f.mixed + f.prefill + f.decode }

// coversAllPhases tells whether every phase of generation has an engine.
func (f roleCounts) coversAllPhases() bool { return f.mixed > 0 || f.prefill > 0 && f.decode > 0 }

func (p *pool) servingRoles() roleCounts {
	f := roleCounts{}
	for _, e := range p.engines {
		if e.isServing() {
			f = f.add(e.Role, 1)
		}
	}
	return f
}

// demand is the work asked of the pool, in busy engines.
type demand struct{ prefill, decode float64 }

// demand converts the token rates into busy engines by the rates that the engines report, and blends in what they
// have queued: work that instances other than this one brought shows only there.
func (p *pool) demand() demand {
	rate, token, engines, queued := 0.0, 0.0, 0.0, 0.0
	for _, e := range p.engines {
		if e.PrefillPerSecond <= 0 || e.DecodeStep <= 0 || e.MaxBatch <= 0 {
			continue
		}
		engines++
		rate += e.PrefillPerSecond
		token += e.DecodeStep.Seconds() / float64(max(1, min(e.Sequences, e.MaxBatch)))
		queued += float64(e.QueuedPrefill)
	}
	if engines == 0 {
		return demand{}
	}
	rate /= engines
	token /= engines
	const queueHorizon = 30
	return demand{prefill: (p.prefill + queued/queueHorizon) / rate, decode: p.output * min(token, p.minTokenTime())}
}

// minTokenTime returns the engine time of one output token in a well-filled batch, by the fullest engine seen.
func (p *pool) minTokenTime() float64 {
	best := math.Inf(1)
	for _, e := range p.engines {
		if e.DecodeStep > 0 && e.Sequences > 0 {
			best = min(best, e.DecodeStep.Seconds()/float64(max(1, min(e.Sequences, e.MaxBatch))))
		}
	}
	return best
}

// servedShare returns the share of the demand that a fleet can serve, at most 1.
func (d demand) servedShare(f roleCounts, mixedLoss float64) float64 {
	if d.prefill+d.decode <= 0 {
		return 1
	}
	low, high := 0.0, 1.0
	for range 30 {
		middle := (low + high) / 2
		rest := max(0, middle*d.prefill-float64(f.prefill)) + max(0, middle*d.decode-float64(f.decode))
		if rest <= float64(f.mixed)*(1-mixedLoss) {
			low = middle
			continue
		}
		high = middle
	}
	return high
}
