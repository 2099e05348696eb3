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
	Output     identifier.Tokens
	LongOutput identifier.Tokens
	Prefix     []identifier.PrefixHash
	Others     Flow
	// Allowed is the time in seconds from token to token that the long answers of this instance can bear.
	Allowed float64
	// Instances is the number of instances that send work like this one.
	Instances float64
}

// Flow is the work that other instances are believed to send at present; it takes some time until reports show it.
type Flow struct {
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
	Unseen float64
	// Finish is the likely time in seconds until the last token.
	Finish float64
	// Late is by how many seconds the careful prediction misses the deadline; negative means in time.
	Late float64
	Cost float64
}

// Occupation returns the engine time in seconds that the candidate takes.
func (c *Candidate) Occupation(output identifier.Tokens) float64 {
	return c.PrefillForecast.EngineTime + float64(output)*c.DecodeForecast.EngineTimePerToken
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
type part struct {
	engine  *estimator.Engine
	prefill estimator.PrefillForecast
	decode  estimator.DecodeForecast
	// canPrefill and canDecode tell what the engine's role allows.
	canPrefill  bool
	canDecode   bool
	prefillCost float64
	decodeCost  float64
	// careful is the decode time of a long answer.
	careful float64
	// places is the number of free places in the batch.
	places int
	// spare is the time in seconds that the forecast leaves until the deadline, without unseen work.
	spare float64
	// unseen is the work in seconds that other instances have probably sent since the report.
	unseen float64
}

// Router chooses engines. It is not safe for concurrent use.
type Router struct {
	settings   Settings
	local      identifier.DataCentre
	random     *rand.Rand
	now        time.Time
	parts      []part
	order      []int
	candidates []Candidate
}

// NewRouter returns a router of an instance in the given data centre.
func NewRouter(settings Settings, local identifier.DataCentre, random *rand.Rand) *Router {
	return &Router{settings: settings, local: local, random: random}
}

// Preferred tells whether a prompt is so short that it may run before longer ones: that costs those next to nothing.
func (r *Router) Preferred(prompt identifier.Tokens) bool { return prompt <= r.settings.ShortPrompt }

// Choose ranks the ways to serve a request: on one engine, or with the prefill on one and the decode on another. The
// usable function leaves out ejected engines and ones already tried.
func (r *Router) Choose(now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool) Choice {
	r.now = now
	r.gather(now, q, engines, usable)
	r.weigh(now, q)
	r.spread(q)
	r.combine(now, q)
	return r.rank()
}

// gather takes the forecasts of the usable engines.
func (r *Router) gather(now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool) {
	r.parts = r.parts[:0]
	preferred := r.Preferred(q.Prompt)
	for _, e := range engines {
		if e.Unavailable() || !e.Serves(q.Model) || !usable(e) {
			continue
		}
		role := e.Role()
		p := part{engine: e, canPrefill: role != identifier.RoleDecode, canDecode: role != identifier.RolePrefill}
		if p.canPrefill {
			p.prefill = e.Prefill(now, q.Prompt, q.Prefix, preferred)
		}
		if p.canDecode {
			p.decode = e.Decode()
			p.places = r.places(q, e, p.decode.Batch)
			p.careful = p.decode.Duration(q.LongOutput) * (1 + r.settings.Margin)
		}
		r.parts = append(r.parts, p)
	}
}

// places returns how many more sequences an engine's batch takes. Long answers leave room for short ones, which have
// less time to wait for a place.
func (r *Router) places(q Request, e *estimator.Engine, batch int) int {
	limit := e.Load().MaxBatch
	if limit <= 0 {
		limit = r.settings.UnknownBatch
	}
	if !q.Urgent && q.Output >= r.settings.LongAnswer {
		limit = int(float64(limit) * r.settings.LongShare)
	}
	return limit - batch + 1
}

// weigh gives each engine a cost in seconds for the prefill and one for the decode. An engine that would be late even
// beside the best partner is penalised.
func (r *Router) weigh(now time.Time, q Request) {
	remaining := q.Deadline.Sub(now).Seconds()
	first, last := math.Inf(1), math.Inf(1)
	for i := range r.parts {
		p := &r.parts[i]
		if p.canPrefill {
			first = min(first, p.prefill.TimeToFirstToken())
		}
		if p.canDecode {
			last = min(last, p.careful)
		}
	}
	instances := max(1, q.Instances)
	weight := r.settings.PatientWeight
	if q.Urgent {
		weight = 1
	}
	for i := range r.parts {
		p := &r.parts[i]
		p.prefillCost = p.prefill.TimeToFirstToken()*max(weight, r.settings.WaitWeight) + p.prefill.EngineTime
		p.prefillCost += p.prefill.Duration * float64(p.engine.Decoding()) * r.harm(p.engine.Pressure(q.Allowed))
		p.prefillCost += p.prefill.Duration * float64(p.engine.LowSlack()) * instances * r.settings.TightHarm
		if r.Preferred(q.Prompt) {
			p.prefillCost += p.prefill.EngineTime * p.prefill.Queue * r.settings.QueueHarm
		}
		p.spare = remaining - last - p.prefill.TimeToFirstToken()
		p.decodeCost = float64(q.Output)*(p.decode.EngineTimePerToken+weight*r.settings.IntervalWeight*p.decode.Interval) + weight*p.decode.Wait
		p.decodeCost += r.late(first + p.careful - remaining)
		if p.places <= 0 {
			p.decodeCost += r.settings.FullPenalty * float64(1-p.places)
		}
		if p.engine.DataCentre != r.local {
			p.prefillCost += r.settings.Remote.Seconds()
			p.decodeCost += r.settings.Remote.Seconds()
		}
	}
}

// harm weighs a second of prefill for each sequence that decodes beside it: next to nothing while the answers there
// have time to spare, and more the closer they come to their deadlines.
func (r *Router) harm(pressure float64) float64 {
	over := (pressure - r.settings.EasyPressure) / (1 - r.settings.EasyPressure)
	return r.settings.Harm * min(max(over, r.settings.LeastHarm), r.settings.MostHarm)
}

// late returns the cost of being late by some seconds.
func (r *Router) late(seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return r.settings.LatePenalty + 2*seconds
}

// combine lists every single engine and the best pair.
func (r *Router) combine(now time.Time, q Request) {
	r.candidates = r.candidates[:0]
	var prefill, decode *part
	for i := range r.parts {
		p := &r.parts[i]
		if p.canPrefill && (prefill == nil || p.prefillCost < prefill.prefillCost) {
			prefill = p
		}
		if p.canDecode && (decode == nil || p.decodeCost < decode.decodeCost) {
			decode = p
		}
		if p.canPrefill && p.canDecode {
			r.candidates = append(r.candidates, r.candidate(now, q, p, p))
		}
	}
	if prefill != nil && decode != nil && prefill != decode && (q.LongOutput >= longOutput || len(r.candidates) == 0) {
		r.candidates = append(r.candidates, r.candidate(now, q, prefill, decode))
	}
}

func (r *Router) candidate(now time.Time, q Request, prefill, decode *part) Candidate {
	c := Candidate{
		Prefill: prefill.engine, Decode: decode.engine, PrefillForecast: prefill.prefill, DecodeForecast: decode.decode,
		Cost: prefill.prefillCost + decode.decodeCost, Unseen: prefill.unseen,
	}
	handOver := 0.0
	if prefill != decode {
		handOver = r.settings.HandOver.Seconds()
		c.Cost += handOver
	}
	c.Finish = prefill.prefill.TimeToFirstToken() + prefill.unseen + handOver + decode.decode.Duration(q.Output)
	careful := (prefill.prefill.TimeToFirstToken()+prefill.unseen)*(1+r.settings.Margin) + handOver + decode.careful
	c.Late = careful - q.Deadline.Sub(now).Seconds()
	return c
}

// rank moves the best candidates to the front.
func (r *Router) rank() Choice {
	kept := min(len(r.candidates), r.settings.Explained)
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
	case c.Late > 0:
		return "leastLate"
	case c.Prefill != c.Decode:
		return "split"
	case c.PrefillForecast.Cached > 0:
		return "prefixAffinity"
	default:
		return "leastHarm"
	}
}
