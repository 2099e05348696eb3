package gossiper

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/wire/messenger"
)

// changedView returns a view with a long record that differs little from the one before it.
func changedView() (base, next Record, v View) {
	base = Record{Key: "config", Value: randomBytes(50_000), Offset: 120}
	next = Record{Key: "config", Value: slices.Concat(base.Value[:20_000], []byte("changed"), base.Value[20_000:]), Offset: 149}
	return base, next, View{
		View:        pacer.View{First: 50, Next: 150, Changed: 150, ReadAt: time.Now()},
		RecordsFrom: 149, RecordsTo: 150, Records: []Record{next}, Before: map[string]Record{"config": base},
	}
}

func TestChangeOfALongRecordIsRestoredFromTheOneBeforeIt(t *testing.T) {
	base, next, v := changedView()
	other := base
	other.Value = randomBytes(40_000)
	for _, c := range []struct {
		name string
		// newest is the receiver's newest record, if known.
		newest  Record
		known   bool
		applied bool
	}{
		{"the one before it", base, true, true},
		{"an earlier one", Record{Key: "config", Value: base.Value, Offset: 110}, true, false},
		{"another one at its offset", other, true, false},
		{"none", Record{}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			messages := newFragmenter().encodeView(time.Now(), "topic", v)
			require.Less(t, len(messages), 3)
			p := pacer.NewPacer(time.Second, 0)
			p.SnapshotRead(time.Now(), 149)
			var applied []Record
			mustRead := false
			g, _ := newGossiper(t, func(_ string, v View) {
				if p.PeerRecordsReceived(v.RecordsFrom, v.RecordsTo, v.Changed) {
					applied = append(applied, v.Records...)
				}
				mustRead = p.PeerViewReceived(v.View) || mustRead
			})
			g.RestoreFrom(func(topic, key string) (Record, bool) {
				require.Equal(t, "topic", topic)
				require.Equal(t, "config", key)
				return c.newest, c.known
			})
			// The offsets come again without the records.
			repeated := v
			repeated.RecordsFrom, repeated.Records, repeated.Before = v.RecordsTo, nil, nil
			for _, m := range append(messages, newFragmenter().encodeView(time.Now(), "topic", repeated)...) {
				g.HandleStoreUpdate(courier.Received{At: time.Now()}, m)
			}
			require.Equal(t, !c.applied, mustRead)
			if c.applied {
				require.Equal(t, []Record{next}, applied)
			} else {
				require.Empty(t, applied)
			}
		})
	}
}

func TestChangeThatTakesManyDatagramsIsNotForwarded(t *testing.T) {
	base, _, v := changedView()
	v.Records[0].Value = randomBytes(200_000)
	messages := newFragmenter().encodeView(time.Now(), "topic", v)
	for _, m := range messages {
		for _, r := range m.GetTopics()[0].GetRecords() {
			require.False(t, r.GetChange())
		}
	}
	require.Len(t, messages, 1, "the offsets alone")
	require.Len(t, base.Value, 50_000)
}

// Beside instances of this version runs one of the version before, which would take a change for the whole record.
func TestOnlyThoseWhoReadChangesGetThem(t *testing.T) {
	g := newRunningGossiper(t)
	sockets := map[bool]net.PacketConn{
		true: g.addNeighbour(t, "current", true, true), false: g.addNeighbour(t, "before", true, false),
	}
	_, _, v := changedView()
	g.ForwardView("topic", v)
	for changes, socket := range sockets {
		buffer := make([]byte, courier.MaxDatagramBytes)
		require.NoError(t, socket.SetReadDeadline(time.Now().Add(time.Second)))
		for fragments, received := uint32(1), uint32(0); received < fragments; received++ {
			n, _, err := socket.ReadFrom(buffer)
			require.NoError(t, err)
			var d messenger.Datagram
			require.NoError(t, proto.Unmarshal(buffer[:n], &d))
			require.True(t, d.GetReadsChanges())
			r := d.GetStoreUpdate().GetTopics()[0].GetRecords()[0]
			require.Equal(t, changes, r.GetChange())
			fragments = r.GetFragments()
		}
	}
}
