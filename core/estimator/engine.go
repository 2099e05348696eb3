package estimator

import (
	"math"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Engine is one instance's knowledge of one engine.
type Engine struct {
	ID         identifier.UpstreamID
	DataCentre identifier.DataCentre
	Models     []identifier.ModelName
	// Listed is true while the instance list names the engine as leaving.
	ListedLeaving bool
	// Drained is true while a planned change keeps new work away from the engine.
	Drained bool

	settings   *Settings
	load       Load
	reported      bool
	measuredAt time.Time
	// before is the own work at the time of the measurement.
	ownAtReport      ownWork
	others      ownWork
	lowSlack       int
	own         ownWork
	ownHistory        history
	cache       *prefixCache
	prefillRate Rate
	decodeStep        Line
	slowdowns        slowdowns
	// busy is the smoothed share of time in which the engine runs prefill.
	prefillShare     float64
	periodicReports int
	// quiet counts the reports in a row without prefill; negative ones were with it.
	noPrefillStreak int
	// stretch is the smoothed ratio of the reported decode step to one without prefill beside it.
	stepRatio   Rate
	stepRatioAt time.Time
	// chunk learns how many seconds a decode step lasts longer beside prefill.
	chunkTime       Rate
	lag         lagLearner
	lowSequence uint64
	lowSequences   int
}

// NewEngine returns an engine about which nothing is known yet.
func NewEngine(id identifier.UpstreamID, settings *Settings) *Engine {
	return &Engine{ID: id, settings: settings, cache: newPrefixCache(), slowdowns: newSlowdowns()}
}

// Serves tells whether the engine runs the model, by its own report when there is one.
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

// Away tells whether the engine takes no new work by itself: it is leaving or an order keeps it busy.
func (e *Engine) Unavailable() bool { return e.ListedLeaving || e.Drained || e.load.Leaving || e.load.Changing }

// Role returns the reported role; an engine that has not reported yet counts as mixed.
func (e *Engine) Role() identifier.Role {
	if e.load.Role == "" {
		return identifier.RoleMixed
	}
	return e.load.Role
}

// Load returns the newest report.
func (e *Engine) Load() Load { return e.load }

// Known tells whether the engine has ever reported.
func (e *Engine) Reported() bool { return e.reported }

// Age returns how old the newest report is; an engine that never reported has a very old one.
func (e *Engine) Age(now time.Time) time.Duration {
	if !e.reported {
		return time.Hour
	}
	return now.Sub(e.measuredAt)
}

// AgeSeconds returns the age of the newest report in seconds.
func (e *Engine) AgeSeconds(now time.Time) float64 { return e.Age(now).Seconds() }

// Observe takes a report. A fresh one came with an answer and is as good as measured now; any other one is late by a
// time that is learned from its place among the fresh ones.
func (e *Engine) Observe(now time.Time, load Load, fresh bool) {
	measured := now
	if !fresh {
		measured = e.lag.measuredAt(now, load.Sequence, e.settings.ReportLag)
		e.observePrefillShare(load)
	} else {
		e.lag.recordFresh(now, load.Sequence)
	}
	if e.reported && !e.isNewer(load) {
		return
	}
	e.replaceLoad(load, measured)
	e.learnRates()
}

// newer tells whether a report is newer than the known one. The sequence of a restarted engine begins again; it is
// taken once several reports in a row rise below the known sequence and nothing above it comes.
func (e *Engine) isNewer(load Load) bool {
	const restartReports = 6
	if load.Sequence > e.load.Sequence {
		e.lowSequences = 0
		return true
	}
	if load.Sequence <= e.lowSequence {
		e.lowSequences = 0
	}
	e.lowSequence = load.Sequence
	e.lowSequences++
	if e.lowSequences < restartReports {
		return false
	}
	e.lowSequences = 0
	e.lag = lagLearner{lag: e.lag.lag}
	return true
}

// take replaces the known state by a report.
func (e *Engine) replaceLoad(load Load, measured time.Time) {
	leaving := e.load.Leaving || load.Leaving
	changed := e.reported && (load.Role != e.load.Role || load.Model != e.load.Model)
	e.load, e.reported, e.measuredAt = load, true, measured
	e.load.Leaving = leaving
	if changed {
		e.cache.clear()
	}
	own := e.ownHistory.at(measured)
	e.ownAtReport = own
	e.others = ownWork{
		pending: max(0, float64(load.PendingOutput)-own.pending),
		active:  max(0, load.Running+load.Waiting-own.active),
	}
	decoding := load.Running
	if load.QueuedPrefill > 0 {
		decoding--
	}
	e.others.decoding = max(0, decoding-own.decoding)
}

// observeBusy follows the share of time with prefill. Only periodic reports count: answers carry reports from times
// of work and would bias the share.
func (e *Engine) observePrefillShare(load Load) {
	const share = 0.08
	busy := 0.0
	if load.QueuedPrefill > 0 {
		busy = 1
	}
	if e.periodicReports == 0 {
		e.prefillShare = busy
	}
	e.periodicReports++
	e.prefillShare += share * (busy - e.prefillShare)
}

// learn takes the rates of the newest report.
func (e *Engine) learnRates() {
	e.cache.setCapacity(e.load.CacheCapacityTokens)
	e.prefillRate.Observe(e.load.PrefillPerSecond)
	step := e.load.DecodeStep.Seconds()
	e.learnStepRatio(step)
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
	case e.noPrefillStreak <= -minStreak && e.decodeStep.Known():
		e.chunkTime.Observe(step - e.decodeStep.At(float64(e.load.Running)))
	}
}

// learnStretch follows how much longer than its batch explains a decode step takes. An engine that decodes nothing
// tells an old step; what prefill beside a decode step would cost there is reckoned from the share of busy time.
func (e *Engine) learnStepRatio(step float64) {
	if !e.decodeStep.Known() {
		return
	}
	batch := max(1, e.load.Running)
	plain := e.decodeStep.At(float64(batch))
	ratio := 1 + e.prefillShare*e.chunkTime.Value(plain)/plain
	if e.load.Running >= 2 {
		ratio = max(1, step/plain)
	}
	passed := e.measuredAt.Sub(e.stepRatioAt).Seconds()
	e.stepRatioAt = e.measuredAt
	e.stepRatio.smooth(ratio, 1-math.Exp(-max(0, passed)/e.settings.StepRatioTimeConstant.Seconds()))
}

// settledReports is the number of reports in a row with, or without, prefill after which the reported step is taken to
// be one beside prefill, or without it.
const minStreak = 3

// smooth moves the value a share of the way towards an observation that may be zero.
func (r *Rate) smooth(value, share float64) {
	r.count++
	r.value += share * (value - r.value)
}

// OwnActive returns the number of this instance's unfinished attempts at the engine.
func (e *Engine) OwnActive() int { return e.own.active }

// Active returns the number of sequences believed to be at the engine now.
func (e *Engine) Active() int { return e.others.active + e.own.active }

// Decoding returns the number of sequences believed to decode now or soon.
func (e *Engine) Decoding() int { return e.others.decoding + e.own.decoding }

// Tight returns the number of this instance's answers here that prefill beside them would soon make late.
func (e *Engine) LowSlack() int { return e.lowSlack }

// Busy returns the smoothed share of time in which the engine runs prefill.
func (e *Engine) PrefillShare() float64 { return e.prefillShare }

// queue returns the seconds of prefill that are ahead of new work as far as this instance can know: what the report
// told, with what was sent since and without what was worked off since, but never less than the own unfinished work.
// What other instances sent since is for the router to allow for.
func (e *Engine) queueTime(age, perToken float64) float64 {
	reported := float64(e.load.QueuedPrefill) + e.own.sent - e.ownAtReport.sent
	done := e.own.sent - e.own.queued - e.ownAtReport.sent + e.ownAtReport.queued
	return max(e.own.queued*perToken, reported*perToken-max(age, done*perToken))
}

// prefillPerSecond returns the learned rate.
func (e *Engine) prefillPerSecond() float64 {
	return e.prefillRate.Value(e.settings.InitialPrefillPerSecond)
}

// StepAt returns the predicted duration in seconds of a decode step of the given batch, without prefill beside it.
func (e *Engine) StepAt(batch int) float64 {
	if e.decodeStep.Known() {
		return e.decodeStep.At(float64(batch))
	}
	return e.settings.InitialDecodeStep.Seconds()
}

// Prefill predicts the prefill of a prompt that is sent now. Preferred work runs before the queue.
func (e *Engine) Prefill(now time.Time, prompt identifier.Tokens, prefix []identifier.PrefixHash, preferred bool) PrefillForecast {
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

// Pressure compares the time from token to token with the longest that the long answers here can bear; at 1 they are
// about to be late. The allowed interval is in seconds.
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

// certainty falls from 1 for a fresh report towards 0; at an age of QueueMemory it is a quarter.
func (e *Engine) confidence(age float64) float64 {
	ratio := 1 + max(0, age)/e.settings.QueueTimeConstant.Seconds()
	return 1 / (ratio * ratio)
}

// prefillSeconds returns the time of one prefill token beside a decoding batch: each chunk carries a decode step.
func (e *Engine) prefillTimePerToken(active int) float64 {
	perToken := e.slowdowns.prefill.Value(1) / e.prefillPerSecond()
	chunk := e.chunkTime.Value(0)
	if active == 0 || chunk <= 0 {
		return perToken
	}
	return perToken * (1 + e.StepAt(active)/chunk)
}

// interval returns the mean time from token to token in a batch. The reported step shows what runs beside it.
func (e *Engine) interval(batch int) float64 {
	return e.StepAt(batch) * e.stepRatio.Value(1) * e.slowdowns.decode.Value(1)
}

// batchWait returns how long new work waits for a place in a full batch.
func (e *Engine) batchWait(batch, limit int) float64 {
	pending := (e.others.pending + e.own.pending) / float64(batch)
	return float64(batch-limit) / float64(limit) * pending * e.StepAt(limit)
}

// Corrected takes the cached length that the engine itself told for a prompt that it has now prefilled.
func (e *Engine) ObserveCached(prefix []identifier.PrefixHash, cached identifier.Tokens) {
	pieces := min(len(prefix), int(cached/identifier.PieceTokens))
	e.cache.add(prefix[:pieces])
}

// LearnPrefill takes the predicted time in seconds to the first token, of which a part is unseen work of others, and the
// actual time.
func (e *Engine) LearnPrefill(f PrefillForecast, unseen, actual float64) {
	learnSlowdown(&e.slowdowns.prefill, f.TimeToFirstToken()/e.slowdowns.prefill.Value(1)+unseen, actual)
}

// LearnDecode takes the time in seconds from the first token of an answer to its last.
func (e *Engine) LearnDecode(f DecodeForecast, output identifier.Tokens, actual float64) {
	learnSlowdown(&e.slowdowns.decode, f.Duration(output)/e.slowdowns.decode.Value(1), actual)
}

// CacheChanged takes one cache event. After a gap in the sequence the belief is kept as a guess, and answers correct it.
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
