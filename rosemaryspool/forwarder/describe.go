package forwarder

import (
	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
)

// describe adds the load behind the placement and the progress of the attempt to a log line.
func (a attempt) describe(line *zerolog.Event) *zerolog.Event {
	upstream := a.placement.Upstream
	if a.peer != "" {
		line = line.Str("peer", string(a.peer))
		upstream = a.entry.Upstream
	}
	line = line.Str("upstream", string(upstream)).Str("upstreamVersion", string(a.entry.Version)).
		Dur("predictedMs", a.placement.Predicted).Int("upstreamStatus", a.status)
	line = describeLoad(line, a.placement.Ahead, a.placement.Arbiter)
	if a.placement.Prefiller != "" {
		line = line.Str("reader", string(a.placement.Prefiller)).
			Int("readerAhead", int(a.placement.PrefillerAhead.QueuedPrefill)).Dur("prefillMs", a.prefillTime)
	}
	if a.placement.Tokens > 0 {
		line = line.Int("uncachedTokens", int(a.placement.Tokens))
	}
	if a.placement.Deferred {
		line = line.Bool("deferred", true)
	}
	if a.listedAfter != 0 {
		line = line.Bool("processKnown", a.known).Dur("listedAfterMs", a.listedAfter)
	}
	if !a.firstEventAt.IsZero() {
		line = line.Dur("firstMs", a.firstEventAt.Sub(a.sentAt)).Dur("longestPauseMs", a.longestPause)
	}
	if a.discarded != "" {
		line = line.Str("discarded", a.discarded)
	}
	if a.err != nil {
		line = line.AnErr("error", a.err)
	}
	return line
}

// describeLoad adds the load that a decision was based on, and the arbiter that made it.
func describeLoad(line *zerolog.Event, ahead allocator.Load, arbiter identifier.InstanceID) *zerolog.Event {
	return line.Int("aheadShort", ahead.Short).Int("aheadLong", ahead.Long).Int("aheadComing", ahead.AwaitingPrefill).
		Int("aheadReading", int(ahead.QueuedPrefill)).Str("arbiter", string(arbiter))
}
