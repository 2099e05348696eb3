package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/wire/messenger"
)

const (
	// crashSyncInterval is the time between two transfers of all that is known of crashes to one other instance, which may
	// have been cut off.
	crashSyncInterval = time.Second
	// maxListedPerDatagram bounds the answers and the quarantines in a datagram, maxTraitsPerDatagram the traits of a crash.
	maxListedPerDatagram = 20
	maxTraitsPerDatagram = 64
)

// sendCrashReports sends what this instance has seen of crashes to all others, and all that it knows to one of them.
func (g *Gossiper) sendCrashReports(now time.Time) {
	report, others := g.governor.TakeCrashReport(now)
	for _, m := range encodeCrashReport(now, report) {
		for _, other := range others {
			g.sendCrashReport(other, m)
		}
	}
	if now.Sub(g.crashesSyncedAt) < crashSyncInterval {
		return
	}
	g.crashesSyncedAt = now
	if others := g.governor.Others(); len(others) > 0 {
		g.SendCrashKnowledge(others[rand.IntN(len(others))])
	}
}

// SendCrashKnowledge sends all that this instance knows of crashes to another one.
func (g *Gossiper) SendCrashKnowledge(to elector.Member) {
	now := time.Now()
	for _, m := range encodeCrashReport(now, g.governor.CrashKnowledge(now)) {
		g.sendCrashReport(to, m)
	}
}

func (g *Gossiper) sendCrashReport(to elector.Member, m *messenger.CrashReport) {
	g.courier.Send(to, &messenger.Datagram{Body: &messenger.Datagram_CrashReport{CrashReport: m}})
}

// HandleCrashReport applies what another instance knows of crashes.
func (g *Gossiper) HandleCrashReport(r courier.Received, m *messenger.CrashReport) {
	g.governor.ApplyCrashReport(r.At, r.Sender.Instance, decodeCrashReport(r.At, m))
}

// encodeCrashReport splits a report into messages that fit into a datagram: some for each crash, and some for the rest.
func encodeCrashReport(now time.Time, r isolator.Report) []*messenger.CrashReport {
	var messages []*messenger.CrashReport
	for _, c := range r.Crashes {
		for traits := range slices.Chunk(c.Traits, maxTraitsPerDatagram) {
			m := &messenger.UpstreamCrash{
				Upstream: string(c.Process.Upstream), Incarnation: c.Process.Incarnation,
				AgeMs: identifier.Milliseconds(now.Sub(c.At)),
			}
			for _, t := range traits {
				m.Traits = append(m.Traits, &messenger.BrokenTrait{
					Trait: uint64(t.Trait), SentAgeMs: identifier.Milliseconds(now.Sub(t.SentAt)),
				})
			}
			messages = append(messages, &messenger.CrashReport{Crashes: []*messenger.UpstreamCrash{m}})
		}
	}
	for len(r.Answers) > 0 || len(r.Quarantines) > 0 {
		m := &messenger.CrashReport{}
		answers, quarantines := min(len(r.Answers), maxListedPerDatagram), min(len(r.Quarantines), maxListedPerDatagram)
		for _, a := range r.Answers[:answers] {
			m.Answers = append(m.Answers, &messenger.AnsweredTrait{
				Trait: uint64(a.Trait), AgeMs: identifier.Milliseconds(now.Sub(a.At)),
			})
		}
		for _, q := range r.Quarantines[:quarantines] {
			m.Quarantines = append(m.Quarantines, &messenger.QuarantinedTrait{
				Trait: uint64(q.Trait), AgeMs: identifier.Milliseconds(now.Sub(q.Since)),
				LeftMs: identifier.Milliseconds(q.Until.Sub(now)), TermMs: identifier.Milliseconds(q.Term),
			})
		}
		r.Answers, r.Quarantines = r.Answers[answers:], r.Quarantines[quarantines:]
		messages = append(messages, m)
	}
	return messages
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
