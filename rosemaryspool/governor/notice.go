package governor

import (
	"time"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
)

// Notify applies what an upstream says of itself in a response.
func (g *Governor) Notify(from tracker.Entry, n allocator.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.Leaving {
		g.markLeaving(from.Upstream, from.Incarnation, "")
	}
	if n.RetryAfter > 0 {
		g.log.Info().Str("event", "upstreamWaiting").Str("upstream", string(from.Upstream)).
			Dur("retryAfterMs", n.RetryAfter).Msg("Upstream wants no requests from this instance for a while")
	}
	if g.allocator.Notify(from, n) {
		g.logLimit(allocator.NamedLimit{Upstream: from.Upstream, Limit: n.Limit}, "")
	}
}

// markLeaving applies an upstream's own word that it leaves. sender is the instance that reported it; empty for this
// instance. The governor's mutex must be held.
func (g *Governor) markLeaving(id identifier.UpstreamID, incarnation uint64, sender identifier.InstanceID) {
	if !g.tracker.MarkLeaving(id, incarnation) {
		return
	}
	g.applyUpstreams(time.Now())
	if e, listed := g.allocator.Entry(id); listed {
		g.signalChange(e.Service)
	}
	g.log.Info().Str("event", "upstreamLeaving").Str("upstream", string(id)).Uint64("incarnation", incarnation).
		Str("sender", string(sender)).Msg("Upstream says that it leaves and gets no more requests")
}

// MarkRemoved applies the removals of upstreams that another instance knows.
func (g *Governor) MarkRemoved(sender identifier.InstanceID, removed []LeavingUpstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range removed {
		g.markRemoved(l, sender)
	}
}

// CopiedRemoved returns the upstreams whose removal is known here and which an older copy of the store lists.
func (g *Governor) CopiedRemoved() []LeavingUpstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	var removed []LeavingUpstream
	for _, e := range g.tracker.CopiedRemoved() {
		if len(removed) < MaxReportedLeaving {
			removed = append(removed, LeavingUpstream{Upstream: e.Upstream, Incarnation: e.Incarnation})
		}
	}
	return removed
}

// CopyEndsBefore records that the older copy of the store ends before an offset.
func (g *Governor) CopyEndsBefore(offset uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.CopyEndsBefore(offset)
}

// markRemoved applies an upstream's removal that another instance knows. The governor's mutex must be held.
func (g *Governor) markRemoved(l LeavingUpstream, sender identifier.InstanceID) {
	if !g.tracker.MarkRemoved(l.Upstream, l.Incarnation, l.Sequence) {
		return
	}
	g.applyUpstreams(time.Now())
	g.log.Info().Str("event", "upstreamRemoved").Str("upstream", string(l.Upstream)).Uint64("incarnation", l.Incarnation).
		Str("sender", string(sender)).
		Msg("Another instance knows the removal of an upstream that an older copy of the store or a late report lists")
}

// logLimit logs a change of an upstream's rate limit. sender is the instance that reported it; empty for this instance.
func (g *Governor) logLimit(n allocator.NamedLimit, sender identifier.InstanceID) {
	if !n.Limit.Limited {
		g.log.Info().Str("event", "upstreamUnlimited").Str("upstream", string(n.Upstream)).Str("sender", string(sender)).
			Msg("Upstream no longer names a rate limit")
		return
	}
	g.log.Info().Str("event", "upstreamLimited").Str("upstream", string(n.Upstream)).Str("sender", string(sender)).
		Float64("perSecond", n.Limit.PerSecond).Dur("ageMs", time.Since(n.Limit.NamedAt)).
		Msg("Upstream names a rate limit")
}

// NoticeLeaving records that an upstream has said that it leaves, in a response by way of another instance.
func (g *Governor) NoticeLeaving(e tracker.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markLeaving(e.Upstream, e.Incarnation, "")
}
