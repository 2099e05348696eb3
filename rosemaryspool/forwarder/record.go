package forwarder

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/rosemaryspool/meter"
)

// record counts and logs the end of a request.
func (f *Forwarder) record(e *exchange, r result) {
	took := time.Since(e.started)
	metrics.GetOrRegisterCounter("requests."+r.outcome, f.registry).Inc(1)
	meter.NewHistogram("requestDurationNs."+r.outcome, f.registry).Update(took.Nanoseconds())
	if e.account != nil && e.passedOn == nil {
		f.callers.Count(e.account.ID, r.outcome)
	}
	if !f.sampler.allow(e.started, r.outcome) {
		return
	}
	line := f.log.Info().Str("event", "requestEnded").Str("request", string(e.caller.ID)).Str("outcome", r.outcome).
		Int("status", r.status).Str("cause", r.cause).Dur("tookMs", took).Uint64("version", e.version)
	if e.route != nil {
		line = line.Str("route", e.route.Name).Str("service", string(e.service)).
			Dur("callerLeftMs", e.caller.Timeout).Dur("toTargetMs", e.target.Sub(e.started)).Bool("returned", e.isRetry)
	}
	if e.account != nil {
		line = line.Str("caller", string(e.account.ID)).Int("rank", e.rank())
	}
	if r.retry > 0 {
		line = line.Dur("retryAfterMs", r.retry)
	}
	if e.startWait > 0 {
		line = line.Dur("startWaitMs", e.startWait)
	}
	if e.passedOn != nil {
		line = line.Str("passedOnBy", string(e.passedOn.instance))
	}
	if e.caller.LastEventID != "" {
		line = line.Str("resumedAfter", e.caller.LastEventID).Str("resumes", string(e.caller.Resumes))
	}
	if e.streamVersion != nil {
		line = line.Str("streamVersion", e.streamVersion.String())
	}
	if e.caller.PromptTokens > 0 {
		line = line.Int("promptTokens", int(e.caller.PromptTokens)).Int("maxOutput", int(e.caller.MaxOutput)).
			Int("expectedOutput", int(e.caller.ExpectedOutput))
	}
	if e.refusal != nil && e.sends == 0 {
		line = line.Str("best", string(e.refusal.Upstream)).Dur("predictedMs", e.refusal.Predicted)
		line = describeLoad(line, e.refusal.Ahead, e.refusal.Arbiter)
	}
	if e.sends > 0 || e.last.peer != "" {
		line = line.Int("sends", e.sends).Int("runs", e.runs)
		line = e.last.describe(line)
	}
	if len(e.trail) > 1 || (len(e.trail) == 1 && r.outcome != outcomeServed) {
		line = line.Str("trail", formatTrail(e.trail))
	}
	if r.abort && e.response != nil && !e.response.IsUnwritten() {
		line = line.Int64("writtenBytes", e.response.Bytes()).Int("writtenEvents", e.response.Events()).
			Str("lastEvent", e.response.LastEventID())
	}
	if r.outcome == outcomeFailed {
		line = line.Str("content", e.content.String()).
			Strs("sharedParts", formatShared(e.caller.Prompt))
	}
	line.Msg("Request ended")
}

// formatShared returns the hashes of a prompt's parts without the last one, which other requests don't share.
func formatShared(prompt []allocator.PromptPart) []string {
	shared := prompt[:max(0, len(prompt)-1)]
	texts := make([]string, 0, maxLoggedParts)
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		texts = append(texts, isolator.NewPartTrait(part.Hash).String())
	}
	return texts
}
