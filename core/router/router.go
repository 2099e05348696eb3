// Package router chooses the engine, or the pair of engines, that answers a request in time with the least harm to others.
package router

import (
	"math"
	"math/rand/v2"
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
)

// Request is what a routing decision needs to know of a request.
type Request struct {
	Model    identifier.ModelName
	Urgent   bool
	Deadline time.Time
	Prompt   identifier.Tokens
	// Output is the likely length of the rest of the answer; LongOutput is one that few answers exceed.
	Output       identifier.Tokens
	LongOutput   identifier.Tokens
	Prefix       []identifier.PrefixHash
	PeerArrivals ArrivalRate
	// Allowed is the time in seconds from token to token that the long answers of this instance can bear.
	MaxTokenInterval float64
	// Instances is the number of instances that send work like this one.
	Instances float64
}

// Flow is the work that other instances are believed to send at present; it takes some time until reports show it.
type ArrivalRate struct {
	// Prefill is the engine time of prefill, in seconds a second.
	Prefill float64
	// Sequences is the number of long answers a second.
	Sequences float64
}

// Candidate is one engine's part in serving a request, or a whole way to serve it.
type Candidate struct {
	Prefill *estimator.Engine
	Decode  *estimator.Engine
	// PrefillForecast and DecodeForecast predict the course at the two engines.
	PrefillForecast estimator.PrefillForecast
	DecodeForecast  estimator.DecodeForecast
	// Unseen is the work in seconds that other instances have probably sent to the prefill engine since its report.
	UnreportedWork float64
	// Finish is the likely time in seconds until the last token.
	Finish float64
	// Late is by how many seconds the careful prediction misses the deadline; negative means in time.
	Lateness float64
	Cost     float64
}

// Occupation returns the engine time in seconds that the candidate takes.
func (c *Candidate) Occupation(output identifier.Tokens) float64 {
	return c.PrefillForecast.Occupation + float64(output)*c.DecodeForecast.Share
}

// Choice is the outcome of a routing decision.
type Choice struct {
	// Best is nil when no engine may take the request.
	Best *Candidate
	// Considered holds the leading candidates, best first.
	Considered []Candidate
	Cause      string
}

// part is one engine's figures in a decision.
type engineScore struct {
	engine  *estimator.Engine
	prefill estimator.PrefillForecast
	decode  estimator.DecodeForecast
	// canPrefill and canDecode tell what the engine's role allows.
	canPrefill  bool
	canDecode   bool
	prefillCost float64
	decodeCost  float64
	// careful is the decode time of a long answer.
	longDecode float64
	// places is the number of free places in the batch.
	freeSlots int
	// spare is the time in seconds that the forecast leaves until the deadline, without unseen work.
	slack float64
	// unseen is the work in seconds that other instances have probably sent since the report.
	unreportedWork float64
}

// Router chooses engines. It is not safe for concurrent use.
type Router struct {
	settings   Settings
	local      identifier.DataCentre
	random     *rand.Rand
	now        time.Time
	scores     []engineScore
	order      []int
	candidates []Candidate
}

// NewRouter returns a router of an instance in the given data centre.
func NewRouter(settings Settings, local identifier.DataCentre, random *rand.Rand) *Router {
	return &Router{settings: settings, local: local, random: random}
}

// Preferred tells whether a prompt is so short that it may run before longer ones: that costs those next to nothing.
func (r *Router) IsShortPrompt(prompt identifier.Tokens) bool {
	return prompt <= r.settings.ShortPrompt
}

// Choose ranks the ways to serve a request: on one engine, or with the prefill on one and the decode on another. The
// usable function leaves out ejected engines and ones already tried.
func (r *Router) Choose(now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool) Choice {
	r.now = now
	r.collectForecasts(now, q, engines, usable)
	r.computeCosts(now, q)
	r.sampleEngines(q)
	r.buildCandidates(now, q)
	return r.rank()
}

// gather takes the forecasts of the usable engines.
func (r *Router) collectForecasts(now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool) {
	r.scores = r.scores[:0]
	preferred := r.IsShortPrompt(q.Prompt)
	for _, e := range engines {
		if e.Away() || !e.Serves(q.Model) || !usable(e) {
			continue
		}
		role := e.Role()
		p := engineScore{engine: e, canPrefill: role != identifier.RoleDecode, canDecode: role != identifier.RolePrefill}
		if p.canPrefill {
			p.prefill = e.Prefill(now, q.Prompt, q.Prefix, preferred)
		}
		if p.canDecode {
			p.decode = e.Decode()
			p.freeSlots = r.freeSlots(q, e, p.decode.Batch)
			p.longDecode = p.decode.Length(q.LongOutput) * (1 + r.settings.SafetyMargin)
		}
		r.scores = append(r.scores, p)
	}
}

// places returns how many more sequences an engine's batch takes. Long answers leave room for short ones, which have
// less time to wait for a place.
func (r *Router) freeSlots(q Request, e *estimator.Engine, batch int) int {
	limit := e.Load().MaxBatch
	if limit <= 0 {
		limit = r.settings.DefaultMaxBatch
	}
	if !q.Urgent && q.Output >= r.settings.LongAnswer {
		limit = int(float64(limit) * r.settings.LongAnswerShare)
	}
	return limit - batch + 1
}

// weigh gives each engine a cost in seconds for the prefill and one for the decode. An engine that would be late even
// beside the best partner is penalised.
func (r *Router) computeCosts(now time.Time, q Request) {
	remaining := q.Deadline.Sub(now).Seconds()
	first, last := math.Inf(1), math.Inf(1)
	for i := range r.scores {
		p := &r.scores[i]
		if p.canPrefill {
			first = min(first, p.prefill.First())
		}
		if p.canDecode {
			last = min(last, p.longDecode)
		}
	}
	instances := max(1, q.Instances)
	weight := r.settings.NonUrgentWaitWeight
	if q.Urgent {
		weight = 1
	}
	for i := range r.scores {
		p := &r.scores[i]
		p.prefillCost = p.prefill.First()*max(weight, r.settings.MinFirstTokenWeight) + p.prefill.Occupation
		p.prefillCost += p.prefill.Length * float64(p.engine.Decoding()) * r.interferenceCost(p.engine.Pressure(q.MaxTokenInterval))
		p.prefillCost += p.prefill.Length * float64(p.engine.Tight()) * instances * r.settings.UrgentInterferenceWeight
		if r.IsShortPrompt(q.Prompt) {
			p.prefillCost += p.prefill.Occupation * p.prefill.Queue * r.settings.QueueDelayWeight
		}
		p.slack = remaining - last - p.prefill.First()
		p.decodeCost = float64(q.Output)*(p.decode.Share+weight*r.settings.TokenIntervalWeight*p.decode.Interval) + weight*p.decode.Wait
		p.decodeCost += r.latenessCost(first + p.longDecode - remaining)
		if p.freeSlots <= 0 {
			p.decodeCost += r.settings.OverflowPenalty * float64(1-p.freeSlots)
		}
		if p.engine.DataCentre != r.local {
			p.prefillCost += r.settings.RemoteCost.Seconds()
			p.decodeCost += r.settings.RemoteCost.Seconds()
		}
	}
}

// harm weighs a second of prefill for each sequence that decodes beside it: next to nothing while the answers there
// have time to spare, and more the closer they come to their deadlines.
func (r *Router) interferenceCost(pressure float64) float64 {
	over := (pressure - r.settings.LowPressure) / (1 - r.settings.LowPressure)
	return r.settings.InterferenceWeight * min(max(over, r.settings.MinInterference), r.settings.MaxInterference)
}

// late returns the cost of being late by some seconds.
func (r *Router) latenessCost(seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return r.settings.LatePenalty + 2*seconds
}

// combine lists every single engine and the best pair.
func (r *Router) buildCandidates(now time.Time, q Request) {
	r.candidates = r.candidates[:0]
	var prefill, decode *engineScore
	for i := range r.scores {
		p := &r.scores[i]
		if p.canPrefill && (prefill == nil || p.prefillCost < prefill.prefillCost) {
			prefill = p
		}
		if p.canDecode && (decode == nil || p.decodeCost < decode.decodeCost) {
			decode = p
		}
		if p.canPrefill && p.canDecode {
			r.candidates = append(r.candidates, r.newCandidate(now, q, p, p))
		}
	}
	if prefill != nil && decode != nil && prefill != decode && (q.LongOutput >= minLongOutput || len(r.candidates) == 0) {
		r.candidates = append(r.candidates, r.newCandidate(now, q, prefill, decode))
	}
}

func (r *Router) newCandidate(now time.Time, q Request, prefill, decode *engineScore) Candidate {
	c := Candidate{
		Prefill: prefill.engine, Decode: decode.engine, PrefillForecast: prefill.prefill, DecodeForecast: decode.decode,
		Cost: prefill.prefillCost + decode.decodeCost, UnreportedWork: prefill.unreportedWork,
	}
	handOver := 0.0
	if prefill != decode {
		handOver = r.settings.KVTransferTime.Seconds()
		c.Cost += handOver
	}
	c.Finish = prefill.prefill.First() + prefill.unreportedWork + handOver + decode.decode.Length(q.Output)
	careful := (prefill.prefill.First()+prefill.unreportedWork)*(1+r.settings.SafetyMargin) + handOver + decode.longDecode
	c.Lateness = careful - q.Deadline.Sub(now).Seconds()
	return c
}

// rank moves the best candidates to the front.
func (r *Router) rank() Choice {
	kept := min(len(r.candidates), r.settings.MaxExplained)
	for i := range kept {
		best := i
		for k := i + 1; k < len(r.candidates); k++ {
			if r.candidates[k].Cost < r.candidates[best].Cost {
				best = k
			}
		}
		r.candidates[i], r.candidates[best] = r.candidates[best], r.candidates[i]
	}
	choice := Choice{Considered: r.candidates[:kept], Cause: "noEngine"}
	if kept == 0 {
		return choice
	}
	choice.Best = &r.candidates[0]
	choice.Cause = cause(choice.Best)
	return choice
}

func cause(c *Candidate) string {
	switch {
	case c.Lateness > 0:
		return "leastLate"
	case c.Prefill != c.Decode:
		return "split"
	case c.PrefillForecast.Cached > 0:
		return "prefixAffinity"
	default:
		return "leastHarm"
	}
}
