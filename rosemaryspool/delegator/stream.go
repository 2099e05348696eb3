package delegator

import (
	"context"
	"time"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/resumer"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/rosemaryspool/gossiper"
	"rosemaryspool.example/wire/messenger"
)

// maxVersions bounds the versions in a reply. Two are enough to show that there are several.
const maxVersions = 4

// streamReply is what another instance knows of a stream's origin.
type streamReply struct {
	origin resumer.Origin
	known  bool
	// versions are those at which the streams of the service began.
	versions resumer.Versions
}

// StreamOrigin returns where a stream began that a caller resumes. If this instance doesn't know, it asks the arbiters of the
// service, which get reports of all its streams, and then all instances: the one at which the stream began knows. If nobody
// does, it returns false and the versions at which streams of the service began, as far as all that have answered know.
func (d *Delegator) StreamOrigin(
	ctx context.Context, service identifier.ServiceName, id resumer.StreamID,
) (resumer.Origin, resumer.Versions, bool) {
	if o, known := d.governor.StreamOrigin(time.Now(), id); known {
		return o, resumer.Versions{}, true
	}
	others := d.governor.HoldersOfStreams()
	versions, answered := d.governor.StreamVersions(time.Now(), service), len(others) == 0
	replies := 0
	for _, asked := range [][]elector.Member{d.governor.Arbiters(time.Now(), service, maxArbiters), others} {
		for _, reply := range d.queryOrigin(ctx, asked, service, id) {
			if reply.known {
				d.governor.LearnStream(time.Now(), reply.origin)
				return reply.origin, resumer.Versions{}, true
			}
			versions, answered = versions.Add(reply.versions), true
			replies++
		}
	}
	d.log.Info().Str("event", "streamOriginUnknown").Str("service", string(service)).Uint64("stream", uint64(id)).
		Int("instances", len(others)).Int("replies", replies).Int("versions", len(versions.Names)).
		Bool("versionsComplete", versions.Complete).Msg("No instance that has answered knows where a stream began")
	// An instance that nobody answers may have missed upstreams at which streams have begun since.
	versions.Complete = versions.Complete && answered
	return resumer.Origin{}, versions, false
}

// queryOrigin asks some instances for the origin of a stream. It returns the replies up to the first that knows it.
func (d *Delegator) queryOrigin(
	ctx context.Context, asked []elector.Member, service identifier.ServiceName, id resumer.StreamID,
) []streamReply {
	replies := make(chan streamReply, len(asked))
	d.mu.Lock()
	number := d.nextQuery
	d.nextQuery++
	d.queries[number] = replies
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.queries, number)
		d.mu.Unlock()
	}()
	open := 0
	for _, m := range asked {
		if m.Instance == d.governor.Self().Instance {
			continue
		}
		open++
		d.courier.Send(m, &messenger.Datagram{Body: &messenger.Datagram_StreamQuery{StreamQuery: &messenger.StreamQuery{
			Number: number, Stream: uint64(id), Service: string(service),
		}}})
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	var received []streamReply
	for ; open > 0; open-- {
		select {
		case reply := <-replies:
			received = append(received, reply)
			if reply.known {
				return received
			}
		case <-timer.C:
			return received
		case <-ctx.Done():
			return received
		}
	}
	return received
}

// HandleStreamQuery replies with what this instance knows of a stream's origin.
func (d *Delegator) HandleStreamQuery(r courier.Received, m *messenger.StreamQuery) {
	reply := &messenger.StreamReply{Number: m.GetNumber()}
	if o, known := d.governor.StreamOrigin(r.At, resumer.StreamID(m.GetStream())); known {
		reply.Origin = gossiper.EncodeOrigin(r.At, o)
	}
	versions := d.governor.StreamVersions(r.At, identifier.ServiceName(m.GetService()))
	for _, name := range versions.Names[:min(len(versions.Names), maxVersions)] {
		reply.Versions = append(reply.Versions, string(name))
	}
	reply.VersionsComplete = versions.Complete
	d.courier.Send(r.Sender, &messenger.Datagram{Body: &messenger.Datagram_StreamReply{StreamReply: reply}})
}

// HandleStreamReply passes another instance's reply to the query that waits for it.
func (d *Delegator) HandleStreamReply(r courier.Received, m *messenger.StreamReply) {
	reply := streamReply{known: m.GetOrigin() != nil, versions: resumer.Versions{Complete: m.GetVersionsComplete()}}
	for _, name := range m.GetVersions() {
		reply.versions.Names = append(reply.versions.Names, identifier.SoftwareVersion(name))
	}
	if reply.known {
		reply.origin = gossiper.DecodeOrigin(r.At, m.GetOrigin())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.queries[m.GetNumber()] <- reply:
	default:
		d.logUnmatched(r, "stream", m.GetNumber())
	}
}
