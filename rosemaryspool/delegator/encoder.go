package delegator

import (
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/wire/messenger"
)

func encodeRequest(
	number uint64, r allocator.Request, report *messenger.WorkReport,
) *messenger.PlacementRequest {
	m := &messenger.PlacementRequest{
		Number: number, Service: string(r.Service), Engine: r.Engine, Output: uint32(r.Output),
		ToTargetMs: int32(r.TimeToTarget.Milliseconds()), TargetMs: identifier.Milliseconds(r.Target),
		ToDeadlineMs: identifier.Milliseconds(r.TimeToDeadline), SingleUpstream: r.SingleUpstream, Resumed: r.Resumed,
		Content: uint64(r.Content),
		Prompt:  make([]*messenger.PromptPart, 0, len(r.Prompt)), WorkReport: report,
		Caller: string(r.Caller), Rank: new(uint32(max(0, r.Rank))), Returned: r.Returned, Repeatable: r.Repeatable,
	}
	for _, part := range r.Prompt {
		m.Prompt = append(m.Prompt, &messenger.PromptPart{Hash: part.Hash, Tokens: uint32(part.Tokens)})
	}
	if r.Version != nil {
		m.Version = (*string)(r.Version)
	}
	for _, id := range r.Excluded {
		m.Excluded = append(m.Excluded, string(id))
	}
	return m
}

func decodeRequest(m *messenger.PlacementRequest) allocator.Request {
	r := allocator.Request{
		Service: identifier.ServiceName(m.GetService()), Engine: m.GetEngine(), Output: identifier.Tokens(m.GetOutput()),
		TimeToTarget:   time.Duration(m.GetToTargetMs()) * time.Millisecond,
		Target:         time.Duration(m.GetTargetMs()) * time.Millisecond,
		TimeToDeadline: time.Duration(m.GetToDeadlineMs()) * time.Millisecond,
		SingleUpstream: m.GetSingleUpstream(), Resumed: m.GetResumed(), Content: isolator.Trait(m.GetContent()),
		Caller: identifier.CallerID(m.GetCaller()), Rank: int(m.GetRank()), Returned: m.GetReturned(), Repeatable: m.GetRepeatable(),
	}
	if m.Version != nil {
		r.Version = (*identifier.SoftwareVersion)(m.Version)
	}
	for _, part := range m.GetPrompt() {
		r.Prompt = append(r.Prompt, allocator.PromptPart{Hash: part.GetHash(), Tokens: identifier.Tokens(part.GetTokens())})
	}
	for _, id := range m.GetExcluded() {
		r.Excluded = append(r.Excluded, identifier.UpstreamID(id))
	}
	return r
}

func encodeReply(number uint64, p allocator.Placement, refusal *allocator.Refusal) *messenger.PlacementReply {
	if refusal != nil {
		return &messenger.PlacementReply{
			Number: number, Refusal: string(refusal.Reason), RetryAfterMs: identifier.Milliseconds(refusal.RetryAfter),
			PredictedUs: uint32(refusal.Predicted.Microseconds()), Ahead: gossiper.EncodeLoad(refusal.Upstream, refusal.Ahead),
		}
	}
	return &messenger.PlacementReply{
		Number: number, Upstream: string(p.Upstream), Prefiller: string(p.Prefiller),
		PredictedUs: uint32(p.Predicted.Microseconds()), Tokens: uint32(p.Tokens), Long: p.Long, Deferred: p.Deferred,
		Ahead: gossiper.EncodeLoad("", p.Ahead), PrefillerAhead: gossiper.EncodeLoad("", p.PrefillerAhead),
		Urgency: encodeUrgency(p),
	}
}

// decodeReply returns the placement or the refusal in an arbiter's reply.
func decodeReply(
	m *messenger.PlacementReply, arbiter identifier.InstanceID,
) (allocator.Placement, *allocator.Refusal) {
	predicted := time.Duration(m.GetPredictedUs()) * time.Microsecond
	if m.GetUpstream() == "" {
		return allocator.Placement{}, &allocator.Refusal{
			Reason: allocator.Reason(m.GetRefusal()), RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
			Predicted: predicted, Upstream: identifier.UpstreamID(m.GetAhead().GetUpstream()),
			Ahead: gossiper.DecodeLoad(m.GetAhead()), Arbiter: arbiter,
		}
	}
	p := allocator.Placement{
		Upstream: identifier.UpstreamID(m.GetUpstream()), Prefiller: identifier.UpstreamID(m.GetPrefiller()),
		Predicted: predicted, Tokens: identifier.Tokens(m.GetTokens()), Long: m.GetLong(),
		Deferred: m.GetDeferred(),
		Ahead:    gossiper.DecodeLoad(m.GetAhead()), PrefillerAhead: gossiper.DecodeLoad(m.GetPrefillerAhead()),
		Arbiter: arbiter,
	}
	if u := m.GetUrgency(); u != nil {
		p.Level, p.Reordered = allocator.NewLevel(int(u.GetLevel())), u.GetReordered()
	}
	return p, nil
}

// encodeUrgency returns the urgency of a placement; nil if its request has no account.
func encodeUrgency(p allocator.Placement) *messenger.Urgency {
	if p.Level == 0 {
		return nil
	}
	return &messenger.Urgency{Level: uint32(p.Level), Reordered: p.Reordered}
}

func encodeTimings(t allocator.Timings) *messenger.ServiceTimings {
	return &messenger.ServiceTimings{
		FirstEventUs: uint32(t.FirstEvent.Microseconds()), SlotHoldUs: uint32(t.SlotHold.Microseconds()),
		PrefillBaseUs: uint32(t.Prefill.Base.Microseconds()), PrefillTokenNs: uint32(t.Prefill.PerToken),
		MixedPrefillBaseUs:  uint32(t.MixedPrefill.Base.Microseconds()),
		MixedPrefillTokenNs: uint32(t.MixedPrefill.PerToken),
	}
}

func decodeTimings(m *messenger.ServiceTimings) allocator.Timings {
	micros := func(us uint32) time.Duration { return time.Duration(us) * time.Microsecond }
	return allocator.Timings{
		FirstEvent: micros(m.GetFirstEventUs()), SlotHold: micros(m.GetSlotHoldUs()),
		Prefill: allocator.PrefillTime{
			Base: micros(m.GetPrefillBaseUs()), PerToken: time.Duration(m.GetPrefillTokenNs()),
		},
		MixedPrefill: allocator.PrefillTime{
			Base: micros(m.GetMixedPrefillBaseUs()), PerToken: time.Duration(m.GetMixedPrefillTokenNs()),
		},
	}
}
