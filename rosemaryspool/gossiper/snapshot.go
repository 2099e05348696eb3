package gossiper

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/transmitter"
	"rosemaryspool.example/wire/messenger"
)

const (
	// snapshotLinkShare is the share of the link that snapshots for other instances may take.
	snapshotLinkShare = 0.5
	// usualLink is the rate of a link, in bytes per second, if the settings name none: 10 Mbit/s.
	usualLink identifier.Bytes = 1_250_000
)

// snapshotRequest is another instance's request for the newest records of a topic.
type snapshotRequest struct {
	key  transmitter.Key
	to   elector.Member
	take func() View
	// packed is true if the instance reads packed records.
	packed bool
}

// outgoing is a datagram of a snapshot on its way to an instance.
type outgoing struct {
	to      elector.Member
	update  *messenger.StoreUpdate
	takenAt time.Time
	ageMs   uint32
}

func newTransmitter(link identifier.Bytes) *transmitter.Transmitter[outgoing] {
	if link <= 0 {
		link = usualLink
	}
	return transmitter.NewTransmitter[outgoing](snapshotLinkShare * float64(link))
}

// SendSnapshot sends the newest records of a topic to an instance that has asked for them; take returns them. Snapshots are
// sent in turns, at a rate that leaves room for requests on the link; an instance that finds no place is told to ask again.
// packed is true if it reads packed records.
func (g *Gossiper) SendSnapshot(to elector.Member, topic string, packed bool, take func() View) {
	r := snapshotRequest{
		key: transmitter.Key{Receiver: to.Instance, Address: to.Address, Topic: topic}, to: to, take: take, packed: packed,
	}
	if !g.queueSnapshot(r) {
		g.snapshotsDropped.Inc(1)
		if packed {
			g.SendPending(to, topic)
		}
	}
}

// queueSnapshot returns false if there is no place for a request.
func (g *Gossiper) queueSnapshot(r snapshotRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.transmitter.UnderWay(r.key) {
		return true
	}
	waiting := 0
	for _, other := range g.snapshotRequests {
		if other.key == r.key {
			return true
		}
		if other.key.Topic == r.key.Topic {
			waiting++
		}
	}
	if waiting >= g.transmitter.Room(r.key.Topic) {
		return false
	}
	g.snapshotRequests = append(g.snapshotRequests, r)
	if !g.sendsSnapshots {
		g.sendsSnapshots = true
		go g.sendSnapshots()
	}
	return true
}

// SendPending tells an instance that has asked for a snapshot of a topic that this one is reading it, or sends it to others.
func (g *Gossiper) SendPending(to elector.Member, topic string) {
	update := &messenger.StoreUpdate{Topics: []*messenger.TopicView{{Topic: topic, Pending: true}}}
	g.courier.Send(to, &messenger.Datagram{Body: &messenger.Datagram_StoreUpdate{StoreUpdate: update}})
}

// sendSnapshots sends snapshots until none is left.
func (g *Gossiper) sendSnapshots() {
	for {
		for r, found := g.takeSnapshotRequest(); found; r, found = g.takeSnapshotRequest() {
			parts := g.encodeSnapshot(r)
			g.mu.Lock()
			g.transmitter.Add(r.key, parts)
			g.mu.Unlock()
		}
		g.mu.Lock()
		if g.transmitter.Empty() && len(g.snapshotRequests) == 0 {
			g.sendsSnapshots = false
			g.mu.Unlock()
			return
		}
		_, next, wait := g.transmitter.Next(time.Now())
		g.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
			continue
		}
		next.update.Topics[0].AgeMs = next.ageMs + identifier.Milliseconds(time.Since(next.takenAt))
		g.courier.Send(next.to, &messenger.Datagram{Body: &messenger.Datagram_StoreUpdate{StoreUpdate: next.update}})
	}
}

// takeSnapshotRequest returns the next request, without those for a snapshot that is under way.
func (g *Gossiper) takeSnapshotRequest() (snapshotRequest, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.snapshotRequests) > 0 {
		r := g.snapshotRequests[0]
		g.snapshotRequests = g.snapshotRequests[1:]
		if !g.transmitter.UnderWay(r.key) {
			return r, true
		}
	}
	return snapshotRequest{}, false
}

func (g *Gossiper) encodeSnapshot(r snapshotRequest) []transmitter.Part[outgoing] {
	now, view := time.Now(), r.take()
	var updates []*messenger.StoreUpdate
	if r.packed {
		updates = g.packer.encodeView(now, r.key.Topic, view)
	}
	if updates == nil {
		updates = g.fragmenter.encodeView(now, r.key.Topic, view)
	}
	parts := make([]transmitter.Part[outgoing], 0, len(updates))
	for _, update := range updates {
		parts = append(parts, transmitter.Part[outgoing]{
			Datagram: outgoing{to: r.to, update: update, takenAt: now, ageMs: update.GetTopics()[0].GetAgeMs()},
			Bytes:    proto.Size(update),
		})
	}
	return parts
}
