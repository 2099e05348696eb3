package gossiper

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/wire/messenger"
)

// newRunningGossiper returns a gossiper that receives datagrams until the test ends.
func newRunningGossiper(t *testing.T) *Gossiper {
	t.Helper()
	_, gov := newGossiper(t, nil)
	socket, err := courier.Listen(gov.Self().Address)
	require.NoError(t, err)
	own := courier.NewCourier(gov.Self(), socket, zerolog.Nop(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	go own.Run(ctx, func(courier.Received) {})
	t.Cleanup(func() {
		cancel()
		<-own.Done()
	})
	return NewGossiper(gov, own, nil, 0, nil, zerolog.Nop(), metrics.NewRegistry())
}

// addNeighbour adds a neighbour whose datagrams say what it reads, and returns its socket.
func (g *Gossiper) addNeighbour(t *testing.T, instance identifier.InstanceID, readsPacked, readsChanges bool) net.PacketConn {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	address := socket.LocalAddr().String()
	hello, err := proto.Marshal(&messenger.Datagram{
		Instance: string(instance), StartedMs: 3, Address: address, DataCentre: "here",
		ReadsPacked: readsPacked, ReadsChanges: readsChanges,
	})
	require.NoError(t, err)
	to, err := net.ResolveUDPAddr("udp4", g.courier.LocalAddress())
	require.NoError(t, err)
	_, err = socket.WriteTo(hello, to)
	require.NoError(t, err)
	g.governor.SetMember(time.Now(), elector.Member{Instance: instance, Address: address, DataCentre: "here", StartedMs: 3})
	require.Eventually(t, func() bool {
		return g.courier.ReadsPacked(instance) == readsPacked && g.courier.ReadsChanges(instance) == readsChanges
	}, time.Second, time.Millisecond)
	return socket
}

// Beside instances of this version runs one of the version before, which doesn't read packed records.
func TestForwardedRecordsArePackedForThoseWhoReadThem(t *testing.T) {
	g := newRunningGossiper(t)
	v := longList(200)
	v.Snapshot, v.RecordsFrom, v.Changed = false, 100, v.Records[199].Offset+1
	for _, c := range []struct {
		instance identifier.InstanceID
		packed   bool
	}{{"current", true}, {"before", false}} {
		socket := g.addNeighbour(t, c.instance, c.packed, false)
		g.ForwardView("servers", v)
		require.Len(t, receiveRecords(t, socket, c.packed, v.Next), 200)
	}
}

// A message of a view ends with a range of its own: one that is lost shows in the next.
func TestPackedRangesAreContiguous(t *testing.T) {
	v := longList(200)
	v.Snapshot, v.RecordsFrom = false, 100
	updates := encodeChunks(time.Now(), "servers", v, pack(v.Records))
	require.Greater(t, len(updates), 3)
	next := v.RecordsFrom
	for i, update := range updates {
		part := update.GetTopics()[0]
		require.Equal(t, next, part.GetRecordsFrom())
		next = part.GetRecordsTo()
		require.Equal(t, i < len(updates)-1, decodeView(time.Now(), part).Partial)
		if i < len(updates)-1 {
			require.Equal(t, part.GetRecordsTo(), part.GetNext(), "the rest follows")
			require.Equal(t, part.GetRecordsTo(), part.GetChanged())
		}
	}
	require.Equal(t, v.RecordsTo, next)
}

// Instances that got the first of two versions that were read at once took it for all that there was at that time.
func TestPartOfAViewDoesNotPostponeTheNextRead(t *testing.T) {
	const interval, rank = time.Second, 3
	before := time.Now()
	read := before.Add(800 * time.Millisecond)
	v := View{
		View: pacer.View{First: 1, Next: 12, Changed: 12, ReadAt: read}, PreviousReadAt: before, RecordsFrom: 10, RecordsTo: 12,
		Records: []Record{
			{Key: "config", Value: randomBytes(3 * courier.MaxDatagramBytes), Offset: 10},
			{Key: "config", Value: randomBytes(3 * courier.MaxDatagramBytes), Offset: 11},
		},
	}
	receiver, received := pacer.NewPacer(interval, 0), newAssembler()
	receiver.SnapshotRead(before, 10)
	due := receiver.NextReadAt(rank)
	arrive := func(update *messenger.StoreUpdate) {
		part := proto.Clone(update).(*messenger.StoreUpdate).GetTopics()[0]
		complete, err := received.add("sender", part)
		require.NoError(t, err)
		if complete {
			arrived := decodeView(read, part)
			require.True(t, receiver.PeerRecordsReceived(arrived.RecordsFrom, arrived.RecordsTo, arrived.Changed))
			require.False(t, receiver.PeerViewReceived(arrived.View))
		}
	}
	updates := newFragmenter().encodeView(read, "topic", v)
	for _, update := range updates[:len(updates)-1] {
		arrive(update)
	}
	next, _ := receiver.NextOffset()
	require.EqualValues(t, 11, next, "the first version has arrived")
	require.False(t, receiver.NextReadAt(rank).After(due.Add(time.Millisecond)))
	arrive(updates[len(updates)-1])
	next, _ = receiver.NextOffset()
	require.EqualValues(t, 12, next)
	require.True(t, receiver.NextReadAt(rank).After(due.Add(time.Millisecond)))
}
