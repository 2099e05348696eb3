package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/wire/messenger"
)

// longList returns a snapshot of a list of upstreams.
func longList(upstreams int) View {
	random := rand.New(rand.NewPCG(1, 2))
	v := View{
		View:     pacer.View{Era: 1, First: 7, Next: uint64(3 * upstreams), Changed: uint64(2*upstreams + 1), ReadAt: time.Now()},
		Snapshot: true, RecordsTo: uint64(3 * upstreams),
	}
	for n := range upstreams {
		v.Records = append(v.Records, Record{
			Key: fmt.Sprintf("i-%08x", random.Uint32()),
			Value: fmt.Appendf(nil, `{"service":"service-%d","address":"10.%d.%d.%d:8080","zone":"zone-%d","version":"v1","slots":32,`+
				`"state":"ready","cold-remaining-ms":0,"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],`+
				`"sequence":%d,"born":%d}`,
				n%3, 128+n%7, random.IntN(256), random.IntN(256), n%3, random.IntN(500), 1_790_000_000_000+random.IntN(100_000)),
			Offset: uint64(n + upstreams),
		})
	}
	return v
}

// Instances that start ask for a list of 3,000 upstreams: each of them takes 140 kB of its link instead of 750 kB.
func TestSnapshotOfALongListIsPacked(t *testing.T) {
	v := longList(3000)
	updates := newPacker().encodeView(time.Now(), "servers", v)
	size := 0
	var got []Record
	next := uint64(0)
	g, _ := newGossiper(t, func(_ string, part View) {
		require.Equal(t, next, part.RecordsFrom)
		require.True(t, part.Snapshot)
		require.Equal(t, v.View.Changed, part.Changed)
		got, next = append(got, part.Records...), part.RecordsTo
	})
	for _, update := range updates {
		content, err := proto.Marshal(&messenger.Datagram{
			Instance: "spool-edge-marmara-100", Address: "10.100.100.100:10000", DataCentre: "marmara-a", StartedMs: 1 << 42,
			Body: &messenger.Datagram_StoreUpdate{StoreUpdate: update},
		})
		require.NoError(t, err)
		require.LessOrEqual(t, len(content), courier.MaxDatagramBytes)
		size += len(content)
		var received messenger.Datagram
		require.NoError(t, proto.Unmarshal(content, &received))
		g.HandleStoreUpdate(courier.Received{At: time.Now(), Sender: elector.Member{Instance: "b"}}, received.GetStoreUpdate())
	}
	require.Equal(t, v.Next, next)
	require.Equal(t, v.Records, got)
	require.LessOrEqual(t, size, 140_000)
}

func TestPackedSnapshotIsMadeOnce(t *testing.T) {
	p, v := newPacker(), longList(300)
	first := p.encodeView(time.Now(), "servers", v)
	v.Next, v.RecordsTo = v.Next+50, v.RecordsTo+50
	again := p.encodeView(time.Now(), "servers", v)
	require.Same(t, &first[0].Topics[0].Packed[0], &again[0].Topics[0].Packed[0])
	require.Equal(t, v.Next, again[len(again)-1].Topics[0].RecordsTo)
	v.Records = append(v.Records, Record{Key: "another", Value: []byte("x"), Offset: v.Next - 1})
	changed := p.encodeView(time.Now(), "servers", v)
	require.NotSame(t, &first[0].Topics[0].Packed[0], &changed[0].Topics[0].Packed[0])
}

// An instance asks again before it has the whole snapshot. One of the version before reads no packed records.
func TestSnapshotIsSentOnceAtATime(t *testing.T) {
	for _, c := range []struct {
		name   string
		packed bool
	}{{"this version", true}, {"the version before", false}} {
		t.Run(c.name, func(t *testing.T) {
			g, _ := newGossiper(t, nil)
			socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer socket.Close()
			to := elector.Member{Instance: "b", Address: socket.LocalAddr().String()}
			v := longList(400)
			for range 5 {
				g.SendSnapshot(to, "servers", c.packed, func() View { return v })
			}
			records := receiveRecords(t, socket, c.packed, v.Next)
			require.Len(t, records, 400)
			require.NoError(t, socket.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
			_, _, err = socket.ReadFrom(make([]byte, courier.MaxDatagramBytes))
			require.ErrorContains(t, err, "timeout")
		})
	}
}

// receiveRecords receives the datagrams of a snapshot up to an offset.
func receiveRecords(t *testing.T, socket net.PacketConn, packed bool, next uint64) map[string]bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	records, buffer := map[string]bool{}, make([]byte, courier.MaxDatagramBytes)
	for to := uint64(0); to < next; {
		require.NoError(t, ctx.Err())
		require.NoError(t, socket.SetReadDeadline(time.Now().Add(5*time.Second)))
		n, _, err := socket.ReadFrom(buffer)
		require.NoError(t, err)
		var d messenger.Datagram
		require.NoError(t, proto.Unmarshal(buffer[:n], &d))
		topic := d.GetStoreUpdate().GetTopics()[0]
		require.Equal(t, packed, len(topic.GetPacked()) > 0)
		require.NoError(t, unpack(topic))
		for _, r := range topic.GetRecords() {
			require.False(t, records[r.GetKey()], "sent twice")
			records[r.GetKey()] = true
		}
		to = topic.GetRecordsTo()
	}
	return records
}

// A hundred instances ask at once, more than can be served in time.
func TestRequestsForSnapshotsAreBounded(t *testing.T) {
	g, _ := newGossiper(t, nil)
	v, taken := longList(10), make(chan struct{})
	for n := range 300 {
		g.SendSnapshot(elector.Member{Instance: identifier.InstanceID(fmt.Sprint("spool-", n)), Address: "127.0.0.1:9"},
			"servers", true, func() View { <-taken; return v })
	}
	require.Positive(t, g.snapshotsDropped.Count())
	close(taken)
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return !g.sendsSnapshots
	}, 10*time.Second, 5*time.Millisecond)
}
