package gossiper

import (
	"math/rand/v2"
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/wire/messenger"
)

const (
	// crashSyncInterval is the time between two digests of all that is known of crashes, each to one other instance, and
	// the least time between two transfers.
	crashSyncInterval = time.Second
	// maxTransferParts bounds the datagrams of a transfer; the oldest crashes are left out.
	maxTransferParts = 16
	// maxCrashDatagrams bounds the datagrams about crashes that this instance sends in a second. The rest is dropped:
	// repeats and transfers make up for it.
	maxCrashDatagrams = 8192
)

// crashQuota counts the datagrams about crashes in the current second.
type crashQuota struct {
	second time.Time
	sent   int
}

// take reports whether another datagram may be sent.
func (q *crashQuota) take(now time.Time) bool {
	if now.Sub(q.second) >= time.Second {
		q.second, q.sent = now, 0
	}
	q.sent++
	return q.sent <= maxCrashDatagrams
}

// sendCrashReports sends what this instance has seen of crashes to all others, the answers that another one lacks to that
// one, and a digest of all that it knows to one of them.
func (g *Gossiper) sendCrashReports(now time.Time) {
	report, others := g.governor.TakeCrashReport(now)
	for _, part := range report.Parts() {
		m := encodeCrashReport(now, part)
		for _, other := range others {
			g.sendCrashReport(now, other, m)
		}
	}
	if refusals, others := g.governor.TakeRefusals(now); len(refusals) > 0 {
		m := &messenger.CrashReport{Refusals: encodeRefusals(now, refusals)}
		for _, other := range others {
			g.sendCrashReport(now, other, m)
		}
	}
	if reply, to, due := g.governor.TakeCrashReply(now); due {
		for _, part := range reply.Parts() {
			g.sendCrashReport(now, to, encodeCrashReport(now, part))
		}
	}
	if now.Sub(g.crashesSyncedAt) < crashSyncInterval {
		return
	}
	g.crashesSyncedAt = now
	if others := g.governor.Others(); len(others) > 0 {
		digest := g.governor.CrashDigest(now)
		g.sendCrashReport(now, others[rand.IntN(len(others))], &messenger.CrashReport{Digest: &digest})
	}
}

// SendCrashKnowledge sends all that this instance knows of crashes to another one.
func (g *Gossiper) SendCrashKnowledge(to elector.Member) {
	now := time.Now()
	parts := g.governor.CrashKnowledge(now).Parts()
	for _, part := range parts[:min(len(parts), maxTransferParts)] {
		g.sendCrashReport(now, to, encodeCrashReport(now, part))
	}
}

func (g *Gossiper) sendCrashReport(now time.Time, to elector.Member, m *messenger.CrashReport) {
	g.mu.Lock()
	allowed := g.crashQuota.take(now)
	g.mu.Unlock()
	if !allowed {
		g.crashesDropped.Inc(1)
		return
	}
	g.courier.Send(to, &messenger.Datagram{Body: &messenger.Datagram_CrashReport{CrashReport: m}})
}

// HandleCrashReport applies what another instance knows of crashes. If the digests differ, each of the two sends the other
// one all that it knows.
func (g *Gossiper) HandleCrashReport(r courier.Received, m *messenger.CrashReport) {
	if len(m.GetRefusals()) > 0 {
		g.governor.LearnRefusals(decodeRefusals(r.At, m.GetRefusals()))
		return
	}
	g.governor.ApplyCrashReport(r.At, r.Sender.Instance, decodeCrashReport(r.At, m))
	if m.Digest == nil {
		return
	}
	digest := g.governor.CrashDigest(r.At)
	if digest == m.GetDigest() || !g.mayTransfer(r.At) {
		return
	}
	if !m.GetDigestReply() {
		g.sendCrashReport(r.At, r.Sender, &messenger.CrashReport{Digest: &digest, DigestReply: true})
	}
	g.SendCrashKnowledge(r.Sender)
}

// mayTransfer reports whether the last transfer was long enough ago, and counts another one.
func (g *Gossiper) mayTransfer(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.crashesSentAt) < crashSyncInterval {
		return false
	}
	g.crashesSentAt = now
	return true
}

// encodeCrashReport returns the message for a part of a report.
func encodeCrashReport(now time.Time, r isolator.Report) *messenger.CrashReport {
	m := &messenger.CrashReport{}
	for _, c := range r.Crashes {
		crash := &messenger.UpstreamCrash{
			Upstream: string(c.Process.Upstream), Incarnation: c.Process.Incarnation,
			AgeMs: identifier.Milliseconds(now.Sub(c.At)),
		}
		for _, t := range c.Traits {
			crash.Traits = append(crash.Traits, &messenger.BrokenTrait{
				Trait: uint64(t.Trait), SentAgeMs: identifier.Milliseconds(now.Sub(t.SentAt)),
			})
		}
		m.Crashes = append(m.Crashes, crash)
	}
	for _, a := range r.Answers {
		m.Answers = append(m.Answers, &messenger.AnsweredTrait{
			Trait: uint64(a.Trait), AgeMs: identifier.Milliseconds(now.Sub(a.At)),
		})
	}
	for _, q := range r.Quarantines {
		m.Quarantines = append(m.Quarantines, &messenger.QuarantinedTrait{
			Trait: uint64(q.Trait), AgeMs: identifier.Milliseconds(now.Sub(q.Since)),
			LeftMs: identifier.Milliseconds(q.Until.Sub(now)), TermMs: identifier.Milliseconds(q.Term),
		})
	}
	return m
}

func encodeRefusals(now time.Time, refusals []resumer.Refusal) []*messenger.RefusedConnection {
	encoded := make([]*messenger.RefusedConnection, 0, len(refusals))
	for _, r := range refusals {
		encoded = append(encoded, &messenger.RefusedConnection{
			Upstream: string(r.Upstream), Incarnation: r.Incarnation, AgeMs: identifier.Milliseconds(now.Sub(r.At)),
		})
	}
	return encoded
}

func decodeRefusals(at time.Time, encoded []*messenger.RefusedConnection) []resumer.Refusal {
	refusals := make([]resumer.Refusal, 0, len(encoded))
	for _, m := range encoded {
		refusals = append(refusals, resumer.Refusal{
			Upstream: identifier.UpstreamID(m.GetUpstream()), Incarnation: m.GetIncarnation(),
			At: at.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		})
	}
	return refusals
}

func decodeCrashReport(at time.Time, m *messenger.CrashReport) isolator.Report {
	ago := func(ms uint32) time.Time { return at.Add(-time.Duration(ms) * time.Millisecond) }
	var r isolator.Report
	for _, c := range m.GetCrashes() {
		crash := isolator.Crash{
			Process: isolator.Process{Upstream: identifier.UpstreamID(c.GetUpstream()), Incarnation: c.GetIncarnation()},
			At:      ago(c.GetAgeMs()),
		}
		for _, t := range c.GetTraits() {
			crash.Traits = append(crash.Traits, isolator.BrokenTrait{
				Trait: isolator.Trait(t.GetTrait()), SentAt: ago(t.GetSentAgeMs()),
			})
		}
		r.Crashes = append(r.Crashes, crash)
	}
	for _, a := range m.GetAnswers() {
		r.Answers = append(r.Answers, isolator.Answer{Trait: isolator.Trait(a.GetTrait()), At: ago(a.GetAgeMs())})
	}
	for _, q := range m.GetQuarantines() {
		r.Quarantines = append(r.Quarantines, isolator.Quarantine{
			Trait: isolator.Trait(q.GetTrait()), Since: ago(q.GetAgeMs()),
			Until: at.Add(time.Duration(q.GetLeftMs()) * time.Millisecond),
			Term:  time.Duration(q.GetTermMs()) * time.Millisecond,
		})
	}
	return r
}
