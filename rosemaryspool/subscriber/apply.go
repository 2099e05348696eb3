package subscriber

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/rosemaryspool/governor"
)

// applyRead applies a read of the records from an offset on, and returns the view with the relevant ones. It returns false
// if the store has returned from an older copy since.
func (s *Subscriber) applyRead(t *topic, from uint64, batch platform.Batch) (v gossiper.View, current bool) {
	t.applying.Lock()
	defer t.applying.Unlock()
	s.mu.Lock()
	// Other instances may have forwarded records, or a snapshot, during the read.
	followed, _ := t.pacer.NextOffset()
	current = t.pacer.Era() == batch.Era
	readAt := t.readAt(time.Now())
	s.mu.Unlock()
	if !current {
		return gossiper.View{}, false
	}
	s.confirmRead(t, readAt)
	before := t.recordsBefore(batch.Records)
	relevant := s.applyRecords(t, batch.Records, followed, governor.Origin{FollowedTo: batch.Next})
	v = s.recordRead(t, from, batch, relevant)
	v.Before = before
	return v, true
}

// recordsBefore returns the newest record before each long one in a read, unless the neighbours apply another one in between.
// The topic's applying mutex must be held.
func (t *topic) recordsBefore(records []platform.Record) map[string]gossiper.Record {
	before := map[string]gossiper.Record{}
	for _, r := range records {
		if !gossiper.Record(r).IsLong() {
			continue
		}
		newest, known := t.newest[r.Key]
		if alone := countKey(records, r.Key) == 1; alone && known && newest.Offset < r.Offset {
			before[r.Key] = gossiper.Record(newest)
		}
	}
	return before
}

func countKey(records []platform.Record, key string) int {
	count := 0
	for _, r := range records {
		if r.Key == key {
			count++
		}
	}
	return count
}

// Newest returns the newest record of a key that this instance has applied.
func (s *Subscriber) Newest(name, key string) (gossiper.Record, bool) {
	t := s.topicOf(name)
	if t == nil {
		return gossiper.Record{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := t.newest[key]
	return gossiper.Record(r), known
}

// applyNewest applies a read of the newest record of each key. It is of no use if other instances have forwarded all that
// it contains. It returns false if the store has returned from an older copy since.
func (s *Subscriber) applyNewest(t *topic, batch platform.Batch) (v pacer.View, current bool) {
	t.applying.Lock()
	defer t.applying.Unlock()
	now := time.Now()
	s.mu.Lock()
	readAt := t.readAt(now)
	s.mu.Unlock()
	s.confirmRead(t, readAt)
	s.enterEra(t, batch.Era, now, "")
	s.mu.Lock()
	followed, synced := t.pacer.NextOffset()
	current = t.pacer.Era() == batch.Era
	s.mu.Unlock()
	if !current {
		return pacer.View{}, false
	}
	if synced && followed >= batch.Next {
		s.mu.Lock()
		defer s.mu.Unlock()
		return t.pacer.DeltaRead(readAt, batch.Next, 0, batch.Next), true
	}
	origin := governor.Origin{Snapshot: true, FollowedTo: batch.Next}
	if !synced {
		origin.ListedAt = readAt
	}
	s.applySnapshot(t, batch.Records, origin)
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.pacer.SnapshotRead(readAt, batch.Next), true
}

// enterEra makes a topic follow a later era of the store, and reports whether it is one. What is known stays in force. The
// topic's applying mutex must be held.
func (s *Subscriber) enterEra(t *topic, era identifier.Era, notBefore time.Time, sender identifier.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := t.pacer.Era()
	next, _ := t.pacer.NextOffset()
	if !t.pacer.EnterEra(era, notBefore) {
		return false
	}
	t.incoming, t.incomingTo = nil, 0
	t.requests.Completed()
	if t.cancel != nil && sender != "" {
		// The read is for an offset of the earlier era.
		t.cancel()
	}
	s.log.Warn().Str("event", "storeReturned").Str("topic", t.name).Uint64("era", uint64(era)).
		Uint64("before", uint64(before)).Uint64("followedTo", next).Str("sender", string(sender)).
		Msg("Store has returned from an older copy; following it anew")
	t.returned = true
	if t.onReturn != nil {
		t.onReturn(time.Now())
	}
	return true
}

// applyRecords applies the records from the offset followed on that say anything new, and returns the relevant ones:
// these, and the ones that are known already, from other instances or a later page of a snapshot. Those may not be known
// to the instances to which they are forwarded. The topic's applying mutex must be held, as for applySnapshot.
func (s *Subscriber) applyRecords(
	t *topic, records []platform.Record, followed uint64, origin governor.Origin,
) []platform.Record {
	var news, relevant []platform.Record
	removed := map[string]bool{}
	for _, r := range records {
		newest, known := t.newest[r.Key]
		known = known && !removed[r.Key]
		removed[r.Key] = len(r.Value) == 0
		switch {
		case r.Offset < followed, known && newest.Offset >= r.Offset:
			relevant = append(relevant, r)
		case !known || t.changes == nil || t.changes(newest, r):
			news = append(news, r)
		}
	}
	accepted := t.apply(news, origin)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range accepted {
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			continue
		}
		if t.keepsNewest == nil || !t.keepsNewest(t.newest[r.Key], r) {
			t.newest[r.Key] = r
		}
	}
	return append(relevant, accepted...)
}

// applyOutlasting applies the records of another instance's snapshot that outlast the newest ones here, wherever they are in
// the store. The topic's applying mutex must be held.
func (s *Subscriber) applyOutlasting(t *topic, records []platform.Record, origin governor.Origin) {
	if t.keepsNewest == nil {
		return
	}
	var outlasting []platform.Record
	for _, r := range records {
		if t.keepsNewest(r, t.newest[r.Key]) {
			outlasting = append(outlasting, platform.Record{Key: r.Key, Value: r.Value})
		}
	}
	accepted := t.apply(outlasting, origin)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range accepted {
		t.newest[r.Key] = r
	}
}

// applySnapshot replaces all records by the newest one of each key. An invalid one leaves that before it in place, which
// other instances get in its stead.
func (s *Subscriber) applySnapshot(t *topic, records []platform.Record, origin governor.Origin) {
	accepted := t.apply(records, origin)
	newest := make(map[string]platform.Record, len(accepted))
	for _, r := range accepted {
		newest[r.Key] = r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if _, valid := newest[r.Key]; valid {
			continue
		}
		if before, known := t.newest[r.Key]; known {
			newest[r.Key] = before
		}
	}
	for key, r := range t.newest {
		if t.keepsNewest != nil && t.keepsNewest(r, newest[key]) {
			newest[key] = platform.Record{Key: key, Value: r.Value}
		}
	}
	t.newest = newest
}

// recordRead records a read of the records from an offset on in the pacer, and returns the view of the topic with the
// relevant records.
func (s *Subscriber) recordRead(t *topic, from uint64, batch platform.Batch, relevant []platform.Record) gossiper.View {
	now := time.Now()
	changed := uint64(0)
	records := make([]gossiper.Record, 0, len(relevant))
	for _, r := range relevant {
		changed = max(changed, r.Offset+1)
		records = append(records, gossiper.Record(r))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := t.pacer.View().ReadAt
	return gossiper.View{
		View: t.pacer.DeltaRead(t.readAt(now), batch.Next, changed, batch.End), PreviousReadAt: previous,
		RecordsFrom: from, RecordsTo: batch.Next, Records: records, OutageAge: s.governor.OutageAge(now),
	}
}
