package subscriber

import (
	"math"
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/governor"
)

func (s *Subscriber) applyConfigurations(records []platform.Record, origin governor.Origin) []platform.Record {
	var accepted []platform.Record
	for _, r := range records {
		if r.Key != platform.KeyConfiguration || len(r.Value) == 0 {
			continue
		}
		started := time.Now()
		c, err := s.configurations.decode(r)
		if err != nil {
			s.log.Error().Err(err).Str("event", "configurationUnreadable").Uint64("offset", r.Offset).
				Msg("Skipping an invalid configuration; the previous one stays in force")
			continue
		}
		s.logConfiguration(c, r, origin, started)
		s.governor.SetConfiguration(c)
		s.exchange.ConfigurationApplied(s.governor.ConfigurationVersion())
		accepted = append(accepted, r)
	}
	return accepted
}

// logConfiguration logs how a configuration arrived, whose decoding has just ended.
func (s *Subscriber) logConfiguration(
	c *matcher.Configuration, r platform.Record, origin governor.Origin, started time.Time,
) {
	line := s.log.Info().Str("event", "configurationRead").Uint64("version", c.Version).Uint64("offset", r.Offset).
		Int("bytes", len(r.Value)).Str("sender", string(origin.Sender)).Bool("snapshot", origin.Snapshot).
		Dur("decodeMs", time.Since(started))
	s.mu.Lock()
	readAt := s.topicOf(platform.TopicConfiguration).pacer.View().ReadAt
	s.mu.Unlock()
	if !readAt.IsZero() {
		line = line.Dur("unreadMs", started.Sub(readAt))
	}
	line.Msg("Configuration was read")
}

// report is an upstream's record that says nothing new.
type report struct {
	entry  tracker.Entry
	offset uint64
}

// applyReports applies the upstreams' reports before an offset that said nothing new.
func (s *Subscriber) applyReports(t *tracker.Tracker, before uint64) {
	applied := 0
	for applied < len(s.reports) && s.reports[applied].offset < before {
		t.Heard(s.reports[applied].entry)
		applied++
	}
	s.reports = s.reports[applied:]
}

func (s *Subscriber) applyServers(records []platform.Record, origin governor.Origin) []platform.Record {
	now := time.Now()
	var accepted []platform.Record
	var outdated []governor.LeavingUpstream
	s.governor.UpdateUpstreams(now, origin, func(t *tracker.Tracker) bool {
		changed := false
		listed := map[identifier.UpstreamID]bool{}
		for _, r := range records {
			s.applyReports(t, r.Offset)
			id := identifier.UpstreamID(r.Key)
			if len(r.Value) == 0 {
				if platform.IsID(r.Key) {
					r.Sequence = t.LastBefore(id, r.Offset, r.Sequence)
					changed = t.Delete(now, id, r.Offset) || changed
					accepted = append(accepted, r)
				}
				continue
			}
			// An invalid entry doesn't invalidate the upstream's previous one.
			listed[id] = true
			e, err := platform.DecodeServer(r.Key, r.Value)
			if err != nil {
				s.log.Warn().Err(err).Str("event", "upstreamUnreadable").Uint64("offset", r.Offset).
					Msg("Skipping an invalid entry of an upstream")
				continue
			}
			sequence, _ := t.Sequence(id)
			stale := t.IsStale(e, r.Offset)
			changed = t.Update(e, r.Offset) || changed
			if stale {
				// Instances that start must not get it, and the upstream's next record is news.
				s.log.Info().Str("event", "upstreamRecordStale").Str("upstream", r.Key).Uint64("offset", r.Offset).
					Uint64("sequence", e.Sequence).Uint64("lastSequence", sequence).Str("sender", string(origin.Sender)).
					Msg("Skipping an entry of an upstream whose removal is known")
				outdated = append(outdated, governor.LeavingUpstream{
					Upstream: id, Incarnation: e.Incarnation, Sequence: sequence,
				})
				continue
			}
			accepted = append(accepted, r)
		}
		s.applyReports(t, math.MaxUint64)
		if origin.Snapshot {
			changed = t.Retain(now, listed, origin.FollowedTo) || changed
		}
		return changed
	})
	if origin.Sender != "" && len(outdated) > 0 {
		// The sender may not know the removal.
		s.exchange.ReportRemoved(origin.Sender, outdated[:min(len(outdated), governor.MaxReportedLeaving)])
	}
	return accepted
}

// serverChanges reports whether an upstream's record says anything new after the newest one. An unreadable record counts
// as a change, so that it is logged, and so does one of an upstream that isn't listed.
func (s *Subscriber) serverChanges(newest, next platform.Record) bool {
	if _, listed := s.governor.Entry(identifier.UpstreamID(next.Key)); !listed || len(next.Value) == 0 {
		return true
	}
	previous, err := platform.DecodeServer(newest.Key, newest.Value)
	if err != nil {
		return true
	}
	entry, err := platform.DecodeServer(next.Key, next.Value)
	if err != nil || entry.Changes(previous) {
		return true
	}
	s.reports = append(s.reports, report{entry: entry, offset: next.Offset})
	return false
}

func (s *Subscriber) applyMembers(records []platform.Record, origin governor.Origin) []platform.Record {
	var accepted []platform.Record
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		m, err := platform.DecodeMember(r.Key, r.Value)
		if err != nil {
			s.log.Warn().Err(err).Str("event", "memberUnreadable").Uint64("offset", r.Offset).
				Msg("Skipping an invalid entry of an instance")
			continue
		}
		s.governor.SetMember(time.Now(), m)
		accepted = append(accepted, r)
	}
	if origin.Snapshot {
		s.governor.MembersListed(time.Now())
	}
	return accepted
}
