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

// streamReply is what another instance knows of a stream's origin.
type streamReply struct {
	origin resumer.Origin
	known  bool
}

// StreamOrigin returns where a stream began that a caller resumes. If this instance doesn't know, it asks the arbiters of the
// service, which get reports of all its streams, and then all instances: the one at which the stream began knows. It returns
// false if nobody does.
func (d *Delegator) StreamOrigin(
	ctx context.Context, service identifier.ServiceName, id resumer.StreamID,
) (resumer.Origin, bool) {
	if o, known := d.governor.StreamOrigin(time.Now(), id); known {
		return o, true
	}
	for _, asked := range [][]elector.Member{
		d.governor.Arbiters(time.Now(), service, maxArbiters), d.governor.Others(),
	} {
		if o, known := d.queryOrigin(ctx, asked, id); known {
			d.governor.LearnStream(time.Now(), o)
			return o, true
		}
	}
	return resumer.Origin{}, false
}

// queryOrigin asks some instances for the origin of a stream. It returns the first answer of one that knows it.
func (d *Delegator) queryOrigin(
	ctx context.Context, asked []elector.Member, id resumer.StreamID,
) (resumer.Origin, bool) {
	replies := make(chan streamReply, len(asked))
	d.mu.Lock()
	d.lastQuery++
	number := d.lastQuery
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
			Number: number, Stream: uint64(id),
		}}})
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	for open > 0 {
		select {
		case reply := <-replies:
			if reply.known {
				return reply.origin, true
			}
			open--
		case <-timer.C:
			return resumer.Origin{}, false
		case <-ctx.Done():
			return resumer.Origin{}, false
		}
	}
	return resumer.Origin{}, false
}

// HandleStreamQuery replies with what this instance knows of a stream's origin.
func (d *Delegator) HandleStreamQuery(r courier.Received, m *messenger.StreamQuery) {
	reply := &messenger.StreamReply{Number: m.GetNumber()}
	if o, known := d.governor.StreamOrigin(r.At, resumer.StreamID(m.GetStream())); known {
		reply.Origin = gossiper.EncodeOrigin(r.At, o)
	}
	d.courier.Send(r.Sender, &messenger.Datagram{Body: &messenger.Datagram_StreamReply{StreamReply: reply}})
}

// HandleStreamReply passes another instance's reply to the query that waits for it.
func (d *Delegator) HandleStreamReply(r courier.Received, m *messenger.StreamReply) {
	reply := streamReply{known: m.GetOrigin() != nil}
	if reply.known {
		reply.origin = gossiper.DecodeOrigin(r.At, m.GetOrigin())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.queries[m.GetNumber()] <- reply:
	default:
		// The query has ended, or a datagram was duplicated.
	}
}
