package courier

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

func TestDatagramsAreCountedByKind(t *testing.T) {
	sent, received := metrics.NewRegistry(), metrics.NewRegistry()
	a := newCourier(t, "a", sent)
	b := newCourier(t, "b", received)
	ctx, cancel := context.WithCancel(context.Background())
	go b.Run(ctx, func(Received) {})
	defer func() {
		cancel()
		<-b.Done()
		require.NoError(t, a.Close())
	}()
	to := elector.Member{Instance: "b", Address: b.self.Address}
	a.Send(to, &messenger.Datagram{})
	for range 2 {
		a.Send(to, &messenger.Datagram{Body: &messenger.Datagram_StoreRequest{StoreRequest: &messenger.StoreRequest{}}})
	}
	bytes := counted(sent, "datagramBytes.sent.storeRequest")
	require.Positive(t, bytes)
	require.EventuallyWithT(t, func(c *assert.CollectT) {
		for _, side := range []struct {
			registry metrics.Registry
			way      string
		}{{sent, "sent"}, {received, "received"}} {
			require.EqualValues(c, 1, counted(side.registry, "datagrams."+side.way+".greeting"))
			require.EqualValues(c, 2, counted(side.registry, "datagrams."+side.way+".storeRequest"))
			require.Equal(c, bytes, counted(side.registry, "datagramBytes."+side.way+".storeRequest"))
		}
	}, 5*time.Second, 5*time.Millisecond)
}

func newCourier(t *testing.T, id identifier.InstanceID, registry metrics.Registry) *Courier {
	t.Helper()
	socket, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	return NewCourier(
		elector.Member{Instance: id, Address: socket.LocalAddr().String()}, socket, zerolog.Nop(), registry,
	)
}

func counted(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r).Count()
}
