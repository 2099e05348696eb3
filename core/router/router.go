// Package router chooses the engine, or the pair of engines for prefill and decode, that meets a request's deadline
// with the least delay to other requests.
package router

import (
	"math"
	"math/rand/v2"
	"time"

	"rosemaryspool.example/core/estimator"
	"rosemaryspool.example/core/identifier"
)

// Request holds the properties of a request that a routing decision depends on.
type Request struct {
	Model    identifier.ModelName
	Urgent   bool
	Deadline time.Time
	Prompt   identifier.Tokens
	// Output is the likely length of the rest of the answer; LongOutput is a length that few answers exceed.
	Output     identifier.Tokens
	LongOutput identifier.Tokens
	// Prefix holds the cumulative hashes of the prompt's complete blocks, shortest prefix first.
	Prefix []identifier.PrefixHash
	// PeerArrivals estimates the work that other instances send.
	PeerArrivals ArrivalRate
	// MaxTokenInterval is the longest time in seconds between tokens at which the long answers of this instance meet their
	// deadlines.
	MaxTokenInterval float64
	// Instances is the number of live instances, which are assumed to send similar work.
	Instances float64
}

// ArrivalRate is the estimated rate of work from other instances. Load reports show this work only with a delay.
type ArrivalRate struct {
	// Prefill is the engine time of prefill, in seconds per second.
	Prefill float64
	// Sequences is the number of long answers per second.
	Sequences float64
}

// Candidate is a way to serve a request: on one engine, or on a pair of engines for prefill and decode.
type Candidate struct {
	Prefill *estimator.Engine
	Decode  *estimator.Engine
	// PrefillForecast and DecodeForecast are the predictions for the two engines.
	PrefillForecast estimator.PrefillForecast
	DecodeForecast  estimator.DecodeForecast
	// UnreportedWork is the estimated work in seconds that other instances sent to the prefill engine since its report.
	UnreportedWork float64
	// Finish is the predicted time in seconds until the last token.
	Finish float64
	// Lateness is the time in seconds by which a long answer, with the safety margin, misses the deadline; negative means
	// in time.
	Lateness float64
	Cost     float64
}

// Occupation returns the engine time in seconds that the request takes on the candidate's engines.
func (c *Candidate) Occupation(output identifier.Tokens) float64 {
	return c.PrefillForecast.EngineTime + float64(output)*c.DecodeForecast.EngineTimePerToken
}

// Choice is the result of a routing decision.
type Choice struct {
	// Best is nil if no engine can take the request.
	Best *Candidate
	// Considered holds the candidates of least cost, best first, for the log.
	Considered []Candidate
	Cause      string
}

// engineScore holds the forecasts and costs of one engine in a decision.
type engineScore struct {
	engine  *estimator.Engine
	prefill estimator.PrefillForecast
	decode  estimator.DecodeForecast
	// canPrefill and canDecode report what the engine's role allows.
	canPrefill bool
	canDecode  bool
	// prefillCost and decodeCost are in seconds.
	prefillCost float64
	decodeCost  float64
	// longDecode is the decode time in seconds of a long answer, with the safety margin.
	longDecode float64
	// freeSlots is the number of free slots in the batch.
	freeSlots int
	// slack is the predicted time in seconds left until the deadline, without unreported work.
	slack float64
	// unreportedWork is the estimated work in seconds that other instances sent since the report.
	unreportedWork float64
}

// Router chooses engines and reuses its buffers between decisions. It is not safe for concurrent use.
type Router struct {
	settings   Settings
	local      identifier.DataCentre
	random     *rand.Rand
	now        time.Time
	scores     []engineScore
	order      []int
	candidates []Candidate
}

// NewRouter returns a router for an instance in the given data centre.
func NewRouter(settings Settings, local identifier.DataCentre, random *rand.Rand) *Router {
	return &Router{settings: settings, local: local, random: random}
}

// IsShortPrompt reports whether a prompt is short enough for its prefill to run before longer ones, which it hardly
// delays.
func (r *Router) IsShortPrompt(prompt identifier.Tokens) bool {
	return prompt <= r.settings.ShortPrompt
}

// Choose ranks the ways to serve a request: on one engine, or with prefill and decode on two. The usable function
// excludes ejected engines and those already tried.
func (r *Router) Choose(
	now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool,
) Choice {
	r.now = now
	r.collectForecasts(now, q, engines, usable)
	r.computeCosts(now, q)
	r.sampleEngines(q)
	r.buildCandidates(now, q)
	return r.rank()
}

// collectForecasts collects the forecasts of the usable engines.
func (r *Router) collectForecasts(
	now time.Time, q Request, engines []*estimator.Engine, usable func(*estimator.Engine) bool,
) {
	r.scores = r.scores[:0]
	short := r.IsShortPrompt(q.Prompt)
	for _, e := range engines {
		if e.Unavailable() || !e.Serves(q.Model) || !usable(e) {
			continue
		}
		role := e.Role()
		s := engineScore{engine: e, canPrefill: role != identifier.RoleDecode, canDecode: role != identifier.RolePrefill}
		if s.canPrefill {
			s.prefill = e.Prefill(now, q.Prompt, q.Prefix, short)
		}
		if s.canDecode {
			s.decode = e.Decode()
			s.freeSlots = r.freeSlots(q, e, s.decode.Batch)
			s.longDecode = s.decode.Duration(q.LongOutput) * (1 + r.settings.SafetyMargin)
		}
		r.scores = append(r.scores, s)
	}
}

// freeSlots returns how many more sequences fit into an engine's batch. A share of the batch is reserved for short
// answers, which have less time to wait for a slot.
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

// computeCosts sets each engine's cost in seconds for the prefill and for the decode. An engine on which the decode
// would miss the deadline even after the fastest prefill is penalised.
func (r *Router) computeCosts(now time.Time, q Request) {
	remaining := q.Deadline.Sub(now).Seconds()
	leastFirstToken, leastDecode := math.Inf(1), math.Inf(1)
	for i := range r.scores {
		s := &r.scores[i]
		if s.canPrefill {
			leastFirstToken = min(leastFirstToken, s.prefill.TimeToFirstToken())
		}
		if s.canDecode {
			leastDecode = min(leastDecode, s.longDecode)
		}
	}
	instances := max(1, q.Instances)
	waitWeight := r.settings.NonUrgentWaitWeight
	if q.Urgent {
		waitWeight = 1
	}
	for i := range r.scores {
		s := &r.scores[i]
		s.prefillCost = s.prefill.TimeToFirstToken()*max(waitWeight, r.settings.MinFirstTokenWeight) + s.prefill.EngineTime
		s.prefillCost += s.prefill.Duration * float64(s.engine.Decoding()) *
			r.interferenceCost(s.engine.Pressure(q.MaxTokenInterval))
		s.prefillCost += s.prefill.Duration * float64(s.engine.LatencySensitive()) * instances *
			r.settings.UrgentInterferenceWeight
		if r.IsShortPrompt(q.Prompt) {
			s.prefillCost += s.prefill.EngineTime * s.prefill.Queue * r.settings.QueueDelayWeight
		}
		s.slack = remaining - leastDecode - s.prefill.TimeToFirstToken()
		s.decodeCost = float64(q.Output)*
			(s.decode.EngineTimePerToken+waitWeight*r.settings.TokenIntervalWeight*s.decode.Interval) +
			waitWeight*s.decode.Wait
		s.decodeCost += r.latenessCost(leastFirstToken + s.longDecode - remaining)
		if s.freeSlots <= 0 {
			s.decodeCost += r.settings.OverflowPenalty * float64(1-s.freeSlots)
		}
		if s.engine.DataCentre != r.local {
			s.prefillCost += r.settings.RemoteCost.Seconds()
			s.decodeCost += r.settings.RemoteCost.Seconds()
		}
	}
}

// interferenceCost returns the cost of a second of prefill per sequence that decodes on the same engine. It is near
// zero while those sequences have slack and rises as they approach their deadlines.
func (r *Router) interferenceCost(pressure float64) float64 {
	scaled := (pressure - r.settings.LowPressure) / (1 - r.settings.LowPressure)
	return r.settings.InterferenceWeight * min(max(scaled, r.settings.MinInterference), r.settings.MaxInterference)
}

// latenessCost returns the cost of missing the deadline by the given seconds, zero if it is met.
func (r *Router) latenessCost(seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return r.settings.LatePenalty + 2*seconds
}

// buildCandidates adds each engine that can serve the request alone, and the pair of the best prefill and the best
// decode engine. Requests with short answers get a pair only if no single engine can serve them.
func (r *Router) buildCandidates(now time.Time, q Request) {
	r.candidates = r.candidates[:0]
	var prefill, decode *engineScore
	for i := range r.scores {
		s := &r.scores[i]
		if s.canPrefill && (prefill == nil || s.prefillCost < prefill.prefillCost) {
			prefill = s
		}
		if s.canDecode && (decode == nil || s.decodeCost < decode.decodeCost) {
			decode = s
		}
		if s.canPrefill && s.canDecode {
			r.candidates = append(r.candidates, r.newCandidate(now, q, s, s))
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
	transfer := 0.0
	if prefill != decode {
		transfer = r.settings.KVTransferTime.Seconds()
		c.Cost += transfer
	}
	c.Finish = prefill.prefill.TimeToFirstToken() + prefill.unreportedWork + transfer + decode.decode.Duration(q.Output)
	longFinish := (prefill.prefill.TimeToFirstToken()+prefill.unreportedWork)*(1+r.settings.SafetyMargin) +
		transfer + decode.longDecode
	c.Lateness = longFinish - q.Deadline.Sub(now).Seconds()
	return c
}

// rank moves the candidates of least cost to the front and returns the choice.
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
