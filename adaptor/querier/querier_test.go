package querier

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/wire/messenger"
)

// fakePeer returns fixed replies, with err if set. If blocks is set, Relay blocks until ctx is cancelled.
type fakePeer struct {
	blocks bool
	called chan struct{}
	err    error
}

func (p *fakePeer) Bootstrap(_ context.Context, request *messenger.BootstrapRequest) (*messenger.BootstrapReply, error) {
	return &messenger.BootstrapReply{NextOffset: request.KnownOffset + 1, State: []byte(request.Environment), Instance: "entry-2"}, p.err
}

func (p *fakePeer) Relay(ctx context.Context, request *messenger.RelayRequest) (*messenger.RelayReply, error) {
	if p.blocks {
		close(p.called)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	entry := &messenger.LogEntry{Offset: request.FromOffset, Record: []byte{0, 1}}
	return &messenger.RelayReply{Entries: []*messenger.LogEntry{entry}, NextOffset: request.FromOffset + 1, FirstOffset: 1}, p.err
}

func (p *fakePeer) Status(_ context.Context, request *messenger.StatusRequest) (*messenger.InstanceStatus, error) {
	return &messenger.InstanceStatus{
		Revision:  7,
		Upstreams: []*messenger.UpstreamStatus{{Upstream: "engine-1", InFlight: 3}},
		Decisions: []string{request.RequestId},
	}, p.err
}

// serve runs a peer over TCP and returns its address and a function that stops it and waits for its end.
func serve(t *testing.T, peer Peer) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done, stopped := make(chan struct{}), make(chan error, 1)
	go func() { stopped <- Serve(listener, peer, done) }()
	return listener.Addr().String(), func() {
		close(done)
		require.NoError(t, <-stopped)
	}
}

func TestPeerContract(t *testing.T) {
	fake := &fakePeer{}
	address, stop := serve(t, fake)
	defer stop()
	calls := []struct {
		name string
		call func(p Peer) (proto.Message, error)
	}{
		{"bootstrap", func(p Peer) (proto.Message, error) {
			return p.Bootstrap(t.Context(), &messenger.BootstrapRequest{Environment: "trial", KnownOffset: 4})
		}},
		{"relay", func(p Peer) (proto.Message, error) {
			return p.Relay(t.Context(), &messenger.RelayRequest{Stream: "trial.control", FromOffset: 9})
		}},
		{"status", func(p Peer) (proto.Message, error) {
			return p.Status(t.Context(), &messenger.StatusRequest{RequestId: "r1"})
		}},
	}
	client := NewClient(address)
	defer client.Close()
	for _, c := range calls {
		want, err := c.call(fake)
		require.NoError(t, err)
		got, err := c.call(client)
		require.NoError(t, err, c.name)
		require.True(t, proto.Equal(want, got), "%s: %v is not %v", c.name, got, want)
	}
}

func TestRemoteErrorKeepsConnection(t *testing.T) {
	fake := &fakePeer{err: context.Canceled}
	address, stop := serve(t, fake)
	defer stop()
	client := NewClient(address)
	defer client.Close()
	for range 2 {
		_, err := client.Status(t.Context(), &messenger.StatusRequest{})
		require.ErrorContains(t, err, "context canceled")
	}
	require.NotNil(t, client.current)
}

func TestCallStopsWithContext(t *testing.T) {
	fake := &fakePeer{blocks: true, called: make(chan struct{})}
	address, stop := serve(t, fake)
	defer stop()
	client := NewClient(address)
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-fake.called
		cancel()
	}()
	_, err := client.Relay(ctx, &messenger.RelayRequest{})
	require.ErrorIs(t, err, context.Canceled)
}

func TestClientReconnects(t *testing.T) {
	address, stop := serve(t, &fakePeer{})
	client := NewClient(address)
	defer client.Close()
	_, err := client.Status(t.Context(), &messenger.StatusRequest{})
	require.NoError(t, err)
	stop()
	_, err = client.Status(t.Context(), &messenger.StatusRequest{})
	require.Error(t, err)

	client.address, stop = serve(t, &fakePeer{})
	defer stop()
	_, err = client.Status(t.Context(), &messenger.StatusRequest{})
	require.NoError(t, err)
}
