package gossiper

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/governor"
	"rosemaryspool.example/wire/messenger"
)

const (
	// recordOverheadBytes bounds what a record adds to a message beside its key and value.
	recordOverheadBytes = 32
	// maxUpdateBytes bounds the records of one message; the rest of a datagram is for its sender and the view.
	maxUpdateBytes = courier.MaxDatagramBytes - 300
	// maxFragments bounds the datagrams that one record takes in a view that is forwarded. A larger record is read from the
	// store by each instance.
	maxFragments = 64
	// maxSnapshotFragments is the same for a snapshot, whose receiver may not reach the store.
	maxSnapshotFragments = 1024
	// maxBurstBytes bounds what a forwarded view sends at once, and burstPause is the time between two bursts: a queue on
	// the way drops what doesn't fit into it, which is always the end of a view.
	maxBurstBytes = 32 << 10
	burstPause    = 10 * time.Millisecond
)

// View is a state of a topic of the store with its newest records.
type View struct {
	pacer.View
	// PreviousReadAt is the time of the read before that of the records: what was known then is known with the first of them.
	PreviousReadAt time.Time
	// Sender is the instance that forwarded the view; empty for this instance's own.
	Sender identifier.InstanceID
	// Records holds all relevant records from the offset RecordsFrom on and before RecordsTo.
	RecordsFrom uint64
	RecordsTo   uint64
	Records     []Record
	// Before holds the record of each key before that in Records, where it is known.
	Before map[string]Record
	// Snapshot is true if Records holds the newest record of each key.
	Snapshot bool
	// Pending is true if the sender has no view yet and sends a snapshot soon.
	Pending bool
	// OutageAge is the time since the store was last unavailable; zero when it never was.
	OutageAge time.Duration
}

// Record is a record of a topic of the store. A nil Value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
	// Sequence is that of the last report of an upstream whose record is deleted; zero if unknown.
	Sequence uint64
}

// size bounds what the record takes in a message.
func (r Record) size() int { return len(r.Key) + len(r.Value) + recordOverheadBytes }

// IsLong reports whether the record doesn't fit into a datagram.
func (r Record) IsLong() bool { return r.size() > maxUpdateBytes }

// ForwardView sends a view of the store to the neighbours, in bursts. Those that read packed records, or a long record as a
// change, get them so.
func (g *Gossiper) ForwardView(topic string, v View) {
	var packed, changed, plain []elector.Member
	started := time.Now()
	var chunks []packedChunk
	if len(v.Records) > 1 {
		chunks = pack(v.Records)
	}
	for _, m := range g.governor.Neighbours() {
		switch {
		case chunks != nil && g.courier.ReadsPacked(m.Instance):
			packed = append(packed, m)
		case len(v.Before) > 0 && g.courier.ReadsChanges(m.Instance):
			changed = append(changed, m)
		default:
			plain = append(plain, m)
		}
	}
	if len(packed) > 0 {
		g.forward(started, encodeChunks(started, topic, v, chunks), packed)
	}
	if len(changed) > 0 {
		g.forward(started, g.fragmenter.encodeView(started, topic, v), changed)
	}
	if len(plain) > 0 {
		v.Before = nil
		g.forward(started, g.fragmenter.encodeView(started, topic, v), plain)
	}
}

// forward sends the messages of a view that were encoded at a time, in bursts.
func (g *Gossiper) forward(encodedAt time.Time, updates []*messenger.StoreUpdate, to []elector.Member) {
	burst := 0
	for _, update := range updates {
		age := update.GetTopics()[0].GetAgeMs()
		update.Topics[0].AgeMs = age + identifier.Milliseconds(time.Since(encodedAt))
		for _, m := range to {
			size := proto.Size(update)
			if burst > 0 && burst+size > maxBurstBytes {
				time.Sleep(burstPause)
				burst = 0
				update.Topics[0].AgeMs = age + identifier.Milliseconds(time.Since(encodedAt))
			}
			burst += size
			g.courier.Send(m, &messenger.Datagram{Body: &messenger.Datagram_StoreUpdate{StoreUpdate: update}})
		}
	}
}

// RequestView asks another instance for the newest records of a topic, another one with each try.
func (g *Gossiper) RequestView(topic string, try int) {
	to, found := g.governor.Source(time.Now(), try)
	if !found {
		if len(g.seeds) == 0 {
			return
		}
		to = elector.Member{Address: g.seeds[try%len(g.seeds)]}
	}
	if to.Address != g.governor.Self().Address {
		g.RequestViewOf(to, topic)
	}
}

// RequestViewOf asks a certain instance for the newest records of a topic.
func (g *Gossiper) RequestViewOf(to elector.Member, topic string) {
	g.courier.Send(to, &messenger.Datagram{Body: &messenger.Datagram_StoreRequest{
		StoreRequest: &messenger.StoreRequest{Topics: []string{topic}},
	}})
}

// ReportRemoved tells an instance the upstreams whose removal is known here and which an older copy of the store lists.
func (g *Gossiper) ReportRemoved(to identifier.InstanceID, removed []governor.LeavingUpstream) {
	if m, known := g.governor.Member(to); known {
		g.courier.Send(m, &messenger.Datagram{Body: &messenger.Datagram_StoreRequest{
			StoreRequest: &messenger.StoreRequest{Removed: encodeLeaving(removed)},
		}})
	}
}

// HandleRemoved applies the upstreams whose removal another instance knows.
func (g *Gossiper) HandleRemoved(r courier.Received, request *messenger.StoreRequest) {
	g.governor.MarkRemoved(r.Sender.Instance, decodeLeaving(request.GetRemoved()))
}

// ConfigurationApplied has all further datagrams name the version of the configuration that is in force.
func (g *Gossiper) ConfigurationApplied(version uint64) { g.courier.SetConfiguration(version) }

// NameConfiguration tells an instance the version of the configuration that is in force here.
func (g *Gossiper) NameConfiguration(to elector.Member) { g.courier.Send(to, &messenger.Datagram{}) }

// HandleStoreUpdate passes the views of another instance on. One whose record is still incomplete waits for the other
// fragments.
func (g *Gossiper) HandleStoreUpdate(r courier.Received, update *messenger.StoreUpdate) {
	for _, t := range update.GetTopics() {
		err := unpack(t)
		complete := false
		if err == nil {
			g.mu.Lock()
			complete, err = g.assembler.add(r.Sender.Instance, t)
			g.mu.Unlock()
		}
		if err == nil && complete {
			err = g.restore(t)
		}
		if err != nil {
			g.log.Warn().Err(err).Str("event", "datagramUnreadable").Str("peer", string(r.Sender.Instance)).
				Msg("Skipping an invalid record of the store")
			continue
		}
		if complete {
			v := decodeView(r.At, t)
			v.Sender = r.Sender.Instance
			g.onView(t.GetTopic(), v)
		}
	}
}

// encodeView splits a view into messages that fit into a datagram, each with the records of a range of offsets. A record
// that is too large for a datagram is compressed and sent in fragments.
func (f *fragmenter) encodeView(now time.Time, topic string, v View) []*messenger.StoreUpdate {
	return encodeRanges(now, topic, v, f.splitRecords(v))
}

// encodeRanges returns the messages for the ranges of a view's records.
func encodeRanges(now time.Time, topic string, v View, ranges []*messenger.TopicView) []*messenger.StoreUpdate {
	messages := make([]*messenger.StoreUpdate, 0, len(ranges))
	for i, t := range ranges {
		t.Topic, t.Era, t.First, t.Next, t.Changed = topic, uint64(v.Era), v.First, v.Next, v.Changed
		t.Snapshot, t.Partial = v.Snapshot, v.Partial
		t.AgeMs, t.OutageAgeMs = identifier.Milliseconds(now.Sub(v.ReadAt)), identifier.Milliseconds(v.OutageAge)
		if i < len(ranges)-1 && !v.Snapshot {
			// The rest follows in the next datagram, so the receivers need not read it from the store.
			t.Next, t.Changed, t.Partial = t.RecordsTo, t.RecordsTo, true
			if !v.PreviousReadAt.IsZero() {
				// A receiver that gets no more must not take this for all that there was at the time of the read.
				t.AgeMs = identifier.Milliseconds(now.Sub(v.PreviousReadAt))
			}
		}
		messages = append(messages, &messenger.StoreUpdate{Topics: []*messenger.TopicView{t}})
	}
	return messages
}

// splitRecords returns the ranges of a view's records, one for each datagram. The fragments of a record have the same
// range. A record that takes too many of them ends the last range; the receivers then read the rest from the store.
func (f *fragmenter) splitRecords(v View) []*messenger.TopicView {
	var ranges []*messenger.TopicView
	current := &messenger.TopicView{RecordsFrom: v.RecordsFrom, RecordsTo: v.RecordsTo}
	size := 0
	// finish ends the current range before an offset.
	finish := func(to uint64) {
		if len(current.Records) > 0 {
			current.RecordsTo = to
			ranges = append(ranges, current)
			current, size = &messenger.TopicView{RecordsFrom: to, RecordsTo: v.RecordsTo}, 0
		}
	}
	for i, r := range v.Records {
		if !r.IsLong() {
			length := r.size()
			if size+length > maxUpdateBytes {
				finish(r.Offset)
			}
			current.Records = append(current.Records, &messenger.StoreRecord{
				Key: r.Key, Value: r.Value, Offset: r.Offset, Sequence: r.Sequence,
			})
			size += length
			continue
		}
		finish(r.Offset)
		fragments := f.fragment(r, v.Before)
		if len(fragments) > fragmentLimit(v) {
			current.RecordsTo = r.Offset
			break
		}
		to := v.RecordsTo
		if i < len(v.Records)-1 {
			to = v.Records[i+1].Offset
		}
		for _, part := range fragments {
			ranges = append(ranges, &messenger.TopicView{
				RecordsFrom: current.RecordsFrom, RecordsTo: to, Records: []*messenger.StoreRecord{part},
			})
		}
		current = &messenger.TopicView{RecordsFrom: to, RecordsTo: v.RecordsTo}
	}
	if len(ranges) == 0 || current.RecordsFrom < current.RecordsTo {
		ranges = append(ranges, current)
	}
	return ranges
}

// fragmentLimit returns how many datagrams a record of a view may take.
func fragmentLimit(v View) int {
	if v.Snapshot {
		return maxSnapshotFragments
	}
	return maxFragments
}

func decodeView(at time.Time, t *messenger.TopicView) View {
	v := View{
		View: pacer.View{
			Era: identifier.Era(t.GetEra()), First: t.GetFirst(), Next: t.GetNext(), Changed: t.GetChanged(),
			ReadAt: at.Add(-time.Duration(t.GetAgeMs()) * time.Millisecond), Partial: t.GetPartial(),
		},
		RecordsFrom: t.GetRecordsFrom(), RecordsTo: t.GetRecordsTo(), Snapshot: t.GetSnapshot(), Pending: t.GetPending(),
		OutageAge: time.Duration(t.GetOutageAgeMs()) * time.Millisecond,
	}
	for _, r := range t.GetRecords() {
		v.Records = append(v.Records, Record{Key: r.GetKey(), Value: r.GetValue(), Offset: r.GetOffset(), Sequence: r.GetSequence()})
	}
	return v
}
