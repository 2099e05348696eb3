package subscriber

import (
	"cmp"
	"context"
	"slices"
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

const (
	// maxMembersWait is how long an instance that starts waits for the list of members before it reads the store itself.
	maxMembersWait = 400 * time.Millisecond
	// maxSnapshotWait is how long an instance that starts, or learns of a new era from another one, waits for the first part
	// of a snapshot before it reads the store itself. Instances that start together are ready for it after a few calls to the
	// store. maxTransferWait is how long it waits for all parts.
	maxSnapshotWait = 300 * time.Millisecond
	maxTransferWait = 3 * time.Second
)

// join makes this instance known to the others and reads the members. At the first start of the whole system it announces
// itself before it reads, so that of two instances that start together at least one has read the other's record. Later its
// record of an earlier process is still in the store, unless something has changed.
func (s *Subscriber) join(ctx context.Context, t *topic) {
	defer close(s.membersKnown)
	// Neighbours that have seen an earlier process leave must not pass over this one.
	defer s.exchange.Greet()
	if !s.firstStart {
		err := s.read(ctx, t)
		if err == nil && s.isAnnounced(t) {
			return
		}
		if err != nil {
			s.readFailed(t, err)
		}
	}
	s.announce(ctx)
	if err := s.read(ctx, t); err != nil {
		s.readFailed(t, err)
	}
}

// announceAgain writes this instance's member record again if the store has returned from a copy that lacks it.
func (s *Subscriber) announceAgain(ctx context.Context, t *topic) {
	s.mu.Lock()
	returned := t.returned
	t.returned = false
	s.mu.Unlock()
	if returned && t.name == platform.TopicMembers && !s.isAnnounced(t) {
		s.announce(ctx)
	}
}

// isAnnounced reports whether the store holds this instance's record, apart from the start time.
func (s *Subscriber) isAnnounced(t *topic) bool {
	self := s.governor.Self()
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, err := platform.DecodeMember(string(self.Instance), t.newest[string(self.Instance)].Value)
	stored.StartedMs = self.StartedMs
	return err == nil && stored == self
}

// announce writes this instance's member record. If the store does not accept it, the other instances learn of this one
// from its datagrams; the record is written again later.
func (s *Subscriber) announce(ctx context.Context) {
	self := s.governor.Self()
	content, err := platform.EncodeMember(self)
	if err != nil {
		s.log.Error().Err(err).Str("event", "memberUnwritable").
			Msg("Encoding the member record failed; instance is not announced")
		return
	}
	for failures := 1; ctx.Err() == nil; failures++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.store.Write(call, platform.TopicMembers, string(self.Instance), content)
		cancel()
		if err == nil {
			return
		}
		s.log.Warn().Err(err).Str("event", "storeLost").Str("topic", platform.TopicMembers).
			Msg("Announcing the instance failed")
		select {
		case <-ctx.Done():
		case <-time.After(backoff(failures, 0, false)):
		}
	}
}

// requestSnapshot asks the neighbours for the newest records of a topic, unless this instance reads the store for them.
func (s *Subscriber) requestSnapshot(ctx context.Context, t *topic) {
	select {
	case <-ctx.Done():
		return
	case <-s.membersKnown:
	case <-time.After(maxMembersWait):
	}
	started := time.Now()
	for {
		if s.governor.ReaderRank(time.Now()) == 0 {
			return
		}
		s.requestView(t)
		s.mu.Lock()
		now := time.Now()
		wait, progressed := t.requests.Wait(now), t.progressedAt
		s.mu.Unlock()
		if now.Sub(started) > maxTransferWait || now.Sub(later(started, progressed)) > maxSnapshotWait {
			return
		}
		if wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-t.wake:
			case <-time.After(wait):
			}
		}
		if s.synced(t) {
			return
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requestView asks another instance for the newest records of a topic, unless one was asked a moment ago.
func (s *Subscriber) requestView(t *topic) {
	s.mu.Lock()
	try, due := t.requests.Ask(time.Now())
	s.mu.Unlock()
	if due {
		s.exchange.RequestView(t.name, try)
	}
}

func (s *Subscriber) synced(t *topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.pacer.Synced()
}

// HandleViewRequest sends the newest records of topics to an instance that has started or lacks some; packed is true if it
// reads packed records. While this instance reads the pages of a long topic itself, the other one is asked to wait.
func (s *Subscriber) HandleViewRequest(from elector.Member, names []string, packed bool) {
	for _, t := range s.topics {
		switch {
		case !slices.Contains(names, t.name):
		case s.synced(t):
			s.exchange.SendSnapshot(from, t.name, packed, func() gossiper.View { return s.snapshot(t) })
		case packed && s.readsPages(t):
			s.exchange.SendPending(from, t.name)
		}
	}
}

// readsPages reports whether this instance is reading the pages of a snapshot of a topic.
func (s *Subscriber) readsPages(t *topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(t.pageReadAt) < callTimeout
}

// snapshot returns this instance's view of a topic with the newest record of each key. It waits until the records that the
// pacer knows are applied, or the receiver would never get them.
func (s *Subscriber) snapshot(t *topic) gossiper.View {
	t.applying.Lock()
	defer t.applying.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := gossiper.View{View: t.pacer.View(), OutageAge: s.governor.OutageAge(time.Now()), Snapshot: true}
	v.RecordsTo = v.Next
	for _, r := range t.newest {
		v.Records = append(v.Records, gossiper.Record(r))
	}
	slices.SortFunc(v.Records, func(a, b gossiper.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return v
}

// topicOf returns the followed topic of a name, nil if there is none.
func (s *Subscriber) topicOf(name string) *topic {
	if i := slices.IndexFunc(s.topics, func(t *topic) bool { return t.name == name }); i >= 0 {
		return s.topics[i]
	}
	return nil
}

// HandleView handles another instance's view of a topic and the records that it has read.
func (s *Subscriber) HandleView(name string, v gossiper.View) {
	t := s.topicOf(name)
	if t == nil {
		return
	}
	if v.Pending {
		s.snapshotProgressed(t)
		return
	}
	t.applying.Lock()
	defer t.applying.Unlock()
	defer s.noteFollowed(t)
	s.confirmRead(t, v.ReadAt)
	s.reportOutage(t, v.OutageAge)
	if s.enterEra(t, v.Era, time.Now().Add(maxSnapshotWait), v.Sender) {
		t.signal()
		if !v.Snapshot {
			s.requestView(t)
		}
	}
	s.mu.Lock()
	current := v.Era == t.pacer.Era()
	s.mu.Unlock()
	if !current {
		return
	}
	if t.name == platform.TopicServers && v.First > 0 {
		// The sender had a snapshot of this era then.
		s.governor.CopyEndsBefore(v.First)
	}
	if v.Snapshot {
		s.handleSnapshot(t, v)
	} else {
		s.handleRecords(t, v)
	}
	if t.name == platform.TopicServers {
		if removed := s.governor.CopiedRemoved(); len(removed) > 0 {
			// The sender may list them, and take what they write for nothing new.
			s.exchange.ReportRemoved(v.Sender, removed)
		}
	}
}

// reportOutage takes over when the store has returned from an outage, as another instance has found, which may have made
// more of the calls that failed. It is no outage if reads are known to have succeeded meanwhile.
func (s *Subscriber) reportOutage(t *topic, age time.Duration) {
	if age <= 0 || t.name != platform.TopicServers {
		return
	}
	returnedAt := time.Now().Add(-age)
	s.mu.Lock()
	inOutage := t.pacer.InOutage(returnedAt)
	s.mu.Unlock()
	if inOutage {
		s.governor.OutageReported(returnedAt)
	}
}

// handleRecords applies records that another instance has read. Those that are missing are read from the store, or
// requested if the other instance has not followed the topic for as long as this one.
func (s *Subscriber) handleRecords(t *topic, v gossiper.View) {
	s.mu.Lock()
	next, _ := t.pacer.NextOffset()
	applies := t.pacer.PeerRecordsReceived(v.RecordsFrom, v.RecordsTo, v.Changed)
	s.mu.Unlock()
	if applies {
		s.applyRecords(t, recordsFrom(v.Records, next), next, governor.Origin{Sender: v.Sender, FollowedTo: v.RecordsTo})
	}
	s.mu.Lock()
	t.pacer.PeerViewArrived(v.View, time.Now())
	hasGap := t.pacer.HasGapTo(v.View)
	mustRead := !hasGap && t.pacer.PeerViewReceived(v.View)
	s.mu.Unlock()
	if hasGap {
		s.requestView(t)
	}
	if mustRead {
		t.signal()
		s.endOvertakenRead(t)
	}
}

func recordsFrom(received []gossiper.Record, next uint64) []platform.Record {
	records := make([]platform.Record, 0, len(received))
	for _, r := range received {
		if r.Offset >= next {
			records = append(records, platform.Record(r))
		}
	}
	return records
}

// handleSnapshot collects the datagrams of a snapshot and applies it when it is complete. One of which a datagram is
// missing is dropped.
func (s *Subscriber) handleSnapshot(t *topic, v gossiper.View) {
	s.mu.Lock()
	if v.RecordsFrom == 0 {
		t.incoming, t.incomingTo, t.incomingOf = nil, 0, v.Sender
	}
	if v.RecordsFrom == t.incomingTo && v.Sender == t.incomingOf {
		t.incoming, t.incomingTo = append(t.incoming, recordsFrom(v.Records, 0)...), v.RecordsTo
		t.progressed(time.Now())
	}
	whole := t.incomingTo == v.Next && v.RecordsTo == v.Next
	origin := governor.Origin{Sender: v.Sender, Snapshot: true, FollowedTo: v.Next}
	if !t.pacer.Synced() && !v.Partial {
		origin.ListedAt = v.ReadAt
	}
	complete := whole && t.pacer.PeerSnapshotReceived(v.View)
	records := t.incoming
	if t.incomingTo == v.Next {
		t.requests.Completed()
	}
	s.mu.Unlock()
	switch {
	case complete:
		s.applySnapshot(t, records, origin)
		t.signal()
	case whole:
		s.applyOutlasting(t, records, origin)
	}
}

// snapshotProgressed records that another instance is about to send a snapshot.
func (s *Subscriber) snapshotProgressed(t *topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.progressed(time.Now())
}

// progressed records that a part of a snapshot, or that there is one soon, has arrived. The subscriber's mutex must be held.
func (t *topic) progressed(now time.Time) {
	t.progressedAt = now
	t.requests.Progressed(now)
}

// signal ends a wait for the topic.
func (t *topic) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
		// A wake-up is pending already.
	}
}
