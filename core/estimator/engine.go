package estimator

import (
	"math"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Engine is one instance's estimate of an engine's state, from the engine's load reports and the instance's own work.
type Engine struct {
	ID         identifier.UpstreamID
	DataCentre identifier.DataCentre
	Models     []identifier.ModelName
	// ListedLeaving is true while the instance list marks the engine as leaving.
	ListedLeaving bool
	// Drained is true while the engine gets no new work because of a planned change.
	Drained bool

	settings   *Settings
	load       Load
	reported   bool
	measuredAt time.Time
	// ownAtReport is this instance's work at the time when the newest report was measured.
	ownAtReport      unfinishedWork
	others           unfinishedWork
	latencySensitive int
	own              unfinishedWork
	ownHistory       history
	cache            *prefixCache
	prefillRate      Rate
	decodeStep       Line
	slowdowns        slowdowns
	// prefillShare is the smoothed share of time in which the engine runs prefill.
	prefillShare    float64
	periodicReports int
	// noPrefillStreak counts consecutive reports without prefill; if negative, those with prefill.
	noPrefillStreak int
	// stepRatio is the smoothed ratio of the reported decode step to one without concurrent prefill.
	stepRatio   Rate
	stepRatioAt time.Time
	// chunkTime is the time in seconds by which concurrent prefill lengthens a decode step.
	chunkTime          Rate
	lag                lagEstimator
	lastLowSequence    uint64
	lowSequenceReports int
}

// NewEngine returns the estimate of an engine that has not reported yet.
func NewEngine(id identifier.UpstreamID, settings *Settings) *Engine {
	return &Engine{ID: id, settings: settings, cache: newPrefixCache(), slowdowns: newSlowdowns()}
}

// Serves reports whether the engine runs the model. The engine's own report takes precedence over Models; an engine
// without either serves any model.
func (e *Engine) Serves(model identifier.ModelName) bool {
	if e.reported && e.load.Model != "" {
		return e.load.Model == model
	}
	for _, m := range e.Models {
		if m == model {
			return true
		}
	}
	return len(e.Models) == 0
}

// Unavailable reports whether the engine takes no new work: it is leaving, drained or changing its role or model.
func (e *Engine) Unavailable() bool {
	return e.ListedLeaving || e.Drained || e.load.Leaving || e.load.Changing
}

// Role returns the reported role, RoleMixed if there is none yet.
func (e *Engine) Role() identifier.Role {
	if e.load.Role == "" {
		return identifier.RoleMixed
	}
	return e.load.Role
}

// Load returns the newest report.
func (e *Engine) Load() Load { return e.load }

// Reported reports whether the engine has ever sent a report.
func (e *Engine) Reported() bool { return e.reported }

// Age returns the age of the newest report, an hour if there is none.
func (e *Engine) Age(now time.Time) time.Duration {
	if !e.reported {
		return time.Hour
	}
	return now.Sub(e.measuredAt)
}

// AgeSeconds returns the age of the newest report in seconds.
func (e *Engine) AgeSeconds(now time.Time) float64 { return e.Age(now).Seconds() }

// Observe processes a load report. A fresh report arrived with a response and counts as measured now. A periodic report
// is late by a lag that is estimated from its position in the sequence between fresh reports.
func (e *Engine) Observe(now time.Time, load Load, fresh bool) {
	measuredAt := now
	if !fresh {
		measuredAt = e.lag.measuredAt(now, load.Sequence, e.settings.ReportLag)
		e.observePrefillShare(load)
	} else {
		e.lag.recordFresh(now, load.Sequence)
	}
	if e.reported && !e.isNewer(load) {
		return
	}
	e.replaceLoad(load, measuredAt)
	e.updateRates()
}

// isNewer reports whether a report is newer than the current one. The sequence of a restarted engine starts over: it is
// accepted after several reports in a row whose sequences increase but stay below the current one.
func (e *Engine) isNewer(load Load) bool {
	const restartReports = 6
	if load.Sequence > e.load.Sequence {
		e.lowSequenceReports = 0
		return true
	}
	if load.Sequence <= e.lastLowSequence {
		e.lowSequenceReports = 0
	}
	e.lastLowSequence = load.Sequence
	e.lowSequenceReports++
	if e.lowSequenceReports < restartReports {
		return false
	}
	e.lowSequenceReports = 0
	e.lag = lagEstimator{lag: e.lag.lag}
	return true
}

// replaceLoad replaces the current report and derives the work of other instances, as the report less this instance's
// own work at that time.
func (e *Engine) replaceLoad(load Load, measuredAt time.Time) {
	leaving := e.load.Leaving || load.Leaving
	changed := e.reported && (load.Role != e.load.Role || load.Model != e.load.Model)
	e.load, e.reported, e.measuredAt = load, true, measuredAt
	e.load.Leaving = leaving
	if changed {
		e.cache.clear()
	}
	own := e.ownHistory.at(measuredAt)
	e.ownAtReport = own
	e.others = unfinishedWork{
		pending: max(0, float64(load.PendingOutput)-own.pending),
		active:  max(0, load.Running+load.Waiting-own.active),
	}
	decoding := load.Running
	if load.QueuedPrefill > 0 {
		decoding--
	}
	e.others.decoding = max(0, decoding-own.decoding)
}

// observePrefillShare updates the share of time with prefill. Only periodic reports count: those that arrive with
// responses are measured while the engine works and would bias the share.
func (e *Engine) observePrefillShare(load Load) {
	const smoothing = 0.08
	busy := 0.0
	if load.QueuedPrefill > 0 {
		busy = 1
	}
	if e.periodicReports == 0 {
		e.prefillShare = busy
	}
	e.periodicReports++
	e.prefillShare += smoothing * (busy - e.prefillShare)
}

// updateRates updates the estimated rates from the newest report.
func (e *Engine) updateRates() {
	e.cache.setCapacity(e.load.CacheCapacityTokens)
	e.prefillRate.Observe(e.load.PrefillPerSecond)
	step := e.load.DecodeStep.Seconds()
	e.updateStepRatio(step)
	if e.load.Running == 0 || step <= 0 {
		e.noPrefillStreak = 0
		return
	}
	if e.load.QueuedPrefill > 0 {
		e.noPrefillStreak = min(e.noPrefillStreak, 0) - 1
	} else {
		e.noPrefillStreak = max(e.noPrefillStreak, 0) + 1
	}
	switch {
	case e.noPrefillStreak >= minStreak:
		e.decodeStep.Observe(float64(e.load.Running), step)
	case e.noPrefillStreak <= -minStreak && e.decodeStep.HasObservations():
		e.chunkTime.Observe(step - e.decodeStep.At(float64(e.load.Running)))
	}
}

// updateStepRatio updates the ratio of the reported decode step to the one predicted for its batch. An engine with
// fewer than two running sequences may report an outdated step, so there the ratio is derived from the share of time
// with prefill.
func (e *Engine) updateStepRatio(step float64) {
	if !e.decodeStep.HasObservations() {
		return
	}
	batch := max(1, e.load.Running)
	expected := e.decodeStep.At(float64(batch))
	ratio := 1 + e.prefillShare*e.chunkTime.Value(expected)/expected
	if e.load.Running >= 2 {
		ratio = max(1, step/expected)
	}
	elapsed := e.measuredAt.Sub(e.stepRatioAt).Seconds()
	e.stepRatioAt = e.measuredAt
	e.stepRatio.smooth(ratio, 1-math.Exp(-max(0, elapsed)/e.settings.StepRatioTimeConstant.Seconds()))
}

// minStreak is the number of consecutive reports with, or without, prefill from which on the reported decode step is
// assumed to be one with, or without, concurrent prefill.
const minStreak = 3

// smooth moves the value towards an observation, which may be zero, by the given weight.
func (r *Rate) smooth(value, weight float64) {
	r.count++
	r.value += weight * (value - r.value)
}

// OwnActive returns the number of this instance's unfinished attempts at the engine.
func (e *Engine) OwnActive() int { return e.own.active }

// Active returns the estimated number of sequences that run or wait at the engine.
func (e *Engine) Active() int { return e.others.active + e.own.active }

// Decoding returns the estimated number of sequences that decode now or soon.
func (e *Engine) Decoding() int { return e.others.decoding + e.own.decoding }

// LatencySensitive returns the number of this instance's answers at the engine that concurrent prefill would soon make
// late.
func (e *Engine) LatencySensitive() int { return e.latencySensitive }

// PrefillShare returns the smoothed share of time in which the engine runs prefill.
func (e *Engine) PrefillShare() float64 { return e.prefillShare }

// queueTime estimates the seconds of prefill ahead of new work: the reported queue plus what this instance has sent
// since, less what was processed since, but never less than its own unfinished prefill. The router accounts for what
// other instances have sent since.
func (e *Engine) queueTime(age, perToken float64) float64 {
	reported := float64(e.load.QueuedPrefill) + e.own.sent - e.ownAtReport.sent
	done := e.own.sent - e.own.queued - e.ownAtReport.sent + e.ownAtReport.queued
	return max(e.own.queued*perToken, reported*perToken-max(age, done*perToken))
}

// prefillPerSecond returns the estimated prefill rate in tokens per second.
func (e *Engine) prefillPerSecond() float64 {
	return e.prefillRate.Value(e.settings.InitialPrefillPerSecond)
}

// StepAt returns the predicted duration in seconds of a decode step at the given batch size, without concurrent
// prefill.
func (e *Engine) StepAt(batch int) float64 {
	if e.decodeStep.HasObservations() {
		return e.decodeStep.At(float64(batch))
	}
	return e.settings.InitialDecodeStep.Seconds()
}

// Prefill predicts the prefill of a prompt that is sent now. Preferred work runs ahead of the queue.
func (e *Engine) Prefill(
	now time.Time, prompt identifier.Tokens, prefix []identifier.PrefixHash, preferred bool,
) PrefillForecast {
	f := PrefillForecast{Age: e.Age(now).Seconds()}
	f.Confidence = e.confidence(f.Age)
	f.Cached = min(e.cache.cached(prefix), prompt)
	perToken := e.prefillTimePerToken(e.Decoding())
	f.Queue = max(0, e.queueTime(f.Age, perToken))
	f.Wait = f.Queue
	if limit := e.load.MaxBatch; limit > 0 && e.Decoding() >= limit {
		f.Wait = max(f.Wait, e.batchWait(e.Decoding()+1, limit))
	}
	if preferred {
		f.Wait = min(f.Wait, float64(e.load.Waiting)*float64(prompt)*perToken)
	}
	f.Duration = float64(prompt-f.Cached) * perToken
	f.EngineTime = float64(prompt-f.Cached) / e.prefillPerSecond()
	return f
}

// Pressure returns the ratio of the time between tokens to the longest interval, in seconds, that keeps the long
// answers at the engine in time; at 1 they are about to be late.
func (e *Engine) Pressure(allowed float64) float64 {
	if allowed <= 0 {
		return 1
	}
	return e.interval(max(1, e.Decoding())) / allowed
}

// Decode predicts the decode of an answer that joins the batch now.
func (e *Engine) Decode() DecodeForecast {
	f := DecodeForecast{Batch: e.Decoding() + 1}
	batch := f.Batch
	if limit := e.load.MaxBatch; limit > 0 && batch > limit {
		f.Wait = e.batchWait(batch, limit)
		batch = limit
	}
	f.Interval = e.interval(batch)
	f.EngineTimePerToken = e.StepAt(batch) / float64(batch)
	return f
}

// confidence falls from 1 for a fresh report towards 0; at an age of QueueTimeConstant it is a quarter.
func (e *Engine) confidence(age float64) float64 {
	ratio := 1 + max(0, age)/e.settings.QueueTimeConstant.Seconds()
	return 1 / (ratio * ratio)
}

// prefillTimePerToken returns the seconds per prefilled token next to the given number of decoding sequences: each
// chunk of prefill includes a decode step.
func (e *Engine) prefillTimePerToken(decoding int) float64 {
	perToken := e.slowdowns.prefill.Value(1) / e.prefillPerSecond()
	chunk := e.chunkTime.Value(0)
	if decoding == 0 || chunk <= 0 {
		return perToken
	}
	return perToken * (1 + e.StepAt(decoding)/chunk)
}

// interval returns the mean time in seconds between tokens in a batch. The step ratio covers concurrent prefill.
func (e *Engine) interval(batch int) float64 {
	return e.StepAt(batch) * e.stepRatio.Value(1) * e.slowdowns.decode.Value(1)
}

// batchWait returns the seconds that new work waits to join a full batch.
func (e *Engine) batchWait(batch, limit int) float64 {
	pending := (e.others.pending + e.own.pending) / float64(batch)
	return float64(batch-limit) / float64(limit) * pending * e.StepAt(limit)
}

// ObserveCached updates the modelled cache with the cached length that the engine reported for a prefilled prompt.
func (e *Engine) ObserveCached(prefix []identifier.PrefixHash, cached identifier.Tokens) {
	blocks := min(len(prefix), int(cached/identifier.BlockTokens))
	e.cache.add(prefix[:blocks])
}

// ObservePrefill updates the prefill slowdown from the predicted and the actual time to the first token. unreported is
// added to the prediction for the unreported work of other instances; all are in seconds.
func (e *Engine) ObservePrefill(f PrefillForecast, unreported, actual float64) {
	updateSlowdown(&e.slowdowns.prefill, f.TimeToFirstToken()/e.slowdowns.prefill.Value(1)+unreported, actual)
}

// ObserveDecode updates the decode slowdown from a forecast and the actual time in seconds between an answer's first
// and last token.
func (e *Engine) ObserveDecode(f DecodeForecast, output identifier.Tokens, actual float64) {
	updateSlowdown(&e.slowdowns.decode, f.Duration(output)/e.slowdowns.decode.Value(1), actual)
}

// CacheChanged applies one cache event, and reports whether events before it are missing. After such a gap the modelled
// cache is kept as an approximation, which the cached lengths of later responses correct.
func (e *Engine) CacheChanged(sequence uint64, stored, evicted []identifier.PrefixHash, cleared bool) (gap bool) {
	if sequence <= e.cache.sequence {
		return false
	}
	gap = e.cache.sequence > 0 && sequence != e.cache.sequence+1
	e.cache.sequence = sequence
	if cleared {
		e.cache.clear()
	}
	e.cache.add(stored)
	e.cache.remove(evicted)
	return gap
}
