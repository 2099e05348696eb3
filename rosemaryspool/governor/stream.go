package governor

import (
	"context"
	"slices"
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/core/tracker"
)

// StreamBegan records that the first event of a resumable stream has arrived here.
func (g *Governor) StreamBegan(now time.Time, o resumer.Origin) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumer.Began(now, o)
	g.signal()
}

// LearnStream records where streams began at other instances.
func (g *Governor) LearnStream(now time.Time, origins ...resumer.Origin) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumer.Learn(now, origins...)
}

// StreamOrigin returns where a stream began, and false if this instance doesn't know.
func (g *Governor) StreamOrigin(now time.Time, id resumer.StreamID) (resumer.Origin, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.Origin(now, id)
}

// StreamVersions returns the versions at which streams of a service began, as far as this instance knows.
func (g *Governor) StreamVersions(now time.Time, service identifier.ServiceName) resumer.Versions {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.Versions(now, service)
}

// UpstreamsKnown records that the upstreams are known as they were listed at a time.
func (g *Governor) UpstreamsKnown(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumer.Listed(at)
	g.tellListNews()
}

// ListedAt returns the time up to which the list of upstreams is known.
func (g *Governor) ListedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.ListedAt()
}

// SetListInterval sets the usual time between two reads of the list of upstreams.
func (g *Governor) SetListInterval(interval time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumer.SetListInterval(interval)
}

// KnowsProcess reports whether a process that has run at an upstream's address since a time is surely the one of its entry.
func (g *Governor) KnowsProcess(e tracker.Entry, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.Knows(time.Now(), e, since)
}

// Confirm reports whether a process is the one of its entry, as far as the list that is known can tell.
func (g *Governor) Confirm(p resumer.Process) resumer.Confirmation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.Confirm(p)
}

// listRetry is the time after which a list of upstreams that is waited for is asked for again.
const listRetry = 100 * time.Millisecond

// ReadsListAtOnce reports whether this instance has the list of upstreams read when a process is to be confirmed. In a large
// system that is left to the few that read for the others: many reads at once make the list later for all.
func (g *Governor) ReadsListAtOnce() bool { return g.Instances() <= elector.SmallSystem }

// AwaitProcess reports whether a process is the one of its entry. While the list that is known can't tell, it waits for the next
// one until ctx ends, or until the list is overdue.
func (g *Governor) AwaitProcess(ctx context.Context, p resumer.Process) bool {
	for {
		g.mu.Lock()
		confirmation, confirmableAt, overdue := g.resumer.Confirm(p), g.resumer.ConfirmableAt(p), g.resumer.IsOverdue(time.Now())
		news := g.listNews
		g.mu.Unlock()
		switch {
		case confirmation == resumer.Confirmed:
			return true
		case confirmation == resumer.Refuted || overdue:
			g.log.Info().Str("event", "processUnconfirmed").Str("upstream", string(p.Upstream)).
				Uint64("incarnation", p.Incarnation).Dur("ranMs", time.Since(p.Since)).Bool("listOverdue", overdue).
				Msg("Process at an upstream's address is another one than the listed one, or may be")
			return false
		}
		wait := time.Until(confirmableAt)
		if wait <= 0 {
			wait = listRetry
			if g.ReadsListAtOnce() {
				g.wantList()
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-news:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ListWanted receives a value when the list of upstreams should be read at once.
func (g *Governor) ListWanted() <-chan struct{} { return g.listWanted }

func (g *Governor) wantList() {
	select {
	case g.listWanted <- struct{}{}:
	default:
		// A value is pending already.
	}
}

// tellListNews wakes those that wait for the list of upstreams. The governor's mutex must be held.
func (g *Governor) tellListNews() {
	close(g.listNews)
	g.listNews = make(chan struct{})
}

// RecordRefusedConnection records that an upstream refused a connection at a time.
func (g *Governor) RecordRefusedConnection(at time.Time, e tracker.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumer.Refused(resumer.Refusal{Upstream: e.Upstream, Incarnation: e.Incarnation, At: at}) {
		g.log.Info().Str("event", "processDoubted").Str("upstream", string(e.Upstream)).
			Uint64("incarnation", e.Incarnation).Msg("Upstream refuses connections; its process may be another one from now on")
		g.signal()
	}
}

// TakeRefusals returns the refused connections that are to be reported now, and the instances that get the report.
func (g *Governor) TakeRefusals(now time.Time) ([]resumer.Refusal, []elector.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refusals := g.resumer.TakeRefusals(now)
	if len(refusals) == 0 {
		return nil, nil
	}
	return refusals, g.elector.Others()
}

// LearnRefusals records that upstreams have refused connections of another instance.
func (g *Governor) LearnRefusals(refusals []resumer.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumer.LearnRefusals(refusals...)
}

const (
	// streamKeepers is the number of instances that are told where streams of a service began, beside the one at which they
	// did. In a system with no more than elector.SmallSystem instances, all are.
	streamKeepers = 8
	// streamHeads is the number of these that tell the others also of streams that began elsewhere, so that one that has
	// started since knows those of instances that have ended.
	streamHeads = 2
)

// StreamKeepers returns the other instances that are told where streams of a service began: the arbiter and those that come
// after it. There are none while no streams are known. Those that are stopped or killed are replaced, and their next
// processes are told anew.
func (g *Governor) StreamKeepers(now time.Time, service identifier.ServiceName) []elector.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.resumer.HasStreams(service) {
		return nil
	}
	limit := streamKeepers
	if g.instances <= elector.SmallSystem {
		limit = elector.SmallSystem
	}
	keepers := g.elector.Trusted(now, ArbiterDuty(service), limit+1)
	return slices.DeleteFunc(keepers, func(m elector.Member) bool { return m.Instance == g.self.Instance })
}

// headsStreams reports whether this instance tells others also of streams that began elsewhere. The governor's mutex must be
// held.
func (g *Governor) headsStreams(now time.Time, service identifier.ServiceName) bool {
	return slices.ContainsFunc(g.elector.Trusted(now, ArbiterDuty(service), streamHeads), func(m elector.Member) bool {
		return m.Instance == g.self.Instance
	})
}

func recipientOf(m elector.Member) resumer.Recipient {
	return resumer.Recipient{Instance: m.Instance, StartedMs: m.StartedMs}
}

// takeStreams returns the streams of which another instance is told now. The governor's mutex must be held.
func (g *Governor) takeStreams(now time.Time, service identifier.ServiceName, to elector.Member) []resumer.Origin {
	if to.Instance == g.self.Instance || !g.resumer.HasStreams(service) {
		return nil
	}
	return g.resumer.TakeReport(now, service, recipientOf(to), g.headsStreams(now, service))
}

// TakeStreams returns the streams of which another instance is told now.
func (g *Governor) TakeStreams(now time.Time, service identifier.ServiceName, to elector.Member) []resumer.Origin {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.takeStreams(now, service, to)
}

// StreamReportDue reports whether there are streams to tell another instance of.
func (g *Governor) StreamReportDue(now time.Time, service identifier.ServiceName, to elector.Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumer.ReportDue(now, service, recipientOf(to), g.headsStreams(now, service))
}

// HoldersOfStreams returns all other instances, those that are stopping included: they know their streams until they have ended.
func (g *Governor) HoldersOfStreams() []elector.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.All()
}
